//! CPU time and memory of nodes, from `/proc`, and their control traffic.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::deployment::Running;
use crate::error::Error;

/// Clock ticks per second in `/proc/<pid>/stat`; the kernel's user interface fixes it.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of user and system time, counted from the end of the name.
const CPU_FIELDS: [usize; 2] = [11, 12];

/// Usage per node over a time.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Usage {
    /// CPU time in percent of a core, mean of the nodes.
    pub cpu_percent: f64,
    /// CPU time in percent of a core of the node that used most.
    pub max_cpu_percent: f64,
    /// Resident memory in MB, mean of the nodes.
    pub rss_mb: f64,
    /// Resident memory in MB of the node that used most.
    pub max_rss_mb: f64,
    /// Control bytes per second, mean of the nodes.
    pub control_bytes: f64,
    /// Control bytes per second of the node with the most.
    pub max_control_bytes: f64,
    /// Reads of the log per second, of all nodes together.
    pub log_reads: f64,
}

/// Totals of a node.
#[derive(Debug, Clone, Copy, Default)]
struct Node {
    cpu_seconds: f64,
    rss_mb: f64,
    control_bytes: f64,
}

/// Totals of all nodes at a time.
pub(crate) struct Sample {
    at: Instant,
    nodes: Vec<Node>,
    log_reads: f64,
}

/// Reads the totals of all nodes.
pub(crate) async fn sample(running: &Running) -> Result<Sample, Error> {
    let at = Instant::now();
    let mut nodes = Vec::new();
    // The processes first: answering `/status` costs CPU time that is not control.
    for instance in &running.instances {
        let mut node = Node::default();
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

/// Returns the reads that the log has answered.
pub(crate) async fn log_reads(running: &Running) -> Result<f64, Error> {
    let counters = running.http.get(running.log, "/counters").await?;
    Ok(counters["total"]["reads"].as_f64().unwrap_or(0.0))
}

impl Sample {
    /// Returns the usage since an earlier sample.
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

/// Measures the usage over a time in which nothing is done.
pub(crate) async fn over(running: &Running, time: Duration) -> Result<Usage, Error> {
    let before = sample(running).await?;
    tokio::time::sleep(time).await;
    Ok(sample(running).await?.since(&before))
}

fn read(file: &str) -> Result<String, Error> {
    std::fs::read_to_string(file).map_err(|source| Error::File {
        step: "read",
        file: file.into(),
        source,
    })
}

fn cpu_seconds(pid: u32) -> Result<f64, Error> {
    let text = read(&format!("/proc/{pid}/stat"))?;
    // The name is in parentheses and may contain spaces.
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
    let text = read(&format!("/proc/{pid}/status"))?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    let kib = value.and_then(|text| text.parse::<f64>().ok());
    Ok(kib.unwrap_or(0.0) / 1_024.0)
}
