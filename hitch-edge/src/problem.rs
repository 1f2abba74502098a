//! Responses to callers for calls that were refused or have an unknown outcome.

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

/// Media type of a problem response (RFC 9457).
pub const MEDIA_TYPE: &str = "application/problem+json";

/// What is known about the execution of the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The call was not run: no attempt of it was executed or will be.
    NotRun,
    /// The call may or may not have been executed.
    Unknown,
}

/// The body of a problem response (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// URN that identifies the kind of problem.
    #[serde(rename = "type")]
    pub kind: Box<str>,
    /// Short summary of the kind of problem.
    pub title: Box<str>,
    /// HTTP status code of the response.
    pub status: u16,
    /// What happened to this call.
    pub detail: Box<str>,
    /// Whether the call may have been executed.
    pub outcome: Outcome,
    /// Identifier of the reason, from a fixed list.
    pub reason: Box<str>,
    /// Identity of the call.
    pub call_id: Box<str>,
    /// Configuration version in force on the node.
    pub version: u64,
}

impl Problem {
    /// Creates a problem of the kind `urn:hitch:{reason}`, without a call id and version.
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

    /// Creates the HTTP response with the problem as its JSON body.
    ///
    /// ```
    /// # use hitch_edge::{Problem, problem::Outcome};
    /// let problem = Problem::new(503, Outcome::NotRun, "queue-full", "the queue is full");
    /// assert_eq!(problem.to_response().status(), 503);
    /// ```
    pub fn to_response(&self) -> Response<Bytes> {
        let body =
            serde_json::to_vec(self).expect("a problem contains no map with non-string keys");
        let mut res = Response::new(Bytes::from(body));
        *res.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let media_type = http::HeaderValue::from_static(MEDIA_TYPE);
        res.headers_mut()
            .insert(http::header::CONTENT_TYPE, media_type);
        res
    }
}
