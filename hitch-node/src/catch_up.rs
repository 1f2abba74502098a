//! Exchanges that a call waits for because this node may have an outdated configuration.

use std::sync::Arc;
use std::time::Duration;

use hitch_retry::NotRun;

use crate::controller::exchange;
use crate::node::Node;
use crate::shards::lock;

/// Maximum time that a call waits for this node to catch up with its peers.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which a waiting call checks the known version.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Exchanges with a peer first if this node was disconnected, for example because its process was
/// suspended.
///
/// A node that reaches no peer within the timeout continues with the configuration that it has: it
/// cannot tell a partition from an outage of all others.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// assert!(hitch_node::catch_up::if_disconnected(&node).await.is_ok());
/// # }
/// ```
pub async fn if_disconnected(node: &Arc<Node>) -> Result<(), NotRun> {
    if !lock(&node.board.spread).needs_exchange(node.time.now()) {
        return Ok(());
    }
    let exchanging = node.clone();
    let exchange = tokio::spawn(async move { exchange::with_any_peer(&exchanging).await });
    let _ = tokio::time::timeout(CATCH_UP_TIMEOUT, exchange).await;
    match node.is_configured() {
        true => Ok(()),
        false => Err(NotRun::NotReady),
    }
}

/// Waits until this node knows the version by which a call was routed, and fails after a timeout.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// assert!(hitch_node::catch_up::to_version(&node, 0, "i-2").await.is_ok());
/// # }
/// ```
pub async fn to_version(node: &Arc<Node>, version: u64, from_instance: &str) -> Result<(), NotRun> {
    if node.known_version() >= version {
        return Ok(());
    }
    observe_version(node, version, from_instance);
    let give_up_at = node.time.now() + CATCH_UP_TIMEOUT;
    while node.time.now() < give_up_at {
        tokio::time::sleep(POLL_INTERVAL).await;
        if node.known_version() >= version {
            return Ok(());
        }
    }
    Err(NotRun::Stale)
}

/// Starts an exchange with `instance`, which knows `version`, if that is newer than the version
/// known here.
///
/// ```no_run
/// # fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::catch_up::observe_version(&node, 0, "i-2");
/// # }
/// ```
pub fn observe_version(node: &Arc<Node>, version: u64, instance: &str) {
    if version <= node.known_version() {
        return;
    }
    let Some(member) = node.try_member(instance) else {
        return;
    };
    let node = node.clone();
    tokio::spawn(async move { exchange::with_address(&node, &member.contact.address).await });
}
