//! Tests of reads.

use std::time::Duration;

use assert_matches::assert_matches;
use hitch_log::read::Error;

use crate::answer;
use crate::client_of_scripted_server;

/// Guards against skipping or duplicating records without an error when the log sends them out of order.
#[tokio::test]
async fn records_out_of_order_fail_the_read() {
    let page = r#"{"first":0,"next":3,"records":[{"offset":2,"time_ms":1,"data":""}]}"#;
    let client = client_of_scripted_server(vec![answer(200, page)]).await;
    let result = client.read("config", 1, 10, Duration::ZERO).await;
    assert_matches!(result, Err(Error::OutOfOrder { offset: 2, .. }));
}

/// Guards against reporting trimmed records as an outage, or an outage as trimmed records.
#[tokio::test]
async fn read_of_trimmed_offset_returns_first_retained_offset() {
    let client =
        client_of_scripted_server(vec![answer(410, r#"{"first":7}"#), answer(503, "")]).await;
    let trimmed = client.read("config", 0, 10, Duration::ZERO).await;
    assert_matches!(trimmed, Err(Error::Trimmed { first: 7, .. }));
    let outage = client.read("config", 0, 10, Duration::ZERO).await;
    assert_matches!(outage, Err(Error::Outage { .. }));
}

/// Guards against a read without a timeout on an unresponsive log, and against one that times out during its wait.
#[tokio::test]
async fn timeout_of_a_read_includes_its_wait() {
    let client = client_of_scripted_server(vec!["hold".to_owned()]).await;
    let wait = Duration::from_millis(200);
    let result = client.read("config", 0, 10, wait).await;
    assert_matches!(result, Err(Error::TimedOut { timeout, .. }) if timeout == Duration::from_millis(500));
}

/// Guards against counters that omit the bytes of requests or answers.
#[tokio::test]
async fn bytes_read_and_written_are_counted() {
    let page = r#"{"first":0,"next":1,"records":[{"offset":0,"time_ms":1,"data":"eA=="}]}"#;
    let client = client_of_scripted_server(vec![answer(200, page)]).await;
    let outcome = client.read("config", 0, 10, Duration::ZERO).await.unwrap();
    assert_eq!(&*outcome.records[0].data, b"x");
    let counters = client.counters();
    assert!(counters.bytes_read > page.len() as u64);
    assert!(counters.bytes_written > 40);
}
