//! Refusals as callers see them.

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

/// Media type of a refusal (RFC 9457).
pub const MEDIA_TYPE: &str = "application/problem+json";

/// What the caller may conclude from a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// This call was not run, and no earlier hand-over of it was.
    NotRun,
    /// The call may or may not have run.
    Unknown,
}

/// The body of a refusal (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Identifies the kind of problem.
    #[serde(rename = "type")]
    pub kind: Box<str>,
    /// Short summary of the kind of problem.
    pub title: Box<str>,
    /// HTTP status code.
    pub status: u16,
    /// What happened to this call.
    pub detail: Box<str>,
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// Why the call was refused, from the fixed list of reasons.
    pub reason: Box<str>,
    /// Identity of the call.
    pub call_id: Box<str>,
    /// Configuration version in force on the node.
    pub version: u64,
}

impl Problem {
    /// Makes a problem of the kind `reason`.
    ///
    /// ```
    /// use hitch_edge::Problem;
    /// use hitch_edge::problem::Outcome;
    ///
    /// let problem = Problem::new(503, Outcome::NotRun, "queue-full", "the queue is full");
    /// assert_eq!(&*problem.kind, "urn:hitch:queue-full");
    /// ```
    pub fn new(status: u16, outcome: Outcome, reason: &str, detail: impl ToString) -> Problem {
        let title = match outcome {
            Outcome::NotRun => "The call was not run",
            Outcome::Unknown => "The call may have run",
        };
        Problem {
            kind: format!("urn:hitch:{reason}").into(),
            title: title.into(),
            status,
            detail: detail.to_string().into(),
            outcome,
            reason: reason.into(),
            call_id: "".into(),
            version: 0,
        }
    }

    /// Makes the response that carries the problem.
    ///
    /// ```
    /// # use hitch_edge::{Problem, problem::Outcome};
    /// let problem = Problem::new(503, Outcome::NotRun, "queue-full", "the queue is full");
    /// assert_eq!(problem.to_response().status(), 503);
    /// ```
    pub fn to_response(&self) -> Response<Bytes> {
        let body =
            serde_json::to_vec(self).expect("a problem has no map with keys other than text");
        let mut res = Response::new(Bytes::from(body));
        *res.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let media_type = http::HeaderValue::from_static(MEDIA_TYPE);
        res.headers_mut()
            .insert(http::header::CONTENT_TYPE, media_type);
        res
    }
}
