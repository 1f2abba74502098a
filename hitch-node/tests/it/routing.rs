//! Routing of calls while members of the fleet fail.

use std::time::Duration;

use hitch_edge::problem::Outcome;

use crate::fleet::Fleet;
use crate::fleet::problem;

/// Guards against idempotent calls that fail at the other nodes after one was killed.
#[tokio::test(flavor = "multi_thread")]
async fn kill_of_any_node_fails_no_later_idempotent_call() {
    let mut fleet = Fleet::serving(5).await;
    // The first and the fourth member share an availability zone, so that the fourth sends calls there.
    fleet.members[0].kill();
    for i in 0..60 {
        let member = &fleet.members[[3, 1, 3, 2, 3, 4][i % 6]];
        let res = member.get("/fees/7", &[]).await.unwrap();
        assert_eq!(res.status(), 200, "call {i}: {res:?}");
    }
}

/// Guards against an invalid request that hangs, or is refused with another outcome than not run.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_as_not_run() {
    let fleet = Fleet::serving(1).await;
    let member = &fleet.members[0];
    let long = "x".repeat(20_000);
    type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], u16);
    let cases: [Case<'_>; 6] = [
        ("/nothing", &[], 404),
        ("/fees", &[("x-hitch-deadline-ms", "soon")], 400),
        ("/fees", &[("x-hitch-depth", "19")], 400),
        ("/fees", &[("x-hitch-rank", "enquiry")], 400),
        ("/fees", &[("x-hitch-customer", "nobody")], 400),
        ("/fees", &[("x-long", &long)], 400),
    ];
    for (path, headers, status) in cases {
        let res = member.get(path, headers).await.unwrap();
        assert_eq!(res.status(), status, "{path} {headers:?}");
        assert_eq!(problem(&res).outcome, Outcome::NotRun);
    }
    let undated = member
        .post("/fees", "6f2d0c3e-8a44-4d5e-9a2b-0f6c1d2e3f40", &[])
        .await
        .unwrap();
    assert_eq!(
        (undated.status().as_u16(), &*problem(&undated).reason),
        (400, "invalid-key")
    );
    let ledger = member.backend.ledger();
    assert_eq!(ledger.started, 0);
}

/// Guards against a backend server that reports itself healthy while it fails calls at once.
#[tokio::test(flavor = "multi_thread")]
async fn backend_that_fails_fast_fails_no_more_than_one_percent() {
    let fleet = Fleet::serving(4).await;
    let control = hitch_standin_backend::Control {
        fail_fast: Some(true),
        ..Default::default()
    };
    fleet.members[1].backend.control(&control);
    let mut failed = 0;
    for i in 0..300 {
        let member = &fleet.members[i % 4];
        let res = member.get("/fees/7", &[]).await.unwrap();
        failed += u32::from(res.status() != 200);
    }
    assert!(failed <= 3, "{failed} of 300 calls failed");
}

/// Guards against a request that crashes one backend server after the other while its caller
/// resends it, and against other calls that are refused with it.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_backends_takes_down_at_most_two() {
    let fleet = Fleet::serving(4).await;
    let mut refused = 0;
    for i in 0..12 {
        let member = &fleet.members[i % 4];
        let res = member
            .get("/fees/poison", &[("x-hitch-poison", "1")])
            .await
            .unwrap();
        assert_ne!(res.status(), 200);
        refused += u32::from(&*problem(&res).reason == "crash-suspect");
        let other_call = fleet.members[(i + 1) % 4]
            .get("/fees/7", &[])
            .await
            .unwrap();
        if other_call.status() != 200 {
            assert_ne!(&*problem(&other_call).reason, "crash-suspect");
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let crashed = fleet
        .members
        .iter()
        .filter(|m| m.backend.counters().crashes > 0)
        .count();
    assert!(crashed <= 2, "{crashed} backend servers crashed");
    assert!(refused > 0, "the request was never refused");
    let res = fleet.members[0].get("/fees/7", &[]).await.unwrap();
    assert_eq!(res.status(), 200, "{res:?}");
}

/// Guards against a retry that is refused as not run after an earlier attempt of the call ran.
#[tokio::test(flavor = "multi_thread")]
async fn refused_retry_does_not_hide_an_attempt_that_ran() {
    let fleet = Fleet::serving(1).await;
    let member = &fleet.members[0];
    let control = hitch_standin_backend::Control {
        short_bodies: Some(1),
        ..Default::default()
    };
    member.backend.control(&control);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        member.signal("-TERM");
    };
    let slow = [("x-hitch-work-ms", "800")];
    let (res, ()) = futures::join!(member.get("/fees/7", &slow), stop);
    let res = res.unwrap();
    assert_eq!(member.backend.ledger().started, 1);
    assert_eq!(problem(&res).outcome, Outcome::Unknown, "{res:?}");
}
