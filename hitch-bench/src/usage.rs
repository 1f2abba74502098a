//! CPU time, memory and control messages of nodes. CPU time and memory are read from `/proc`.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::deployment::RunningDeployment;
use crate::error::Error;

/// Clock ticks per second of the times in `/proc/<pid>/stat`, fixed by the ABI of the kernel.
const TICKS_PER_SECOND: f64 = 100.0;
/// Indices of user and system time among the fields that follow the process name in
/// `/proc/<pid>/stat`.
const CPU_FIELDS: [usize; 2] = [11, 12];

/// Resources that nodes use during an interval.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Usage {
    /// CPU time in percent of one core, mean over the nodes.
    pub cpu_percent: f64,
    /// CPU time in percent of one core, maximum over the nodes.
    pub max_cpu_percent: f64,
    /// Resident memory in MB, mean over the nodes.
    pub rss_mb: f64,
    /// Resident memory in MB, maximum over the nodes.
    pub max_rss_mb: f64,
    /// Bytes of control messages per second, mean over the nodes.
    pub control_bytes: f64,
    /// Bytes of control messages per second, maximum over the nodes.
    pub max_control_bytes: f64,
    /// Reads of the log per second by all nodes together.
    pub log_reads: f64,
}

/// Totals of a node since its start; the memory is the current value.
#[derive(Debug, Clone, Copy, Default)]
struct NodeTotals {
    cpu_seconds: f64,
    rss_mb: f64,
    control_bytes: f64,
}

/// Totals of all nodes at one time.
pub(crate) struct Sample {
    at: Instant,
    nodes: Vec<NodeTotals>,
    log_reads: f64,
}

/// Reads the totals of all nodes.
pub(crate) async fn sample(running: &RunningDeployment) -> Result<Sample, Error> {
    let at = Instant::now();
    let mut nodes = Vec::new();
    // CPU time is read before `/status`, because answering `/status` takes CPU time that is not
    // spent on control messages.
    for instance in &running.instances {
        let mut node = NodeTotals::default();
        if let Some(process) = &instance.node {
            node.cpu_seconds = cpu_seconds(process.id())?;
            node.rss_mb = rss_mb(process.id())?;
        }
        nodes.push(node);
    }
    for (node, instance) in nodes.iter_mut().zip(&running.instances) {
        let status = running.http.get(instance.admin, "/status").await?;
        node.control_bytes = status["control_bytes"].as_f64().unwrap_or(0.0);
    }
    let log_reads = log_reads(running).await?;
    Ok(Sample {
        at,
        nodes,
        log_reads,
    })
}

/// Returns the number of reads that the log has answered since its start.
pub(crate) async fn log_reads(running: &RunningDeployment) -> Result<f64, Error> {
    let counters = running.http.get(running.log, "/counters").await?;
    Ok(counters["total"]["reads"].as_f64().unwrap_or(0.0))
}

impl Sample {
    /// Returns the usage between an earlier sample and this one.
    pub(crate) fn since(&self, earlier: &Sample) -> Usage {
        let seconds = self.at.duration_since(earlier.at).as_secs_f64().max(0.001);
        let count = self.nodes.len().max(1) as f64;
        let mut usage = Usage {
            log_reads: (self.log_reads - earlier.log_reads) / seconds,
            ..Usage::default()
        };
        for (now, before) in self.nodes.iter().zip(&earlier.nodes) {
            let cpu = (now.cpu_seconds - before.cpu_seconds) * 100.0 / seconds;
            let bytes = (now.control_bytes - before.control_bytes) / seconds;
            usage.cpu_percent += cpu / count;
            usage.max_cpu_percent = usage.max_cpu_percent.max(cpu);
            usage.rss_mb += now.rss_mb / count;
            usage.max_rss_mb = usage.max_rss_mb.max(now.rss_mb);
            usage.control_bytes += bytes / count;
            usage.max_control_bytes = usage.max_control_bytes.max(bytes);
        }
        usage
    }
}

/// Measures the usage during a time in which the experiment itself is idle.
pub(crate) async fn measure(running: &RunningDeployment, time: Duration) -> Result<Usage, Error> {
    let before = sample(running).await?;
    tokio::time::sleep(time).await;
    Ok(sample(running).await?.since(&before))
}

/// Reads a file of `/proc`.
fn read_file(file: &str) -> Result<String, Error> {
    std::fs::read_to_string(file).map_err(|source| Error::File {
        step: "read",
        file: file.into(),
        source,
    })
}

/// Returns the user and system time of a process, in seconds.
fn cpu_seconds(pid: u32) -> Result<f64, Error> {
    let text = read_file(&format!("/proc/{pid}/stat"))?;
    // The process name is in parentheses and may contain spaces.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let mut ticks = 0.0;
    for field in CPU_FIELDS {
        let value = fields.get(field).and_then(|text| text.parse::<f64>().ok());
        ticks += value.unwrap_or(0.0);
    }
    Ok(ticks / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process in MB.
pub(crate) fn rss_mb(pid: u32) -> Result<f64, Error> {
    let text = read_file(&format!("/proc/{pid}/status"))?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    let kib = value.and_then(|text| text.parse::<f64>().ok());
    Ok(kib.unwrap_or(0.0) / 1_024.0)
}
