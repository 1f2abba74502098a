//! Tests of the membership list.

use std::time::Duration;

use hitch_mesh::frame::Member;
use hitch_mesh::members::Members;

const SECOND: Duration = Duration::from_secs(1);

fn member(address: &str, incarnation: u64) -> Member {
    Member {
        address: address.into(),
        incarnation,
        ..Member::default()
    }
}

/// Guards against too many connection attempts to a node that is down, and against giving up before the node returns.
#[test]
fn unreachable_member_is_dialled_at_most_once_a_second() {
    let mut members = Members::default();
    members.learn(Duration::ZERO, member("a", 1));
    let mut attempts = 0;
    for step in 0..300 {
        let now = step * SECOND / 10;
        for due in members.take_due(now) {
            attempts += 1;
            members.connect_failed(now, &due.address);
        }
    }
    assert!((28..40).contains(&attempts), "{attempts} attempts in 30 s");
}

/// Guards against a list that keeps addresses of nodes that are gone for good.
#[test]
fn unreachable_member_expires() {
    let mut members = Members::default();
    members.learn(Duration::ZERO, member("a", 1));
    for due in members.take_due(Duration::ZERO) {
        members.connect_failed(Duration::ZERO, &due.address);
    }
    assert!(members.take_due(61 * SECOND).is_empty());
    assert!(members.list().is_empty());
}

/// Guards against a stale record that replaces the entry which the node itself sent on an open connection.
#[test]
fn stale_record_does_not_replace_the_entry_of_a_connected_member() {
    let mut members = Members::default();
    members.learn(Duration::ZERO, member("a", 1));
    members.take_due(Duration::ZERO);
    members.connected("a", member("a", 7));
    assert!(!members.learn(SECOND, member("a", 3)));
    assert!(members.take_due(SECOND).is_empty());
    assert_eq!(members.list()[0].incarnation, 7);
    members.disconnected(SECOND, "a");
    assert_eq!(members.take_due(SECOND).len(), 1);
}

fn connected(addresses: &[&str]) -> Members {
    let mut members = Members::default();
    for address in addresses {
        let member = Member {
            zone: "z".into(),
            ..member(address, 1)
        };
        members.learn(Duration::ZERO, member.clone());
        members.connected(address, member);
    }
    members
}

/// Guards against a zone in which no node follows the store, or every node does.
#[test]
fn two_nodes_of_a_zone_read_the_store() {
    let all = ["a", "b", "c", "d", "e", "f"];
    let readers = all.iter().filter(|own| {
        let others: Vec<&str> = all.iter().filter(|a| a != own).copied().collect();
        connected(&others).is_reader(own, "z", 2)
    });
    assert_eq!(readers.count(), 2);
}

/// Guards against nodes that rely on a reader which cannot read the store, is disconnected or is in another zone.
#[test]
fn reader_that_cannot_read_the_store_is_replaced() {
    let mut members = connected(&["a", "b", "c", "d"]);
    let own = "e";
    for address in ["a", "b", "c", "d"] {
        members.set_lacks_store(address, true);
    }
    assert!(members.is_reader(own, "z", 2));
    let mut members = connected(&["a", "b", "c", "d"]);
    assert!(members.is_reader(own, "other", 2));
    for address in ["a", "b", "c", "d"] {
        members.disconnected(Duration::ZERO, address);
    }
    assert!(members.is_reader(own, "z", 2));
}

/// Guards against a configuration notice that does not reach a node of the zone, or that one node sends to all others.
#[test]
fn fan_out_reaches_every_node_of_the_zone() {
    let all: Vec<String> = (0..300)
        .map(|i| format!("10.0.{}.{}:7600", i / 250, i % 250))
        .collect();
    let mut notified = std::collections::BTreeSet::new();
    for own in &all {
        let others: Vec<&str> = all.iter().filter(|a| *a != own).map(|a| &**a).collect();
        let members = connected(&others);
        let children = members.children(own, "z", 4);
        assert!(children.len() <= 4);
        if members.is_reader(own, "z", 1) {
            notified.insert(own.as_str().into());
        }
        notified.extend(children);
    }
    assert_eq!(notified.len(), all.len());
}

/// Guards against a zone that stays on an old version when the store answers only the readers of other zones.
#[test]
fn readers_of_every_other_zone_are_notified() {
    let mut members = connected(&["a", "b", "c", "d"]);
    for address in ["e", "f", "g", "h"] {
        let member = Member {
            zone: "y".into(),
            ..member(address, 1)
        };
        members.learn(Duration::ZERO, member.clone());
        members.connected(address, member);
    }
    let notified = members.readers_of_other_zones("x", 2);
    assert_eq!(notified.len(), 4);
    for own in ["a", "b", "c", "d"] {
        let is_notified = notified.iter().any(|address| **address == *own);
        let others: Vec<&str> = ["a", "b", "c", "d"]
            .into_iter()
            .filter(|a| *a != own)
            .collect();
        assert_eq!(is_notified, connected(&others).is_reader(own, "z", 2));
    }
    assert_eq!(members.readers_of_other_zones("z", 2).len(), 2);
    assert!(members.is_in_zone("e", "y") && !members.is_in_zone("e", "z"));
}
