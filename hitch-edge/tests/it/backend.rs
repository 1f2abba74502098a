//! Tests of the connection pool against a server with scripted answers.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
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

/// Answers the first request of each accepted connection with the next scripted answer and closes
/// the connection; for `None` it keeps the connection open without an answer.
async fn scripted_server(answers: Vec<Option<&'static str>>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let mut unanswered = Vec::new();
        for answer in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await;
            match answer {
                Some(answer) => stream.write_all(answer.as_bytes()).await.unwrap(),
                None => unanswered.push(stream),
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

/// Guards against a truncated answer that is treated as complete.
#[tokio::test]
async fn short_body_is_an_error() {
    let peer = scripted_server(vec![Some(
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
    )])
    .await;
    let err = run(&Backend::at(&peer, options()), 2_000)
        .await
        .unwrap_err();
    assert_matches!(err, Error::IncompleteAnswer { .. });
    assert!(!err.is_not_run());
}

/// Guards against accepting the answer to another call.
#[tokio::test]
async fn crossed_answer_is_an_error_and_its_connection_is_closed() {
    let other_call = "HTTP/1.1 200 OK\r\nx-hitch-call-id: c-2\r\ncontent-length: 1\r\n\r\na";
    let backend = Backend::at(&scripted_server(vec![Some(other_call)]).await, options());
    assert_matches!(run(&backend, 2_000).await, Err(Error::WrongCallId { .. }));
    assert_eq!(backend.idle_connections(), 0);
}

/// Guards against reporting a sent call as not run, and against a late answer that the next call on
/// the same connection accepts as its own.
#[tokio::test]
async fn abandoned_connection_is_not_reused() {
    let answer = "HTTP/1.1 200 OK\r\nx-hitch-call-id: c-1\r\ncontent-length: 1\r\n\r\na";
    let backend = Backend::at(&scripted_server(vec![None, Some(answer)]).await, options());
    let err = run(&backend, 100).await.unwrap_err();
    assert_matches!(err, Error::DeadlineExceeded { .. });
    assert!(!err.is_not_run());
    assert_eq!(backend.idle_connections(), 0);
    assert_eq!(run(&backend, 2_000).await.unwrap().body(), "a");
}

/// Guards against a crash during a call that is reported as not run.
#[tokio::test]
async fn closed_connection_is_a_crash_and_not_a_refusal() {
    let backend = Backend::at(&scripted_server(vec![Some("")]).await, options());
    let err = run(&backend, 2_000).await.unwrap_err();
    assert!(err.is_crash() && !err.is_not_run(), "{err}");
}

/// Guards against an unknown outcome for calls to an unreachable backend server.
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

/// Guards against a call on an idle connection that the backend server has dropped: its outcome
/// would be unknown.
#[tokio::test]
async fn idle_connection_is_not_reused_after_max_idle() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nkeep-alive: timeout=10\r\n\r\n";
    let peer = scripted_server(vec![Some(answer), Some(answer)]).await;
    let options = Options {
        max_idle: Duration::from_millis(50),
        ..options()
    };
    let backend = Backend::at(&peer, options);
    run(&backend, 2_000).await.unwrap();
    tokio::time::sleep(Duration::from_millis(80)).await;
    // The server answers only the first request of a connection, so an answer requires a new one.
    run(&backend, 500).await.unwrap();
}

/// Guards against a call that is sent after it was cancelled: while it waited for a connection, or before it began.
#[tokio::test]
async fn cancelled_call_that_waits_for_a_connection_is_not_sent() {
    const HOLD_TIME: Duration = Duration::from_millis(400);
    let backend = Backend::at(&scripted_server(vec![None, None]).await, options());
    let holder = backend.clone();
    let holding = tokio::spawn(async move { run(&holder, HOLD_TIME.as_millis() as u64).await });
    tokio::time::sleep(HOLD_TIME / 4).await;
    for cancelled_after in [HOLD_TIME / 4, Duration::ZERO] {
        let req = http::Request::put("/fees").body(Bytes::new()).unwrap();
        let started = Instant::now();
        let call = backend.run_unless_cancelled(
            req,
            "c-2",
            started + 10 * HOLD_TIME,
            tokio::time::sleep(cancelled_after),
            || panic!("the cancelled call was sent"),
        );
        let err = call.await.unwrap_err();
        assert_matches!(err, Error::Cancelled { .. });
        assert!(err.is_not_run());
        assert!(started.elapsed() < HOLD_TIME / 2, "{:?}", started.elapsed());
    }
    assert_matches!(holding.await.unwrap(), Err(Error::DeadlineExceeded { .. }));
}

/// Guards against a call that is cut by a cancellation after it was sent.
#[tokio::test]
async fn cancellation_after_the_call_was_sent_does_not_end_it() {
    let peer = scripted_server(vec![Some("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na")]).await;
    let (tx, rx) = tokio::sync::oneshot::channel::<()>();
    let cancelled = async move {
        let _ = rx.await;
    };
    let req = http::Request::put("/fees").body(Bytes::new()).unwrap();
    let deadline = Instant::now() + Duration::from_secs(2);
    let on_send = move || tx.send(()).unwrap();
    let backend = Backend::at(&peer, options());
    let res = backend.run_unless_cancelled(req, "c-1", deadline, cancelled, on_send);
    assert_eq!(res.await.unwrap().body(), "a");
}

/// Answers the requests on one kept connection in turn, each with the next scripted bytes, and then closes it; later
/// connections are answered with `other`. Returns the address and the number of requests read on all of them.
async fn kept_connection_server(
    answers: Vec<String>,
    other: &'static str,
) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap().to_string();
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = requests.clone();
    tokio::spawn(async move {
        let mut answers = Some(answers);
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let answers = answers.take().unwrap_or_else(|| vec![other.to_owned()]);
            let counter = counter.clone();
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                for answer in answers {
                    if stream.read(&mut buf).await.unwrap_or(0) == 0 {
                        return;
                    }
                    counter.fetch_add(1, Ordering::Relaxed);
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    (peer, requests)
}

async fn run_id(backend: &Backend, id: &str) -> Result<Response<Bytes>, Error> {
    let req = http::Request::put("/fees").header("x-hitch-call-id", id);
    let req = req.body(Bytes::from_static(b"x")).unwrap();
    let deadline = Instant::now() + Duration::from_secs(2);
    backend.run(req, id, deadline, || ()).await
}

/// Guards against a refusal of an earlier call that is taken for the refusal of a later one on a kept connection.
#[tokio::test]
async fn repeated_refusal_is_not_the_answer_to_a_later_call() {
    let refusal =
        "HTTP/1.1 503 No\r\nx-hitch-call-id: c-1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let unnamed = "HTTP/1.1 503 No\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let answer = "HTTP/1.1 200 OK\r\nx-hitch-call-id: c-2\r\ncontent-length: 1\r\n\r\na";
    let both = |first: &str, second: &str| format!("{first}{second}");
    for (name, answers) in [
        (
            "before the later call",
            vec![both(refusal, refusal), answer.into()],
        ),
        (
            "in place of the answer",
            vec![refusal.into(), refusal.into()],
        ),
        (
            "ahead of the answer",
            vec![refusal.into(), both(refusal, answer)],
        ),
        (
            "without an id, before",
            vec![both(refusal, unnamed), answer.into()],
        ),
        (
            "without an id, ahead",
            vec![refusal.into(), both(unnamed, answer)],
        ),
        (
            "cut after the status",
            vec![refusal.into(), "HTTP/1.1 503 No\r\n".into()],
        ),
    ] {
        for (is_call_id_required, pause_ms) in [(true, 0), (true, 50), (false, 0), (false, 50)] {
            let (peer, requests) = kept_connection_server(answers.clone(), answer).await;
            let options = match is_call_id_required {
                true => Options {
                    is_call_id_required,
                    ..options()
                },
                false => Options {
                    refusal_header: Some("x-not-run".parse().unwrap()),
                    ..options()
                },
            };
            let backend = Backend::at(&peer, options);
            assert_eq!(
                run_id(&backend, "c-1").await.unwrap().status(),
                503,
                "{name}"
            );
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            match run_id(&backend, "c-2").await {
                Ok(res) => assert_eq!(res.status(), 200, "{name}"),
                Err(err) => assert!(!err.is_not_run(), "{name}: {err}"),
            }
            assert_eq!(requests.load(Ordering::Relaxed), 2, "{name}");
        }
    }
}

/// Guards against a success made of an answer that ended within its head.
#[tokio::test]
async fn answer_that_ends_within_its_head_is_an_error() {
    let head =
        "HTTP/1.1 200 OK\r\nx-hitch-call-id: c-1\r\nx-signature: s\r\ncontent-length: 1\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\nx-hitch-call-id: c-1\r\ntransfer-encoding: chunked\r\n\r\n";
    let old = "HTTP/1.0 200 OK\r\nx-hitch-call-id: c-1\r\nx-signature: s\r\n\r\n";
    let interim = format!("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n{head}");
    let bare = head.replace("\r\n", "\n");
    for head in [head, chunked, &old[..old.len()], &interim, &bare] {
        for length in 0..head.len() {
            let cut: &'static str = Box::leak(head[..length].to_owned().into_boxed_str());
            let backend = Backend::at(&scripted_server(vec![Some(cut)]).await, options());
            let result = run(&backend, 2_000).await;
            let err = result.expect_err(&format!("{cut:?} was taken for an answer"));
            assert!(!err.is_not_run(), "{cut:?}: {err}");
        }
    }
}
