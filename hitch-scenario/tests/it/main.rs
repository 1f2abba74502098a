//! Tests.

mod broken;
mod fakes;
mod matrix;
mod scenarios;

use hitch_scenario::Scenario;
use hitch_scenario::world::Options;
use hitch_scenario::world::Report;
use hitch_scenario::world::run;

/// Seeds that every scenario runs with.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Runs a scenario with each seed, and fails when an expectation or an invariant does not hold.
fn prove(text: &str) {
    for seed in SEEDS {
        let report = report(text, seed, Options::default());
        assert_eq!(report.violations, [], "seed {seed}");
        let armed = text.matches("before:").count();
        assert_eq!(report.struck, armed, "seed {seed}: a fault did not strike");
        assert!(
            report.failures.is_empty(),
            "seed {seed}: {:?}",
            report.failures
        );
    }
}

fn report(text: &str, seed: u64, options: Options) -> Report {
    let mut scenario = Scenario::from_yaml(text).expect("a scenario");
    scenario.seed = seed;
    run(&scenario, options)
}
