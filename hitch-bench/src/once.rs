//! At-most-once execution under faults.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use hitch_load::Report;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::Running;
use crate::error::Error;
use crate::load;

/// Length of the ownership intervals, short enough for several takeovers in a run.
const KEY_INTERVAL: (&str, &str) = ("key_interval: 60s", "key_interval: 4s");
/// Time after the end of a fault of a node in which it has no other, in milliseconds.
const RECOVERY_MS: u64 = 2_000;
/// Time at the end of a run in which no fault begins, in milliseconds.
const CALM_MS: u64 = 8_000;
/// Time for which a killed node is away, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 500..3_000;
/// Time for which a node is frozen, in milliseconds; longer than the key interval.
const FROZEN_MS: std::ops::Range<u64> = 5_000..7_500;
/// Time for which the log is down, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 2_000..6_000;
/// Time by which answers are late, in milliseconds; longer than the deadline of the calls.
const LATE_MS: u64 = 2_500;

/// Fields of the keyed calls to the service `ledger`.
const FEES: &str = "customer: association, rank: fee, method: POST, path: /fees, body_bytes: 64, deadline_ms: 2000, keyed: true";
/// Fields of the keyed calls to the service `workshop`.
const COMMISSIONS: &str = "customer: association, rank: commission, method: POST, path: /commissions, body_bytes: 64, deadline_ms: 2000, keyed: true";

/// How to run the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// First port.
    pub port_base: u16,
    /// Seed of the faults and of the load.
    pub seed: u64,
    /// Length of the load, in seconds.
    pub seconds: u64,
    /// Calls per second.
    pub rate: f64,
    /// Pause before the first fault and between two faults, in milliseconds.
    pub fault_interval_ms: u64,
}

/// What a fault does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Fault {
    /// Kills the node of an instance.
    Kill(usize),
    /// Starts the node of an instance again.
    Restart(usize),
    /// Freezes the node of an instance.
    Freeze(usize),
    /// Resumes the node of an instance.
    Resume(usize),
    /// The log takes some appends without an answer.
    LoseLogAnswers(u64),
    /// The log goes down or comes back.
    LogOutage(bool),
    /// The backend server of an instance runs some calls without an answer.
    LoseAnswers(usize, u64),
    /// The backend server of an instance answers some calls late.
    LateAnswers(usize, u64),
}

/// A fault at a time of the run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Timed {
    /// Time since the start of the load, in milliseconds.
    pub at_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// Results of the experiment.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Seed of the faults and of the load.
    pub seed: u64,
    /// Faults in order.
    pub faults: Vec<Timed>,
    /// Report of the load tool with the audit.
    pub report: Report,
}

impl Outcome {
    /// Returns whether the ledgers agree with everything callers were told.
    ///
    /// ```no_run
    /// # fn show(outcome: &hitch_bench::once::Outcome) {
    /// assert!(outcome.is_clean());
    /// # }
    /// ```
    pub fn is_clean(&self) -> bool {
        self.report.audit.as_ref().is_some_and(|audit| {
            audit.duplicates.count == 0
                && audit.false_not_run.count == 0
                && audit.answered_without_run.count == 0
        })
    }
}

/// Returns the schedule of faults; no instance has two faults of its node at once.
///
/// ```
/// use hitch_bench::once::{schedule, Options};
/// let options = Options { port_base: 1, seed: 1, seconds: 60, rate: 1.0, fault_interval_ms: 2000 };
/// assert_eq!(schedule(&options, 12), schedule(&options, 12));
/// ```
pub fn schedule(options: &Options, instances: usize) -> Vec<Timed> {
    let interval_ms = options.fault_interval_ms.max(1);
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut out = Vec::new();
    let mut free_at_ms = vec![0; instances];
    let end_ms = (options.seconds * 1_000).saturating_sub(CALM_MS);
    let mut at_ms = interval_ms;
    let mut round = 0;
    while at_ms < end_ms {
        let number = free_instance(&mut rng, &free_at_ms, at_ms);
        let faults = draw(&mut rng, round, number);
        for (delay_ms, fault) in faults {
            if matches!(fault, Fault::Restart(_) | Fault::Resume(_)) {
                free_at_ms[number] = at_ms + delay_ms + RECOVERY_MS;
            }
            out.push(Timed {
                at_ms: at_ms + delay_ms,
                fault,
            });
        }
        at_ms += interval_ms;
        round += 1;
    }
    out.sort_by_key(|timed| timed.at_ms);
    out
}

fn free_instance(rng: &mut impl Rng, free_at_ms: &[u64], at_ms: u64) -> usize {
    let first = rng.random_range(0..free_at_ms.len());
    for offset in 0..free_at_ms.len() {
        let number = (first + offset) % free_at_ms.len();
        if free_at_ms[number] <= at_ms {
            return number;
        }
    }
    first
}

/// Returns the faults of a round with their delays; the kinds take turns.
fn draw(rng: &mut impl Rng, round: u64, number: usize) -> Vec<(u64, Fault)> {
    match round % 6 {
        0 => {
            let away_ms = rng.random_range(AWAY_MS);
            vec![(0, Fault::Kill(number)), (away_ms, Fault::Restart(number))]
        }
        1 => {
            let frozen_ms = rng.random_range(FROZEN_MS);
            vec![
                (0, Fault::Freeze(number)),
                (frozen_ms, Fault::Resume(number)),
            ]
        }
        2 => vec![(0, Fault::LoseLogAnswers(rng.random_range(1..4)))],
        3 => vec![(0, Fault::LoseAnswers(number, rng.random_range(5..30)))],
        4 => vec![(0, Fault::LateAnswers(number, rng.random_range(5..30)))],
        _ => {
            let outage_ms = rng.random_range(OUTAGE_MS);
            vec![
                (0, Fault::LogOutage(true)),
                (outage_ms, Fault::LogOutage(false)),
            ]
        }
    }
}

/// Sends keyed calls to the Association while faults happen, and compares the ledgers with what
/// callers were told.
///
/// ```no_run
/// # async fn run(deployment: &hitch_bench::Deployment) -> Result<(), hitch_bench::Error> {
/// let options = hitch_bench::once::Options {
///     port_base: 21000,
///     seed: 1,
///     seconds: 60,
///     rate: 200.0,
///     fault_interval_ms: 2000,
/// };
/// let outcome = hitch_bench::once::run(deployment, &options).await?;
/// # Ok(())
/// # }
/// ```
pub async fn run(deployment: &Deployment, options: &Options) -> Result<Outcome, Error> {
    let contract = deployment.contract_with(&[KEY_INTERVAL])?;
    let mut running = Running::start(deployment, options.port_base, &contract).await?;
    let streams = format!(
        "- {{ name: fees, {FEES}, rate: 20 }}\n- {{ name: commissions, {COMMISSIONS}, rate: 20 }}\n"
    );
    load::wait_until_served(&running, &streams).await?;
    let half = options.rate / 2.0;
    let rest = format!(
        "duration_ms: {}\nseed: {}\nstreams:\n\
         - {{ name: fees, {FEES}, rate: {half}, resends: 4 }}\n\
         - {{ name: commissions, {COMMISSIONS}, rate: {half}, resends: 4 }}\n",
        options.seconds * 1_000,
        options.seed
    );
    let mut plan = load::plan(&running.callers(), &rest)?;
    plan.ledgers = running.backends();
    let faults = schedule(options, running.instances.len());
    let sent = load::run(&plan);
    let (report, injected) = tokio::join!(sent, inject(&mut running, &faults));
    injected?;
    Ok(Outcome {
        seed: options.seed,
        faults,
        report: report?,
    })
}

async fn inject(running: &mut Running, faults: &[Timed]) -> Result<(), Error> {
    let started = Instant::now();
    for timed in faults {
        let wait = Duration::from_millis(timed.at_ms).saturating_sub(started.elapsed());
        tokio::time::sleep(wait).await;
        apply(running, &timed.fault).await?;
    }
    Ok(())
}

async fn apply(running: &mut Running, fault: &Fault) -> Result<(), Error> {
    let log = running.log;
    match fault {
        Fault::Kill(number) => running.instances[*number].node = None,
        Fault::Restart(number) => running.start_node(*number)?,
        Fault::Freeze(number) => signal(running, *number, "-STOP")?,
        Fault::Resume(number) => signal(running, *number, "-CONT")?,
        Fault::LoseLogAnswers(count) => {
            let faults = json!({ "lose_answers": count });
            running.http.control(log, &faults).await?;
        }
        Fault::LogOutage(outage) => {
            let faults = json!({ "outage": outage });
            running.http.control(log, &faults).await?;
        }
        Fault::LoseAnswers(number, count) => {
            let faults = json!({ "lose_answers": count });
            let backend = running.instances[*number].backend;
            running.http.control(backend, &faults).await?;
        }
        Fault::LateAnswers(number, count) => {
            let faults = json!({ "late_answers": count, "late_ms": LATE_MS });
            let backend = running.instances[*number].backend;
            running.http.control(backend, &faults).await?;
        }
    }
    Ok(())
}

fn signal(running: &Running, number: usize, signal: &str) -> Result<(), Error> {
    match &running.instances[number].node {
        Some(node) => node.signal(signal),
        None => Ok(()),
    }
}

/// The table that `hitch-bench once` prints.
impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {} faults:", self.seed, self.faults.len())?;
        for timed in &self.faults {
            writeln!(f, "  {:>6} ms  {:?}", timed.at_ms, timed.fault)?;
        }
        write!(f, "{}", self.report)?;
        let verdict = if self.is_clean() { "met" } else { "MISSED" };
        writeln!(f, "target (0 duplicates, 0 false not-run): {verdict}")
    }
}
