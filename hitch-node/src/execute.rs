//! Execution of calls on the local backend server.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use hitch_admin::recorder::Subject;
use hitch_admission::Finished;
use hitch_admission::Reason;
use hitch_edge::Backend;
use hitch_edge::backend::Error;
use hitch_edge::header;
use hitch_event::Kind;
use hitch_proto::peer::CallReply;
use hitch_proto::peer::CallRequest;
use hitch_retry::NotRun;
use hitch_retry::Outcome;
use hitch_retry::Unknown;
use http::Request;
use http::Response;
use tokio::time::Instant;

use crate::crash_suspects;
use crate::gate::Permit;
use crate::node::Node;
use crate::reply;
use crate::reply::insert;

/// Header with which a backend server marks a call that it refused before it ran any of it.
pub(crate) const SHED: &str = "x-hitch-shed";

/// Result of one attempt on the local backend server.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Reply to the sender of the call.
    pub(crate) reply: CallReply,
    /// Whether any byte of the call may have reached the backend server.
    pub(crate) dispatched: bool,
}

impl Attempt {
    fn not_run(reason: NotRun) -> Attempt {
        Attempt {
            reply: reply::failure(Outcome::NotRun(reason)),
            dispatched: false,
        }
    }
}

/// Waits for a slot and runs the call once. Dropping the future removes the call from the queue or
/// cancels it.
pub(crate) async fn attempt(node: &Arc<Node>, req: &CallRequest, deadline: Instant) -> Attempt {
    let Some((gate, backend)) = node.gate_and_backend() else {
        return Attempt::not_run(NotRun::NotReady);
    };
    if !node.admit(&req.customer, &req.rank) {
        return Attempt::not_run(NotRun::OverAdmit);
    }
    let permit = match gate
        .acquire(&req.rank, node.time.since_start(deadline))
        .await
    {
        Ok(permit) => permit,
        Err(reason) => return Attempt::not_run(not_run_reason(reason)),
    };
    let tracked = match crash_suspects::begin(node, req, deadline).await {
        Ok(tracked) => tracked,
        Err(reason) => return Attempt::not_run(reason),
    };
    let subject = Subject {
        version: req.version,
        call_id: &req.call_id,
    };
    node.recorder.record(
        Kind::Running,
        subject,
        "execute: sent to the backend server",
    );
    let dispatched = AtomicBool::new(false);
    let started_at = Instant::now();
    let on_dispatch = || dispatched.store(true, Ordering::Relaxed);
    let result = tokio::select! {
        result = call(&backend, req, deadline, on_dispatch) => result,
        () = permit.cancelled() => Err(Error::DeadlineExceeded { peer: "backend server".into() }),
    };
    // The call may be cancelled before its first byte was sent, while it waits for a connection.
    let dispatched =
        dispatched.load(Ordering::Relaxed) && !result.as_ref().is_err_and(Error::is_not_run);
    tracked
        .end(result.is_ok(), result.as_ref().is_err_and(Error::is_crash))
        .await;
    finish_permit(permit, started_at, &result);
    to_attempt(result, dispatched)
}

fn finish_permit(permit: Permit, started_at: Instant, result: &Result<Response<Bytes>, Error>) {
    permit.finish(match result {
        Ok(res) if is_shed(res) => Finished::Shed,
        Ok(res) if res.status().is_server_error() => Finished::Failed,
        Ok(_) => Finished::Answered {
            latency: started_at.elapsed(),
        },
        Err(Error::DeadlineExceeded { .. }) => Finished::Cancelled,
        Err(_) => Finished::Failed,
    });
}

fn is_shed(res: &Response<Bytes>) -> bool {
    res.status() == http::StatusCode::SERVICE_UNAVAILABLE && res.headers().contains_key(SHED)
}

fn to_attempt(result: Result<Response<Bytes>, Error>, dispatched: bool) -> Attempt {
    let err = match result {
        Ok(res) if is_shed(&res) => return Attempt::not_run(NotRun::QueueFull),
        Ok(res) => {
            return Attempt {
                reply: reply::answer(res),
                dispatched,
            };
        }
        Err(err) => err,
    };
    if !dispatched {
        let reason = match err {
            Error::Connect { .. } => NotRun::BackendRefused,
            _ => NotRun::Deadline,
        };
        return Attempt::not_run(reason);
    }
    let reason = match err {
        Error::IncompleteAnswer { .. } => Unknown::ShortAnswer,
        Error::WrongCallId { .. } => Unknown::CrossedAnswer,
        Error::InvalidStatus { .. } => Unknown::BackendFailed,
        Error::DeadlineExceeded { .. } => Unknown::Deadline,
        Error::ConnectionLost { .. }
        | Error::Connect { .. }
        | Error::NoFreeConnection { .. }
        | Error::Cancelled { .. } => Unknown::ConnectionLost,
    };
    let reply = reply::failure(Outcome::Unknown(reason));
    Attempt { reply, dispatched }
}

fn not_run_reason(reason: Reason) -> NotRun {
    match reason {
        Reason::Deadline => NotRun::Deadline,
        Reason::Draining => NotRun::Draining,
        Reason::UnknownRank => NotRun::Malformed,
        Reason::Target | Reason::Full | Reason::Evicted => NotRun::QueueFull,
    }
}

async fn call(
    backend: &Backend,
    req: &CallRequest,
    deadline: Instant,
    on_dispatch: impl FnOnce(),
) -> Result<Response<Bytes>, Error> {
    let peer = || Box::from("backend server");
    let head = Request::builder()
        .method(req.method.as_str())
        .uri(req.path_and_query.as_str());
    let mut http_req = head.body(req.body.clone()).map_err(|err| Error::Connect {
        refused: false,
        peer: peer(),
        detail: err.to_string().into(),
    })?;
    let remaining = deadline.saturating_duration_since(Instant::now());
    let headers = http_req.headers_mut();
    reply::from_wire(&req.headers, headers);
    insert(headers, "host", "backend");
    insert(headers, header::CUSTOMER, &req.customer);
    insert(headers, header::RANK, &req.rank);
    insert(
        headers,
        header::DEADLINE_MS,
        &remaining.as_millis().to_string(),
    );
    insert(headers, header::DEPTH, &(req.depth + 1).to_string());
    insert(
        headers,
        header::RETRY_BUDGET,
        &req.retry_budget_milli.to_string(),
    );
    insert(headers, header::CALL_ID, &req.call_id);
    if !req.key.is_empty() {
        insert(headers, header::IDEMPOTENCY_KEY, &req.key);
    }
    backend
        .run(http_req, &req.call_id, deadline, on_dispatch)
        .await
}
