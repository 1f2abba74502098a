//! Tests of fault injection.

use std::time::Duration;
use std::time::Instant;

use hitch_standin_backend::Control;
use hitch_standin_backend::Settings;
use hitch_standin_backend::control::Health;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpStream;

use crate::call;
use crate::start;
use crate::wait_until;

/// Guards against a crash that does not stop other calls, leaves the port open, loses the ledger or
/// is not followed by a restart.
#[tokio::test]
async fn poisoned_call_crashes_the_server_until_it_restarts() {
    let (handle, address) = start(Settings {
        crash_ms: 400,
        ..Settings::default()
    })
    .await;
    let other = tokio::spawn(call(
        address,
        &[("x-hitch-work-ms", "60000"), ("idempotency-key", "other")],
        "",
    ));
    wait_until(|| handle.running() == 1).await;
    let poison = [("x-hitch-poison", "1"), ("idempotency-key", "poison")];
    call(address, &poison, "").await.unwrap_err();
    other.await.unwrap().unwrap_err();
    let refused = TcpStream::connect(address).await.unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    let started = Instant::now();
    while TcpStream::connect(address).await.is_err() {
        assert!(started.elapsed() < Duration::from_secs(5));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(call(address, &[], "").await.unwrap().status, 200);
    assert_eq!(handle.running(), 0);
    for key in ["other", "poison"] {
        let runs = handle.ledger().keys[key];
        assert_eq!((runs.started, runs.finished, runs.stopped), (1, 0, 1));
    }
}

/// Guards against a crossed answer that cannot be distinguished from the correct one.
#[tokio::test]
async fn crossed_answer_belongs_to_the_previous_call() {
    let (handle, address) = start(Settings::default()).await;
    call(address, &[("x-hitch-call-id", "a")], "first")
        .await
        .unwrap();
    handle.control(&Control {
        crossed_answers: Some(1),
        ..Control::default()
    });
    let crossed = call(address, &[("x-hitch-call-id", "b")], "second").await;
    let crossed = crossed.unwrap();
    assert_eq!(crossed.headers["x-hitch-call-id"], "a");
    assert_eq!(crossed.answer().body_bytes, 5);
    let next = call(address, &[("x-hitch-call-id", "c")], "")
        .await
        .unwrap();
    assert_eq!(next.headers["x-hitch-call-id"], "c");
}

/// Guards against lost and truncated answers whose calls are not recorded as finished, and against
/// late answers that are not delayed.
#[tokio::test]
async fn calls_with_faulty_answers_finish() {
    let (handle, address) = start(Settings::default()).await;
    handle.control(&Control {
        lose_answers: Some(1),
        ..Control::default()
    });
    call(address, &[], "").await.unwrap_err();
    handle.control(&Control {
        short_bodies: Some(1),
        ..Control::default()
    });
    call(address, &[], "").await.unwrap_err();
    handle.control(&Control {
        late_answers: Some(1),
        late_ms: Some(200),
        ..Control::default()
    });
    let started = Instant::now();
    assert_eq!(call(address, &[], "").await.unwrap().status, 200);
    assert!(started.elapsed() >= Duration::from_millis(200));
    assert_eq!(handle.ledger().finished, 3);
}

/// Guards against load and health reports that ignore the faults that delay or replace them.
#[tokio::test]
async fn load_and_health_reports_follow_the_injected_faults() {
    let (handle, address) = start(Settings::default()).await;
    handle.control(&Control {
        load_lag_ms: Some(300),
        health: Some(Health::Ok),
        draining: Some(true),
        ..Control::default()
    });
    tokio::spawn(call(address, &[("x-hitch-work-ms", "60000")], ""));
    wait_until(|| handle.running() == 1).await;
    assert_eq!(handle.load().running, 0);
    wait_until(|| handle.load().running == 1).await;
    handle.control(&Control {
        reported_load: Some(9),
        ..Control::default()
    });
    assert_eq!(handle.load().running, 9);
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
    let req = Request::get(format!("http://{address}/health"));
    let res = client.request(req.body(Full::default()).unwrap()).await;
    assert_eq!(res.unwrap().status(), 200);
    assert_eq!(handle.counters().started_draining, 1);
}

/// Guards against faults that cannot be set over HTTP, and against unknown field names that are
/// accepted.
#[tokio::test]
async fn faults_are_set_over_http() {
    let (_handle, address) = start(Settings::default()).await;
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<bytes::Bytes>>();
    let post = |body: &'static str| {
        let req = Request::post(format!("http://{address}/control"));
        client.request(req.body(Full::from(body)).unwrap())
    };
    assert_eq!(post(r#"{"fail_slow":true}"#).await.unwrap().status(), 400);
    assert_eq!(post(r#"{"fail_fast":true}"#).await.unwrap().status(), 200);
    assert_eq!(call(address, &[], "").await.unwrap().status, 500);
    let req = Request::get(format!("http://{address}/ledger"));
    let res = client.request(req.body(Full::default()).unwrap()).await;
    let body = res.unwrap().into_body().collect().await.unwrap();
    let ledger: hitch_standin_backend::Ledger = serde_json::from_slice(&body.to_bytes()).unwrap();
    assert_eq!(ledger.started, 0);
}
