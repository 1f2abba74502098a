//! Compares the latency of calls through nodes with the latency of direct calls, in alternating
//! blocks of calls.

use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::engine;
use crate::engine::Engine;
use crate::plan::Plan;
use crate::record::Recording;
use crate::record::histogram;
use crate::report::Latency;
use crate::report::ms;

/// Length of each of the two unmeasured blocks (direct and through nodes) before a step, in
/// milliseconds.
const WARMUP_MS: u64 = 500;

/// Results of a comparison.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Outcome {
    /// Results at each rate, in the order of the plan.
    pub steps: Vec<Step>,
    /// Slope of the added p99 over the rate by least squares, in microseconds per 1,000 calls per
    /// second; absent with fewer than two different rates.
    pub slope_us_per_1000: Option<f64>,
}

/// Counts and latency of the direct calls, or of the calls through nodes, in one step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PathStats {
    /// Calls scheduled.
    pub offered: u64,
    /// Calls answered with status 2xx.
    pub answered: u64,
    /// Latency of answered calls from their scheduled time.
    pub latency: Latency,
}

/// Results at one rate.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Step {
    /// Rate of all streams together, in calls per second.
    pub rate: f64,
    /// Direct calls.
    pub direct: PathStats,
    /// Calls through nodes.
    pub node: PathStats,
    /// Median through nodes minus median of direct calls, over all blocks, in microseconds.
    pub added_p50_us: i64,
    /// 99th percentile through nodes minus that of direct calls, over all blocks, in microseconds.
    pub added_p99_us: i64,
    /// The same difference of the 99th percentiles for each pair of blocks, ascending, in
    /// microseconds.
    pub pairs_added_p99_us: Vec<i64>,
}

/// Totals over the blocks of one step.
#[derive(Default)]
struct Totals {
    offered: u64,
    answered: u64,
    latency: Option<Histogram<u64>>,
}

impl Totals {
    /// Adds a block and returns its 99th percentile, in microseconds.
    fn add(&mut self, recording: &Recording) -> i64 {
        for stats in recording.stats.values() {
            self.offered += stats.offered;
            self.answered += stats.answered;
        }
        let latency = recording.all_latency();
        let total = self.latency.get_or_insert_with(histogram);
        total
            .add(&latency)
            .expect("all histograms have the same bounds");
        latency.value_at_quantile(0.99) as i64
    }

    fn stats(&self) -> PathStats {
        PathStats {
            offered: self.offered,
            answered: self.answered,
            latency: self.latency.as_ref().map(Latency::of).unwrap_or_default(),
        }
    }
}

/// Runs the comparison of a plan. Both blocks of a pair have the same schedule; the order of the
/// two alternates from pair to pair.
///
/// ```
/// # #[tokio::main]
/// # async fn main() {
/// let text = "
/// targets: ['127.0.0.1:1']
/// direct: ['127.0.0.1:1']
/// duration_ms: 1
/// streams:
///   - { name: a, customer: c, rank: r, method: GET, path: /, rate: 100 }
/// compare: { steps: [1], block_ms: 50, pairs: 1 }
/// ";
/// let plan = hitch_load::plan::from_str("plan.yaml", text).unwrap();
/// let outcome = hitch_load::compare::run(&plan).await.unwrap();
/// // Nothing listens on port 1.
/// assert_eq!(outcome.steps[0].node.answered, 0);
/// # }
/// ```
pub async fn run(plan: &Plan) -> Result<Outcome, engine::Error> {
    let direct = Engine::direct(plan);
    let node = Engine::to_nodes(plan);
    let mut steps = Vec::new();
    for factor in &plan.compare.steps {
        steps.push(step(plan, *factor, &direct, &node).await?);
    }
    let slope_us_per_1000 = slope(&steps);
    Ok(Outcome {
        steps,
        slope_us_per_1000,
    })
}

/// Runs all pairs of blocks at one rate, which is `factor` times the rate of the plan.
async fn step(
    plan: &Plan,
    factor: f64,
    direct: &Engine,
    node: &Engine,
) -> Result<Step, engine::Error> {
    let mut block_plan = plan.clone();
    block_plan.warmup_ms = 0;
    block_plan.floods.clear();
    block_plan.duration_ms = WARMUP_MS;
    for stream in &mut block_plan.streams {
        stream.rate *= factor;
    }
    let rate = block_plan.streams.iter().map(|stream| stream.rate).sum();
    direct.run(&block_plan).await?;
    node.run(&block_plan).await?;
    block_plan.duration_ms = plan.compare.block_ms;
    let mut direct_totals = Totals::default();
    let mut node_totals = Totals::default();
    let mut pairs = Vec::new();
    for pair in 0..plan.compare.pairs {
        block_plan.seed = plan.seed + u64::from(pair);
        let (direct_p99, node_p99) = if pair % 2 == 0 {
            let first = direct_totals.add(&direct.run(&block_plan).await?);
            (first, node_totals.add(&node.run(&block_plan).await?))
        } else {
            let first = node_totals.add(&node.run(&block_plan).await?);
            (direct_totals.add(&direct.run(&block_plan).await?), first)
        };
        pairs.push(node_p99 - direct_p99);
    }
    pairs.sort_unstable();
    let (direct, node) = (direct_totals.stats(), node_totals.stats());
    Ok(Step {
        rate,
        direct,
        node,
        added_p50_us: node.latency.p50_us as i64 - direct.latency.p50_us as i64,
        added_p99_us: node.latency.p99_us as i64 - direct.latency.p99_us as i64,
        pairs_added_p99_us: pairs,
    })
}

/// Returns the slope of the added p99 over the rate by least squares, in microseconds per 1,000
/// calls per second.
fn slope(steps: &[Step]) -> Option<f64> {
    let n = steps.len() as f64;
    let mean_x = steps.iter().map(|s| s.rate / 1_000.0).sum::<f64>() / n;
    let mean_y = steps.iter().map(|s| s.added_p99_us as f64).sum::<f64>() / n;
    let mut sum_xy = 0.0;
    let mut sum_xx = 0.0;
    for step in steps {
        let dx = step.rate / 1_000.0 - mean_x;
        sum_xy += dx * (step.added_p99_us as f64 - mean_y);
        sum_xx += dx * dx;
    }
    (steps.len() >= 2 && sum_xx > 0.0).then(|| sum_xy / sum_xx)
}

/// The table that `hitch-load compare` prints.
impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:>9} {:<7} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "calls/s", "way", "offered", "2xx", "p50 ms", "p99 ms", "p99.9 ms"
        )?;
        for step in &self.steps {
            for (name, way) in [("direct", step.direct), ("node", step.node)] {
                writeln!(
                    f,
                    "{:>9.0} {:<7} {:>9} {:>9} {:>9} {:>9} {:>9}",
                    step.rate,
                    name,
                    way.offered,
                    way.answered,
                    ms(way.latency.p50_us),
                    ms(way.latency.p99_us),
                    ms(way.latency.p999_us)
                )?;
            }
            let median = step
                .pairs_added_p99_us
                .get(step.pairs_added_p99_us.len() / 2);
            writeln!(
                f,
                "{:>9.0} added   p50 {:.2} ms, p99 {:.2} ms; p99 of the pairs: median {:.2}, from {:.2} to {:.2} ms",
                step.rate,
                step.added_p50_us as f64 / 1_000.0,
                step.added_p99_us as f64 / 1_000.0,
                median.copied().unwrap_or(0) as f64 / 1_000.0,
                step.pairs_added_p99_us.first().copied().unwrap_or(0) as f64 / 1_000.0,
                step.pairs_added_p99_us.last().copied().unwrap_or(0) as f64 / 1_000.0
            )?;
        }
        match self.slope_us_per_1000 {
            Some(slope) => writeln!(f, "added p99 grows by {slope:.1} us for each 1,000 calls/s"),
            None => Ok(()),
        }
    }
}
