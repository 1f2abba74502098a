//! The listener for operators.

use std::sync::Arc;

use hitch_roster::State as MemberState;
use serde::Serialize;
use tokio::net::TcpListener;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Router;
use viz::StatusCode;
use viz::types::State;

use crate::node::Node;
use crate::shards::lock;

/// State of a node, as `/status` shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Region of the instance.
    pub region: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// State that the node announces.
    pub state: &'static str,
    /// Whether the node serves calls.
    pub ready: bool,
    /// Why it does not, or empty.
    pub not_ready_reason: Box<str>,
    /// Version in force.
    pub version_in_force: u64,
    /// Newest accepted version that the node knows.
    pub version_known: u64,
    /// Offset after the last log record applied.
    pub next_offset: u64,
    /// Hash of the accepted state, as hexadecimal digits.
    pub state_hash: Box<str>,
    /// Time since the end of the log was last confirmed, in milliseconds.
    pub confirmed_age_ms: u64,
    /// When the version in force came into force, in milliseconds since the Unix epoch.
    pub in_force_at_ms: u64,
    /// Service of the backend server.
    pub service: Box<str>,
    /// Customer of the service.
    pub customer: Box<str>,
    /// Whether the backend server accepts connections.
    pub backend_up: bool,
    /// Bytes of control messages so far, sent and received.
    pub control_bytes: u64,
    /// Reads of the log so far.
    pub log_reads: u64,
    /// Contracts in force.
    pub contracts: Vec<Contract>,
    /// Services whose routes are inactive.
    pub inactive_routes: Vec<Box<str>>,
    /// Members of the roster.
    pub members: Vec<Member>,
}

/// A contract in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Contract {
    /// Name of the customer.
    pub customer: Box<str>,
    /// Version at which it was accepted.
    pub version: u64,
    /// The contract as published.
    pub text: Box<str>,
}

/// A member of the roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Service of the backend server beside the node.
    pub service: Box<str>,
    /// State of the member.
    pub state: &'static str,
    /// Address of the admin listener.
    pub admin: Box<str>,
    /// Address of the peer listener.
    pub address: Box<str>,
}

/// Serves operators until `stop` resolves.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) -> std::io::Result<()> {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:7103").await?;
/// hitch_node::listener::admin::serve(node, listener, std::future::pending()).await
/// # }
/// ```
pub async fn serve(
    node: Arc<Node>,
    listener: TcpListener,
    stop: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let router = Router::new()
        .get("/healthz", healthz)
        .get("/readyz", readyz)
        .get("/metrics", metrics)
        .get("/status", status)
        .get("/events", events)
        .post("/drain", drain)
        .with(State::new(node));
    viz::Server::new(listener, router).signal(stop).await
}

fn node(req: &Request) -> Arc<Node> {
    req.state().expect("the router carries the node")
}

fn response(status: StatusCode, media_type: &'static str, body: String) -> Response {
    let mut res = Response::new(viz::Body::Full(body.into()));
    *res.status_mut() = status;
    let value = http::HeaderValue::from_static(media_type);
    res.headers_mut().insert(http::header::CONTENT_TYPE, value);
    res
}

async fn healthz(_req: Request) -> viz::Result<Response> {
    Ok(response(StatusCode::OK, "text/plain", "ok\n".to_owned()))
}

async fn readyz(req: Request) -> viz::Result<Response> {
    let reason = node(&req).not_ready_reason();
    Ok(match reason {
        None => response(StatusCode::OK, "text/plain", "ready\n".to_owned()),
        Some(reason) => response(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            format!("{reason}\n"),
        ),
    })
}

async fn metrics(req: Request) -> viz::Result<Response> {
    let node = node(&req);
    let load = node.load();
    node.metrics.queued.set(load.queued.into());
    node.metrics.running.set(load.running.into());
    node.metrics
        .members
        .set(lock(&node.board.roster).live_count() as u64);
    node.metrics.version_in_force.set(node.table().version());
    let media_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    Ok(response(StatusCode::OK, media_type, node.metrics.to_text()))
}

async fn status(req: Request) -> viz::Result<Response> {
    let status = to_status(&node(&req));
    let body = serde_json::to_string(&status).expect("a status has text keys only");
    Ok(response(StatusCode::OK, "application/json", body))
}

async fn events(req: Request) -> viz::Result<Response> {
    let mut body = String::new();
    for event in node(&req).recorder.events() {
        let line = serde_json::to_string(&event).expect("an event has text keys only");
        body.push_str(&line);
        body.push('\n');
    }
    Ok(response(StatusCode::OK, "application/x-ndjson", body))
}

async fn drain(req: Request) -> viz::Result<Response> {
    node(&req).drain();
    Ok(response(
        StatusCode::ACCEPTED,
        "text/plain",
        "draining\n".to_owned(),
    ))
}

fn to_status(node: &Node) -> Status {
    let settings = &node.settings;
    let mut status = Status {
        instance: settings.instance.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        state: "",
        ready: false,
        not_ready_reason: "".into(),
        version_in_force: 0,
        version_known: 0,
        next_offset: 0,
        state_hash: "".into(),
        confirmed_age_ms: node.confirmed_age().as_millis() as u64,
        in_force_at_ms: 0,
        service: settings.backend.service.clone(),
        customer: settings.backend.customer.clone(),
        backend_up: lock(&node.board.own).backend_up,
        control_bytes: node.metrics.control_total(),
        log_reads: node.metrics.log_reads.get(),
        contracts: Vec::new(),
        inactive_routes: Vec::new(),
        members: Vec::new(),
    };
    let reason = node.not_ready_reason();
    status.ready = reason.is_none();
    status.not_ready_reason = reason.unwrap_or_default().into();
    let table = node.table();
    status.version_in_force = table.version();
    status.inactive_routes = table.inactive().map(Box::from).collect();
    add_config(node, &mut status);
    add_members(node, &mut status);
    status
}

fn add_config(node: &Node, status: &mut Status) {
    let config = lock(&node.board.config);
    status.version_known = config.state.version();
    status.next_offset = config.state.next_offset();
    status.state_hash = format!("{:016x}", config.state.hash()).into();
    status.in_force_at_ms = config.in_force_at_ms;
    for (customer, accepted) in config.state.customers() {
        status.contracts.push(Contract {
            customer: customer.into(),
            version: accepted.version,
            text: accepted.text.clone(),
        });
    }
}

fn add_members(node: &Node, status: &mut Status) {
    let roster = lock(&node.board.roster);
    status.state = state_name(roster.own().state);
    for (_, member) in roster.members() {
        status.members.push(Member {
            instance: member.contact.instance.clone(),
            zone: member.contact.zone.clone(),
            service: member.contact.service.clone(),
            state: state_name(member.state),
            admin: member.contact.admin.clone(),
            address: member.contact.address.clone(),
        });
    }
    drop(roster);
    status.members.sort_by(|a, b| a.instance.cmp(&b.instance));
}

/// Returns the name of a member's state.
pub(crate) fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Starting => "starting",
        MemberState::Ready => "ready",
        MemberState::Draining => "draining",
        MemberState::Suspect => "suspect",
        MemberState::Gone => "gone",
    }
}
