//! Measures retry amplification: how often the last of 18 levels of a call chain runs for each call that
//! enters the mesh.
//!
//! Run with `cargo run --release -p hitch-retry --example amplification`. Nothing is sent over a network;
//! the levels are functions that call each other and draw failures from a seeded random number generator.

use std::time::Duration;

use hitch_retry::Bucket;
use hitch_retry::Budget;
use hitch_retry::Decision;
use hitch_retry::Options;
use hitch_retry::Outcome;
use hitch_retry::RetryContext;
use hitch_retry::Unknown;
use hitch_retry::decide;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const DEPTH: u32 = 18;
const CALLS: u32 = 100_000;
const SEED: u64 = 20_260_901;

struct Run {
    rng: ChaCha8Rng,
    failure_rate: f64,
    backends_report: bool,
    last_level_runs: u64,
}

impl Run {
    fn new(failure_rate: f64, backends_report: bool) -> Run {
        Run {
            rng: ChaCha8Rng::seed_from_u64(SEED),
            failure_rate,
            backends_report,
            last_level_runs: 0,
        }
    }

    /// Runs the backend server of `level`, and returns its outcome and the remaining budget that its answer
    /// reports, in thousandths of a call.
    fn backend(&mut self, level: u32, budget: Budget) -> (Outcome, Option<u32>) {
        let failure = Outcome::Unknown(Unknown::BackendFailed);
        if level == DEPTH {
            self.last_level_runs += 1;
            let fails = self.rng.random_bool(self.failure_rate);
            let remaining = self.backends_report.then_some(budget.milli());
            return (if fails { failure } else { Outcome::Answered }, remaining);
        }
        let (outcome, budget) = self.inner_node(level + 1, budget);
        let remaining = self.backends_report.then_some(budget.milli());
        (
            if outcome == Outcome::Answered {
                outcome
            } else {
                failure
            },
            remaining,
        )
    }

    /// Calls `level` from a node downstream of the entry node, which has only the budget of the call.
    fn inner_node(&mut self, level: u32, mut budget: Budget) -> (Outcome, Budget) {
        for attempt in 1.. {
            let (outcome, remaining) = self.backend(level, budget.hand_down());
            budget.take_back(remaining);
            if !self.may_retry(attempt, outcome, budget.milli()) || !budget.try_spend() {
                return (outcome, budget);
            }
        }
        unreachable!("the attempts are bounded")
    }

    /// Calls the first level from the entry node, which earns and spends the credit of its bucket.
    fn entry_node(&mut self, bucket: &mut Bucket) -> Outcome {
        bucket.earn();
        let mut budget = bucket.grant();
        for attempt in 1.. {
            let (outcome, remaining) = self.backend(1, budget.hand_down());
            budget.take_back(remaining);
            bucket.put_back(budget.hand_down());
            if !self.may_retry(attempt, outcome, bucket.milli()) || !bucket.try_spend() {
                return outcome;
            }
        }
        unreachable!("the attempts are bounded")
    }

    /// Calls `level` and retries each failure without a budget, up to `attempts` attempts at each level.
    fn naive(&mut self, level: u32, attempts: u32) -> Outcome {
        let mut outcome = Outcome::Answered;
        for _ in 0..attempts {
            outcome = match level {
                DEPTH => self.backend(DEPTH, Budget::default()).0,
                _ => self.naive(level + 1, attempts),
            };
            if outcome == Outcome::Answered {
                break;
            }
        }
        outcome
    }

    fn may_retry(&mut self, attempt: u32, outcome: Outcome, budget_milli: u32) -> bool {
        let context = RetryContext {
            attempt,
            outcome: Some(outcome),
            idempotent: true,
            elapsed: Duration::from_millis(1),
            remaining_time: Duration::from_secs(10),
            budget_milli,
            expected_latency: Duration::from_millis(1),
        };
        let decision = decide::next(&Options::default(), &context, &mut self.rng);
        matches!(decision, Decision::Retry { .. })
    }
}

fn main() {
    println!("{DEPTH} levels, idempotent calls, last level fails; seed {SEED}");
    println!("policy                          failing  calls   amplification  answered");
    for failure_rate in [1.0, 0.5, 0.1, 0.01] {
        for backends_report in [true, false] {
            let mut run = Run::new(failure_rate, backends_report);
            let mut bucket = Bucket::new(Default::default());
            let mut answered = 0;
            for _ in 0..CALLS {
                answered += u32::from(run.entry_node(&mut bucket) == Outcome::Answered);
            }
            let name = if backends_report {
                "budget, returned on answers"
            } else {
                "budget, not returned"
            };
            report(name, &run, CALLS, answered);
        }
        for attempts in [2, 3] {
            let calls = if failure_rate == 1.0 { 1 } else { 1_000 };
            let mut run = Run::new(failure_rate, false);
            let mut answered = 0;
            for _ in 0..calls {
                answered += u32::from(run.naive(1, attempts) == Outcome::Answered);
            }
            report(
                &format!("naive, {attempts} attempts a level"),
                &run,
                calls,
                answered,
            );
        }
    }
}

fn report(name: &str, run: &Run, calls: u32, answered: u32) {
    let amplification = run.last_level_runs as f64 / f64::from(calls);
    let share = 100.0 * f64::from(answered) / f64::from(calls);
    println!(
        "{name:<30} {:>7.0}% {calls:>7} {amplification:>14.3} {share:>9.2}%",
        100.0 * run.failure_rate
    );
}
