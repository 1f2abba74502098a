//! Tests of the HTTP server through the client of `hitch-log`.

use std::time::Duration;
use std::time::Instant;

use assert_matches::assert_matches;
use hitch_log::Client;
use hitch_log::Options;
use hitch_log::append;
use hitch_log::read;
use hitch_standin_log::Control;
use hitch_standin_log::Handle;
use hitch_standin_log::Settings;
use hitch_standin_log::serve;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

async fn start(timeout_ms: u64) -> (Handle, Client) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let handle = Handle::new(Settings::default());
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    tokio::spawn(serve(listener, handle.clone(), logger));
    let options = Options {
        timeout: Duration::from_millis(timeout_ms),
        ..Options::default()
    };
    (handle, Client::at(&url, options).unwrap())
}

/// Sends `POST /control` and returns the complete answer, including its head.
async fn post_control(client: &Client, json: &str) -> String {
    let mut socket = TcpStream::connect(client.peer()).await.unwrap();
    let length = json.len();
    let req = format!(
        "POST /control HTTP/1.1\r\nhost: log\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{json}"
    );
    socket.write_all(req.as_bytes()).await.unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Guards against an append that is executed again, or reported as refused, after its answer was
/// lost.
#[tokio::test]
async fn lost_answer_is_ambiguous_and_appended_once() {
    let (handle, client) = start(5_000).await;
    client.append("config", "a".into()).await.unwrap();
    handle.control(&Control {
        lose_answers: Some(1),
        ..Control::default()
    });
    let lost = client.append("config", "b".into()).await;
    assert_matches!(lost, Err(append::Error::Ambiguous { .. }));
    let page = client.read("config", 0, 10, Duration::ZERO).await.unwrap();
    assert_eq!(page.records.len(), 2);
    assert_eq!(client.append("config", "c".into()).await.unwrap(), 2);
}

/// Guards against a delayed append that is cancelled when its caller disconnects: clients would not
/// be tested with an append that takes effect after they gave up.
#[tokio::test]
async fn delayed_append_takes_effect_after_the_caller_disconnects() {
    let (handle, client) = start(100).await;
    handle.control(&Control {
        append_delay_ms: Some(300),
        ..Control::default()
    });
    let late = client.append("config", "a".into()).await;
    assert_matches!(late, Err(append::Error::Ambiguous { .. }));
    let before = client.read("config", 0, 10, Duration::ZERO).await.unwrap();
    assert!(before.records.is_empty());
    let after = client
        .read("config", 0, 10, Duration::from_secs(5))
        .await
        .unwrap();
    assert_eq!(after.records.len(), 1);
}

/// Guards against a long poll that misses an append or returns before one.
#[tokio::test]
async fn long_poll_wakes_on_append_only() {
    let (handle, client) = start(5_000).await;
    let reader = client.clone();
    let wait = Duration::from_secs(4);
    let poll = tokio::spawn(async move { reader.read("config", 0, 10, wait).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    client.append("other", "x".into()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!poll.is_finished());
    let appended = Instant::now();
    client.append("config", "a".into()).await.unwrap();
    let page = poll.await.unwrap().unwrap();
    assert!(appended.elapsed() < Duration::from_secs(2));
    assert_eq!(page.next, 1);
    let empty = client
        .read("config", 1, 10, Duration::from_millis(50))
        .await
        .unwrap();
    assert_eq!((empty.next, empty.records.len()), (1, 0));
    let counters = handle.counters();
    assert_eq!(counters.streams["config"].reads, 2);
    assert_eq!(counters.streams["config"].bytes_read, 1);
}

/// Guards against an outage, a rate limit or a trim that is set but has no effect on clients, and
/// against unknown field names that are accepted.
#[tokio::test]
async fn faults_reach_the_client() {
    let (handle, client) = start(5_000).await;
    client.append("config", "a".into()).await.unwrap();
    client.append("config", "b".into()).await.unwrap();
    let control = r#"{"trim_before":1,"stream":"config","appends_per_second":0}"#;
    let answer = post_control(&client, control).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let answer = post_control(&client, r#"{"outrage":true}"#).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    let trimmed = client.read("config", 0, 10, Duration::ZERO).await;
    assert_matches!(trimmed, Err(read::Error::Trimmed { first: 1, .. }));
    let limited = client.append("config", "c".into()).await;
    assert_matches!(limited, Err(append::Error::RateLimited { .. }));
    let reader = client.clone();
    let wait = Duration::from_secs(4);
    let poll = tokio::spawn(async move { reader.read("config", 2, 10, wait).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    handle.control(&Control {
        outage: Some(true),
        ..Control::default()
    });
    assert_matches!(poll.await.unwrap(), Err(read::Error::Outage { .. }));
    let outage = client.append("config", "d".into()).await;
    assert_matches!(outage, Err(append::Error::Outage { .. }));
}
