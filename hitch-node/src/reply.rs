//! Replies between nodes, and their conversion to responses for callers.

use bytes::Bytes;
use hitch_edge::Problem;
use hitch_edge::header;
use hitch_edge::problem;
use hitch_proto::peer::CallReply;
use hitch_proto::peer::Header;
use hitch_proto::peer::Outcome as WireOutcome;
use hitch_retry::NotRun;
use hitch_retry::Outcome;
use hitch_retry::Unknown;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;

/// Creates the reply to a call that the backend server did not answer.
///
/// ```
/// use hitch_retry::NotRun;
/// use hitch_retry::Outcome;
///
/// let reply = hitch_node::reply::failure(Outcome::NotRun(NotRun::QueueFull));
/// assert_eq!(hitch_node::reply::outcome(&reply), Outcome::NotRun(NotRun::QueueFull));
/// ```
pub fn failure(outcome: Outcome) -> CallReply {
    let wire = match outcome {
        Outcome::Answered => WireOutcome::Answered,
        Outcome::NotRun(_) => WireOutcome::NotRun,
        Outcome::Unknown(_) => WireOutcome::Unknown,
    };
    CallReply {
        outcome: wire.into(),
        reason: outcome.reason().to_owned(),
        ..Default::default()
    }
}

/// Creates the reply that carries the answer of the backend server.
///
/// ```
/// let answer = http::Response::new(bytes::Bytes::from("ok"));
/// let reply = hitch_node::reply::answer(answer);
/// assert_eq!(hitch_node::reply::outcome(&reply), hitch_retry::Outcome::Answered);
/// ```
pub fn answer(answer: Response<Bytes>) -> CallReply {
    let (parts, body) = answer.into_parts();
    CallReply {
        outcome: WireOutcome::Answered.into(),
        status: parts.status.as_u16().into(),
        headers: to_wire(&parts.headers),
        body,
        ..Default::default()
    }
}

/// Returns the outcome of a reply. A missing outcome counts as unknown.
///
/// ```
/// let reply = hitch_proto::peer::CallReply::default();
/// assert!(matches!(hitch_node::reply::outcome(&reply), hitch_retry::Outcome::Unknown(_)));
/// ```
pub fn outcome(reply: &CallReply) -> Outcome {
    match reply.outcome() {
        WireOutcome::Answered => Outcome::Answered,
        WireOutcome::NotRun => {
            let reason = NotRun::try_from_name(&reply.reason);
            // A newer node may send reasons that this one does not know.
            Outcome::NotRun(reason.unwrap_or(NotRun::QueueFull))
        }
        WireOutcome::Unknown | WireOutcome::Unspecified => {
            let reason = Unknown::try_from_name(&reply.reason);
            Outcome::Unknown(reason.unwrap_or(Unknown::ConnectionLost))
        }
    }
}

/// Converts headers to those of the peer protocol, without hop-by-hop headers.
///
/// ```
/// assert!(hitch_node::reply::to_wire(&http::HeaderMap::new()).is_empty());
/// ```
pub fn to_wire(headers: &HeaderMap) -> Vec<Header> {
    let mut out = Vec::new();
    for (name, value) in header::end_to_end(headers) {
        out.push(Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        });
    }
    out
}

/// Appends headers of the peer protocol to `headers`, and skips those that are not valid.
///
/// ```
/// let mut headers = http::HeaderMap::new();
/// hitch_node::reply::from_wire(&[], &mut headers);
/// assert!(headers.is_empty());
/// ```
pub fn from_wire(wire: &[Header], headers: &mut HeaderMap) {
    for header in wire {
        let Ok(name) = HeaderName::from_bytes(header.name.as_bytes()) else {
            continue;
        };
        let Ok(value) = HeaderValue::from_bytes(&header.value) else {
            continue;
        };
        headers.append(name, value);
    }
}

/// Converts a reply to the response for the caller.
///
/// ```
/// use hitch_retry::NotRun;
/// use hitch_retry::Outcome;
///
/// let reply = hitch_node::reply::failure(Outcome::NotRun(NotRun::OverAdmit));
/// let res = hitch_node::reply::to_response(reply, "c-1", 7);
/// assert_eq!(res.status(), 429);
/// ```
pub fn to_response(reply: CallReply, call_id: &str, version: u64) -> Response<Bytes> {
    let outcome = outcome(&reply);
    let mut res = match outcome {
        Outcome::Answered => {
            let mut res = Response::new(reply.body);
            *res.status_mut() = StatusCode::from_u16(reply.status as u16)
                .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            from_wire(&reply.headers, res.headers_mut());
            res
        }
        Outcome::NotRun(_) | Outcome::Unknown(_) => {
            problem(outcome, detail(outcome), call_id, version).to_response()
        }
    };
    if let Ok(value) = HeaderValue::from_str(call_id) {
        res.headers_mut().insert(header::CALL_ID, value);
    }
    res
}

/// Creates the problem document that describes an outcome to the caller.
///
/// ```
/// use hitch_retry::NotRun;
/// use hitch_retry::Outcome;
///
/// let outcome = Outcome::NotRun(NotRun::NoRoute);
/// let problem = hitch_node::reply::problem(outcome, "no route matches the path", "c-1", 7);
/// assert_eq!(problem.status, 404);
/// ```
pub fn problem(outcome: Outcome, detail: impl ToString, call_id: &str, version: u64) -> Problem {
    let problem_outcome = match outcome {
        Outcome::NotRun(_) => problem::Outcome::NotRun,
        Outcome::Answered | Outcome::Unknown(_) => problem::Outcome::Unknown,
    };
    let mut problem = Problem::new(status(outcome), problem_outcome, outcome.reason(), detail);
    problem.call_id = call_id.into();
    problem.version = version;
    problem
}

fn status(outcome: Outcome) -> u16 {
    match outcome {
        Outcome::Answered => 200,
        Outcome::NotRun(reason) => match reason {
            NotRun::OverAdmit => 429,
            NotRun::Deadline => 504,
            NotRun::InvalidKey | NotRun::Malformed | NotRun::TooDeep => 400,
            NotRun::KeyReused => 422,
            NotRun::UnknownCustomer | NotRun::NoRoute => 404,
            _ => 503,
        },
        Outcome::Unknown(Unknown::Deadline) => 504,
        Outcome::Unknown(_) => 502,
    }
}

fn detail(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "",
        Outcome::NotRun(reason) => not_run_detail(reason),
        Outcome::Unknown(reason) => unknown_detail(reason),
    }
}

fn not_run_detail(reason: NotRun) -> &'static str {
    match reason {
        NotRun::NoBackendServer => "no backend server of the service can be reached",
        NotRun::OverAdmit => "the customer's limit for this rank is used up",
        NotRun::QueueFull => "the queue at the backend server is full",
        NotRun::Deadline => "the deadline cannot be met",
        NotRun::Draining => "the backend server is leaving",
        NotRun::Stale => "the node is out of touch with the configuration",
        NotRun::CrashSuspect => "the request crashed backend servers before",
        NotRun::NotOwner => "another node owns the idempotency key",
        NotRun::NoOwner => "no node owns the idempotency key yet",
        NotRun::InvalidKey => "the idempotency key must be a UUIDv7 made lately",
        NotRun::KeyReused => "the idempotency key was used for another body",
        NotRun::BackendRefused => "the backend server accepts no calls",
        NotRun::CallerLeft => "the caller left before the call ran",
        NotRun::UnknownCustomer => "the customer has no contract",
        NotRun::NoRoute => "no route matches the method and path",
        NotRun::TooDeep => "more than 18 calls are above this one",
        NotRun::Malformed => "the request is malformed",
        NotRun::NotReady => "the node holds no configuration yet",
    }
}

fn unknown_detail(reason: Unknown) -> &'static str {
    match reason {
        Unknown::ConnectionLost => "the connection broke while the call ran",
        Unknown::ShortAnswer => "the answer ended early",
        Unknown::CrossedAnswer => "the answer belonged to another call",
        Unknown::Deadline => "the deadline passed while the call ran",
        Unknown::CallerLeft => "the caller left while the call ran",
        Unknown::OwnerLost => "the node that owned the idempotency key was lost",
        Unknown::KeyExpired => "the idempotency key is too old",
        Unknown::BackendFailed => "the backend server failed while it ran the call",
    }
}

/// Inserts a header, and skips it if its value is not valid.
pub(crate) fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
