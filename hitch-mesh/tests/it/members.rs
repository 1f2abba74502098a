//! Tests of the list of nodes.

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

/// Guards against a flood of attempts at a node that is dead, and against one that gives up before the node returns.
#[test]
fn lost_member_is_tried_again_at_most_once_a_second() {
    let mut members = Members::default();
    members.learn(Duration::ZERO, member("a", 1));
    let mut attempts = 0;
    for step in 0..300 {
        let now = step * SECOND / 10;
        for due in members.take_due(now) {
            attempts += 1;
            members.failed(now, &due.address);
        }
    }
    assert!((28..40).contains(&attempts), "{attempts} attempts in 30 s");
}

/// Guards against a list that keeps every address that ever was.
#[test]
fn member_out_of_reach_is_forgotten() {
    let mut members = Members::default();
    members.learn(Duration::ZERO, member("a", 1));
    for due in members.take_due(Duration::ZERO) {
        members.failed(Duration::ZERO, &due.address);
    }
    assert!(members.take_due(61 * SECOND).is_empty());
    assert!(members.list().is_empty());
}

/// Guards against a stale record that replaces what the node said of itself on an open connection.
#[test]
fn record_does_not_replace_a_connection() {
    let mut members = Members::default();
    members.learn(Duration::ZERO, member("a", 1));
    members.take_due(Duration::ZERO);
    members.connected("a", member("a", 7));
    assert!(!members.learn(SECOND, member("a", 3)));
    assert!(members.take_due(SECOND).is_empty());
    assert_eq!(members.list()[0].incarnation, 7);
    members.lost(SECOND, "a");
    assert_eq!(members.take_due(SECOND).len(), 1);
}
