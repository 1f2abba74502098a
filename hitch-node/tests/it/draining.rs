//! Planned stops of nodes.

use std::time::Duration;

use crate::fleet::CONTRACT;
use crate::fleet::Fleet;
use crate::fleet::WAIT_TIMEOUT;

/// A call that outlasts the 3 s after which a draining node gets no new calls.
const SLOW: [(&str, &str); 2] = [("x-hitch-work-ms", "6000"), ("x-hitch-deadline-ms", "9500")];

/// The member that drains, and another one in its availability zone, which sends calls there.
const DRAINING: usize = 0;
const SENDER: usize = 3;

/// Guards against a planned stop that fails calls in flight, and against a draining node that gets
/// new calls after 3 s.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_fails_no_call_and_ends_new_calls() {
    let mut fleet = Fleet::serving(4).await;
    let mut slow = Vec::new();
    for _ in 0..12 {
        slow.push(fleet.members[SENDER].get("/fees/slow", &SLOW));
    }
    let slow = futures::future::join_all(slow);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let running = fleet.members[DRAINING].backend.running();
        assert!(
            running > 0,
            "a call must be in flight on the node that drains"
        );
        fleet.members[DRAINING].signal("-TERM");
        let mut failed = 0;
        let stopped_at = tokio::time::Instant::now();
        while stopped_at.elapsed() < Duration::from_secs(3) {
            let res = fleet.members[SENDER].get("/fees/7", &[]).await.unwrap();
            failed += u32::from(res.status() != 200);
        }
        assert_eq!(failed, 0, "calls failed while a node drained");
        let before = fleet.members[DRAINING].backend.ledger().started;
        for _ in 0..100 {
            let res = fleet.members[SENDER].get("/fees/7", &[]).await.unwrap();
            assert_eq!(res.status(), 200);
        }
        assert_eq!(fleet.members[DRAINING].backend.ledger().started, before);
    };
    let (slow, ()) = futures::join!(slow, stop);
    for res in slow {
        assert_eq!(res.unwrap().status(), 200);
    }
    let give_up_at = tokio::time::Instant::now() + WAIT_TIMEOUT;
    let status = loop {
        if let Some(status) = fleet.members[DRAINING].try_exit() {
            break status;
        }
        assert!(
            tokio::time::Instant::now() < give_up_at,
            "the draining node did not exit"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert!(status.success());
}

/// Guards against keys that stay with a node after it stopped, and are refused until their interval
/// ends.
#[tokio::test(flavor = "multi_thread")]
async fn draining_node_releases_the_keys_it_has_not_accepted() {
    let contract = CONTRACT.replace("key_interval: 4s", "key_interval: 60s");
    let fleet = Fleet::start(3).await;
    fleet.publish(0, &contract);
    fleet.wait_in_force(1).await;
    fleet.wait_ready(3).await;
    fleet.wait_keys().await;
    fleet.members[DRAINING].signal("-TERM");
    tokio::time::sleep(Duration::from_secs(3)).await;
    for i in 0..60 {
        let key = uuid::Uuid::now_v7().to_string();
        let res = fleet.members[1 + i % 2]
            .post("/fees", &key, &[])
            .await
            .unwrap();
        assert_eq!(res.status(), 200, "call {i}: {res:?}");
    }
}
