//! Tests of waiting.

use std::time::Duration;

use hitch_ctl::admin_client::AdminClient;
use hitch_ctl::admin_client::MAX_DIRECT;
use hitch_ctl::wait::Options;
use hitch_ctl::wait::until_in_force;
use serde_json::json;

use crate::closed;
use crate::node::FakeNode;

fn options(version: u64, within_ms: u64) -> Options {
    Options {
        version,
        within: Duration::from_millis(within_ms),
    }
}

/// Guards against a wait that ends before nodes that only other nodes know have the version, or that
/// waits for a node that is gone.
#[tokio::test]
async fn waits_for_members_that_the_given_node_knows() {
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

/// Guards against a time-out that does not name the laggards and why they lag.
#[tokio::test]
async fn laggards_are_named_with_the_reason() {
    let seed = FakeNode::start("i-1", 2, "").await;
    let apart = FakeNode::start("i-2", 2, "").await;
    seed.set("version_known", json!(3));
    seed.set("ready", json!(false));
    seed.set("not_ready_reason", json!("draining"));
    seed.set("members", json!([apart.as_member("suspect")]));
    let seeds = [seed.admin, closed()];
    let last = until_in_force(&AdminClient::default(), &seeds, &options(3, 0), |_| {}).await;
    assert!(!last.is_done());
    let found: Vec<_> = last
        .laggards
        .iter()
        .map(|l| (&*l.instance, &*l.reason))
        .collect();
    assert_eq!((found.len(), last.known), (3, 3));
    assert_eq!(found[0].0, "i-1");
    assert!(found[0].1.contains("knows it") && found[0].1.contains("not ready: draining"));
    assert_eq!(found[1].0, "i-2");
    assert!(found[1].1.contains("knows only version 2"), "{last}");
    assert_eq!(found[2].0, "127.0.0.1:1");
    assert!(found[2].1.contains("read status of 127.0.0.1:1"), "{last}");
}

/// Guards against nodes that stay behind and keep the others from being asked.
#[tokio::test]
async fn many_laggards_do_not_hide_a_node_that_is_done() {
    let seed = FakeNode::start("i-1", 3, "").await;
    let mut members = Vec::new();
    for i in 0..MAX_DIRECT + 1 {
        let behind = FakeNode::start(&format!("k-{i:03}"), 2, "").await;
        members.push(behind.as_member("ready"));
    }
    let done = FakeNode::start("z-1", 3, "").await;
    members.push(done.as_member("ready"));
    seed.set("members", json!(members));
    let last = until_in_force(
        &AdminClient::default(),
        &[seed.admin],
        &options(3, 1500),
        |_| {},
    )
    .await;
    assert_eq!((last.in_force, last.known), (2, MAX_DIRECT + 3));
}

/// Guards against a line of progress for every poll, in which a change is overlooked.
#[tokio::test]
async fn unchanged_progress_is_shown_once_a_second() {
    let seed = FakeNode::start("i-1", 2, "").await;
    let mut shown = 0;
    let last = until_in_force(
        &AdminClient::default(),
        &[seed.admin],
        &options(3, 1500),
        |_| {
            shown += 1;
            seed.set("confirmed_age_ms", json!(shown));
        },
    )
    .await;
    assert_eq!((shown, last.laggards.len()), (2, 1));
}

/// Guards against a wait that counts as done when nothing is known of any node.
#[tokio::test]
async fn silence_is_not_success() {
    let last = until_in_force(&AdminClient::default(), &[closed()], &options(0, 0), |_| {}).await;
    assert!(!last.is_done());
}
