//! Ingress of calls: checks a call that enters the mesh here against its contract, routes and
//! forwards it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hitch_edge::caller::Head;
use hitch_proto::peer::CallReply;
use hitch_proto::peer::CallRequest;
use hitch_retry::NotRun;
use hitch_retry::Outcome;
use hitch_route::table;
use http::HeaderMap;
use tokio::time::Instant;
use uuid::Uuid;

use crate::catch_up;
use crate::forward;
use crate::node::Node;
use crate::peers::Class;
use crate::reply;
use crate::time::wall_ms;

/// A call received from a caller or from the local backend server.
#[derive(Debug)]
pub struct IncomingCall<'a> {
    /// Time of receipt, from which the deadline counts.
    pub arrived: Instant,
    /// Validated head of the request.
    pub head: Head,
    /// Identifier of the call.
    pub call_id: Box<str>,
    /// HTTP method.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Path with the query.
    pub path_and_query: &'a str,
    /// All headers, including those of the mesh.
    pub headers: &'a HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Routes and forwards a call, and returns the reply with its answer or with the reason why there
/// is none.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>, call: hitch_node::ingress::IncomingCall<'_>) {
/// let reply = hitch_node::ingress::serve(&node, call).await;
/// # }
/// ```
pub async fn serve(node: &Arc<Node>, call: IncomingCall<'_>) -> CallReply {
    if let Err(reason) = catch_up::if_disconnected(node).await {
        return reply::failure(Outcome::NotRun(reason));
    }
    let routed = match route(node, &call) {
        Ok(routed) => routed,
        Err(reason) => return reply::failure(Outcome::NotRun(reason)),
    };
    let deadline = call.arrived + routed.deadline;
    forward::run(
        node,
        routed.req,
        routed.class,
        deadline,
        call.head.retry_budget,
    )
    .await
}

struct RoutedCall {
    req: CallRequest,
    class: Class,
    deadline: Duration,
}

fn route(node: &Node, call: &IncomingCall<'_>) -> Result<RoutedCall, NotRun> {
    if !node.is_configured() {
        return Err(NotRun::NotReady);
    }
    let table = node.table();
    let found = table.try_find(&call.head.customer, call.method, call.path);
    let target = found.map_err(not_run_reason)?;
    let ranks = &target.contract.ranks;
    let rank = table::try_rank(ranks, &call.head.rank).ok_or(NotRun::Malformed)?;
    if !target.route.idempotent && node.is_refused_as_stale(target.contract) {
        return Err(NotRun::Stale);
    }
    let key = match target.route.idempotent {
        true => "".into(),
        false => key(call.head.idempotency_key.as_deref())?,
    };
    let req = CallRequest {
        stamp: None,
        call_id: call.call_id.to_string(),
        customer: call.head.customer.to_string(),
        rank: call.head.rank.to_string(),
        service: target.route.service.to_string(),
        method: call.method.to_owned(),
        path_and_query: call.path_and_query.to_owned(),
        headers: reply::to_wire(call.headers),
        body: call.body.clone(),
        depth: call.head.depth,
        idempotent: target.route.idempotent,
        key,
        version: table.version(),
        from_instance: node.settings.instance.to_string(),
        ..Default::default()
    };
    let urgent = rank < ranks.len().div_ceil(2);
    let class = if urgent { Class::Urgent } else { Class::Other };
    Ok(RoutedCall {
        req,
        class,
        deadline: call.head.remaining_time.min(target.route.deadline),
    })
}

fn not_run_reason(err: table::Error) -> NotRun {
    match err {
        table::Error::UnknownCustomer => NotRun::UnknownCustomer,
        table::Error::NoRoute | table::Error::WrongMethod => NotRun::NoRoute,
        table::Error::Inactive => NotRun::NoBackendServer,
    }
}

/// Checks the caller's idempotency key, or generates one for a call without a key.
///
/// A generated key protects only against duplicate runs through retries of the mesh.
fn key(key: Option<&str>) -> Result<String, NotRun> {
    let Some(key) = key else {
        return Ok(Uuid::now_v7().to_string());
    };
    let parsed = hitch_once::Key::parse(key).map_err(|_| NotRun::InvalidKey)?;
    parsed
        .check_timestamp(wall_ms())
        .map_err(|_| NotRun::InvalidKey)?;
    Ok(key.to_owned())
}
