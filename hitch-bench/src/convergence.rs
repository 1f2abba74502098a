//! Time until an amendment is in force, and what control costs.

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::changes;
use crate::changes::Changes;
use crate::deployment::Deployment;
use crate::deployment::Running;
use crate::error::Error;
use crate::usage;
use crate::usage::Usage;

/// Time after the start before anything is measured.
const SETTLE: Duration = Duration::from_secs(5);
/// Time for which an idle deployment is measured.
const IDLE: Duration = Duration::from_secs(20);
/// Amendments whose time until in force is measured.
const AMENDMENTS: u32 = 30;
/// Longest pause between two amendments, so that they do not keep step with periodic messages, in
/// milliseconds.
const MAX_PAUSE_MS: u64 = 500;
/// Amendments at one a second during which usage is measured.
const CHURN: u32 = 20;
/// Changes per second at design scale: 14,000 a day.
const DESIGN_CHANGES: f64 = 14_000.0 / 86_400.0;
/// Most resident memory of all nodes together, in MB.
const MAX_MEMORY_MB: f64 = 4_096.0;
/// Resident memory of a node that an experiment reckons with, in MB.
const NODE_MB: f64 = 40.0;

/// Results at one number of nodes.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of the pauses between amendments.
    pub seed: u64,
    /// Amendments measured.
    pub amendments: u32,
    /// Times from the accepted append to in force on a node, ascending, in milliseconds.
    pub times_ms: Vec<u64>,
    /// Usage without changes.
    pub idle: Usage,
    /// Usage at one change a second.
    pub churn: Usage,
}

impl Outcome {
    /// Returns a quantile of the times, in milliseconds.
    ///
    /// ```no_run
    /// # fn show(outcome: &hitch_bench::convergence::Outcome) {
    /// assert!(outcome.quantile_ms(0.99) < 2_000);
    /// # }
    /// ```
    pub fn quantile_ms(&self, quantile: f64) -> u64 {
        let rank = (self.times_ms.len() as f64 * quantile).ceil() as usize;
        let at = rank.saturating_sub(1);
        self.times_ms.get(at).copied().unwrap_or(0)
    }

    /// Returns the control bytes per node and second at the changes of design scale.
    ///
    /// ```no_run
    /// # fn show(outcome: &hitch_bench::convergence::Outcome) {
    /// assert!(outcome.design_bytes() < 9_000.0);
    /// # }
    /// ```
    pub fn design_bytes(&self) -> f64 {
        self.idle.control_bytes + self.bytes_per_change() * DESIGN_CHANGES
    }

    fn bytes_per_change(&self) -> f64 {
        self.churn.control_bytes - self.idle.control_bytes
    }
}

/// Returns the deployment with another number of nodes, which share one backend server per service.
pub(crate) fn sized(deployment: &Deployment, nodes: u16) -> Deployment {
    let mut sized = deployment.clone();
    sized.shared_backends = true;
    let services = sized.services.len() as u16;
    for (number, service) in sized.services.iter_mut().enumerate() {
        service.servers = nodes / services + u16::from((number as u16) < nodes % services);
    }
    sized
}

/// Measures amendments of a deployment of `nodes` nodes.
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
        return Err(Error::Content {
            file: "number of nodes".into(),
            detail: format!("{nodes} nodes may take more than {MAX_MEMORY_MB} MB").into(),
        });
    }
    let deployment = sized(deployment, nodes);
    let contract = deployment.contract_with(&[])?;
    let running = Running::start(&deployment, port_base, &contract).await?;
    tokio::time::sleep(SETTLE).await;
    let idle = usage::over(&running, IDLE).await?;
    let mut changes = Changes::of(&running, &contract).await?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut times_ms = Vec::new();
    for _ in 0..AMENDMENTS {
        let accepted = changes.amend(&running, &deployment.customer).await?;
        times_ms.extend(changes::in_force(&running, accepted).await?);
        let pause_ms = rng.random_range(0..MAX_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    times_ms.sort_unstable();
    let before = usage::sample(&running).await?;
    let mut second = tokio::time::interval(Duration::from_secs(1));
    for _ in 0..CHURN {
        second.tick().await;
        changes.append(&running, &deployment.customer).await?;
    }
    second.tick().await;
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
        for (name, usage) in [("idle", &self.idle), ("one change/s", &self.churn)] {
            writeln!(
                f,
                "{name:<13} per node: CPU {:.2} % (max {:.2}), RSS {:.1} MB (max {:.1}), control {:.0} B/s (max {:.0}); log reads of all {:.2}/s",
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
            "per change: {:.0} control bytes per node, {:.2} log reads of all; at 14,000 changes a day {:.0} B/s per node",
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
