//! Bounds on overshoot under faults, as stated at `hitch_share::share`.

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
use crate::sim::World;

const LIMIT: f64 = 100.0;
const CASES: u32 = 96;
const LENGTH: Duration = Duration::from_secs(40);

/// Room for rounding in a sum of rates.
const ROUNDING: f64 = 1e-6;

#[derive(Debug, Clone, Copy)]
enum Fault {
    Join,
    Crash,
    Restart,
    Pause(u64),
    Demand(u32),
}

#[derive(Debug, Clone)]
struct Plan {
    seed: u64,
    nodes: usize,
    loss: f64,
    repeats: f64,
    delay_ms: u64,
    /// Time in milliseconds, node and fault.
    faults: Vec<(u64, usize, Fault)>,
}

fn plans() -> impl Strategy<Value = Plan> {
    let fault = prop_oneof![
        1 => Just(Fault::Join),
        1 => Just(Fault::Crash),
        2 => Just(Fault::Restart),
        2 => (500_u64..15_000).prop_map(Fault::Pause),
        4 => (0_u32..300).prop_map(Fault::Demand),
    ];
    let faults = vec((0_u64..35_000, 0_usize..8, fault), 0..16);
    let network = (0.0..0.5_f64, 0.0..0.3_f64, 0_u64..3000);
    (any::<u64>(), 2_usize..6, network, faults).prop_map(|(seed, nodes, network, mut faults)| {
        faults.sort_by_key(|(at, _, _)| *at);
        let (loss, repeats, delay_ms) = network;
        Plan {
            seed,
            nodes,
            loss,
            repeats,
            delay_ms,
            faults,
        }
    })
}

fn options() -> Options {
    Options {
        hold: Duration::from_secs(8),
        pause: Duration::from_secs(3),
        ..Options::default()
    }
}

/// Runs a plan and calls `check` after every step.
fn run(
    plan: &Plan,
    options: Options,
    drift: f64,
    mut check: impl FnMut(&World) -> Result<(), TestCaseError>,
) -> Result<(), TestCaseError> {
    let network = Faults {
        loss: plan.loss,
        repeats: plan.repeats,
        delay_ms: plan.delay_ms,
        drift,
    };
    let mut world = World::new(LIMIT, options, network, plan.seed);
    for node in 0..plan.nodes {
        world.join(if node == 0 { 2.0 * LIMIT } else { 5.0 });
    }
    let mut faults = plan.faults.iter().peekable();
    while world.now < LENGTH {
        while let Some((_, node, fault)) =
            faults.next_if(|f| Duration::from_millis(f.0) <= world.now)
        {
            apply(&mut world, *node % plan.nodes, *fault);
        }
        world.step();
        check(&world)?;
    }
    Ok(())
}

fn apply(world: &mut World, node: usize, fault: Fault) {
    match fault {
        Fault::Join => world.join(50.0),
        Fault::Crash => world.crash(node),
        Fault::Restart => world.restart(node),
        Fault::Pause(length) => world.pause(node, Duration::from_millis(length)),
        Fault::Demand(offered) => world.nodes[node].offered = f64::from(offered),
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

fn within(sum: f64, bound: f64) -> Result<(), TestCaseError> {
    prop_assert!(
        sum <= bound * LIMIT + ROUNDING,
        "the sum is {sum} of {LIMIT}"
    );
    Ok(())
}

/// Guards against nodes that together admit more than the limit while messages are lost, repeated, delayed and
/// reordered, clocks drift, and nodes join, crash, restart and pause.
#[test]
fn sum_stays_within_the_limit() {
    let moved = Cell::new(0);
    let result = runner().run(&plans(), |plan| {
        let mut given: f64 = 0.0;
        run(&plan, options(), 0.04, |world| {
            given = given.max(world.given());
            within(world.sum(), 1.0)
        })?;
        moved.set(moved.get() + u32::from(given > 0.1 * LIMIT));
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
    assert!(moved.get() > CASES / 2, "share moved in {moved:?} cases");
}

/// Guards against a check that cannot fail: a giver that keeps using what it gave away is caught.
#[test]
fn giver_that_does_not_reduce_its_own_rate_is_caught() {
    let result = runner().run(&plans(), |plan| {
        run(&plan, options(), 0.04, |world| {
            within(world.sum() + world.given(), 1.0)
        })
    });
    assert!(result.is_err());
}

/// Guards against the same for the margin: without one, clocks that drift apart are caught.
#[test]
fn giver_that_takes_back_too_early_is_caught() {
    let options = Options {
        margin: Duration::ZERO,
        ..options()
    };
    let result = runner().run(&plans(), |plan| {
        run(&plan, options.clone(), 0.04, |world| {
            within(world.sum(), 1.0)
        })
    });
    assert!(result.is_err());
}

/// Guards against the same for joining: a node that does not wait to be counted is caught.
#[test]
fn node_that_does_not_settle_is_caught() {
    let options = Options {
        settle: Duration::ZERO,
        ..options()
    };
    let result = runner().run(&plans(), |plan| {
        run(&plan, options.clone(), 0.04, |world| {
            within(world.sum(), 1.0)
        })
    });
    assert!(result.is_err());
}

/// Guards against both sides of a partition taking over each other's share, and against a sum that stays
/// high after it.
#[test]
fn sum_in_a_partition_is_at_most_one_and_a_half_limits() {
    for (nodes, seed) in [(2, 1), (4, 2), (5, 3), (5, 4)] {
        let network = Faults {
            loss: 0.1,
            repeats: 0.1,
            delay_ms: 500,
            drift: 0.04,
        };
        let mut world = World::new(LIMIT, options(), network, seed);
        for _ in 0..nodes {
            world.join(2.0 * LIMIT);
        }
        let mut largest: f64 = 0.0;
        while world.now < Duration::from_secs(60) {
            let cut = world.now >= Duration::from_secs(10) && world.now < Duration::from_secs(40);
            for node in 0..nodes / 2 {
                world.set_side(node, u32::from(cut));
            }
            world.step();
            within(world.sum(), 1.5).unwrap();
            largest = largest.max(world.sum());
            if world.now < Duration::from_secs(17) || world.now > Duration::from_secs(42) {
                within(world.sum(), 1.0).unwrap();
            }
        }
        assert!(largest > 1.3 * LIMIT, "the majority takes over: {largest}");
        assert!(
            world.sum() > 0.8 * LIMIT,
            "the share is in use again: {}",
            world.sum()
        );
    }
}

/// Guards against a bucket that admits more than the rates and the burst allow.
#[test]
fn admitted_calls_stay_within_limit_and_burst() {
    let network = Faults {
        delay_ms: 5,
        ..Faults::default()
    };
    let mut world = World::new(LIMIT, options(), network, 1);
    for node in 0..5 {
        world.join(if node < 2 { 3.0 * LIMIT } else { 0.0 });
    }
    let mut admitted = Vec::new();
    while world.now < LENGTH {
        world.step();
        admitted.push(world.nodes.iter().map(|node| node.admitted).sum::<u64>());
    }
    for seconds in [1, 5] {
        let most = LIMIT * (seconds as f64 + 0.1) + 5.0;
        for window in admitted.windows(seconds * 100 + 1) {
            let calls = window[window.len() - 1] - window[0];
            assert!(calls as f64 <= most, "{calls} calls in {seconds} s");
        }
    }
    let last = admitted[admitted.len() - 1] - admitted[admitted.len() - 1001];
    assert!(
        last as f64 >= 0.85 * LIMIT * 10.0,
        "{last} calls in the last 10 s"
    );
}
