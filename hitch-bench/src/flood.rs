//! Floods of the least and of the most urgent rank.

use std::fmt;

use hitch_load::Report;
use hitch_load::report::Row;
use serde::Serialize;

use crate::deployment::Deployment;
use crate::deployment::Running;
use crate::error::Error;
use crate::load;

/// Service time of a call, in milliseconds; it makes a flood exceed the capacity at rates that one
/// machine can generate.
const WORK_MS: u64 = 50;
/// Factor of a flood.
const FACTOR: u32 = 10;
/// Length of a measured phase, in milliseconds.
const PHASE_MS: u64 = 10_000;
/// Time between two measured phases, in milliseconds.
const PAUSE_MS: u64 = 4_000;
/// Largest ratio of the urgent p99 in a flood to the unflooded one.
const MAX_RATIO: f64 = 1.2;
/// Least part of the goodput or of the share that must be kept.
const MIN_KEPT: f64 = 0.95;

/// A rank and its load on the first service of the deployment.
#[derive(Debug, Clone, Copy)]
struct Rank {
    name: &'static str,
    path: &'static str,
    rate: u32,
    /// Guaranteed share of the contract.
    share: f64,
}

const fn rank(name: &'static str, path: &'static str, rate: u32, share: f64) -> Rank {
    Rank {
        name,
        path,
        rate,
        share,
    }
}

/// Ranks of the Association, most urgent first, on the service `registry`.
const ASSOCIATION: [Rank; 4] = [
    rank("fee", "/credentials/1", 100, 0.3),
    rank("commission", "/calibrations/2", 100, 0.3),
    rank("lookup", "/credentials/3", 250, 0.2),
    rank("enquiry", "/instruments/4", 400, 0.1),
];
/// Ranks of Tbilisi, most urgent first, on the service `readings`.
const TBILISI: [Rank; 4] = [
    rank("booking", "/probes/1", 100, 0.3),
    rank("claim", "/probes/2", 100, 0.3),
    rank("lookup", "/probes/3", 300, 0.2),
    rank("reading", "/readings/4", 600, 0.1),
];

/// Result of one rank in a flood.
#[derive(Debug, Serialize)]
pub struct Kept {
    /// Name of the rank.
    pub rank: Box<str>,
    /// Name of the flood.
    pub flood: Box<str>,
    /// Goodput in the flood, in calls per second.
    pub goodput: f64,
    /// Goodput that the target refers to, in calls per second: the unflooded one, at the rate that
    /// was really offered in the flood, or the guaranteed share if that is less.
    pub entitled: f64,
    /// Ratio of the p99 in the flood to the unflooded one.
    pub p99_ratio: f64,
    /// Whether this rank floods.
    pub floods: bool,
}

/// Results of the experiment.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Customer.
    pub customer: Box<str>,
    /// Seed of the load.
    pub seed: u64,
    /// Calls per second that the slots of the service can take.
    pub capacity: f64,
    /// Report by phase.
    pub report: Report,
    /// Results by flood and rank, most urgent first.
    pub kept: Vec<Kept>,
}

/// Measures an unflooded phase, a flood of the least and one of the most urgent rank.
///
/// ```no_run
/// # async fn run(deployment: &hitch_bench::Deployment) -> Result<(), hitch_bench::Error> {
/// let outcome = hitch_bench::flood::run(deployment, 21000, 1).await?;
/// # Ok(())
/// # }
/// ```
pub async fn run(deployment: &Deployment, port_base: u16, seed: u64) -> Result<Outcome, Error> {
    let ranks = match &*deployment.customer {
        "tbilisi" => TBILISI,
        _ => ASSOCIATION,
    };
    let mut deployment = deployment.clone();
    for service in &mut deployment.services {
        service.work_ms = WORK_MS;
    }
    let first = &deployment.services[0];
    let slots = f64::from(first.slots) * f64::from(first.servers);
    let capacity = slots * 1_000.0 / WORK_MS as f64;
    let contract = deployment.contract_with(&[])?;
    let running = Running::start(&deployment, port_base, &contract).await?;
    let streams = streams(&deployment.customer, &ranks);
    load::wait_until_served(&running, &streams).await?;
    let mut plan = load::plan(&running.callers(), &phases(&streams, &ranks, seed))?;
    plan.in_flight = hitch_load::plan::MAX_IN_FLIGHT;
    let report = load::run(&plan).await?;
    Ok(Outcome {
        customer: deployment.customer.clone(),
        seed,
        capacity,
        kept: kept(&report, &ranks, capacity),
        report,
    })
}

fn streams(customer: &str, ranks: &[Rank]) -> String {
    let mut out = String::new();
    for Rank {
        name, path, rate, ..
    } in ranks
    {
        out.push_str(&format!(
            "- {{ name: {name}, customer: {customer}, rank: {name}, method: GET, path: {path}, rate: {rate}, deadline_ms: 500 }}\n"
        ));
    }
    out
}

/// Returns the plan of the phases; a flood with factor 1 gives a phase a name.
fn phases(streams: &str, ranks: &[Rank], seed: u64) -> String {
    let (most, least) = (ranks[0].name, ranks[ranks.len() - 1].name);
    let floods = [
        ("unflooded", most, 1),
        ("least-urgent", least, FACTOR),
        ("most-urgent", most, FACTOR),
    ];
    let mut out = String::from("floods:\n");
    let mut from_ms = PAUSE_MS;
    for (name, stream, factor) in floods {
        let until_ms = from_ms + PHASE_MS;
        out.push_str(&format!(
            "- {{ name: {name}, stream: {stream}, from_ms: {from_ms}, until_ms: {until_ms}, factor: {factor} }}\n"
        ));
        from_ms = until_ms + PAUSE_MS;
    }
    out.push_str(&format!(
        "duration_ms: {from_ms}\nseed: {seed}\nstreams:\n{streams}"
    ));
    out
}

fn kept(report: &Report, ranks: &[Rank], capacity: f64) -> Vec<Kept> {
    let find = |phase: &str, rank: &Rank| -> Option<&Row> {
        let mut rows = report.rows.iter();
        rows.find(|row| &*row.phase == phase && &*row.stream == rank.name)
    };
    let mut out = Vec::new();
    for (flood, flooder) in [("least-urgent", ranks.len() - 1), ("most-urgent", 0)] {
        for (number, rank) in ranks.iter().enumerate() {
            let (Some(calm), Some(row)) = (find("unflooded", rank), find(flood, rank)) else {
                continue;
            };
            // Under a flood of the most urgent rank the others are entitled to their share only.
            let share = capacity * rank.share;
            // Arrivals are random, so the phases offer different numbers of calls.
            let offered = row.offered as f64 / calm.offered.max(1) as f64;
            let entitled = match (flooder, number == flooder) {
                (_, true) => calm.goodput,
                (0, false) => (calm.goodput * offered).min(share),
                (_, false) => calm.goodput * offered,
            };
            out.push(Kept {
                rank: rank.name.into(),
                flood: flood.into(),
                goodput: row.goodput,
                entitled,
                p99_ratio: row.latency.p99_us as f64 / calm.latency.p99_us.max(1) as f64,
                floods: number == flooder,
            });
        }
    }
    out
}

/// The table that `hitch-bench flood` prints.
impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, seed {}, {:.0} calls/s of capacity\n{}",
            self.customer, self.seed, self.capacity, self.report
        )?;
        for (number, kept) in self.kept.iter().enumerate() {
            let part = kept.goodput / kept.entitled.max(1.0);
            let urgent = number == 0 && !kept.floods;
            let p99 = !urgent || kept.p99_ratio <= MAX_RATIO;
            let verdict = match kept.floods {
                true => "floods",
                false if p99 && part >= MIN_KEPT => "met",
                false => "MISSED",
            };
            writeln!(
                f,
                "{:<13} {:<11} goodput {:>7.1}/s of {:>6.1}/s ({:>5.1} %), p99 {:>5.2}x unflooded: {verdict}",
                kept.flood,
                kept.rank,
                kept.goodput,
                kept.entitled,
                part * 100.0,
                kept.p99_ratio
            )?;
        }
        Ok(())
    }
}
