//! Planned stops.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::LONG;

/// Guards against a planned stop that cuts calls in flight, and against a leaving backend server that
/// gets new work after 3 s.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_no_call_and_ends_new_work() {
    let mut fleet = Fleet::serving(3).await;
    let mut slow = Vec::new();
    for _ in 0..12 {
        slow.push(fleet.members[0].get("/fees/slow", &[("x-hitch-work-ms", "3500")]));
    }
    let slow = futures::future::join_all(slow);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let running = fleet.members[1].backend.running();
        assert!(
            running > 0,
            "a call must be in flight on the node that leaves"
        );
        fleet.members[1].signal("-TERM");
        let mut cut = 0;
        let began = tokio::time::Instant::now();
        while began.elapsed() < Duration::from_secs(3) {
            let res = fleet.members[0].get("/fees/7", &[]).await.unwrap();
            cut += u32::from(res.status() != 200);
        }
        assert_eq!(cut, 0, "calls were cut while a node left");
        let before = fleet.members[1].backend.ledger().started;
        for _ in 0..100 {
            let res = fleet.members[2].get("/fees/7", &[]).await.unwrap();
            assert_eq!(res.status(), 200);
        }
        assert_eq!(fleet.members[1].backend.ledger().started, before);
    };
    let (slow, ()) = futures::join!(slow, stop);
    for res in slow {
        assert_eq!(res.unwrap().status(), 200);
    }
    let until = tokio::time::Instant::now() + LONG;
    let status = loop {
        if let Some(status) = fleet.members[1].try_exit() {
            break status;
        }
        assert!(tokio::time::Instant::now() < until, "the node did not end");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert!(status.success());
}
