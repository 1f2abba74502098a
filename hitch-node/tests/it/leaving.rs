//! Planned stops.

use std::time::Duration;

use crate::fleet::CONTRACT;
use crate::fleet::Fleet;
use crate::fleet::LONG;

/// A call that outlasts the 3 s after which a leaving backend server gets no new work.
const SLOW: [(&str, &str); 2] = [("x-hitch-work-ms", "6000"), ("x-hitch-deadline-ms", "9500")];

/// The member that leaves, and another one in its availability zone, which sends calls there.
const LEAVING: usize = 0;
const NEIGHBOUR: usize = 3;

/// Guards against a planned stop that cuts calls in flight, and against a leaving backend server that
/// gets new work after 3 s.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_no_call_and_ends_new_work() {
    let mut fleet = Fleet::serving(4).await;
    let mut slow = Vec::new();
    for _ in 0..12 {
        slow.push(fleet.members[NEIGHBOUR].get("/fees/slow", &SLOW));
    }
    let slow = futures::future::join_all(slow);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let running = fleet.members[LEAVING].backend.running();
        assert!(
            running > 0,
            "a call must be in flight on the node that leaves"
        );
        fleet.members[LEAVING].signal("-TERM");
        let mut cut = 0;
        let began = tokio::time::Instant::now();
        while began.elapsed() < Duration::from_secs(3) {
            let res = fleet.members[NEIGHBOUR].get("/fees/7", &[]).await.unwrap();
            cut += u32::from(res.status() != 200);
        }
        assert_eq!(cut, 0, "calls were cut while a node left");
        let before = fleet.members[LEAVING].backend.ledger().started;
        for _ in 0..100 {
            let res = fleet.members[NEIGHBOUR].get("/fees/7", &[]).await.unwrap();
            assert_eq!(res.status(), 200);
        }
        assert_eq!(fleet.members[LEAVING].backend.ledger().started, before);
    };
    let (slow, ()) = futures::join!(slow, stop);
    for res in slow {
        assert_eq!(res.unwrap().status(), 200);
    }
    let until = tokio::time::Instant::now() + LONG;
    let status = loop {
        if let Some(status) = fleet.members[LEAVING].try_exit() {
            break status;
        }
        assert!(tokio::time::Instant::now() < until, "the node did not end");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert!(status.success());
}

/// Guards against keys that stay with a node which has left, and are refused until their interval ends.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_node_hands_over_the_keys_it_has_not_accepted() {
    let contract = CONTRACT.replace("key_interval: 4s", "key_interval: 60s");
    let fleet = Fleet::start(3).await;
    fleet.publish(0, &contract);
    fleet.wait_in_force(1).await;
    fleet.wait_ready(3).await;
    fleet.wait_keys().await;
    fleet.members[LEAVING].signal("-TERM");
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
