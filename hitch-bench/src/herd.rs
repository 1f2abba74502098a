//! Half of the nodes killed at once and started again during changes.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::changes::Changes;
use crate::changes::number;
use crate::convergence::sized;
use crate::deployment::Deployment;
use crate::deployment::Running;
use crate::error::Error;
use crate::usage;

/// Time between two amendments.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which the log reads are measured before the nodes are killed.
const BEFORE: Duration = Duration::from_secs(10);
/// Time for which the killed nodes are away.
const AWAY: Duration = Duration::from_secs(2);
/// Time within which every node must be ready with a current version.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two rounds of polling, and length of a sample of the log reads.
const POLL: Duration = Duration::from_millis(100);
/// Polls in a sample of the log reads.
const POLLS_PER_SAMPLE: u32 = 10;
/// Longest time until in force everywhere, in milliseconds.
const MAX_MS: u64 = 10_000;

/// Results of the experiment.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Number of nodes.
    pub nodes: usize,
    /// Nodes killed at once.
    pub killed: usize,
    /// Time from the start of one node until it is ready with a current version, in milliseconds.
    pub cold_start_ms: u64,
    /// Time from the restart until every node is ready with the version that was newest at the
    /// restart, in milliseconds.
    pub in_force_ms: u64,
    /// Reads of the log per second before the kill, at two changes a second.
    pub reads_before: f64,
    /// Reads of the log in each second after the restart.
    pub reads_after: Vec<f64>,
}

/// Kills half of the nodes at once, starts them again and waits until a current version is in force
/// on all.
///
/// ```no_run
/// # async fn run(deployment: &hitch_bench::Deployment) -> Result<(), hitch_bench::Error> {
/// let outcome = hitch_bench::herd::run(deployment, 21000, 30).await?;
/// # Ok(())
/// # }
/// ```
pub async fn run(deployment: &Deployment, port_base: u16, nodes: u16) -> Result<Outcome, Error> {
    let deployment = sized(deployment, nodes);
    let contract = deployment.contract_with(&[])?;
    let mut running = Running::start(&deployment, port_base, &contract).await?;
    let mut changes = Changes::of(&running, &contract).await?;
    tokio::time::sleep(AWAY).await;
    let last = running.instances.len() - 1;
    let (cold_start_ms, _) = restart(&mut running, &mut changes, &deployment, &[last]).await?;
    let reads = usage::log_reads(&running).await?;
    let began = Instant::now();
    churn(&running, &mut changes, &deployment, BEFORE).await?;
    let reads = usage::log_reads(&running).await? - reads;
    let reads_before = reads / began.elapsed().as_secs_f64();
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

async fn churn(
    running: &Running,
    changes: &mut Changes,
    deployment: &Deployment,
    time: Duration,
) -> Result<(), Error> {
    let until = Instant::now() + time;
    while Instant::now() < until {
        changes.append(running, &deployment.customer).await?;
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    Ok(())
}

/// Kills nodes and starts them again; returns the time until all nodes are current, and log reads in
/// each second of it and of two more.
async fn restart(
    running: &mut Running,
    changes: &mut Changes,
    deployment: &Deployment,
    numbers: &[usize],
) -> Result<(u64, Vec<f64>), Error> {
    for number in numbers {
        running.instances[*number].node = None;
    }
    churn(running, changes, deployment, AWAY).await?;
    let version = changes.version;
    let mut reads = usage::log_reads(running).await?;
    let started = Instant::now();
    for number in numbers {
        running.start_node(*number)?;
    }
    let mut current_ms = None;
    let mut per_second = Vec::new();
    let mut sampled = Instant::now();
    let mut polls = 0;
    loop {
        tokio::time::sleep(POLL).await;
        polls += 1;
        if polls % 5 == 0 {
            changes.append(running, &deployment.customer).await?;
        }
        if polls % POLLS_PER_SAMPLE == 0 {
            let now = usage::log_reads(running).await?;
            per_second.push((now - reads) / sampled.elapsed().as_secs_f64());
            (reads, sampled) = (now, Instant::now());
        }
        if current_ms.is_none() && all_current(running, version).await? {
            current_ms = Some(started.elapsed().as_millis() as u64);
            polls = polls.min(POLLS_PER_SAMPLE);
        }
        match current_ms {
            Some(ms) if polls >= 3 * POLLS_PER_SAMPLE => return Ok((ms, per_second)),
            None if started.elapsed() > TIMEOUT => {
                return Err(Error::Timeout {
                    what: format!("version {version} on all nodes").into(),
                    seconds: TIMEOUT.as_secs(),
                });
            }
            _ => {}
        }
    }
}

async fn all_current(running: &Running, version: u64) -> Result<bool, Error> {
    for instance in &running.instances {
        // A node that has not opened its listener yet is not current.
        let Ok(status) = running.http.get(instance.admin, "/status").await else {
            return Ok(false);
        };
        let is_ready = status["ready"].as_bool().unwrap_or(false);
        if !is_ready || number(&status, "version_in_force")? < version {
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
            "{} nodes at two changes a second: cold start of one {} ms; {} killed at once and started again: in force on all after {} ms",
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
        let verdict = if self.in_force_ms <= MAX_MS {
            "met"
        } else {
            "MISSED"
        };
        writeln!(f, "\ntarget (in force everywhere within 10 s): {verdict}")
    }
}
