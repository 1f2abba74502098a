//! Checks that calls with idempotency keys are executed at most once while faults are injected.

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
use crate::deployment::RunningDeployment;
use crate::error::Error;
use crate::load;

/// Replacement in the contract that shortens the ownership intervals of idempotency keys, so that
/// keys change their owner several times in a run.
const KEY_INTERVAL_CHANGE: (&str, &str) = ("key_interval: 60s", "key_interval: 4s");
/// Time after the end of a node's fault during which it gets no other, in milliseconds.
const RECOVERY_MS: u64 = 2_000;
/// Time at the end of a run during which no fault starts, in milliseconds.
const FAULT_FREE_MS: u64 = 8_000;
/// Time between the kill and the restart of a node, in milliseconds.
const DOWNTIME_MS: std::ops::Range<u64> = 500..3_000;
/// Time for which a node is frozen, in milliseconds; longer than the ownership interval of keys.
const FREEZE_MS: std::ops::Range<u64> = 5_000..7_500;
/// Time for which the log is down, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 2_000..6_000;
/// Time by which late answers are delayed, in milliseconds; longer than the deadline of the calls.
const ANSWER_DELAY_MS: u64 = 2_500;

/// Fields of the stream of calls, with idempotency keys, to the service `ledger`.
const FEES: &str = "customer: association, rank: fee, method: POST, path: /fees, body_bytes: 64, deadline_ms: 2000, keyed: true";
/// Fields of the stream of calls, with idempotency keys, to the service `workshop`.
const COMMISSIONS: &str = "customer: association, rank: commission, method: POST, path: /commissions, body_bytes: 64, deadline_ms: 2000, keyed: true";

/// Settings of the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Lowest port that the processes use.
    pub port_base: u16,
    /// Seed of the faults and of the load.
    pub seed: u64,
    /// Length of the load, in seconds.
    pub seconds: u64,
    /// Rate of both streams together, in calls per second.
    pub rate: f64,
    /// Time before the first fault and between the starts of two faults, in milliseconds.
    pub fault_interval_ms: u64,
}

/// A fault or its end; instances are given by their index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Fault {
    /// Kills the node of an instance with SIGKILL.
    Kill(usize),
    /// Restarts the killed node of an instance.
    Restart(usize),
    /// Freezes the node of an instance with SIGSTOP.
    Freeze(usize),
    /// Resumes the frozen node of an instance with SIGCONT.
    Resume(usize),
    /// The log executes the given number of appends without answering them.
    LoseLogAnswers(u64),
    /// The log becomes unavailable (true) or available again (false).
    LogOutage(bool),
    /// The backend server of an instance runs the given number of calls without answering them.
    LoseAnswers(usize, u64),
    /// The backend server of an instance answers the given number of calls after their deadline.
    LateAnswers(usize, u64),
}

/// A fault and the time at which it is injected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ScheduledFault {
    /// Time since the start of the load, in milliseconds.
    pub at_ms: u64,
    /// Fault to inject.
    pub fault: Fault,
}

/// Results of the experiment.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Seed of the faults and of the load.
    pub seed: u64,
    /// Injected faults in order of time.
    pub faults: Vec<ScheduledFault>,
    /// Report of the load generator with the comparison with the ledgers.
    pub report: Report,
}

impl Outcome {
    /// Returns whether the ledgers agree with all outcomes that callers received.
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

/// Returns the schedule of faults in order of time. It depends only on the options and the number
/// of instances. A node gets a fault only while it has no other one, unless all nodes have one.
///
/// ```
/// use hitch_bench::once::{schedule, Options};
/// let options = Options { port_base: 1, seed: 1, seconds: 60, rate: 1.0, fault_interval_ms: 2000 };
/// assert_eq!(schedule(&options, 12), schedule(&options, 12));
/// ```
pub fn schedule(options: &Options, instances: usize) -> Vec<ScheduledFault> {
    let interval_ms = options.fault_interval_ms.max(1);
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut scheduled_faults = Vec::new();
    let mut free_at_ms = vec![0; instances];
    let end_ms = (options.seconds * 1_000).saturating_sub(FAULT_FREE_MS);
    let mut at_ms = interval_ms;
    let mut round = 0;
    while at_ms < end_ms {
        let index = pick_instance(&mut rng, &free_at_ms, at_ms);
        let faults = draw_faults(&mut rng, round, index);
        for (delay_ms, fault) in faults {
            if matches!(fault, Fault::Restart(_) | Fault::Resume(_)) {
                free_at_ms[index] = at_ms + delay_ms + RECOVERY_MS;
            }
            scheduled_faults.push(ScheduledFault {
                at_ms: at_ms + delay_ms,
                fault,
            });
        }
        at_ms += interval_ms;
        round += 1;
    }
    scheduled_faults.sort_by_key(|scheduled| scheduled.at_ms);
    scheduled_faults
}

/// Picks a random instance whose node has no fault, or any instance if all nodes have one.
fn pick_instance(rng: &mut impl Rng, free_at_ms: &[u64], at_ms: u64) -> usize {
    let first = rng.random_range(0..free_at_ms.len());
    for offset in 0..free_at_ms.len() {
        let index = (first + offset) % free_at_ms.len();
        if free_at_ms[index] <= at_ms {
            return index;
        }
    }
    first
}

/// Returns the faults of a round with their delays in milliseconds. The kinds of faults alternate
/// from round to round.
fn draw_faults(rng: &mut impl Rng, round: u64, index: usize) -> Vec<(u64, Fault)> {
    match round % 6 {
        0 => {
            let downtime_ms = rng.random_range(DOWNTIME_MS);
            vec![
                (0, Fault::Kill(index)),
                (downtime_ms, Fault::Restart(index)),
            ]
        }
        1 => {
            let freeze_ms = rng.random_range(FREEZE_MS);
            vec![(0, Fault::Freeze(index)), (freeze_ms, Fault::Resume(index))]
        }
        2 => vec![(0, Fault::LoseLogAnswers(rng.random_range(1..4)))],
        3 => vec![(0, Fault::LoseAnswers(index, rng.random_range(5..30)))],
        4 => vec![(0, Fault::LateAnswers(index, rng.random_range(5..30)))],
        _ => {
            let outage_ms = rng.random_range(OUTAGE_MS);
            vec![
                (0, Fault::LogOutage(true)),
                (outage_ms, Fault::LogOutage(false)),
            ]
        }
    }
}

/// Runs the experiment: sends calls with idempotency keys while faults are injected, and compares
/// the outcomes that callers received with the ledgers of the backend servers.
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
    let contract = deployment.contract_with(&[KEY_INTERVAL_CHANGE])?;
    let mut running = RunningDeployment::start(deployment, options.port_base, &contract).await?;
    let streams = format!(
        "- {{ name: fees, {FEES}, rate: 20 }}\n- {{ name: commissions, {COMMISSIONS}, rate: 20 }}\n"
    );
    load::wait_until_served(&running, &streams).await?;
    let stream_rate = options.rate / 2.0;
    let fields = format!(
        "duration_ms: {}\nseed: {}\nstreams:\n\
         - {{ name: fees, {FEES}, rate: {stream_rate}, resends: 4 }}\n\
         - {{ name: commissions, {COMMISSIONS}, rate: {stream_rate}, resends: 4 }}\n",
        options.seconds * 1_000,
        options.seed
    );
    let mut plan = load::plan(&running.callers(), &fields)?;
    plan.ledgers = running.backends();
    let faults = schedule(options, running.instances.len());
    let load_run = load::run(&plan);
    let (report, injected) = tokio::join!(load_run, inject(&mut running, &faults));
    injected?;
    Ok(Outcome {
        seed: options.seed,
        faults,
        report: report?,
    })
}

/// Injects each fault at its time.
async fn inject(running: &mut RunningDeployment, faults: &[ScheduledFault]) -> Result<(), Error> {
    let started = Instant::now();
    for scheduled in faults {
        let wait = Duration::from_millis(scheduled.at_ms).saturating_sub(started.elapsed());
        tokio::time::sleep(wait).await;
        apply(running, &scheduled.fault).await?;
    }
    Ok(())
}

/// Injects a fault or ends it.
async fn apply(running: &mut RunningDeployment, fault: &Fault) -> Result<(), Error> {
    let log = running.log;
    match fault {
        Fault::Kill(index) => running.instances[*index].node = None,
        Fault::Restart(index) => running.start_node(*index)?,
        Fault::Freeze(index) => signal(running, *index, "-STOP")?,
        Fault::Resume(index) => signal(running, *index, "-CONT")?,
        Fault::LoseLogAnswers(count) => {
            let control = json!({ "lose_answers": count });
            running.http.control(log, &control).await?;
        }
        Fault::LogOutage(outage) => {
            let control = json!({ "outage": outage });
            running.http.control(log, &control).await?;
        }
        Fault::LoseAnswers(index, count) => {
            let control = json!({ "lose_answers": count });
            let backend = running.instances[*index].backend;
            running.http.control(backend, &control).await?;
        }
        Fault::LateAnswers(index, count) => {
            let control = json!({ "late_answers": count, "late_ms": ANSWER_DELAY_MS });
            let backend = running.instances[*index].backend;
            running.http.control(backend, &control).await?;
        }
    }
    Ok(())
}

/// Sends a signal to the node of an instance, unless it is stopped.
fn signal(running: &RunningDeployment, index: usize, signal: &str) -> Result<(), Error> {
    match &running.instances[index].node {
        Some(node) => node.signal(signal),
        None => Ok(()),
    }
}

/// The table that `hitch-bench once` prints.
impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {} faults:", self.seed, self.faults.len())?;
        for scheduled in &self.faults {
            writeln!(f, "  {:>6} ms  {:?}", scheduled.at_ms, scheduled.fault)?;
        }
        write!(f, "{}", self.report)?;
        let verdict = if self.is_clean() { "met" } else { "MISSED" };
        writeln!(f, "target (0 duplicates, 0 false not-run): {verdict}")
    }
}
