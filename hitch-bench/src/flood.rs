//! Measures how well the other ranks are served during a flood of the least or the most urgent
//! rank.

use std::fmt;

use hitch_load::Report;
use hitch_load::report::Row;
use serde::Serialize;

use crate::deployment::Deployment;
use crate::deployment::RunningDeployment;
use crate::error::Error;
use crate::load;

/// Service time of a call, in milliseconds. It is long enough for a flood to exceed the capacity at
/// rates that one machine can generate.
const WORK_MS: u64 = 50;
/// Factor by which a flood multiplies the rate of a rank.
const FLOOD_FACTOR: u32 = 10;
/// Length of a measured phase, in milliseconds.
const PHASE_MS: u64 = 10_000;
/// Time before, between and after the measured phases, in milliseconds.
const PAUSE_MS: u64 = 4_000;
/// Target for the p99 of the most urgent rank in a flood, as a ratio to its p99 without a flood.
const MAX_P99_RATIO: f64 = 1.2;
/// Target for the goodput in a flood, as a ratio to the entitled goodput.
const MIN_GOODPUT_RATIO: f64 = 0.95;

/// A rank and its load on the first service of the deployment, in calls per second.
#[derive(Debug, Clone, Copy)]
struct Rank {
    name: &'static str,
    path: &'static str,
    rate: u32,
    /// Share of the capacity that the contract guarantees to the rank.
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

/// Ranks of the customer `association` on the service `registry`, most urgent first.
const ASSOCIATION: [Rank; 4] = [
    rank("fee", "/credentials/1", 100, 0.3),
    rank("commission", "/calibrations/2", 100, 0.3),
    rank("lookup", "/credentials/3", 250, 0.2),
    rank("enquiry", "/instruments/4", 400, 0.1),
];
/// Ranks of the customer `tbilisi` on the service `readings`, most urgent first.
const TBILISI: [Rank; 4] = [
    rank("booking", "/probes/1", 100, 0.3),
    rank("claim", "/probes/2", 100, 0.3),
    rank("lookup", "/probes/3", 300, 0.2),
    rank("reading", "/readings/4", 600, 0.1),
];

/// Goodput and latency of one rank in a flood.
#[derive(Debug, Serialize)]
pub struct RankResult {
    /// Name of the rank.
    pub rank: Box<str>,
    /// Name of the flood.
    pub flood: Box<str>,
    /// Goodput in the flood, in calls per second.
    pub goodput: f64,
    /// Goodput to which the target refers, in calls per second: the goodput without a flood, scaled
    /// to the calls offered in the flood. In a flood of the most urgent rank it is at most the
    /// guaranteed share.
    pub entitled: f64,
    /// Ratio of the p99 in the flood to the p99 without a flood.
    pub p99_ratio: f64,
    /// Whether the flood consists of calls of this rank.
    pub floods: bool,
}

/// Results of the experiment.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Customer of the deployment.
    pub customer: Box<str>,
    /// Seed of the load.
    pub seed: u64,
    /// Calls per second that the backend servers of the service can run.
    pub capacity: f64,
    /// Report of the load, by stream and phase.
    pub report: Report,
    /// Results by flood and rank, most urgent first.
    pub kept: Vec<RankResult>,
}

/// Runs the experiment: a phase without a flood, a flood of the least urgent rank and a flood of
/// the most urgent rank.
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
    let running = RunningDeployment::start(&deployment, port_base, &contract).await?;
    let streams = streams(&deployment.customer, &ranks);
    load::wait_until_served(&running, &streams).await?;
    let mut plan = load::plan(&running.callers(), &phases(&streams, &ranks, seed))?;
    plan.in_flight = hitch_load::plan::MAX_IN_FLIGHT;
    let report = load::run(&plan).await?;
    Ok(Outcome {
        customer: deployment.customer.clone(),
        seed,
        capacity,
        kept: rank_results(&report, &ranks, capacity),
        report,
    })
}

/// Returns the streams of the plan in YAML, one for each rank.
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

/// Returns the fields of the plan in YAML. The phase without a flood is a flood with factor 1,
/// which gives it a name in the report.
fn phases(streams: &str, ranks: &[Rank], seed: u64) -> String {
    let (most_urgent, least_urgent) = (ranks[0].name, ranks[ranks.len() - 1].name);
    let floods = [
        ("unflooded", most_urgent, 1),
        ("least-urgent", least_urgent, FLOOD_FACTOR),
        ("most-urgent", most_urgent, FLOOD_FACTOR),
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

/// Compares goodput and latency of each rank in both floods with the phase without a flood.
fn rank_results(report: &Report, ranks: &[Rank], capacity: f64) -> Vec<RankResult> {
    let find = |phase: &str, rank: &Rank| -> Option<&Row> {
        let mut rows = report.rows.iter();
        rows.find(|row| &*row.phase == phase && &*row.stream == rank.name)
    };
    let mut out = Vec::new();
    for (flood, flooding_rank) in [("least-urgent", ranks.len() - 1), ("most-urgent", 0)] {
        for (index, rank) in ranks.iter().enumerate() {
            let (Some(baseline), Some(row)) = (find("unflooded", rank), find(flood, rank)) else {
                continue;
            };
            // In a flood of the most urgent rank the others are entitled only to their guaranteed
            // share.
            let share = capacity * rank.share;
            // Arrivals are random, so the number of offered calls differs between phases.
            let offered_ratio = row.offered as f64 / baseline.offered.max(1) as f64;
            let entitled = match (flooding_rank, index == flooding_rank) {
                (_, true) => baseline.goodput,
                (0, false) => (baseline.goodput * offered_ratio).min(share),
                (_, false) => baseline.goodput * offered_ratio,
            };
            out.push(RankResult {
                rank: rank.name.into(),
                flood: flood.into(),
                goodput: row.goodput,
                entitled,
                p99_ratio: row.latency.p99_us as f64 / baseline.latency.p99_us.max(1) as f64,
                floods: index == flooding_rank,
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
        for (index, result) in self.kept.iter().enumerate() {
            let goodput_ratio = result.goodput / result.entitled.max(1.0);
            let most_urgent = index == 0 && !result.floods;
            let p99_met = !most_urgent || result.p99_ratio <= MAX_P99_RATIO;
            let verdict = match result.floods {
                true => "floods",
                false if p99_met && goodput_ratio >= MIN_GOODPUT_RATIO => "met",
                false => "MISSED",
            };
            writeln!(
                f,
                "{:<13} {:<11} goodput {:>7.1}/s of {:>6.1}/s ({:>5.1} %), p99 {:>5.2}x unflooded: {verdict}",
                result.flood,
                result.rank,
                result.goodput,
                result.entitled,
                goodput_ratio * 100.0,
                result.p99_ratio
            )?;
        }
        Ok(())
    }
}
