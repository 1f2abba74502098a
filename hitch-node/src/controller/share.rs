//! Divides the admission limits of this node's service among the nodes of the service.

use std::sync::Arc;
use std::time::Duration;

use hitch_proto::peer;
use hitch_proto::peer::ShareReply;
use hitch_proto::peer::ShareRequest;
use hitch_roster::State;
use hitch_share::Command;
use hitch_share::Demand;
use hitch_share::Message;
use prost::Message as _;

use crate::node::Node;
use crate::peers::Class;
use crate::shards::lock;
use crate::wire;

/// Tick interval that the share algorithm assumes.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for a share request to another node.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Updates the share of this node for as long as the node runs.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::share::run(node).await
/// # }
/// ```
pub async fn run(node: Arc<Node>) {
    let mut version = 0;
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        version = set_limits(&node, version);
        let members = members(&node);
        let commands = {
            let mut share = lock(&node.board.share);
            let now = node.time.now();
            share.set_members(now, members.iter().map(|m| &**m));
            share.tick(now, &mut rand::rng())
        };
        execute_commands(&node, commands);
    }
}

/// Sets the limits of the version in force if it differs from `version`, and returns the version in
/// force.
fn set_limits(node: &Node, version: u64) -> u64 {
    let table = node.table();
    if table.version() == version {
        return version;
    }
    let Some(contract) = table.try_contract(&node.settings.backend.customer) else {
        return table.version();
    };
    let mut share = lock(&node.board.share);
    for rank in &contract.ranks {
        let per_second = f64::from(rank.admit_per_second);
        share.set_limit(node.time.now(), &contract.customer, &rank.name, per_second);
    }
    table.version()
}

/// Lists the instances of the nodes of this service that are not suspected or gone.
fn members(node: &Node) -> Vec<Box<str>> {
    let mut members = Vec::new();
    for (_, member) in lock(&node.board.roster).members() {
        if member.contact.service != node.settings.backend.service {
            continue;
        }
        if matches!(
            member.state,
            State::Starting | State::Ready | State::Draining
        ) {
            members.push(member.contact.instance.clone());
        }
    }
    members
}

fn execute_commands(node: &Arc<Node>, commands: Vec<Command>) {
    for Command::Send { to, message } in commands {
        let instance = lock(&node.board.share).instance(to).map(Box::<str>::from);
        let Message::Request(demands) = message else {
            continue;
        };
        let Some(instance) = instance else { continue };
        let node = node.clone();
        tokio::spawn(async move {
            let send = send(&node, &instance, &demands);
            let _ = tokio::time::timeout(REQUEST_TIMEOUT, send).await;
        });
    }
}

async fn send(node: &Arc<Node>, instance: &str, demands: &[Demand]) -> Option<()> {
    let address = node.try_member(instance)?.contact.address.clone();
    let mut client = node.peers.client(&address, Class::Control).await.ok()?;
    let req = ShareRequest {
        stamp: wire::stamp(&node.recorder),
        from_instance: node.settings.instance.to_string(),
        service: node.settings.backend.service.to_string(),
        demands: demands.iter().map(to_wire).collect(),
    };
    node.metrics
        .count_control_message("share", "sent", req.encoded_len());
    let reply = client.share(req).await.ok()?.into_inner();
    node.metrics
        .count_control_message("share", "received", reply.encoded_len());
    wire::observe(&node.recorder, reply.stamp);
    let demands = reply.demands.into_iter().map(from_wire).collect();
    let commands =
        lock(&node.board.share).receive(node.time.now(), instance, Message::Reply(demands));
    execute_commands(node, commands);
    Some(())
}

/// Answers a share request. Fails if the sender is not known as a node of this service.
///
/// ```no_run
/// # fn run(node: hitch_node::Node) {
/// let reply = hitch_node::controller::share::answer(&node, Default::default());
/// # }
/// ```
pub fn answer(node: &Node, req: ShareRequest) -> Result<ShareReply, tonic::Status> {
    node.metrics
        .count_control_message("share", "received", req.encoded_len());
    if *req.service != *node.settings.backend.service {
        return Err(tonic::Status::failed_precondition(
            "another service runs here",
        ));
    }
    let demands = req.demands.into_iter().map(from_wire).collect();
    let message = Message::Request(demands);
    let commands = lock(&node.board.share).receive(node.time.now(), &req.from_instance, message);
    let mut reply_demands = None;
    for Command::Send { message, .. } in commands {
        let Message::Reply(demands) = message else {
            continue;
        };
        reply_demands = Some(demands.iter().map(to_wire).collect());
    }
    // Without a reply the sender must not regard its request as acknowledged.
    let Some(demands) = reply_demands else {
        return Err(tonic::Status::unavailable(
            "the sender is not known as a node of the service",
        ));
    };
    let reply = ShareReply {
        stamp: wire::stamp(&node.recorder),
        demands,
    };
    node.metrics
        .count_control_message("share", "sent", reply.encoded_len());
    Ok(reply)
}

fn to_wire(demand: &Demand) -> peer::Demand {
    peer::Demand {
        customer: demand.customer.to_string(),
        rank: demand.rank.to_string(),
        offered: demand.offered,
        granted: demand.granted,
        grant_id: demand.grant_id,
        grant_ms: demand.grant_lifetime.as_millis() as u32,
    }
}

fn from_wire(demand: peer::Demand) -> Demand {
    Demand {
        customer: demand.customer.into(),
        rank: demand.rank.into(),
        offered: demand.offered,
        granted: demand.granted,
        grant_id: demand.grant_id,
        grant_lifetime: Duration::from_millis(demand.grant_ms.into()),
    }
}
