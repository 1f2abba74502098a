//! Tests of the replay of a log whose first records are trimmed.

use std::time::Duration;

use assert_matches::assert_matches;
use hitch_config::State;
use hitch_ctl::history;
use hitch_ctl::publish::Outcome;
use hitch_ctl::publish::publish;
use hitch_ctl::replay;
use hitch_standin_log::Control;

use crate::Log;
use crate::change;
use crate::options;

/// Starts a log with three changes and trims the first two. Also returns a snapshot of the state after those two.
async fn trimmed_log() -> (Log, Vec<u8>) {
    let log = Log::start().await;
    let mut state = State::default();
    for (i, record) in [change(1, "a", 0, 2), change(2, "a", 1, 3)]
        .iter()
        .enumerate()
    {
        log.append("config", record.to_bytes());
        state.apply(i as u64, &record.to_bytes()).unwrap();
    }
    log.append("config", change(3, "b", 0, 2).to_bytes());
    log.control(Control {
        trim_before: Some(2),
        stream: Some("config".into()),
        ..Control::default()
    });
    (log, state.snapshot())
}

/// Guards against verdicts that differ from those of the nodes when the first records are trimmed.
#[tokio::test]
async fn trimmed_records_are_replaced_by_the_latest_snapshot() {
    let (log, snapshot) = trimmed_log().await;
    log.append("snapshots", State::default().snapshot());
    log.append("snapshots", snapshot);
    let outcome = publish(&log.client, &change(4, "a", 1, 9), &options(0, false)).await;
    assert_matches!(outcome, Outcome::Conflict { version: 2, .. });
    let outcome = publish(&log.client, &change(5, "a", 2, 9), &options(0, false)).await;
    assert_eq!(outcome, Outcome::Accepted { version: 5 });
    let resumed = publish(&log.client, &change(2, "a", 1, 3), &options(0, true)).await;
    assert_eq!(resumed, Outcome::Accepted { version: 2 });
    let history = history::read(&log.client, Duration::ZERO, Some("b"))
        .await
        .unwrap();
    assert_eq!((history.first, history.entries.len()), (2, 1));
    assert_eq!(history.entries[0].version, Some(3));
}

/// Guards against verdicts from a state that misses records because no snapshot covers the trimmed ones.
#[tokio::test]
async fn trimmed_records_without_a_snapshot_are_an_error() {
    let (log, _) = trimmed_log().await;
    let result = history::read(&log.client, Duration::ZERO, None).await;
    assert_matches!(result, Err(replay::Error::NoSnapshot { first: 2 }));
    log.append("snapshots", State::default().snapshot());
    let result = history::read(&log.client, Duration::ZERO, None).await;
    assert_matches!(result, Err(replay::Error::NoSnapshot { first: 2 }));
}
