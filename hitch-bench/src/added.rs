//! Measures the latency that a node adds to calls to its backend server.

use std::fmt;

use hitch_load::compare;
use serde::Serialize;

use crate::deployment::Deployment;
use crate::deployment::RunningDeployment;
use crate::error::Error;
use crate::load;

/// Start of a stream of calls to the service `registry`; the rate and a closing brace complete it.
const LOOKUPS: &str = "{ name: lookups, customer: association, rank: lookup, method: GET, path: /credentials/3, deadline_ms: 500, rate: ";
/// Lowest rate, in calls per second; the steps multiply it.
const MIN_RATE: u32 = 250;
/// Target for the added latency at p99, in microseconds.
const MAX_ADDED_US: i64 = 1_300;

/// Settings of the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Lowest port that the processes use.
    pub port_base: u16,
    /// Seed of the load.
    pub seed: u64,
    /// Service time of a call, in milliseconds.
    pub work_ms: u64,
    /// Pairs of blocks (one direct, one through the node) at each rate.
    pub pairs: u32,
}

/// Results of the experiment.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Seed of the load.
    pub seed: u64,
    /// Service time of a call, in milliseconds.
    pub work_ms: u64,
    /// Comparison of direct calls with calls through the node.
    pub comparison: compare::Outcome,
}

/// Runs the experiment: compares direct calls to one backend server with calls through its node.
///
/// ```no_run
/// # async fn run(deployment: &hitch_bench::Deployment) -> Result<(), hitch_bench::Error> {
/// let options = hitch_bench::added::Options { port_base: 21000, seed: 1, work_ms: 1, pairs: 10 };
/// let outcome = hitch_bench::added::run(deployment, &options).await?;
/// # Ok(())
/// # }
/// ```
pub async fn run(deployment: &Deployment, options: &Options) -> Result<Outcome, Error> {
    let mut deployment = deployment.clone();
    for service in &mut deployment.services {
        service.servers = 1;
        service.work_ms = options.work_ms;
    }
    let contract = deployment.contract_with(&[])?;
    let running = RunningDeployment::start(&deployment, options.port_base, &contract).await?;
    load::wait_until_served(&running, &format!("- {LOOKUPS} 50 }}\n")).await?;
    let fields = format!(
        "duration_ms: 1000\nseed: {}\nstreams:\n- {LOOKUPS} {MIN_RATE} }}\n\
         compare: {{ steps: [1, 2, 4, 6], block_ms: 2000, pairs: {} }}\n",
        options.seed, options.pairs
    );
    let first = &running.instances[0];
    let mut plan = load::plan(&[first.caller], &fields)?;
    plan.direct = vec![first.backend];
    let comparison = compare::run(&plan).await;
    Ok(Outcome {
        seed: options.seed,
        work_ms: options.work_ms,
        comparison: comparison.map_err(|err| Error::load(&err))?,
    })
}

/// The table that `hitch-bench added` prints.
impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}, service time {} ms\n{}",
            self.seed, self.work_ms, self.comparison
        )?;
        let max_added_us = self
            .comparison
            .steps
            .iter()
            .map(|step| step.added_p99_us)
            .max();
        let max_added_us = max_added_us.unwrap_or(i64::MAX);
        let verdict = if max_added_us <= MAX_ADDED_US {
            "met"
        } else {
            "MISSED"
        };
        writeln!(
            f,
            "target (at most 1.3 ms added at p99 at every rate): {verdict}; maximum {max_added_us} us"
        )
    }
}
