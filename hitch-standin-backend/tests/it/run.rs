//! Tests of admission, cancellation, deadlines and the ledger.

use std::time::Duration;
use std::time::Instant;

use hitch_standin_backend::Settings;
use hitch_standin_backend::ledger::Runs;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::call;
use crate::start;
use crate::wait_until;

const KEY: (&str, &str) = ("idempotency-key", "k1");
const LONG_WORK: (&str, &str) = ("x-hitch-work-ms", "60000");

/// Guards against an answer that cannot be distinguished from the answer to another request.
#[tokio::test]
async fn answer_identifies_its_request() {
    let (handle, address) = start(Settings::default()).await;
    let received = call(address, &[("x-hitch-call-id", "c7"), KEY], "fee 12").await;
    let received = received.unwrap();
    assert_eq!(received.status, 200);
    assert_eq!(received.headers["x-hitch-call-id"], "c7");
    let answer = received.answer();
    assert_eq!((&*answer.path, answer.body_bytes), ("/fees", 6));
    let other = call(address, &[], "fee 13").await.unwrap().answer();
    assert_ne!(answer.body_hash, other.body_hash);
    let runs = Runs {
        started: 1,
        finished: 1,
        stopped: 0,
    };
    assert_eq!(handle.ledger().keys["k1"], runs);
}

/// Guards against more calls in flight than slots, and against a shed call recorded in the ledger.
#[tokio::test]
async fn calls_above_the_slots_are_shed_and_do_not_run() {
    let (handle, address) = start(Settings {
        slots: 2,
        ..Settings::default()
    })
    .await;
    for _ in 0..2 {
        tokio::spawn(call(address, &[LONG_WORK], ""));
    }
    wait_until(|| handle.running() == 2).await;
    let received = call(address, &[KEY], "").await.unwrap();
    assert_eq!(received.status, 503);
    assert_eq!(received.headers["x-hitch-shed"], "1");
    assert!(handle.ledger().keys.is_empty());
}

/// Guards against a call that still runs and holds its slot after its caller has disconnected.
#[tokio::test]
async fn run_stops_when_the_caller_disconnects() {
    let (handle, address) = start(Settings::default()).await;
    let caller = tokio::spawn(call(address, &[LONG_WORK, KEY], ""));
    wait_until(|| handle.running() == 1).await;
    caller.abort();
    wait_until(|| handle.running() == 0).await;
    let runs = handle.ledger().keys["k1"];
    assert_eq!((runs.started, runs.finished, runs.stopped), (1, 0, 1));
}

/// Guards against a call that starts or runs after its deadline.
#[tokio::test]
async fn run_stops_at_the_deadline() {
    let (handle, address) = start(Settings::default()).await;
    let started = Instant::now();
    let expired = call(address, &[LONG_WORK, ("x-hitch-deadline-ms", "50")], "").await;
    assert_eq!(expired.unwrap().status, 504);
    assert!(started.elapsed() < Duration::from_secs(5));
    assert_eq!((handle.running(), handle.ledger().stopped), (0, 1));
    let expired_on_arrival = call(address, &[("x-hitch-deadline-ms", "0")], "").await;
    assert_eq!(expired_on_arrival.unwrap().status, 504);
    assert_eq!(handle.ledger().started, 1);
}

/// Guards against a cold start that does not increase service times, or never ends.
#[tokio::test]
async fn cold_start_ends() {
    let (_handle, address) = start(Settings {
        work_ms: 10,
        cold_start_ms: 300,
        cold_factor_percent: 500,
        ..Settings::default()
    })
    .await;
    let cold = call(address, &[], "").await.unwrap().answer();
    assert!(cold.work_us > 20_000, "{} us", cold.work_us);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let warm = call(address, &[], "").await.unwrap().answer();
    assert_eq!(warm.work_us, 10_000);
}

/// Guards against more open connections than the limit allows.
#[tokio::test]
async fn connections_above_the_limit_are_closed() {
    let (handle, address) = start(Settings {
        connections: 1,
        ..Settings::default()
    })
    .await;
    let _held = TcpStream::connect(address).await.unwrap();
    wait_until(|| handle.counters().connections == 1).await;
    let mut refused = TcpStream::connect(address).await.unwrap();
    assert_eq!(refused.read(&mut [0; 1]).await.unwrap(), 0);
    assert_eq!(handle.counters().connections_refused, 1);
}
