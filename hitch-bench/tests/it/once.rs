use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;

use hitch_bench::Deployment;
use hitch_bench::once;
use hitch_bench::once::Fault;
use hitch_bench::once::Options;

/// First ports of a deployment that is tested, and their distance.
const PORT_BASES: std::ops::Range<u16> = 23_000..27_000;
const PORTS: u16 = 100;

fn build_binaries() {
    // Cargo builds only the binaries of the package under test.
    let status = Command::new(env!("CARGO"))
        .args(["build", "-q", "--bins"])
        .args(["-p", "hitch-node", "-p", "hitch-ctl"])
        .args(["-p", "hitch-standin-log", "-p", "hitch-standin-backend"])
        .status()
        .unwrap();
    assert!(status.success(), "cannot build the binaries");
}

/// Returns the first of some free ports; tests that run at once begin to look at different ones.
fn free_port_base() -> u16 {
    let is_free = |port| TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], port))).is_ok();
    let bases: Vec<u16> = PORT_BASES.step_by(PORTS.into()).collect();
    let first = std::process::id() as usize % bases.len();
    let mut candidates = bases[first..].iter().chain(&bases[..first]);
    let free = candidates.find(|base| (**base..**base + PORTS).all(is_free));
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

// Guards against a call that runs twice, or runs although its caller was told otherwise, when nodes
// are killed and frozen and answers are lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keyed_calls_run_at_most_once_under_faults() {
    build_binaries();
    std::env::set_current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("..")).unwrap();
    let deployment = Deployment::at("bench/association.yaml".as_ref()).unwrap();
    let options = options(free_port_base(), 1, 14, 1_000);
    let outcome = once::run(&deployment, &options).await.unwrap();
    println!("{outcome}");
    let audit = outcome.report.audit.as_ref().unwrap();
    assert!(outcome.faults.len() >= 5);
    assert!(audit.keys >= 400, "{} keys", audit.keys);
    assert!(audit.keys_run * 2 > audit.keys, "{} run", audit.keys_run);
    assert!(outcome.is_clean(), "{audit:?}");
}

// Guards against a schedule that leaves a node frozen or the log down at the end of a run, or that
// leaves out a kind of fault.
#[test]
fn every_fault_is_scheduled_and_ends() {
    for seed in 0..50 {
        let mut down = BTreeSet::new();
        let mut log_is_down = false;
        let mut seen = Vec::new();
        for timed in once::schedule(&options(1, seed, 60, 2_000), 12) {
            assert!(timed.at_ms < 60_000);
            match timed.fault {
                Fault::Kill(n) | Fault::Freeze(n) => assert!(down.insert(n)),
                Fault::Restart(n) | Fault::Resume(n) => assert!(down.remove(&n)),
                Fault::LogOutage(outage) => log_is_down = outage,
                Fault::LoseLogAnswers(_) | Fault::LoseAnswers(..) | Fault::LateAnswers(..) => {
                    seen.push(std::mem::discriminant(&timed.fault));
                }
            }
        }
        assert!(down.is_empty() && !log_is_down);
        seen.dedup();
        assert!(seen.len() >= 3);
    }
}
