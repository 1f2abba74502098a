//! Applies membership changes to the pools of backend servers and records them as events.

use hitch_event::Kind;
use hitch_roster::Change;
use hitch_roster::Member;
use hitch_roster::State;
use hitch_route::Pool;
use hitch_route::pool::Backend;
use hitch_route::pool::Readiness;

use crate::node::Node;
use crate::wire::state_name;

/// Records membership changes as events and applies them to the pools of backend servers.
pub(crate) fn apply_changes(node: &Node, changes: Vec<Change>) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        record(node, &change);
        let before = change.before.as_ref();
        if let Some(member) = before
            && change.after.is_none()
        {
            remove_from_pool(node, member);
        }
        if let Some(member) = &change.after {
            update_pool(node, member);
        }
    }
    node.board.changed.notify_one();
    // The announcement that a member drains or refutes a suspicion must not wait for the next tick.
    node.board.membership_wake.notify_one();
}

fn record(node: &Node, change: &Change) {
    let before = change
        .before
        .as_ref()
        .map_or("unknown", |m| state_name(m.state));
    let Some(after) = &change.after else { return };
    let after_state = state_name(after.state);
    if before == after_state {
        return;
    }
    let text = format!(
        "roster: {} changed from {before} to {after_state}",
        after.contact.instance
    );
    node.recorder.record(Kind::Member, Default::default(), text);
}

fn update_pool(node: &Node, member: &Member) {
    let contact = &member.contact;
    if contact.service.is_empty() {
        return;
    }
    if member.state == State::Gone {
        node.peers.disconnect(&contact.address);
        remove_from_pool(node, member);
        return;
    }
    let backend = Backend {
        instance: contact.instance.clone(),
        zone: contact.zone.clone(),
        address: contact.address.clone(),
        readiness: match member.state {
            State::Starting => Readiness::Starting,
            State::Ready => Readiness::Accepting,
            State::Draining | State::Suspect | State::Gone => Readiness::Unavailable,
        },
    };
    let mut shard = node.board.pools.lock(&contact.service);
    let pool = shard.entry(contact.service.clone());
    pool.or_insert_with(|| Pool::new(&node.settings.zone))
        .upsert(backend);
}

fn remove_from_pool(node: &Node, member: &Member) {
    let service = &member.contact.service;
    let mut shard = node.board.pools.lock(service);
    let Some(pool) = shard.get_mut(service) else {
        return;
    };
    pool.remove(&member.contact.instance);
}
