//! Tests of publishing a change.

use std::time::Duration;

use assert_matches::assert_matches;
use hitch_ctl::publish::Outcome;
use hitch_ctl::publish::publish;
use hitch_standin_log::Control;
use uuid::Uuid;

use crate::Log;
use crate::change;
use crate::options;

/// Guards against a change that is appended twice when the answer to the first append is lost.
#[tokio::test]
async fn lost_answer_is_resolved_without_a_second_append() {
    let log = Log::start().await;
    log.control(Control {
        lose_answers: Some(1),
        ..Control::default()
    });
    let outcome = publish(&log.client, &change(1, "a", 0, 2), &options(2000, false)).await;
    assert_eq!(outcome, Outcome::Accepted { version: 1 });
    assert_eq!(log.client.counters().appends, 1);
    assert_eq!(log.config_records().await, 1);
}

/// Guards against concurrent changes of two operators that are both reported as accepted.
#[tokio::test]
async fn concurrent_change_is_reported_as_conflict_with_the_accepted_one() {
    let log = Log::start().await;
    log.append("config", change(1, "a", 0, 2).to_bytes());
    let (first, second) = (change(2, "a", 1, 3), change(3, "a", 1, 4));
    let options = options(2000, false);
    let outcomes = tokio::join!(
        publish(&log.client, &first, &options),
        publish(&log.client, &second, &options)
    );
    let (winner, version, conflict) = match outcomes {
        (Outcome::Accepted { version }, conflict) => (2, version, conflict),
        (conflict, Outcome::Accepted { version }) => (3, version, conflict),
        both => panic!("no change was accepted: {both:?}"),
    };
    let expected = Outcome::Conflict {
        winner: Uuid::from_u128(winner),
        operator: format!("o-{winner}").into(),
        version,
    };
    assert_eq!(conflict, expected);
    assert_eq!(log.config_records().await, 3);
}

/// Guards against a late append that is reported as failed although the change takes effect, and
/// against a resumption that appends the change again.
#[tokio::test]
async fn late_append_is_unknown_and_resumption_returns_its_verdict() {
    let log = Log::start().await;
    log.control(Control {
        append_delay_ms: Some(800),
        ..Control::default()
    });
    let first = change(1, "a", 0, 2);
    let outcome = publish(&log.client, &first, &options(0, false)).await;
    assert_matches!(outcome, Outcome::Unknown { .. });
    assert_eq!(outcome.exit().code(), 4);
    tokio::time::sleep(Duration::from_millis(1000)).await;
    let outcome = publish(&log.client, &first, &options(0, true)).await;
    assert_eq!(outcome, Outcome::Accepted { version: 1 });
    let other = change(1, "a", 0, 3);
    let outcome = publish(&log.client, &other, &options(0, true)).await;
    assert_matches!(outcome, Outcome::Refused { .. });
    assert_eq!(log.client.counters().appends, 1);
    assert_eq!(log.config_records().await, 1);
}

/// Guards against an outage after which it is unknown whether the change was appended, and against a
/// resumption that appends without having searched the log.
#[tokio::test]
async fn outage_appends_nothing() {
    let log = Log::start().await;
    let outage = |outage| Control {
        outage: Some(outage),
        ..Control::default()
    };
    log.control(outage(true));
    let first = change(1, "a", 0, 2);
    let outcome = publish(&log.client, &first, &options(0, false)).await;
    assert_matches!(outcome, Outcome::NotAppended { .. });
    let outcome = publish(&log.client, &first, &options(0, true)).await;
    assert_matches!(outcome, Outcome::Unknown { .. });
    log.control(outage(false));
    assert_eq!(log.config_records().await, 0);
    let outcome = publish(&log.client, &first, &options(0, true)).await;
    assert_eq!(outcome, Outcome::Accepted { version: 1 });
}

/// Guards against a refusal that is not reported, or that lacks the problems of the contract.
#[tokio::test]
async fn refusals_are_reported() {
    let log = Log::start().await;
    let options = options(2000, false);
    let outcome = publish(&log.client, &change(1, "a", 4, 2), &options).await;
    assert_matches!(outcome, Outcome::Refused { .. });
    let outcome = publish(&log.client, &change(2, "a", 0, 0), &options).await;
    assert_matches!(outcome, Outcome::Refused { problems, .. } if problems.len() == 1);
}
