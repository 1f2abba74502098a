use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;

use hitch_bench::Deployment;
use hitch_bench::once;
use hitch_bench::once::Fault;
use hitch_bench::once::Options;

/// Ports that the tests may use, and the number that each test takes of them.
const PORT_RANGE: std::ops::Range<u16> = 23_000..27_000;
const PORTS_PER_TEST: u16 = 100;

fn build_binaries() {
    // For a test, Cargo builds only the binaries of the package under test.
    let status = Command::new(env!("CARGO"))
        .args(["build", "-q", "--bins"])
        .args(["-p", "hitch-node", "-p", "hitch-ctl"])
        .args(["-p", "hitch-standin-log", "-p", "hitch-standin-backend"])
        .status()
        .unwrap();
    assert!(status.success(), "cannot build the binaries");
}

/// Returns the first port of a free range. The search starts at a range that depends on the process
/// id, so that concurrent test processes do not pick the same one.
fn free_port_base() -> u16 {
    let is_free = |port| TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], port))).is_ok();
    let port_bases: Vec<u16> = PORT_RANGE.step_by(PORTS_PER_TEST.into()).collect();
    let first = std::process::id() as usize % port_bases.len();
    let mut candidates = port_bases[first..].iter().chain(&port_bases[..first]);
    let free = candidates.find(|base| (**base..**base + PORTS_PER_TEST).all(is_free));
    *free.expect("no free ports")
}

fn options(port_base: u16, seed: u64, seconds: u64, fault_interval_ms: u64) -> Options {
    Options {
        port_base,
        seed,
        seconds,
        rate: 40.0,
        fault_interval_ms,
    }
}

// Guards against a call that runs twice, or runs although its caller received that it was not run,
// while nodes are killed and frozen and answers are lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keyed_calls_run_at_most_once_under_faults() {
    build_binaries();
    std::env::set_current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("..")).unwrap();
    let deployment = Deployment::from_file("bench/association.yaml".as_ref()).unwrap();
    let options = options(free_port_base(), 1, 14, 1_000);
    let outcome = once::run(&deployment, &options).await.unwrap();
    println!("{outcome}");
    let audit = outcome.report.audit.as_ref().unwrap();
    assert!(outcome.faults.len() >= 5);
    assert!(audit.keys >= 400, "{} keys", audit.keys);
    assert!(audit.keys_run * 2 > audit.keys, "{} run", audit.keys_run);
    assert!(outcome.is_clean(), "{audit:?}");
}

// Guards against a schedule that leaves a node killed or frozen or the log down at the end of a
// run, that gives a node a second fault at once, or that omits a kind of fault.
#[test]
fn every_fault_is_scheduled_and_ends() {
    for seed in 0..50 {
        let mut faulty_nodes = BTreeSet::new();
        let mut log_is_down = false;
        let mut seen_kinds = Vec::new();
        for scheduled in once::schedule(&options(1, seed, 60, 2_000), 12) {
            assert!(scheduled.at_ms < 60_000);
            match scheduled.fault {
                Fault::Kill(n) | Fault::Freeze(n) => assert!(faulty_nodes.insert(n)),
                Fault::Restart(n) | Fault::Resume(n) => assert!(faulty_nodes.remove(&n)),
                Fault::LogOutage(outage) => log_is_down = outage,
                Fault::LoseLogAnswers(_) | Fault::LoseAnswers(..) | Fault::LateAnswers(..) => {
                    seen_kinds.push(std::mem::discriminant(&scheduled.fault));
                }
            }
        }
        assert!(faulty_nodes.is_empty() && !log_is_down);
        seen_kinds.dedup();
        assert!(seen_kinds.len() >= 3);
    }
}
