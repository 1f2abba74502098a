//! Latency through nodes against latency of direct calls, in alternating blocks of one run.

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

/// Length of the blocks before each step that are not measured, in milliseconds.
const WARMUP_MS: u64 = 500;

/// Results of a comparison.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Outcome {
    /// Results by rate.
    pub steps: Vec<Step>,
    /// Growth of the added p99 with the rate, by least squares, in microseconds for each 1,000
    /// calls per second; absent with fewer than two steps.
    pub slope_us_per_1000: Option<f64>,
}

/// Calls of one way in one step.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Way {
    /// Calls scheduled.
    pub offered: u64,
    /// Calls answered with status 2xx.
    pub answered: u64,
    /// Latency of answered calls.
    pub latency: Latency,
}

/// Results at one rate.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Step {
    /// Calls per second of all streams.
    pub rate: f64,
    /// Direct calls.
    pub direct: Way,
    /// Calls through nodes.
    pub node: Way,
    /// Difference of the medians over all blocks, in microseconds.
    pub added_p50_us: i64,
    /// Difference of the 99th percentiles over all blocks, in microseconds.
    pub added_p99_us: i64,
    /// Difference of the 99th percentiles of each pair of blocks, ascending, in microseconds.
    pub pairs_added_p99_us: Vec<i64>,
}

#[derive(Default)]
struct Sum {
    offered: u64,
    answered: u64,
    latency: Option<Histogram<u64>>,
}

impl Sum {
    /// Adds a block and returns its 99th percentile.
    fn add(&mut self, recording: &Recording) -> i64 {
        for cell in recording.cells.values() {
            self.offered += cell.offered;
            self.answered += cell.answered;
        }
        let block = recording.all_latency();
        let sum = self.latency.get_or_insert_with(histogram);
        sum.add(&block)
            .expect("all histograms have the same bounds");
        block.value_at_quantile(0.99) as i64
    }

    fn way(&self) -> Way {
        Way {
            offered: self.offered,
            answered: self.answered,
            latency: self.latency.as_ref().map(Latency::of).unwrap_or_default(),
        }
    }
}

/// Runs a comparison. Both blocks of a pair have the same schedule; which of them is first
/// alternates from pair to pair.
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

async fn step(
    plan: &Plan,
    factor: f64,
    direct: &Engine,
    node: &Engine,
) -> Result<Step, engine::Error> {
    let mut block = plan.clone();
    block.warmup_ms = 0;
    block.floods.clear();
    block.duration_ms = WARMUP_MS;
    for stream in &mut block.streams {
        stream.rate *= factor;
    }
    let rate = block.streams.iter().map(|stream| stream.rate).sum();
    direct.run(&block).await?;
    node.run(&block).await?;
    block.duration_ms = plan.compare.block_ms;
    let mut direct_sum = Sum::default();
    let mut node_sum = Sum::default();
    let mut pairs = Vec::new();
    for pair in 0..plan.compare.pairs {
        block.seed = plan.seed + u64::from(pair);
        let (direct_p99, node_p99) = if pair % 2 == 0 {
            let first = direct_sum.add(&direct.run(&block).await?);
            (first, node_sum.add(&node.run(&block).await?))
        } else {
            let first = node_sum.add(&node.run(&block).await?);
            (direct_sum.add(&direct.run(&block).await?), first)
        };
        pairs.push(node_p99 - direct_p99);
    }
    pairs.sort_unstable();
    let (direct, node) = (direct_sum.way(), node_sum.way());
    Ok(Step {
        rate,
        direct,
        node,
        added_p50_us: node.latency.p50_us as i64 - direct.latency.p50_us as i64,
        added_p99_us: node.latency.p99_us as i64 - direct.latency.p99_us as i64,
        pairs_added_p99_us: pairs,
    })
}

/// Returns the slope of the added p99 over the rate by least squares.
fn slope(steps: &[Step]) -> Option<f64> {
    let n = steps.len() as f64;
    let mean_x = steps.iter().map(|s| s.rate / 1_000.0).sum::<f64>() / n;
    let mean_y = steps.iter().map(|s| s.added_p99_us as f64).sum::<f64>() / n;
    let mut xy = 0.0;
    let mut xx = 0.0;
    for step in steps {
        let dx = step.rate / 1_000.0 - mean_x;
        xy += dx * (step.added_p99_us as f64 - mean_y);
        xx += dx * dx;
    }
    (steps.len() >= 2 && xx > 0.0).then(|| xy / xx)
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
            let middle = step
                .pairs_added_p99_us
                .get(step.pairs_added_p99_us.len() / 2);
            writeln!(
                f,
                "{:>9.0} added   p50 {:.2} ms, p99 {:.2} ms; p99 of the pairs: median {:.2}, from {:.2} to {:.2} ms",
                step.rate,
                step.added_p50_us as f64 / 1_000.0,
                step.added_p99_us as f64 / 1_000.0,
                middle.copied().unwrap_or(0) as f64 / 1_000.0,
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
