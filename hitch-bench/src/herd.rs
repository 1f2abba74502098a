//! Kills and restarts half of the nodes at once while amendments are published (thundering herd).

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::changes::Changes;
use crate::changes::json_u64;
use crate::convergence::with_nodes;
use crate::deployment::Deployment;
use crate::deployment::RunningDeployment;
use crate::error::Error;
use crate::usage;

/// Interval between two amendments.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Length of the measurement of the log reads before nodes are killed.
const BASELINE: Duration = Duration::from_secs(10);
/// Time between the kill and the restart of nodes.
const DOWNTIME: Duration = Duration::from_secs(2);
/// Timeout for every node to be ready with a current version.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which the nodes are polled.
const POLL: Duration = Duration::from_millis(100);
/// Number of polls between two samples of the log reads.
const POLLS_PER_SAMPLE: u32 = 10;
/// Target for the time from the restart until the version is in force on all nodes, in
/// milliseconds.
const MAX_IN_FORCE_MS: u64 = 10_000;

/// Results of the experiment.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of nodes that were killed at once.
    pub killed: usize,
    /// Time from the restart of a single node until every node is ready with a current version, in
    /// milliseconds.
    pub cold_start_ms: u64,
    /// Time from the restart of the killed nodes until every node is ready with the version that
    /// was newest at the restart, in milliseconds.
    pub in_force_ms: u64,
    /// Reads of the log per second before the kill, at two amendments per second.
    pub reads_before: f64,
    /// Reads of the log per second, for each second after the restart.
    pub reads_after: Vec<f64>,
}

/// Runs the experiment: kills and restarts half of the nodes at once and waits until a current
/// version is in force on all nodes.
///
/// ```no_run
/// # async fn run(deployment: &hitch_bench::Deployment) -> Result<(), hitch_bench::Error> {
/// let outcome = hitch_bench::herd::run(deployment, 21000, 30).await?;
/// # Ok(())
/// # }
/// ```
pub async fn run(deployment: &Deployment, port_base: u16, nodes: u16) -> Result<Outcome, Error> {
    let deployment = with_nodes(deployment, nodes);
    let contract = deployment.contract_with(&[])?;
    let mut running = RunningDeployment::start(&deployment, port_base, &contract).await?;
    let mut changes = Changes::new(&running, &contract).await?;
    tokio::time::sleep(DOWNTIME).await;
    let last = running.instances.len() - 1;
    let (cold_start_ms, _) = restart(&mut running, &mut changes, &deployment, &[last]).await?;
    let reads = usage::log_reads(&running).await?;
    let baseline_start = Instant::now();
    churn(&running, &mut changes, &deployment, BASELINE).await?;
    let reads = usage::log_reads(&running).await? - reads;
    let reads_before = reads / baseline_start.elapsed().as_secs_f64();
    let half: Vec<usize> = (0..running.instances.len()).step_by(2).collect();
    let (in_force_ms, reads_after) =
        restart(&mut running, &mut changes, &deployment, &half).await?;
    Ok(Outcome {
        nodes: running.instances.len(),
        killed: half.len(),
        cold_start_ms,
        in_force_ms,
        reads_before,
        reads_after,
    })
}

/// Appends an amendment every `CHANGE_INTERVAL` for the given duration.
async fn churn(
    running: &RunningDeployment,
    changes: &mut Changes,
    deployment: &Deployment,
    duration: Duration,
) -> Result<(), Error> {
    let deadline = Instant::now() + duration;
    while Instant::now() < deadline {
        changes.append(running, &deployment.customer).await?;
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    Ok(())
}

/// Kills and restarts nodes. Returns the time from the restart until all nodes are current, in
/// milliseconds, and the log reads per second in each second of this time and of the two seconds
/// after it.
async fn restart(
    running: &mut RunningDeployment,
    changes: &mut Changes,
    deployment: &Deployment,
    indices: &[usize],
) -> Result<(u64, Vec<f64>), Error> {
    for index in indices {
        running.instances[*index].node = None;
    }
    churn(running, changes, deployment, DOWNTIME).await?;
    let version = changes.version;
    let mut reads = usage::log_reads(running).await?;
    let started = Instant::now();
    for index in indices {
        running.start_node(*index)?;
    }
    let mut current_ms = None;
    let mut per_second = Vec::new();
    let mut sampled_at = Instant::now();
    let mut polls = 0;
    loop {
        tokio::time::sleep(POLL).await;
        polls += 1;
        if polls % 5 == 0 {
            changes.append(running, &deployment.customer).await?;
        }
        if polls % POLLS_PER_SAMPLE == 0 {
            let log_reads = usage::log_reads(running).await?;
            per_second.push((log_reads - reads) / sampled_at.elapsed().as_secs_f64());
            (reads, sampled_at) = (log_reads, Instant::now());
        }
        if current_ms.is_none() && all_current(running, version).await? {
            current_ms = Some(started.elapsed().as_millis() as u64);
            polls = polls.min(POLLS_PER_SAMPLE);
        }
        match current_ms {
            Some(ms) if polls >= 3 * POLLS_PER_SAMPLE => return Ok((ms, per_second)),
            None if started.elapsed() > TIMEOUT => {
                return Err(Error::Timeout {
                    what: format!("version {version} in force on all nodes").into(),
                    seconds: TIMEOUT.as_secs(),
                });
            }
            _ => {}
        }
    }
}

/// Returns whether all nodes are ready and have at least the given version in force.
async fn all_current(running: &RunningDeployment, version: u64) -> Result<bool, Error> {
    for instance in &running.instances {
        // A node without an open admin listener is still starting.
        let Ok(status) = running.http.get(instance.admin, "/status").await else {
            return Ok(false);
        };
        let is_ready = status["ready"].as_bool().unwrap_or(false);
        if !is_ready || json_u64(&status, "version_in_force")? < version {
            return Ok(false);
        }
    }
    Ok(true)
}

/// The table that `hitch-bench herd` prints.
impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} nodes at two changes a second: cold start of one {} ms; {} killed at once and restarted: in force on all after {} ms",
            self.nodes, self.cold_start_ms, self.killed, self.in_force_ms
        )?;
        write!(
            f,
            "log reads per second: before {:.1}; after the restart",
            self.reads_before
        )?;
        for reads in &self.reads_after {
            write!(f, " {reads:.1}")?;
        }
        let verdict = if self.in_force_ms <= MAX_IN_FORCE_MS {
            "met"
        } else {
            "MISSED"
        };
        writeln!(f, "\ntarget (in force everywhere within 10 s): {verdict}")
    }
}
