//! Stops nodes with SIGTERM under load and counts the calls that are cut off.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use hitch_load::Report;
use serde::Serialize;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::RunningDeployment;
use crate::error::Error;
use crate::load;

/// Streams of calls of all services, with rates in calls per second.
const STREAMS: &str = "\
- { name: fees, customer: association, rank: fee, method: POST, path: /fees, rate: 60, body_bytes: 64, deadline_ms: 2000, keyed: true, resends: 3 }
- { name: commissions, customer: association, rank: commission, method: POST, path: /commissions, rate: 60, body_bytes: 64, deadline_ms: 2000, keyed: true, resends: 3 }
- { name: lookups, customer: association, rank: lookup, method: GET, path: /credentials/3, rate: 150, deadline_ms: 500, resends: 3 }
- { name: enquiries, customer: association, rank: enquiry, method: GET, path: /instruments/7, rate: 150, deadline_ms: 2000, resends: 3 }
";
/// Length of the load around each stop, in milliseconds.
const LOAD_MS: u64 = 8_000;
/// Time from the start of the load to SIGTERM.
const SIGNAL_DELAY: Duration = Duration::from_secs(2);
/// Timeout for a node to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Target for the latest start of a call at the draining backend server, in milliseconds after
/// SIGTERM.
const MAX_START_MS: u64 = 3_000;

/// Settings of the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Lowest port that the processes use.
    pub port_base: u16,
    /// Seed of the load.
    pub seed: u64,
    /// Length of the ownership intervals of idempotency keys, such as `4s`. A restarted node owns
    /// keys only from the next interval on, and the next stop waits until it does.
    pub key_interval: Box<str>,
    /// Index of the instance whose node is stopped first.
    pub first: usize,
    /// Maximum number of nodes that are stopped.
    pub stops: usize,
}

/// Results of one stop.
#[derive(Debug, Serialize)]
pub struct Stop {
    /// Instance whose node was stopped.
    pub instance: Box<str>,
    /// Service of the instance.
    pub service: Box<str>,
    /// Whether the process exited with status 0.
    pub clean: bool,
    /// Time from SIGTERM to the exit of the process, in milliseconds.
    pub stop_ms: u64,
    /// Latest start of a call at the draining backend server, in milliseconds after SIGTERM; 0 if
    /// no call started after it.
    pub latest_start_ms: u64,
    /// Report of the load around the stop.
    pub report: Report,
}

impl Stop {
    /// Returns the sum of a count over all streams and phases.
    fn count(&self, select: impl Fn(&hitch_load::report::Row) -> u64) -> u64 {
        self.report.rows.iter().map(select).sum()
    }

    /// Returns the number of calls that the stop cut off: calls whose outcome is unknown, or that
    /// got the answer to another call or an error without an outcome.
    ///
    /// ```no_run
    /// # fn show(stop: &hitch_bench::drain::Stop) {
    /// assert_eq!(stop.cut(), 0);
    /// # }
    /// ```
    pub fn cut(&self) -> u64 {
        self.count(|row| row.unknown + row.wrong + row.other)
    }
}

/// Results of the experiment.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Seed of the load.
    pub seed: u64,
    /// Length of the ownership intervals of idempotency keys.
    pub key_interval: Box<str>,
    /// Results by stopped instance, in the order of the stops.
    pub stops: Vec<Stop>,
}

/// Runs the experiment: stops and restarts the nodes one by one under load.
///
/// ```no_run
/// # async fn run(deployment: &hitch_bench::Deployment) -> Result<(), hitch_bench::Error> {
/// let options = hitch_bench::drain::Options {
///     port_base: 21000,
///     seed: 1,
///     key_interval: "4s".into(),
///     first: 0,
///     stops: 12,
/// };
/// let outcome = hitch_bench::drain::run(deployment, &options).await?;
/// # Ok(())
/// # }
/// ```
pub async fn run(deployment: &Deployment, options: &Options) -> Result<Outcome, Error> {
    let interval = format!("key_interval: {}", options.key_interval);
    let contract = deployment.contract_with(&[("key_interval: 60s", &interval)])?;
    let mut running = RunningDeployment::start(deployment, options.port_base, &contract).await?;
    let seed = options.seed;
    load::wait_until_served(&running, STREAMS).await?;
    let fields = format!("duration_ms: {LOAD_MS}\nseed: {seed}\nstreams:\n{STREAMS}");
    let plan = load::plan(&running.callers(), &fields)?;
    let mut stops = Vec::new();
    let end = options.first.saturating_add(options.stops);
    let end = end.min(running.instances.len());
    for index in options.first..end {
        let load_run = load::run(&plan);
        let (report, stopped) = tokio::join!(load_run, stop(&mut running, index));
        let (clean, stop_ms, latest_start_ms) = stopped?;
        let instance = &running.instances[index];
        stops.push(Stop {
            instance: instance.name.clone(),
            service: instance.service.clone(),
            clean,
            stop_ms,
            latest_start_ms,
            report: report?,
        });
        if index + 1 == end {
            break;
        }
        running.start_node(index)?;
        running.wait_for(index, "/readyz").await?;
        load::wait_until_served(&running, STREAMS).await?;
    }
    Ok(Outcome {
        seed,
        key_interval: options.key_interval.clone(),
        stops,
    })
}

/// Stops a node with SIGTERM. Returns whether it exited with status 0, the time until it exited,
/// and the latest start of a call at its backend server after the signal, both in milliseconds.
async fn stop(running: &mut RunningDeployment, index: usize) -> Result<(bool, u64, u64), Error> {
    tokio::time::sleep(SIGNAL_DELAY).await;
    let backend = running.instances[index].backend;
    let Some(mut node) = running.instances[index].node.take() else {
        return Ok((false, 0, 0));
    };
    let signalled_at = Instant::now();
    node.signal("-TERM")?;
    // The backend server reports that it is healthy while it drains, so the stop is known only to
    // the node.
    let drain_control = json!({ "draining": true, "health": "ok" });
    running.http.control(backend, &drain_control).await?;
    let status = node.wait(STOP_TIMEOUT).await?;
    let stop_ms = signalled_at.elapsed().as_millis() as u64;
    let observation =
        Duration::from_millis(MAX_START_MS * 2).saturating_sub(signalled_at.elapsed());
    tokio::time::sleep(observation).await;
    let counters = running.http.get(backend, "/counters").await?;
    let latest = counters["latest_start_after_drain_ms"].as_u64();
    let latest = latest.ok_or_else(|| Error::Invalid {
        what: "counters".into(),
        detail: "field latest_start_after_drain_ms is missing".into(),
    })?;
    let restore_control = json!({ "draining": false, "health": "truth" });
    running.http.control(backend, &restore_control).await?;
    Ok((status.success(), stop_ms, latest))
}

/// The table that `hitch-bench drain` prints.
impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, key interval {}", self.seed, self.key_interval)?;
        writeln!(
            f,
            "{:<8} {:<10} {:>6} {:>8} {:>14} {:>8} {:>8} {:>8} {:>8}",
            "stopped",
            "service",
            "clean",
            "stop ms",
            "last start ms",
            "offered",
            "2xx",
            "not-run",
            "cut"
        )?;
        let (mut cut, mut late_starts) = (0, 0);
        for stop in &self.stops {
            cut += stop.cut();
            late_starts += u64::from(stop.latest_start_ms > MAX_START_MS);
            writeln!(
                f,
                "{:<8} {:<10} {:>6} {:>8} {:>14} {:>8} {:>8} {:>8} {:>8}",
                stop.instance,
                stop.service,
                stop.clean,
                stop.stop_ms,
                stop.latest_start_ms,
                stop.count(|row| row.offered),
                stop.count(|row| row.answered),
                stop.count(|row| row.not_run),
                stop.cut()
            )?;
            for row in &stop.report.rows {
                for (reason, count) in &row.reasons {
                    writeln!(f, "  {}: {count} x {reason}", row.stream)?;
                }
            }
        }
        let verdict = if cut == 0 && late_starts == 0 {
            "met"
        } else {
            "MISSED"
        };
        writeln!(
            f,
            "target (0 calls cut, no new work after 3 s): {verdict}; {cut} cut, {late_starts} stops with later work"
        )
    }
}
