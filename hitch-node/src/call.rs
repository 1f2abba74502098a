//! Calls that other nodes forward to this node for its local backend server.

use std::sync::Arc;

use hitch_proto::peer;
use hitch_proto::peer::CallReply;
use hitch_proto::peer::CallRequest;
use hitch_retry::NotRun;
use hitch_retry::Outcome;
use tokio::time::Instant;

use crate::catch_up;
use crate::execute;
use crate::node::Node;
use crate::once;
use crate::reply;
use crate::wire;

/// Runs a call on the local backend server, or refuses it.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// let req = hitch_proto::peer::CallRequest::default();
/// let deadline = tokio::time::Instant::now() + std::time::Duration::from_secs(1);
/// let reply = hitch_node::call::run(&node, req, deadline).await;
/// # }
/// ```
pub async fn run(node: &Arc<Node>, req: CallRequest, deadline: Instant) -> CallReply {
    let budget = req.retry_budget_milli;
    let mut reply = match check(node, &req).await {
        Err(reason) => reply::failure(Outcome::NotRun(reason)),
        Ok(()) if req.idempotent => execute::attempt(node, &req, deadline).await.reply,
        Ok(()) => once::run(node, req, deadline).await,
    };
    if reply.outcome() == peer::Outcome::NotRun {
        // The retry budget that the call carried was not used.
        reply.retry_budget_milli = budget;
    }
    add_node_state(node, reply)
}

/// Adds the version, the load and the clock stamp of this node to a reply.
fn add_node_state(node: &Node, mut reply: CallReply) -> CallReply {
    reply.version = node.table().version();
    let load = node.load();
    reply.load = Some(peer::Load {
        running: load.running,
        queued: load.queued,
        limit: load.limit,
    });
    reply.stamp = wire::stamp(&node.recorder);
    reply
}

async fn check(node: &Arc<Node>, req: &CallRequest) -> Result<(), NotRun> {
    if node.is_draining() {
        return Err(NotRun::Draining);
    }
    if *req.service != *node.settings.backend.service {
        return Err(NotRun::NoBackendServer);
    }
    catch_up::if_disconnected(node).await?;
    catch_up::to_version(node, req.version, &req.from_instance).await?;
    let table = node.table();
    let contract = table
        .try_contract(&req.customer)
        .ok_or(NotRun::UnknownCustomer)?;
    if !req.idempotent && node.is_refused_as_stale(contract) {
        return Err(NotRun::Stale);
    }
    Ok(())
}
