//! Brings changes of members to the pools and to the time line.

use hitch_event::Kind;
use hitch_roster::Change;
use hitch_roster::Member;
use hitch_roster::State;
use hitch_route::Pool;
use hitch_route::pool::Backend;
use hitch_route::pool::Readiness;

use crate::node::Node;
use crate::wire::state_name;

/// Records changes of members and brings them to the pools.
pub(crate) fn note_changes(node: &Node, changes: Vec<Change>) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        note(node, &change);
        let before = change.before.as_ref();
        if let Some(member) = before
            && change.after.is_none()
        {
            remove(node, member);
        }
        if let Some(member) = &change.after {
            upsert(node, member);
        }
    }
    node.board.changed.notify_one();
    // News of a member that leaves or refutes a suspicion must not wait for the next period.
    node.board.membership_wake.notify_one();
}

fn note(node: &Node, change: &Change) {
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
        "roster: {} {before} to {after_state}",
        after.contact.instance
    );
    node.recorder.record(Kind::Member, Default::default(), text);
}

fn upsert(node: &Node, member: &Member) {
    let contact = &member.contact;
    if contact.service.is_empty() {
        return;
    }
    if member.state == State::Gone {
        node.peers.forget(&contact.address);
        remove(node, member);
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

fn remove(node: &Node, member: &Member) {
    let service = &member.contact.service;
    let mut shard = node.board.pools.lock(service);
    let Some(pool) = shard.get_mut(service) else {
        return;
    };
    pool.remove(&member.contact.instance);
}
