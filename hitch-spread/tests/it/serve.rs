//! Tests of serving records and snapshots.

use assert_matches::assert_matches;
use hitch_spread::FetchResponse;
use hitch_spread::Options;

use crate::at;
use crate::holding;
use crate::record;

/// Guards against a node that sends too many snapshots when many nodes start at the same time.
#[test]
fn concurrent_snapshots_are_bounded() {
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
    let kept = FetchResponse::Records(vec![record(3), record(4)]);
    assert_eq!(spread.serve_fetch(at(1), 3, 4096), kept);
    assert_matches!(
        spread.serve_fetch(at(6), 0, 4096),
        FetchResponse::Snapshot(_)
    );
}

/// Guards against an answer of unbounded size, and against an empty one that makes no progress.
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
