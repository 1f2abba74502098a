//! Runs the failure detector and applies membership changes to the pools of backend servers.

use std::sync::Arc;
use std::time::Duration;

use hitch_proto::peer::ProbeRequest;
use hitch_roster::Change;
use hitch_roster::Command;
use hitch_roster::Member;
use hitch_roster::MemberKey;
use hitch_roster::detect::Peer;
use prost::Message;

use crate::controller::changes::apply_changes;
use crate::controller::exchange;
use crate::node::Node;
use crate::peers::Class;
use crate::shards::lock;
use crate::wire;

/// Tick interval of the failure detector.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for an indirect probe through another member.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Runs the failure detector for as long as the node runs.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::membership::run(node).await
/// # }
/// ```
pub async fn run(node: Arc<Node>) {
    apply_changes(&node, vec![initial_change(&node)]);
    loop {
        let _ = tokio::time::timeout(TICK_INTERVAL, node.board.membership_wake.notified()).await;
        let (commands, changes) = {
            let mut roster = lock(&node.board.roster);
            let commands = roster.tick(node.time.now(), &mut rand::rng());
            (commands, roster.take_changes())
        };
        apply_changes(&node, changes);
        for command in commands {
            execute(&node, command);
        }
    }
}

fn initial_change(node: &Node) -> Change {
    let roster = lock(&node.board.roster);
    Change {
        key: roster.own_key(),
        before: None,
        after: Some(roster.own()),
    }
}

fn execute(node: &Arc<Node>, command: Command) {
    let node = node.clone();
    match command {
        Command::Exchange {
            with: Peer::Seed(address),
        } => {
            tokio::spawn(async move { exchange::with_address(&node, &address).await });
        }
        Command::Exchange {
            with: Peer::Member(key),
        } => {
            tokio::spawn(async move { exchange_with(&node, key).await });
        }
        Command::ProbeVia { target, via } => {
            tokio::spawn(async move { probe_indirectly(&node, target, via).await });
        }
    }
}

async fn exchange_with(node: &Arc<Node>, key: MemberKey) {
    let Some(member) = lock(&node.board.roster).get(key) else {
        return;
    };
    let answered = exchange::with_address(node, &member.contact.address).await;
    report_result(node, key, answered);
}

async fn probe_indirectly(node: &Arc<Node>, target: MemberKey, via: MemberKey) {
    let (target_member, via_member) = {
        let roster = lock(&node.board.roster);
        (roster.get(target), roster.get(via))
    };
    let (Some(target_member), Some(via_member)) = (target_member, via_member) else {
        return;
    };
    let request = request_probe(node, &via_member, &target_member);
    let answered = tokio::time::timeout(INDIRECT_PROBE_TIMEOUT, request)
        .await
        .unwrap_or(false);
    report_result(node, target, answered);
}

async fn request_probe(node: &Node, via: &Member, target: &Member) -> bool {
    let Ok(mut client) = node
        .peers
        .client(&via.contact.address, Class::Control)
        .await
    else {
        return false;
    };
    let address = target.contact.address.to_string();
    let req = ProbeRequest {
        stamp: wire::stamp(&node.recorder),
        address,
    };
    node.metrics
        .count_control_message("probe", "sent", req.encoded_len());
    match client.probe(req).await {
        Ok(res) => res.into_inner().answered,
        Err(_) => false,
    }
}

fn report_result(node: &Node, key: MemberKey, answered: bool) {
    let mut roster = lock(&node.board.roster);
    match answered {
        true => roster.answered(key),
        false => roster.failed(node.time.now(), key),
    }
    let changes = roster.take_changes();
    drop(roster);
    apply_changes(node, changes);
}
