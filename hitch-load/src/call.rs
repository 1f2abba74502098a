//! One attempt at a call and the judgement of its answer.

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

/// Media type of a refusal by a node.
const PROBLEM_TYPE: &[u8] = b"application/problem+json";
/// Time after the deadline for which an answer is awaited.
pub(crate) const GRACE: Duration = Duration::from_millis(500);

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outcome {
    /// A whole answer to this call with status 2xx.
    Answered,
    /// Refused, and said not to have run; or it could not be sent.
    NotRun,
    /// It may or may not have run.
    Unknown,
    /// Another answer to this call.
    Other,
    /// The answer to another call.
    Wrong,
}

/// Outcome and its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Judgement {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Box<str>,
}

/// What identifies one call over all its attempts.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) key: Option<Box<str>>,
    pub(crate) call_id: Option<Box<str>>,
    pub(crate) body: Bytes,
    pub(crate) body_hash: Box<str>,
}

#[derive(Deserialize)]
struct Problem {
    outcome: Option<Box<str>>,
    reason: Option<Box<str>>,
}

/// Sends a call once; `due` is its deadline.
pub(crate) async fn attempt(
    pool: &Pool,
    stream: &Stream,
    identity: &Identity,
    due: Instant,
) -> Judgement {
    let left = due.saturating_duration_since(Instant::now());
    let make = || {
        let left = due.saturating_duration_since(Instant::now());
        request(pool, stream, identity, left)
    };
    match tokio::time::timeout(left + GRACE, pool.exchange(left, make)).await {
        Ok(Ok(answer)) => judge(stream, identity, &answer),
        Ok(Err(Failure::NoConnection)) => judgement(Outcome::NotRun, "no free connection in time"),
        Ok(Err(Failure::Connect)) => judgement(Outcome::NotRun, "connect"),
        Ok(Err(Failure::Malformed)) => judgement(Outcome::Other, "malformed request"),
        Ok(Err(Failure::Broken)) => judgement(Outcome::Unknown, "connection broken"),
        Err(_) => judgement(Outcome::Unknown, "timeout"),
    }
}

fn request(
    pool: &Pool,
    stream: &Stream,
    identity: &Identity,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut req = Request::builder()
        .method(&*stream.method)
        .uri(&*stream.path)
        .header(HOST, pool.target.to_string())
        .header(header::CUSTOMER, &*stream.customer)
        .header(header::RANK, &*stream.rank)
        .header(header::DEADLINE_MS, left.as_millis().max(1).to_string());
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

fn judgement(outcome: Outcome, reason: impl Into<Box<str>>) -> Judgement {
    let reason = reason.into();
    Judgement { outcome, reason }
}

fn judge(stream: &Stream, identity: &Identity, answer: &pool::Answer) -> Judgement {
    if answer.status.is_success() {
        return match is_own(stream, identity, &answer.body) {
            true => judgement(Outcome::Answered, ""),
            false => judgement(Outcome::Wrong, "answer to another call"),
        };
    }
    if answer.headers.get(header::SHED).is_some() {
        return judgement(Outcome::NotRun, "shed");
    }
    let status = answer.status.as_u16();
    let content_type = answer.headers.get(CONTENT_TYPE);
    let is_problem = |value: &HeaderValue| value.as_bytes().starts_with(PROBLEM_TYPE);
    if !content_type.is_some_and(is_problem) {
        return judgement(Outcome::Other, format!("status {status}"));
    }
    let Ok(problem) = serde_json::from_slice::<Problem>(&answer.body) else {
        return judgement(Outcome::Other, format!("status {status}, broken problem"));
    };
    let reason = problem.reason.unwrap_or_else(|| "no reason".into());
    match problem.outcome.as_deref() {
        Some("not-run") => judgement(Outcome::NotRun, reason),
        Some("unknown") => judgement(Outcome::Unknown, reason),
        _ => judgement(Outcome::Other, reason),
    }
}

/// Returns whether an answer of the backend stand-in belongs to this call.
fn is_own(stream: &Stream, identity: &Identity, body: &[u8]) -> bool {
    let Ok(answer) = serde_json::from_slice::<Answer>(body) else {
        return false;
    };
    let path = stream.path.split('?').next().unwrap_or_default();
    let own_id = identity.call_id.is_none() || answer.call_id == identity.call_id;
    own_id && answer.body_hash == identity.body_hash && &*answer.path == path
}
