//! Tests of reading.

use std::time::Duration;

use assert_matches::assert_matches;
use hitch_log::read::Error;

use crate::answer;
use crate::scripted;

/// Guards against records that are skipped or repeated unnoticed.
#[tokio::test]
async fn records_out_of_order_are_refused() {
    let page = r#"{"first":0,"next":3,"records":[{"offset":2,"time_ms":1,"data":""}]}"#;
    let client = scripted(vec![answer(200, page)]).await;
    let result = client.read("config", 1, 10, Duration::ZERO).await;
    assert_matches!(result, Err(Error::Disordered { offset: 2, .. }));
}

/// Guards against a reader that cannot tell a trimmed log from an outage.
#[tokio::test]
async fn trimmed_offset_names_the_first_retained_one() {
    let client = scripted(vec![answer(410, r#"{"first":7}"#), answer(503, "")]).await;
    let trimmed = client.read("config", 0, 10, Duration::ZERO).await;
    assert_matches!(trimmed, Err(Error::Trimmed { first: 7, .. }));
    let outage = client.read("config", 0, 10, Duration::ZERO).await;
    assert_matches!(outage, Err(Error::Outage { .. }));
}

/// Guards against a read that hangs with its server, and against one that gives up before its wait.
#[tokio::test]
async fn read_times_out_after_its_wait() {
    let client = scripted(vec!["hold".to_owned()]).await;
    let wait = Duration::from_millis(200);
    let result = client.read("config", 0, 10, wait).await;
    assert_matches!(result, Err(Error::TimedOut { timeout, .. }) if timeout == Duration::from_millis(500));
}

/// Guards against control bytes that are not counted.
#[tokio::test]
async fn bytes_are_counted() {
    let page = r#"{"first":0,"next":1,"records":[{"offset":0,"time_ms":1,"data":"eA=="}]}"#;
    let client = scripted(vec![answer(200, page)]).await;
    let outcome = client.read("config", 0, 10, Duration::ZERO).await.unwrap();
    assert_eq!(&*outcome.records[0].data, b"x");
    let counters = client.counters();
    assert!(counters.bytes_read > page.len() as u64);
    assert!(counters.bytes_written > 40);
}
