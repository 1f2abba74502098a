//! Integration tests of the simulation.

mod defects;
mod harness;
mod matrix;
mod scenarios;

use hitch_scenario::Scenario;
use hitch_scenario::simulation::Options;
use hitch_scenario::simulation::Report;
use hitch_scenario::simulation::run;

/// Seeds of the runs of every scenario.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Runs a scenario with each seed, and fails if an expectation or an invariant does not hold.
fn assert_holds(text: &str) {
    for seed in SEEDS {
        let report = run_seed(text, seed, Options::default());
        assert_eq!(report.violations, [], "seed {seed}");
        let armed = text.matches("before:").count();
        assert_eq!(
            report.triggered, armed,
            "seed {seed}: an armed fault was not injected"
        );
        assert!(
            report.failures.is_empty(),
            "seed {seed}: {:?}",
            report.failures
        );
    }
}

fn run_seed(text: &str, seed: u64, options: Options) -> Report {
    let mut scenario = Scenario::from_yaml(text).expect("a valid scenario");
    scenario.seed = seed;
    run(&scenario, options)
}
