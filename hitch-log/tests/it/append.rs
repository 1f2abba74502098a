//! Tests of appends.

use assert_matches::assert_matches;
use hitch_log::append::Error;

use crate::answer;
use crate::client_of_scripted_server;

/// Guards against reporting a record as not appended when the answer is missing, late, truncated or unexpected.
#[tokio::test]
async fn append_without_a_complete_answer_is_ambiguous() {
    let truncated = "HTTP/1.1 201 X\r\ncontent-length: 99\r\n\r\n{\"offset\"";
    let scripts = [
        "".to_owned(),
        "hold".to_owned(),
        truncated.to_owned(),
        answer(201, "{}"),
        answer(500, ""),
    ];
    for script in scripts {
        let client = client_of_scripted_server(vec![script.clone()]).await;
        let err = client.append("config", "x".into()).await.unwrap_err();
        assert_matches!(err, Error::Ambiguous { .. }, "answer {script:?}");
        assert!(!err.is_not_appended());
    }
}

/// Guards against reporting a refused append as ambiguous, which would block the writer.
#[tokio::test]
async fn refused_append_is_not_ambiguous() {
    let answers = vec![answer(429, ""), answer(503, ""), answer(413, "too large")];
    let client = client_of_scripted_server(answers).await;
    let limited = client.append("config", "x".into()).await;
    assert_matches!(limited, Err(Error::RateLimited { .. }));
    let outage = client.append("config", "x".into()).await;
    assert_matches!(outage, Err(Error::Outage { .. }));
    let refused = client.append("config", "x".into()).await;
    assert_matches!(refused, Err(Error::Refused { status: 413, .. }));
}

/// Guards against error messages that omit the failed step or the address of the log.
#[tokio::test]
async fn error_message_states_step_and_address() {
    let client = client_of_scripted_server(vec![answer(503, "")]).await;
    let err = client.append("config", "x".into()).await.unwrap_err();
    let text = err.to_string();
    assert!(text.contains("read answer of"), "{text}");
    assert!(text.contains(client.peer()), "{text}");
}
