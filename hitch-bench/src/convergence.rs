//! Measures the time until an amendment of a contract is in force on all nodes, and the resources
//! that nodes use for control messages.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::changes;
use crate::changes::Changes;
use crate::deployment::Deployment;
use crate::deployment::RunningDeployment;
use crate::error::Error;
use crate::usage;
use crate::usage::Usage;

/// Time from the start of the deployment to the first measurement.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Length of the measurement without amendments.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Number of amendments for which the time until they are in force is measured.
const AMENDMENTS: u32 = 30;
/// Longest pause between two amendments, in milliseconds. Pauses are random, so that amendments do
/// not stay in phase with periodic messages.
const MAX_PAUSE_MS: u64 = 500;
/// Number of amendments, one per second, during which usage is measured.
const CHURN_AMENDMENTS: u32 = 20;
/// Amendments per second that the system is designed for: 14,000 per day.
const DESIGN_CHANGES: f64 = 14_000.0 / 86_400.0;
/// Limit on the expected resident memory of all nodes together, in MB.
const MAX_MEMORY_MB: f64 = 4_096.0;
/// Expected resident memory of a node, in MB.
const NODE_MB: f64 = 40.0;

/// Results for one number of nodes.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of the pauses between amendments.
    pub seed: u64,
    /// Number of amendments for which the time was measured.
    pub amendments: u32,
    /// Time from the append of an amendment to the log until it is in force on a node, for each
    /// amendment and node, ascending, in milliseconds.
    pub times_ms: Vec<u64>,
    /// Usage without amendments.
    pub idle: Usage,
    /// Usage at one amendment per second.
    pub churn: Usage,
}

impl Outcome {
    /// Returns a quantile of `times_ms` by the nearest-rank method, in milliseconds.
    ///
    /// ```no_run
    /// # fn show(outcome: &hitch_bench::convergence::Outcome) {
    /// assert!(outcome.quantile_ms(0.99) < 2_000);
    /// # }
    /// ```
    pub fn quantile_ms(&self, quantile: f64) -> u64 {
        let rank = (self.times_ms.len() as f64 * quantile).ceil() as usize;
        let index = rank.saturating_sub(1);
        self.times_ms.get(index).copied().unwrap_or(0)
    }

    /// Returns the bytes of control messages per node and second at 14,000 amendments per day.
    ///
    /// ```no_run
    /// # fn show(outcome: &hitch_bench::convergence::Outcome) {
    /// assert!(outcome.design_bytes() < 9_000.0);
    /// # }
    /// ```
    pub fn design_bytes(&self) -> f64 {
        self.idle.control_bytes + self.bytes_per_change() * DESIGN_CHANGES
    }

    /// Returns the bytes of control messages per node that one amendment causes.
    fn bytes_per_change(&self) -> f64 {
        self.churn.control_bytes - self.idle.control_bytes
    }
}

/// Returns the deployment with `nodes` nodes spread over the services; the nodes of a service share
/// one backend server.
pub(crate) fn with_nodes(deployment: &Deployment, nodes: u16) -> Deployment {
    let mut resized = deployment.clone();
    resized.shared_backends = true;
    let services = resized.services.len() as u16;
    for (index, service) in resized.services.iter_mut().enumerate() {
        service.servers = nodes / services + u16::from((index as u16) < nodes % services);
    }
    resized
}

/// Runs the experiment on a deployment of `nodes` nodes.
///
/// ```no_run
/// # async fn run(deployment: &hitch_bench::Deployment) -> Result<(), hitch_bench::Error> {
/// let outcome = hitch_bench::convergence::run(deployment, 21000, 1, 10).await?;
/// # Ok(())
/// # }
/// ```
pub async fn run(
    deployment: &Deployment,
    port_base: u16,
    seed: u64,
    nodes: u16,
) -> Result<Outcome, Error> {
    if f64::from(nodes) * NODE_MB > MAX_MEMORY_MB {
        return Err(Error::Invalid {
            what: "number of nodes".into(),
            detail: format!("{nodes} nodes may take more than {MAX_MEMORY_MB} MB").into(),
        });
    }
    let deployment = with_nodes(deployment, nodes);
    let contract = deployment.contract_with(&[])?;
    let running = RunningDeployment::start(&deployment, port_base, &contract).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let idle = usage::measure(&running, IDLE_TIME).await?;
    let mut changes = Changes::new(&running, &contract).await?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut times_ms = Vec::new();
    for _ in 0..AMENDMENTS {
        let accepted = changes.amend(&running, &deployment.customer).await?;
        times_ms.extend(changes::wait_in_force(&running, accepted).await?);
        let pause_ms = rng.random_range(0..MAX_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    times_ms.sort_unstable();
    let before = usage::sample(&running).await?;
    let mut every_second = tokio::time::interval(Duration::from_secs(1));
    for _ in 0..CHURN_AMENDMENTS {
        every_second.tick().await;
        changes.append(&running, &deployment.customer).await?;
    }
    every_second.tick().await;
    let churn = usage::sample(&running).await?.since(&before);
    Ok(Outcome {
        nodes: running.instances.len(),
        seed,
        amendments: AMENDMENTS,
        times_ms,
        idle,
        churn,
    })
}

/// The table that `hitch-bench convergence` prints.
impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} nodes, seed {}, {} amendments: in force after p50 {} ms, p99 {} ms, max {} ms",
            self.nodes,
            self.seed,
            self.amendments,
            self.quantile_ms(0.5),
            self.quantile_ms(0.99),
            self.quantile_ms(1.0)
        )?;
        for (phase, usage) in [("idle", &self.idle), ("one change/s", &self.churn)] {
            writeln!(
                f,
                "{phase:<13} per node: CPU {:.2} % (max {:.2}), RSS {:.1} MB (max {:.1}), control {:.0} B/s (max {:.0}); log reads of all nodes {:.2}/s",
                usage.cpu_percent,
                usage.max_cpu_percent,
                usage.rss_mb,
                usage.max_rss_mb,
                usage.control_bytes,
                usage.max_control_bytes,
                usage.log_reads
            )?;
        }
        writeln!(
            f,
            "per change: {:.0} control bytes per node, {:.2} log reads of all nodes; at 14,000 changes a day {:.0} B/s per node",
            self.bytes_per_change(),
            self.churn.log_reads - self.idle.log_reads,
            self.design_bytes()
        )?;
        let verdict = |met: bool| if met { "met" } else { "MISSED" };
        writeln!(
            f,
            "targets: p99 under 2 s {}, 9 KB/s {}, 4.8 % of a core {}, 64 MB {}",
            verdict(self.quantile_ms(0.99) < 2_000),
            verdict(self.design_bytes() < 9_000.0),
            verdict(self.churn.max_cpu_percent <= 4.8),
            verdict(self.churn.max_rss_mb <= 64.0)
        )
    }
}
