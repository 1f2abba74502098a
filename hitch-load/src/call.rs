//! One attempt of a call and the classification of its answer.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hitch_standin_backend::Answer;
use hitch_standin_backend::header;
use http::HeaderValue;
use http::Request;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::Full;
use serde::Deserialize;

use crate::plan::Stream;
use crate::pool;
use crate::pool::Failure;
use crate::pool::Pool;

/// Media type of the problem details with which a node answers a call that failed.
const PROBLEM_TYPE: &[u8] = b"application/problem+json";
/// Time after the deadline during which an answer is still accepted.
pub(crate) const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outcome {
    /// It was answered completely with status 2xx.
    Answered,
    /// It was refused and reported as not run, or it could not be sent.
    NotRun,
    /// It may or may not have run.
    Unknown,
    /// It was answered with an error that does not state whether the call was run, or its request
    /// is malformed.
    Other,
    /// It received the answer to another call.
    Wrong,
}

/// Outcome of an attempt; the reason is empty for an answered one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AttemptResult {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Box<str>,
}

/// Key, call id and body of a call, which stay the same in all its attempts.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    /// Idempotency key.
    pub(crate) key: Option<Box<str>>,
    /// Call id, for calls without a node.
    pub(crate) call_id: Option<Box<str>>,
    pub(crate) body: Bytes,
    pub(crate) body_hash: Box<str>,
}

/// Fields of the problem details that a node sends.
#[derive(Deserialize)]
struct Problem {
    outcome: Option<Box<str>>,
    reason: Option<Box<str>>,
}

/// Makes one attempt of a call; waits for the answer until the deadline plus `ANSWER_GRACE`.
pub(crate) async fn attempt(
    pool: &Pool,
    stream: &Stream,
    identity: &Identity,
    deadline: Instant,
) -> AttemptResult {
    let remaining = deadline.saturating_duration_since(Instant::now());
    // Waiting for a connection takes time, so the remaining time that is sent is computed
    // afterwards.
    let build = || {
        let remaining = deadline.saturating_duration_since(Instant::now());
        request(pool, stream, identity, remaining)
    };
    match tokio::time::timeout(remaining + ANSWER_GRACE, pool.exchange(remaining, build)).await {
        Ok(Ok(answer)) => classify(stream, identity, &answer),
        Ok(Err(Failure::NoFreeConnection)) => result(Outcome::NotRun, "no free connection in time"),
        Ok(Err(Failure::ConnectFailed)) => result(Outcome::NotRun, "connect"),
        Ok(Err(Failure::MalformedRequest)) => result(Outcome::Other, "malformed request"),
        Ok(Err(Failure::ConnectionLost)) => result(Outcome::Unknown, "connection broken"),
        Err(_) => result(Outcome::Unknown, "timeout"),
    }
}

fn request(
    pool: &Pool,
    stream: &Stream,
    identity: &Identity,
    remaining: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut req = Request::builder()
        .method(&*stream.method)
        .uri(&*stream.path)
        .header(HOST, pool.target.to_string())
        .header(header::CUSTOMER, &*stream.customer)
        .header(header::RANK, &*stream.rank)
        .header(
            header::DEADLINE_MS,
            remaining.as_millis().max(1).to_string(),
        );
    if let Some(key) = &identity.key {
        req = req.header(header::IDEMPOTENCY_KEY, &**key);
    }
    if let Some(call_id) = &identity.call_id {
        req = req.header(header::CALL_ID, &**call_id);
    }
    if let Some(work_ms) = stream.work_ms {
        req = req.header(header::WORK_MS, work_ms);
    }
    for (name, value) in &stream.headers {
        req = req.header(&**name, &**value);
    }
    req.body(Full::new(identity.body.clone())).ok()
}

fn result(outcome: Outcome, reason: impl Into<Box<str>>) -> AttemptResult {
    let reason = reason.into();
    AttemptResult { outcome, reason }
}

fn classify(stream: &Stream, identity: &Identity, answer: &pool::Answer) -> AttemptResult {
    if answer.status.is_success() {
        return match answers_call(stream, identity, &answer.body) {
            true => result(Outcome::Answered, ""),
            false => result(Outcome::Wrong, "answer to another call"),
        };
    }
    if answer.headers.get(header::SHED).is_some() {
        return result(Outcome::NotRun, "shed");
    }
    let status = answer.status.as_u16();
    let content_type = answer.headers.get(CONTENT_TYPE);
    let is_problem = |value: &HeaderValue| value.as_bytes().starts_with(PROBLEM_TYPE);
    if !content_type.is_some_and(is_problem) {
        return result(Outcome::Other, format!("status {status}"));
    }
    let Ok(problem) = serde_json::from_slice::<Problem>(&answer.body) else {
        return result(Outcome::Other, format!("status {status}, broken problem"));
    };
    let reason = problem.reason.unwrap_or_else(|| "no reason".into());
    match problem.outcome.as_deref() {
        Some("not-run") => result(Outcome::NotRun, reason),
        Some("unknown") => result(Outcome::Unknown, reason),
        _ => result(Outcome::Other, reason),
    }
}

/// Returns whether an answer of the stand-in backend server belongs to this call.
fn answers_call(stream: &Stream, identity: &Identity, body: &[u8]) -> bool {
    let Ok(answer) = serde_json::from_slice::<Answer>(body) else {
        return false;
    };
    let path = stream.path.split('?').next().unwrap_or_default();
    let call_id_matches = identity.call_id.is_none() || answer.call_id == identity.call_id;
    call_id_matches && answer.body_hash == identity.body_hash && &*answer.path == path
}
