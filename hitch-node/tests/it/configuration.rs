//! Configuration versions while nodes are killed or suspended and the log has outages.

use std::time::Duration;

use crate::fleet::CONTRACT;
use crate::fleet::Fleet;

fn contract_with_moved_routes() -> String {
    CONTRACT.replace("path: /fees", "path: /moved")
}

/// Guards against a node that serves calls by stale routes after its process was suspended and
/// resumed.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_node_catches_up_before_its_next_call() {
    let fleet = Fleet::serving(3).await;
    fleet.members[1].signal("-STOP");
    let version = fleet.publish(1, &contract_with_moved_routes());
    for other in [0, 2] {
        let member = &fleet.members[other];
        crate::fleet::wait("the new version", || async {
            member.status().await["version_in_force"].as_u64() == Some(version)
        })
        .await;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    fleet.members[1].signal("-CONT");
    let res = fleet.members[1].get("/moved/1", &[]).await.unwrap();
    assert_eq!(res.status(), 200, "{res:?}");
    let old = fleet.members[1].get("/fees/1", &[]).await.unwrap();
    assert_eq!(old.status(), 404);
}

/// Guards against a log outage that stops calls or keeps a new node from starting, and against a
/// refused change that takes effect.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_serves_and_bootstraps_through_a_log_outage() {
    let mut fleet = Fleet::serving(3).await;
    let mut control = hitch_standin_log::Control {
        outage: Some(true),
        ..Default::default()
    };
    fleet.log.control(&control);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.add().await;
    fleet.wait_in_force(1).await;
    fleet.wait_ready(4).await;
    let res = fleet.members[3].get("/fees/7", &[]).await.unwrap();
    assert_eq!(res.status(), 200, "{res:?}");
    control.outage = Some(false);
    fleet.log.control(&control);
    let refused = fleet.publish(
        1,
        &contract_with_moved_routes().replace("service: ledger", "service: missing"),
    );
    let accepted = fleet.publish(1, &contract_with_moved_routes());
    fleet.wait_in_force(accepted).await;
    for member in &fleet.members {
        assert_eq!(member.status().await["version_in_force"], accepted);
    }
    assert_eq!(refused + 1, accepted);
}

/// Guards against a node that can no longer start because the log was trimmed, and against one that
/// restarts with an older version.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_node_recovers_after_the_log_was_trimmed() {
    let mut fleet = Fleet::serving(3).await;
    let version = fleet.publish(1, &contract_with_moved_routes());
    fleet.wait_in_force(version).await;
    let control = hitch_standin_log::Control {
        trim_before: Some(version),
        stream: Some("config".into()),
        ..Default::default()
    };
    fleet.log.control(&control);
    fleet.members[0].kill();
    fleet.members[0].restart();
    fleet.wait_in_force(version).await;
    let hashes: Vec<_> = [
        fleet.members[0].status().await,
        fleet.members[1].status().await,
    ]
    .map(|s| s["state_hash"].clone())
    .into();
    assert_eq!(hashes[0], hashes[1]);
}

/// Guards against a fleet that cannot recover from a log whose start was trimmed after all nodes
/// lost their state in a restart.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_without_state_recovers_from_the_snapshot_in_the_log() {
    let mut fleet = Fleet::serving(2).await;
    let version = fleet.publish(1, &contract_with_moved_routes());
    fleet.wait_in_force(version).await;
    let before = fleet.members[0].status().await["state_hash"].clone();
    let mut state = hitch_config::State::default();
    for record in fleet
        .log
        .read("config", 0, 10, Duration::ZERO)
        .await
        .unwrap()
        .records
    {
        state.apply(record.offset, &record.data).unwrap();
    }
    fleet
        .log
        .append_now("snapshots", state.snapshot().into())
        .unwrap();
    let control = hitch_standin_log::Control {
        trim_before: Some(version),
        stream: Some("config".into()),
        ..Default::default()
    };
    fleet.log.control(&control);
    for member in &mut fleet.members {
        member.kill();
    }
    for member in &mut fleet.members {
        member.restart();
    }
    fleet.wait_in_force(version).await;
    let next = fleet.publish(version, CONTRACT);
    fleet.wait_in_force(next).await;
    let after = fleet.members[1].status().await["state_hash"].clone();
    assert_ne!(before, after);
    assert_eq!(fleet.members[0].status().await["state_hash"], after);
}

/// Guards against an amended contract whose additional connections are not opened.
#[tokio::test(flavor = "multi_thread")]
async fn raised_connections_of_a_contract_are_used() {
    const WORK: Duration = Duration::from_millis(600);
    let sized = |slots: u32| {
        let size = format!("slots: {slots}, connections: {slots}");
        CONTRACT.replace("slots: 13, connections: 130", &size)
    };
    let fleet = Fleet::start(1).await;
    fleet.publish(0, &sized(2));
    fleet.wait_in_force(1).await;
    let raised = fleet.publish(1, &sized(8));
    fleet.wait_in_force(raised).await;
    // The concurrency limit rises for 3 s after the start of a node.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let work_ms = WORK.as_millis().to_string();
    let headers = [("x-hitch-work-ms", &*work_ms)];
    let started = std::time::Instant::now();
    let calls = (0..8).map(|_| fleet.members[0].get("/fees/7", &headers));
    for res in futures::future::join_all(calls).await {
        assert_eq!(res.unwrap().status(), 200);
    }
    assert!(started.elapsed() < 2 * WORK, "{:?}", started.elapsed());
}
