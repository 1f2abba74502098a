//! Tests of the wait until a version is in force.

use std::time::Duration;

use hitch_ctl::admin_client::AdminClient;
use hitch_ctl::admin_client::MAX_POLLED_NODES;
use hitch_ctl::wait::Options;
use hitch_ctl::wait::until_in_force;
use serde_json::json;

use crate::node::FakeNode;
use crate::unreachable_address;

fn options(version: u64, timeout_ms: u64) -> Options {
    Options {
        version,
        timeout: Duration::from_millis(timeout_ms),
    }
}

/// Guards against a wait that ends before the version is in force on a node that only another node
/// lists, or that waits for a node that is gone.
#[tokio::test]
async fn waits_for_members_that_the_seed_lists() {
    let seed = FakeNode::start("i-1", 3, "").await;
    let slow = FakeNode::start("i-2", 2, "").await;
    let gone = FakeNode::start("i-3", 1, "").await;
    let members = json!([slow.as_member("ready"), gone.as_member("gone")]);
    seed.set("members", members);
    let mut seen = Vec::new();
    let nodes = AdminClient::default();
    let last = until_in_force(&nodes, &[seed.admin], &options(3, 5000), |progress| {
        seen.push((progress.in_force, progress.known));
        slow.set("version_in_force", json!(3));
    })
    .await;
    assert!(last.is_done(), "{last}");
    assert_eq!(seen, [(1, 2), (2, 2)]);
}

/// Guards against an expired wait that does not list the laggards and the reason for each.
#[tokio::test]
async fn laggards_are_listed_with_the_reason() {
    let seed = FakeNode::start("i-1", 2, "").await;
    let member = FakeNode::start("i-2", 2, "").await;
    seed.set("version_known", json!(3));
    seed.set("ready", json!(false));
    seed.set("not_ready_reason", json!("draining"));
    seed.set("members", json!([member.as_member("suspect")]));
    let seeds = [seed.admin, unreachable_address()];
    let last = until_in_force(&AdminClient::default(), &seeds, &options(3, 0), |_| {}).await;
    assert!(!last.is_done());
    let found: Vec<_> = last
        .laggards
        .iter()
        .map(|l| (&*l.instance, &*l.reason))
        .collect();
    assert_eq!((found.len(), last.known), (3, 3));
    assert_eq!(found[0].0, "i-1");
    assert!(
        found[0]
            .1
            .contains("knows version 3, but version 2 is in force")
            && found[0].1.contains("not ready: draining")
    );
    assert_eq!(found[1].0, "i-2");
    assert!(found[1].1.contains("knows only version 2"), "{last}");
    assert_eq!(found[2].0, "127.0.0.1:1");
    assert!(found[2].1.contains("read status of 127.0.0.1:1"), "{last}");
}

/// Guards against laggards that keep other nodes from being polled.
#[tokio::test]
async fn many_laggards_do_not_hide_an_up_to_date_node() {
    let seed = FakeNode::start("i-1", 3, "").await;
    let mut members = Vec::new();
    for i in 0..MAX_POLLED_NODES + 1 {
        let behind = FakeNode::start(&format!("k-{i:03}"), 2, "").await;
        members.push(behind.as_member("ready"));
    }
    let up_to_date = FakeNode::start("z-1", 3, "").await;
    members.push(up_to_date.as_member("ready"));
    seed.set("members", json!(members));
    let last = until_in_force(
        &AdminClient::default(),
        &[seed.admin],
        &options(3, 1500),
        |_| {},
    )
    .await;
    assert_eq!((last.in_force, last.known), (2, MAX_POLLED_NODES + 3));
}

/// Guards against progress output for every polling round, in which a change is easily overlooked.
#[tokio::test]
async fn unchanged_progress_is_reported_once_a_second() {
    let seed = FakeNode::start("i-1", 2, "").await;
    let mut reports = 0;
    let last = until_in_force(
        &AdminClient::default(),
        &[seed.admin],
        &options(3, 1500),
        |_| {
            reports += 1;
            seed.set("confirmed_age_ms", json!(reports));
        },
    )
    .await;
    assert_eq!((reports, last.laggards.len()), (2, 1));
}

/// Guards against a wait that succeeds although no node ever answered.
#[tokio::test]
async fn wait_without_an_answer_does_not_succeed() {
    let last = until_in_force(
        &AdminClient::default(),
        &[unreachable_address()],
        &options(0, 0),
        |_| {},
    )
    .await;
    assert!(!last.is_done());
}
