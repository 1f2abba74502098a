//! Checks the health of the local backend server and announces whether this node is ready.

use std::sync::Arc;
use std::time::Duration;

use hitch_event::Kind;
use hitch_roster::State;
use tokio::net::TcpStream;

use crate::node::Node;
use crate::shards::lock;

/// Interval between two health checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time that the backend server may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of consecutive failed checks after which the backend server counts as down.
const FAILURE_THRESHOLD: u32 = 2;

/// Checks the local backend server for as long as the node runs.
///
/// A check only opens a connection, because the health endpoint of a backend server lags and
/// misleads.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::health::run(node).await
/// # }
/// ```
pub async fn run(node: Arc<Node>) {
    let mut failures = 0;
    loop {
        let connect = TcpStream::connect(node.settings.backend.address);
        match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(_)) => failures = 0,
            _ => failures += 1,
        }
        let up =
            failures == 0 || (failures < FAILURE_THRESHOLD && lock(&node.board.local).backend_up);
        set_backend_up(&node, up);
        announce_readiness(&node);
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn set_backend_up(node: &Node, up: bool) {
    let was_up = std::mem::replace(&mut lock(&node.board.local).backend_up, up);
    if up == was_up {
        return;
    }
    let text = if up {
        "backend: accepts connections"
    } else {
        "backend: does not accept connections"
    };
    node.recorder.record(Kind::Member, Default::default(), text);
    if let Some(gate) = node.board.gate.load_full()
        && up
    {
        gate.restart();
    }
}

/// Announces the member state that follows from the readiness of this node.
pub(crate) fn announce_readiness(node: &Node) {
    let ready = node.not_ready_reason().is_none();
    let mut local = lock(&node.board.local);
    if local.draining {
        return;
    }
    let was_ready = std::mem::replace(&mut local.ready, ready);
    drop(local);
    let state = if ready { State::Ready } else { State::Starting };
    lock(&node.board.roster).set_state(node.time.now(), state);
    if ready == was_ready {
        return;
    }
    node.board.membership_wake.notify_one();
    let (kind, text) = match ready {
        true => (Kind::Ready, "node: ready"),
        false => (Kind::Member, "node: not ready"),
    };
    node.recorder.record(kind, Default::default(), text);
}
