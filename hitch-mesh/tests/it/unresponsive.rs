//! Tests of calls at nodes that become unresponsive, for example because they are frozen.

use std::time::Duration;

use crate::fleet::Behavior;
use crate::fleet::Node;
use crate::fleet::fleet_with;
use crate::forwarding::fill_retry_budget;
use crate::scripted::PeerBehavior;
use crate::scripted::ScriptedPeer;

/// Time for which a node is unresponsive: longer than the detection takes, shorter than the timeout of `/slow/`.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(1_200);

/// Starts a node and a scripted peer, and fills the node's retry budget before the peer gets its behavior.
async fn node_and_peer(behavior: PeerBehavior) -> (ScriptedPeer, Vec<Node>) {
    let scripted = ScriptedPeer::start("a").await;
    let (_memory, nodes) = fleet_with(&["a"], &scripted.member).await;
    // Concurrent calls go to both nodes, and the answers report the scripted peer's limit.
    let set_behavior = |behavior| *nodes[0].server.behavior.lock().unwrap() = behavior;
    set_behavior(Behavior::Answer(Duration::from_millis(50)));
    let ids: Vec<String> = (0..8).map(|i| format!("s-{i}")).collect();
    let calls = ids.iter().map(|id| nodes[0].call("GET", "/read/7", id));
    futures::future::join_all(calls).await;
    set_behavior(Behavior::Answer(Duration::ZERO));
    fill_retry_budget(&nodes[0]).await;
    // A slower node gets fewer calls, and these tests need some at the scripted peer.
    set_behavior(Behavior::Answer(Duration::from_millis(20)));
    assert!(!scripted.received.lock().unwrap().is_empty());
    *scripted.behavior.lock().unwrap() = behavior;
    scripted.received.lock().unwrap().clear();
    (scripted, nodes)
}

/// Guards against a call that fails although a suspended node, which no other node can replace, answers in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unresponsive_node_is_awaited_if_no_other_accepts_the_call() {
    let (scripted, nodes) = node_and_peer(PeerBehavior::UnresponsiveFor(UNRESPONSIVE_TIME)).await;
    // The node's own backend server rejects all calls.
    *nodes[0].server.behavior.lock().unwrap() = Behavior::Shed;
    let mut answered = 0;
    for i in 0..6 {
        let before = scripted.received.lock().unwrap().len();
        let (status, body) = nodes[0]
            .call("GET", "/slow/7", &format!("r-{i}"))
            .await
            .unwrap();
        if scripted.received.lock().unwrap().len() == before {
            continue;
        }
        answered += 1;
        assert_eq!((status, &body[..]), (200, &b"late"[..]), "call {i}");
    }
    assert!(answered > 0, "the scripted peer received no call");
}

/// Guards against a call that waits for a frozen node until its deadline although another node could answer it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_call_leaves_an_unresponsive_node() {
    let (scripted, nodes) =
        node_and_peer(PeerBehavior::UnresponsiveFor(UNRESPONSIVE_TIME * 10)).await;
    let mut left = 0;
    for i in 0..20 {
        let id = format!("r-{i}");
        let (status, body) = nodes[0].call("GET", "/slow/7", &id).await.unwrap();
        assert_eq!((status, body), (200, id.into()), "call {i}");
        left = scripted.received.lock().unwrap().len();
        if left > 0 {
            break;
        }
    }
    assert!(left > 0, "the scripted peer received no call");
}

/// Guards against a call that is not idempotent and is sent to a second backend server because the first one is
/// unresponsive.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_that_is_not_idempotent_stays_at_an_unresponsive_node() {
    let (scripted, nodes) = node_and_peer(PeerBehavior::UnresponsiveFor(UNRESPONSIVE_TIME)).await;
    for i in 0..20 {
        let id = format!("r-{i}");
        let (status, _) = nodes[0].call("PUT", "/pay/7", &id).await.unwrap();
        let at_peer = scripted.received.lock().unwrap().contains(&id);
        let local = nodes[0].server.received.lock().unwrap();
        assert_ne!(at_peer, local.iter().any(|(received, _)| *received == id));
        if at_peer {
            assert_eq!(
                status, 504,
                "the route timeout passes before the node answers"
            );
            return;
        }
    }
    panic!("the scripted peer received no call");
}

/// Guards against calls that leave a node whose backend server is slow but which answers every ping.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_stays_at_a_node_that_answers_pings() {
    let (scripted, nodes) = node_and_peer(PeerBehavior::PongOnly).await;
    for i in 0..20 {
        let id = format!("r-{i}");
        let (status, _) = nodes[0].call("GET", "/slow/7", &id).await.unwrap();
        if scripted.received.lock().unwrap().contains(&id) {
            assert_eq!(status, 504, "only the route timeout ends the call");
            return;
        }
    }
    panic!("the scripted peer received no call");
}

/// Guards against a call that continues at a peer after its caller has left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_is_cancelled_when_its_caller_leaves() {
    let (scripted, nodes) = node_and_peer(PeerBehavior::PongOnly).await;
    for i in 0..20 {
        let id = format!("r-{i}");
        let call = nodes[0].call("GET", "/slow/7", &id);
        // Dropping the call closes its connection.
        let ended = tokio::time::timeout(Duration::from_millis(300), call).await;
        if ended.is_err() && scripted.received.lock().unwrap().contains(&id) {
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert_eq!(*scripted.cancelled.lock().unwrap(), 1);
            return;
        }
    }
    panic!("the scripted peer received no call");
}
