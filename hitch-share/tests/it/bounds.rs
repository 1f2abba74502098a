//! Tests of the bounds stated in the documentation of `hitch_share::share`, under faults.

use std::cell::Cell;
use std::time::Duration;

use hitch_share::Options;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::sim::Faults;
use crate::sim::Simulation;

const LIMIT: f64 = 100.0;
const CASES: u32 = 96;
const RUN_TIME: Duration = Duration::from_secs(40);

/// Tolerance for rounding errors in a sum of rates.
const ROUNDING_TOLERANCE: f64 = 1e-6;

#[derive(Debug, Clone, Copy)]
enum Fault {
    Join,
    Crash,
    Restart,
    Pause(u64),
    OfferedRate(u32),
}

#[derive(Debug, Clone)]
struct FaultPlan {
    seed: u64,
    nodes: usize,
    loss: f64,
    duplicates: f64,
    delay_ms: u64,
    /// Time in milliseconds, index of the node, and fault.
    faults: Vec<(u64, usize, Fault)>,
}

fn plans() -> impl Strategy<Value = FaultPlan> {
    let fault = prop_oneof![
        1 => Just(Fault::Join),
        1 => Just(Fault::Crash),
        2 => Just(Fault::Restart),
        2 => (500_u64..15_000).prop_map(Fault::Pause),
        4 => (0_u32..300).prop_map(Fault::OfferedRate),
    ];
    let faults = vec((0_u64..35_000, 0_usize..8, fault), 0..16);
    let network = (0.0..0.5_f64, 0.0..0.3_f64, 0_u64..3000);
    (any::<u64>(), 2_usize..6, network, faults).prop_map(|(seed, nodes, network, mut faults)| {
        faults.sort_by_key(|(at, _, _)| *at);
        let (loss, duplicates, delay_ms) = network;
        FaultPlan {
            seed,
            nodes,
            loss,
            duplicates,
            delay_ms,
            faults,
        }
    })
}

fn options() -> Options {
    Options {
        reassign_delay: Duration::from_secs(8),
        max_tick_gap: Duration::from_secs(3),
        ..Options::default()
    }
}

/// Simulates a plan and calls `check` after every step.
fn run(
    plan: &FaultPlan,
    options: Options,
    drift: f64,
    mut check: impl FnMut(&Simulation) -> Result<(), TestCaseError>,
) -> Result<(), TestCaseError> {
    let faults = Faults {
        loss: plan.loss,
        duplicates: plan.duplicates,
        delay_ms: plan.delay_ms,
        drift,
    };
    let mut simulation = Simulation::new(LIMIT, options, faults, plan.seed);
    for node in 0..plan.nodes {
        simulation.join(if node == 0 { 2.0 * LIMIT } else { 5.0 });
    }
    let mut faults = plan.faults.iter().peekable();
    while simulation.now < RUN_TIME {
        while let Some((_, node, fault)) =
            faults.next_if(|f| Duration::from_millis(f.0) <= simulation.now)
        {
            apply(&mut simulation, *node % plan.nodes, *fault);
        }
        simulation.step();
        check(&simulation)?;
    }
    Ok(())
}

fn apply(simulation: &mut Simulation, node: usize, fault: Fault) {
    match fault {
        Fault::Join => simulation.join(50.0),
        Fault::Crash => simulation.crash(node),
        Fault::Restart => simulation.restart(node),
        Fault::Pause(length) => simulation.pause(node, Duration::from_millis(length)),
        Fault::OfferedRate(offered) => simulation.nodes[node].offered = f64::from(offered),
    }
}

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn check_sum(sum: f64, bound: f64) -> Result<(), TestCaseError> {
    prop_assert!(
        sum <= bound * LIMIT + ROUNDING_TOLERANCE,
        "the sum of the rates is {sum} with a limit of {LIMIT}, allowed is a factor of {bound}"
    );
    Ok(())
}

/// Guards against nodes that together admit more than the limit while messages are lost, duplicated,
/// delayed and reordered, clocks drift, and nodes join, crash, restart and pause.
#[test]
fn sum_stays_within_the_limit() {
    let runs_with_grants = Cell::new(0);
    let result = runner().run(&plans(), |plan| {
        let mut issued: f64 = 0.0;
        run(&plan, options(), 0.04, |simulation| {
            issued = issued.max(simulation.total_issued());
            check_sum(simulation.total_rate(), 1.0)
        })?;
        runs_with_grants.set(runs_with_grants.get() + u32::from(issued > 0.1 * LIMIT));
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
    assert!(
        runs_with_grants.get() > CASES / 2,
        "grants were issued in {runs_with_grants:?} cases"
    );
}

/// Guards against a check that cannot fail: a grantor that continues to use the rate it granted must be
/// detected.
#[test]
fn grantor_that_does_not_reduce_its_own_rate_is_detected() {
    let result = runner().run(&plans(), |plan| {
        run(&plan, options(), 0.04, |simulation| {
            check_sum(simulation.total_rate() + simulation.total_issued(), 1.0)
        })
    });
    assert!(result.is_err());
}

/// Guards against a check that cannot fail: without a margin, a grantor reclaims its share too early
/// when clocks drift apart, and this must be detected.
#[test]
fn grantor_that_reclaims_too_early_is_detected() {
    let options = Options {
        reclaim_margin: Duration::ZERO,
        ..options()
    };
    let result = runner().run(&plans(), |plan| {
        run(&plan, options.clone(), 0.04, |simulation| {
            check_sum(simulation.total_rate(), 1.0)
        })
    });
    assert!(result.is_err());
}

/// Guards against a check that cannot fail: a new node that does not wait until all others count it must be
/// detected.
#[test]
fn node_without_join_delay_is_detected() {
    let options = Options {
        join_delay: Duration::ZERO,
        ..options()
    };
    let result = runner().run(&plans(), |plan| {
        run(&plan, options.clone(), 0.04, |simulation| {
            check_sum(simulation.total_rate(), 1.0)
        })
    });
    assert!(result.is_err());
}

/// Guards against both sides of a partition taking over each other's share, and against a sum that stays
/// above the limit after the partition.
#[test]
fn sum_in_a_partition_is_at_most_one_and_a_half_limits() {
    for (nodes, seed) in [(2, 1), (4, 2), (5, 3), (5, 4)] {
        let faults = Faults {
            loss: 0.1,
            duplicates: 0.1,
            delay_ms: 500,
            drift: 0.04,
        };
        let mut simulation = Simulation::new(LIMIT, options(), faults, seed);
        for _ in 0..nodes {
            simulation.join(2.0 * LIMIT);
        }
        let mut largest: f64 = 0.0;
        while simulation.now < Duration::from_secs(60) {
            let partitioned = simulation.now >= Duration::from_secs(10)
                && simulation.now < Duration::from_secs(40);
            for node in 0..nodes / 2 {
                simulation.set_partition(node, u32::from(partitioned));
            }
            simulation.step();
            check_sum(simulation.total_rate(), 1.5).unwrap();
            largest = largest.max(simulation.total_rate());
            if simulation.now < Duration::from_secs(17) || simulation.now > Duration::from_secs(42)
            {
                check_sum(simulation.total_rate(), 1.0).unwrap();
            }
        }
        assert!(
            largest > 1.3 * LIMIT,
            "the majority takes over the share of the others: {largest}"
        );
        assert!(
            simulation.total_rate() > 0.8 * LIMIT,
            "the share is in use again: {}",
            simulation.total_rate()
        );
    }
}

/// Guards against a bucket that admits more than the rates and the burst allow.
#[test]
fn admitted_calls_stay_within_limit_and_burst() {
    let faults = Faults {
        delay_ms: 5,
        ..Faults::default()
    };
    let mut simulation = Simulation::new(LIMIT, options(), faults, 1);
    for node in 0..5 {
        simulation.join(if node < 2 { 3.0 * LIMIT } else { 0.0 });
    }
    let mut admitted = Vec::new();
    while simulation.now < RUN_TIME {
        simulation.step();
        admitted.push(
            simulation
                .nodes
                .iter()
                .map(|node| node.admitted)
                .sum::<u64>(),
        );
    }
    for seconds in [1, 5] {
        let max_calls = LIMIT * (seconds as f64 + 0.1) + 5.0;
        for window in admitted.windows(seconds * 100 + 1) {
            let calls = window[window.len() - 1] - window[0];
            assert!(calls as f64 <= max_calls, "{calls} calls in {seconds} s");
        }
    }
    let last = admitted[admitted.len() - 1] - admitted[admitted.len() - 1001];
    assert!(
        last as f64 >= 0.85 * LIMIT * 10.0,
        "{last} calls in the last 10 s"
    );
}
