//! Watches the own backend server and announces whether this node serves.

use std::sync::Arc;
use std::time::Duration;

use hitch_event::Kind;
use hitch_roster::State;
use tokio::net::TcpStream;

use crate::node::Node;
use crate::shards::lock;

/// Time between two checks.
const PERIOD: Duration = Duration::from_millis(250);
/// Longest time that the backend server takes to accept a connection.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Checks that must fail in a row before the backend server counts as down.
const FAILURES: u32 = 2;

/// Checks the backend server for as long as the node runs.
///
/// Only whether it accepts connections counts, since its health endpoint lags and misleads.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::backend::run(node).await
/// # }
/// ```
pub async fn run(node: Arc<Node>) {
    let mut failures = 0;
    loop {
        let connect = TcpStream::connect(node.settings.backend.address);
        match tokio::time::timeout(TIMEOUT, connect).await {
            Ok(Ok(_)) => failures = 0,
            _ => failures += 1,
        }
        let up = failures == 0 || (failures < FAILURES && lock(&node.board.own).backend_up);
        set_up(&node, up);
        announce(&node);
        tokio::time::sleep(PERIOD).await;
    }
}

fn set_up(node: &Node, up: bool) {
    let was_up = std::mem::replace(&mut lock(&node.board.own).backend_up, up);
    if up == was_up {
        return;
    }
    let text = if up {
        "backend: accepts connections"
    } else {
        "backend: accepts no connections"
    };
    node.recorder.record(Kind::Member, Default::default(), text);
    if let Some(gate) = node.board.gate.load_full()
        && up
    {
        gate.restart();
    }
}

/// Announces the state that follows from readiness.
pub(crate) fn announce(node: &Node) {
    let ready = node.not_ready_reason().is_none();
    let mut own = lock(&node.board.own);
    if own.draining {
        return;
    }
    let was_ready = std::mem::replace(&mut own.ready, ready);
    drop(own);
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
