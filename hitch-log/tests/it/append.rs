//! Tests of appending.

use assert_matches::assert_matches;
use hitch_log::append::Error;

use crate::answer;
use crate::scripted;

/// Guards against a lost, late or damaged answer that is taken for "not appended".
#[tokio::test]
async fn append_without_a_whole_answer_is_ambiguous() {
    let short = "HTTP/1.1 201 X\r\ncontent-length: 99\r\n\r\n{\"offset\"";
    let scripts = [
        "".to_owned(),
        "hold".to_owned(),
        short.to_owned(),
        answer(201, "{}"),
        answer(500, ""),
    ];
    for script in scripts {
        let client = scripted(vec![script.clone()]).await;
        let err = client.append("config", "x".into()).await.unwrap_err();
        assert_matches!(err, Error::Ambiguous { .. }, "answer {script:?}");
        assert!(!err.is_not_appended());
    }
}

/// Guards against a refusal that is taken for an ambiguous append, which would block the writer.
#[tokio::test]
async fn refusals_are_certain() {
    let answers = vec![answer(429, ""), answer(503, ""), answer(413, "too large")];
    let client = scripted(answers).await;
    let limited = client.append("config", "x".into()).await;
    assert_matches!(limited, Err(Error::RateLimited { .. }));
    let outage = client.append("config", "x".into()).await;
    assert_matches!(outage, Err(Error::Outage { .. }));
    let refused = client.append("config", "x".into()).await;
    assert_matches!(refused, Err(Error::Refused { status: 413, .. }));
}

/// Guards against errors that do not tell where they arose.
#[tokio::test]
async fn error_names_step_and_peer() {
    let client = scripted(vec![answer(503, "")]).await;
    let err = client.append("config", "x".into()).await.unwrap_err();
    let text = err.to_string();
    assert!(text.contains("read answer of"), "{text}");
    assert!(text.contains(client.peer()), "{text}");
}
