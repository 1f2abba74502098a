//! The listener for callers.

use std::sync::Arc;

use bytes::Bytes;
use hitch_admin::recorder::Subject;
use hitch_edge::caller::Error;
use hitch_edge::caller::Head;
use hitch_edge::caller::MAX_BODY_BYTES;
use hitch_edge::caller::MAX_HEAD_BYTES;
use hitch_edge::request_body;
use hitch_edge::request_body::Unread;
use hitch_event::Kind;
use hitch_proto::peer::CallReply;
use hitch_retry::NotRun;
use hitch_retry::Outcome;
use http::Response;
use http::request::Parts;
use hyper_util::rt::TokioExecutor;
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;
use tokio::time::Instant;
use uuid::Uuid;
use viz::Request;
use viz::RequestExt;
use viz::Router;
use viz::types::State;

use super::bounded::BoundedListener;
use super::bounded::Caller;
use crate::ingress;
use crate::ingress::IncomingCall;
use crate::metrics::CallLabels;
use crate::node::Node;
use crate::reply;

/// Read buffer for the head of a request. Heads above [`MAX_HEAD_BYTES`] and below this size are
/// refused with a problem document; above it the HTTP library refuses them with status 431. The
/// limit on connections counts 48 KiB for each.
const HEAD_BUFFER_BYTES: usize = 32 * 1024;

/// Serves callers until `stop` resolves, and then until the last call in flight is answered.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) -> std::io::Result<()> {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:7101").await?;
/// hitch_node::listener::caller::serve(node, listener, std::future::pending()).await
/// # }
/// ```
pub async fn serve(
    node: Arc<Node>,
    listener: TcpListener,
    stop: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let router = Router::new().any("/*", handle).any("/", handle);
    let router = router.with(State::new(node.clone()));
    let listener = BoundedListener::new(node, listener)?;
    // HTTP/2 has many requests on a connection, which the limits of a connection do not cover.
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder.http1().max_buf_size(HEAD_BUFFER_BYTES);
    viz::Server::with_builder(listener, router, builder)
        .signal(stop)
        .await
}

async fn handle(req: Request) -> viz::Result<viz::Response> {
    let caller: Option<Arc<Caller>> = req.extensions().get().cloned().flatten();
    if let Some(caller) = &caller {
        caller.0.request_began();
    }
    let res = handle_request(req).await;
    if let Some(caller) = &caller {
        caller.0.request_ended();
    }
    res
}

async fn handle_request(mut req: Request) -> viz::Result<viz::Response> {
    let arrived = Instant::now();
    let node = req
        .state::<Arc<Node>>()
        .expect("the router state holds the node");
    let _guard = node.track_ingress();
    let body = req.incoming().ok();
    let (parts, ()) = std::mem::replace(&mut req, Request::new(viz::Body::empty()))
        .map(|_| ())
        .into_parts();
    let head = match check_head(&parts) {
        Ok(head) => head,
        Err(err) => return Ok(refuse(&node, &parts, not_run_reason(&err), &err)),
    };
    let body = match body {
        Some(body) => {
            let deadline = node.time.now() + head.remaining_time;
            request_body::read(&node.bounds, body, MAX_BODY_BYTES, deadline).await
        }
        None => Ok(Bytes::new()),
    };
    let body = match body {
        Ok(body) => body,
        Err(unread) => return Ok(refuse_body(&node, &parts, unread)),
    };
    let res = serve_call(&node, arrived, head, &parts, body).await;
    Ok(res.map(|body| viz::Body::Full(body.into())))
}

fn check_head(parts: &Parts) -> Result<Head, Error> {
    let mut bytes = parts.uri.to_string().len();
    for (name, value) in &parts.headers {
        // A header line has a colon, a space and a line end in addition to its name and value.
        bytes += name.as_str().len() + value.len() + 4;
    }
    if bytes > MAX_HEAD_BYTES {
        return Err(Error::Invalid {
            name: "head",
            value: format!("{bytes} bytes").into(),
            allowed: "at most 16384 bytes",
        });
    }
    Head::from_parts(parts)
}

fn not_run_reason(err: &Error) -> NotRun {
    match err {
        Error::TooDeep { .. } => NotRun::TooDeep,
        _ => NotRun::Malformed,
    }
}

/// Refuses a request whose body was not read. The connection ends with the answer, since the rest
/// of the body follows.
fn refuse_body(node: &Node, parts: &Parts, unread: Unread) -> viz::Response {
    let mut res = match unread {
        Unread::TooLarge => {
            let detail = "the body cannot be read: length limit exceeded";
            refuse(node, parts, NotRun::Malformed, detail)
        }
        Unread::NotWhole => {
            let detail = "the body cannot be read: it is not whole";
            refuse(node, parts, NotRun::Malformed, detail)
        }
        Unread::Limited(limit) => {
            node.report_limit(limit);
            let detail = format!("the body was not taken: {}", limit.label());
            refuse(node, parts, NotRun::QueueFull, detail)
        }
    };
    let close = http::HeaderValue::from_static("close");
    res.headers_mut().insert(http::header::CONNECTION, close);
    res
}

fn refuse(node: &Node, parts: &Parts, reason: NotRun, detail: impl ToString) -> viz::Response {
    let outcome = Outcome::NotRun(reason);
    let call_id = parts.headers.get(hitch_edge::header::CALL_ID);
    let call_id = call_id.and_then(|v| v.to_str().ok()).unwrap_or_default();
    let problem = reply::problem(outcome, detail, call_id, node.table().version());
    problem
        .to_response()
        .map(|body| viz::Body::Full(body.into()))
}

async fn serve_call(
    node: &Arc<Node>,
    arrived: Instant,
    head: Head,
    parts: &Parts,
    body: Bytes,
) -> Response<Bytes> {
    let call_id: Box<str> = match &head.call_id {
        Some(id) => id.clone(),
        None => Uuid::now_v7().to_string().into(),
    };
    let subject = Subject {
        version: node.table().version(),
        call_id: &call_id,
    };
    node.recorder.record(
        Kind::Arrived,
        subject,
        format!("caller: {} {}", parts.method, parts.uri.path()),
    );
    let labels = (head.customer.to_string(), head.rank.to_string());
    let call = IncomingCall {
        arrived,
        head,
        call_id: call_id.clone(),
        method: parts.method.as_str(),
        path: parts.uri.path(),
        path_and_query: parts.uri.path_and_query().map_or("/", |p| p.as_str()),
        headers: &parts.headers,
        body,
    };
    let reply = ingress::serve(node, call).await;
    complete(node, labels, arrived, &call_id, reply)
}

fn complete(
    node: &Node,
    labels: (String, String),
    arrived: Instant,
    call_id: &str,
    reply: CallReply,
) -> Response<Bytes> {
    let outcome = reply::outcome(&reply);
    let is_known = !matches!(
        outcome,
        Outcome::NotRun(NotRun::UnknownCustomer | NotRun::Malformed | NotRun::NotReady)
    );
    // Labels from callers without a contract would grow the metrics without bound.
    let (customer, rank) = if is_known { labels } else { Default::default() };
    let labels = CallLabels {
        customer,
        rank,
        outcome: outcome.name(),
        reason: outcome.reason(),
    };
    node.metrics.calls.get_or_create(&labels).inc();
    node.metrics
        .call_seconds
        .observe(arrived.elapsed().as_secs_f64());
    let kind = match outcome {
        Outcome::Answered => Kind::Answered,
        Outcome::NotRun(_) => Kind::NotRun,
        Outcome::Unknown(_) => Kind::Unknown,
    };
    let version = node.table().version();
    let text = format!("caller: {} {}", outcome.name(), outcome.reason());
    node.recorder
        .record(kind, Subject { version, call_id }, text.trim_end());
    reply::to_response(reply, call_id, version)
}
