//! Calls with idempotency keys.

use std::time::Duration;

use hitch_edge::problem::Outcome;
use uuid::Uuid;

use crate::fleet::Fleet;
use crate::fleet::problem;

/// Guards against a second run of a call that is resent through another node.
#[tokio::test(flavor = "multi_thread")]
async fn resend_to_another_node_gets_the_first_answer() {
    let fleet = Fleet::serving(3).await;
    fleet.wait_keys().await;
    let key = Uuid::now_v7().to_string();
    let slow = [("x-hitch-work-ms", "300")];
    let calls = fleet.members.iter().map(|m| m.post("/fees", &key, &slow));
    let mut bodies = Vec::new();
    for res in futures::future::join_all(calls).await {
        let res = res.unwrap();
        assert_eq!(res.status(), 200, "{res:?}");
        bodies.push(res.into_body());
    }
    assert!(bodies.windows(2).all(|pair| pair[0] == pair[1]));
    assert_eq!(fleet.runs(&key), 1);
    let reused = fleet.members[0]
        .send_other_body("/fees", &key)
        .await
        .unwrap();
    assert_eq!(
        (reused.status().as_u16(), &*problem(&reused).reason),
        (422, "key-reused")
    );
    assert_eq!(fleet.runs(&key), 1);
}

/// Guards against a second run of a call after the owner of its key was killed and restarted
/// without its state.
#[tokio::test(flavor = "multi_thread")]
async fn kill_of_the_owner_leaves_the_call_unknown_and_run_once() {
    let mut fleet = Fleet::serving(3).await;
    fleet.wait_keys().await;
    let key = Uuid::now_v7().to_string();
    let slow = [("x-hitch-work-ms", "800")];
    let member = &fleet.members[0];
    let owner = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        (0..3)
            .find(|i| fleet.members[*i].backend.ledger().keys.contains_key(&*key))
            .unwrap()
    };
    let (first, owner) = futures::join!(member.post("/fees", &key, &slow), owner);
    assert_eq!(first.unwrap().status(), 200);
    fleet.members[owner].kill();
    fleet.members[owner].restart();
    fleet.wait_ready(3).await;
    for member in &fleet.members {
        let res = member.post("/fees", &key, &[]).await.unwrap();
        assert_ne!(res.status(), 200, "{res:?}");
        assert_eq!(problem(&res).outcome, Outcome::Unknown, "{res:?}");
    }
    assert_eq!(fleet.runs(&key), 1);
}

/// Guards against an owner that was suspended past the end of its key interval and then runs calls
/// that another owner may run, and against resends that run twice in the meantime.
#[tokio::test(flavor = "multi_thread")]
async fn suspended_owner_runs_no_key_twice() {
    let fleet = Fleet::serving(3).await;
    fleet.wait_keys().await;
    fleet.members[1].signal("-STOP");
    let mut keys = Vec::new();
    let mut refused = 0;
    for _ in 0..10 {
        let key = Uuid::now_v7().to_string();
        let short = [("x-hitch-deadline-ms", "700")];
        let res = fleet.members[0].post("/fees", &key, &short).await.unwrap();
        refused += u32::from(res.status() != 200);
        keys.push(key);
    }
    assert!(refused > 0, "some key must belong to the suspended node");
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.members[1].signal("-CONT");
    for key in &keys {
        for member in &fleet.members {
            let _ = member.post("/fees", key, &[]).await.unwrap();
        }
        assert!(
            fleet.runs(key) <= 1,
            "key {key} ran {} times",
            fleet.runs(key)
        );
    }
}
