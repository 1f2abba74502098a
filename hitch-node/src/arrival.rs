//! The first step of a call at the node at which it enters: its route and its limits.

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

/// A call that arrived from a caller or from the own backend server.
#[derive(Debug)]
pub struct Arrival<'a> {
    /// When the call arrived.
    pub arrived: Instant,
    /// The checked head.
    pub head: Head,
    /// Identity of the call.
    pub call_id: Box<str>,
    /// Method of the call.
    pub method: &'a str,
    /// Path of the call.
    pub path: &'a str,
    /// Path and query of the call.
    pub path_and_query: &'a str,
    /// All headers of the call.
    pub headers: &'a HeaderMap,
    /// Body of the call.
    pub body: Bytes,
}

/// Routes a call, hands it over and returns its answer or why there is none.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>, arrival: hitch_node::arrival::Arrival<'_>) {
/// let reply = hitch_node::arrival::serve(&node, arrival).await;
/// # }
/// ```
pub async fn serve(node: &Arc<Node>, arrival: Arrival<'_>) -> CallReply {
    if let Err(reason) = catch_up::if_out_of_touch(node).await {
        return reply::refusal(Outcome::NotRun(reason));
    }
    let prepared = match prepare(node, &arrival) {
        Ok(prepared) => prepared,
        Err(reason) => return reply::refusal(Outcome::NotRun(reason)),
    };
    let deadline = arrival.arrived + prepared.deadline;
    forward::run(
        node,
        prepared.req,
        prepared.class,
        deadline,
        arrival.head.retry_budget,
    )
    .await
}

struct Prepared {
    req: CallRequest,
    class: Class,
    deadline: Duration,
}

fn prepare(node: &Node, arrival: &Arrival<'_>) -> Result<Prepared, NotRun> {
    if !node.is_configured() {
        return Err(NotRun::NotReady);
    }
    let table = node.table();
    let found = table.try_find(&arrival.head.customer, arrival.method, arrival.path);
    let target = found.map_err(no_route)?;
    let ranks = &target.contract.ranks;
    let rank = table::try_rank(ranks, &arrival.head.rank).ok_or(NotRun::Malformed)?;
    if !target.route.idempotent && node.is_refused_as_stale(target.contract) {
        return Err(NotRun::Stale);
    }
    let key = match target.route.idempotent {
        true => "".into(),
        false => key(arrival.head.idempotency_key.as_deref())?,
    };
    let req = CallRequest {
        stamp: None,
        call_id: arrival.call_id.to_string(),
        customer: arrival.head.customer.to_string(),
        rank: arrival.head.rank.to_string(),
        service: target.route.service.to_string(),
        method: arrival.method.to_owned(),
        path_and_query: arrival.path_and_query.to_owned(),
        headers: reply::to_wire(arrival.headers),
        body: arrival.body.clone(),
        depth: arrival.head.depth,
        idempotent: target.route.idempotent,
        key,
        version: table.version(),
        from_instance: node.settings.instance.to_string(),
        ..Default::default()
    };
    let urgent = rank < ranks.len().div_ceil(2);
    let class = if urgent { Class::Urgent } else { Class::Other };
    Ok(Prepared {
        req,
        class,
        deadline: arrival.head.remaining_time.min(target.route.deadline),
    })
}

fn no_route(err: table::Error) -> NotRun {
    match err {
        table::Error::UnknownCustomer => NotRun::UnknownCustomer,
        table::Error::NoRoute | table::Error::WrongMethod => NotRun::NoRoute,
        table::Error::Inactive => NotRun::NoBackendServer,
    }
}

/// Checks the caller's key, or makes one for a call without.
///
/// A key that the node makes protects against the retries of the mesh only.
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
