//! Tests of serving.

use assert_matches::assert_matches;
use hitch_spread::FetchResponse;
use hitch_spread::Options;

use crate::at;
use crate::holding;
use crate::record;

/// Guards against a storm of newcomers that makes one node send snapshots without end.
#[test]
fn snapshots_at_a_time_are_bounded() {
    let options = Options {
        ring_records: 2,
        ..Options::default()
    };
    let mut spread = holding(5, options);
    assert_matches!(
        spread.serve_fetch(at(1), 0, 4096),
        FetchResponse::Snapshot(_)
    );
    assert_matches!(
        spread.serve_fetch(at(1), 0, 4096),
        FetchResponse::Snapshot(_)
    );
    assert_eq!(spread.serve_fetch(at(1), 0, 4096), FetchResponse::Busy);
    let held = FetchResponse::Records(vec![record(3), record(4)]);
    assert_eq!(spread.serve_fetch(at(1), 3, 4096), held);
    assert_matches!(
        spread.serve_fetch(at(6), 0, 4096),
        FetchResponse::Snapshot(_)
    );
}

/// Guards against an answer without end, and against one that makes no progress.
#[test]
fn answer_is_bounded_but_never_empty() {
    let mut spread = holding(5, Options::default());
    let two = FetchResponse::Records(vec![record(1), record(2)]);
    assert_eq!(spread.serve_fetch(at(1), 1, 17), two);
    let one = FetchResponse::Records(vec![record(1)]);
    assert_eq!(spread.serve_fetch(at(1), 1, 1), one);
    assert_eq!(spread.missing_records(1, 17), []);
    assert_eq!(spread.missing_records(3, 17), [record(3), record(4)]);
}
