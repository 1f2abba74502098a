//! Tests of the connections to the backend server, against scripted sockets.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use hitch_edge::Backend;
use hitch_edge::backend::Error;
use hitch_edge::backend::Options;
use http::Response;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::Instant;

fn options() -> Options {
    Options::new(1, Duration::from_secs(1))
}

/// Serves one scripted answer a connection and closes it, or keeps it silent for `None`.
async fn scripted(answers: Vec<Option<&'static str>>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let mut silent = Vec::new();
        for answer in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await;
            match answer {
                Some(answer) => stream.write_all(answer.as_bytes()).await.unwrap(),
                None => silent.push(stream),
            }
        }
        std::future::pending::<()>().await;
    });
    peer
}

async fn run(backend: &Backend, timeout_ms: u64) -> Result<Response<Bytes>, Error> {
    let req = http::Request::post("/fees")
        .header("host", "b")
        .body(Bytes::from("x"))
        .unwrap();
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    backend.run(req, "c-1", deadline, || ()).await
}

/// Guards against a truncated answer that passes for a success.
#[tokio::test]
async fn short_body_is_an_error() {
    let peer = scripted(vec![Some(
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
    )])
    .await;
    let err = run(&Backend::at(&peer, options()), 2_000)
        .await
        .unwrap_err();
    assert_matches!(err, Error::IncompleteAnswer { .. });
    assert!(!err.is_not_run());
}

/// Guards against an answer to another call.
#[tokio::test]
async fn crossed_answer_is_an_error_and_its_connection_is_closed() {
    let crossed = "HTTP/1.1 200 OK\r\nx-hitch-call-id: c-2\r\ncontent-length: 1\r\n\r\na";
    let backend = Backend::at(&scripted(vec![Some(crossed)]).await, options());
    assert_matches!(run(&backend, 2_000).await, Err(Error::WrongCallId { .. }));
    assert_eq!(backend.idle_connections(), 0);
}

/// Guards against a refusal as not run after the call was sent, and against a late answer that the
/// next call on the connection takes for its own.
#[tokio::test]
async fn abandoned_connection_is_not_reused() {
    let answer = "HTTP/1.1 200 OK\r\nx-hitch-call-id: c-1\r\ncontent-length: 1\r\n\r\na";
    let backend = Backend::at(&scripted(vec![None, Some(answer)]).await, options());
    let err = run(&backend, 100).await.unwrap_err();
    assert_matches!(err, Error::DeadlineExceeded { .. });
    assert!(!err.is_not_run());
    assert_eq!(backend.idle_connections(), 0);
    assert_eq!(run(&backend, 2_000).await.unwrap().body(), "a");
}

/// Guards against a crash that passes for a call that was not run.
#[tokio::test]
async fn closed_connection_is_a_crash_and_not_a_refusal() {
    let backend = Backend::at(&scripted(vec![Some("")]).await, options());
    let err = run(&backend, 2_000).await.unwrap_err();
    assert!(err.is_crash() && !err.is_not_run(), "{err}");
}

/// Guards against an unreachable backend server that makes calls unknown.
#[tokio::test]
async fn refused_connection_is_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap().to_string();
    drop(listener);
    assert!(
        run(&Backend::at(&peer, options()), 2_000)
            .await
            .unwrap_err()
            .is_not_run()
    );
}

/// Guards against a call on a connection that the backend server has forgotten: it could not be told whether it ran.
#[tokio::test]
async fn idle_connection_is_not_used_after_its_time() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nkeep-alive: timeout=10\r\n\r\n";
    let peer = scripted(vec![Some(answer), Some(answer)]).await;
    let options = Options {
        max_idle: Duration::from_millis(50),
        ..options()
    };
    let backend = Backend::at(&peer, options);
    run(&backend, 2_000).await.unwrap();
    tokio::time::sleep(Duration::from_millis(80)).await;
    // The scripted server answers once a connection and then stays silent, so only a new one is answered.
    run(&backend, 500).await.unwrap();
}
