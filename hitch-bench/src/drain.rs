//! Planned stops under load.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

use hitch_load::Report;
use serde::Serialize;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::Running;
use crate::error::Error;
use crate::load;

/// Streams of calls, whose rates are for each second.
const STREAMS: &str = "\
- { name: fees, customer: association, rank: fee, method: POST, path: /fees, rate: 60, body_bytes: 64, deadline_ms: 2000, keyed: true, resends: 3 }
- { name: commissions, customer: association, rank: commission, method: POST, path: /commissions, rate: 60, body_bytes: 64, deadline_ms: 2000, keyed: true, resends: 3 }
- { name: lookups, customer: association, rank: lookup, method: GET, path: /credentials/3, rate: 150, deadline_ms: 500, resends: 3 }
- { name: enquiries, customer: association, rank: enquiry, method: GET, path: /instruments/7, rate: 150, deadline_ms: 2000, resends: 3 }
";
/// Length of the load around each stop, in milliseconds.
const LOAD_MS: u64 = 8_000;
/// Time from the start of the load to the signal.
const BEFORE_SIGNAL: Duration = Duration::from_secs(2);
/// Time within which a node must stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Latest start of new work at a leaving backend server after the signal, in milliseconds.
const MAX_LATE_MS: u64 = 3_000;

/// How to run the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// First port.
    pub port_base: u16,
    /// Seed of the load.
    pub seed: u64,
    /// Length of the ownership intervals of keys, such as `4s`. A restarted node owns keys from the
    /// next interval on, and the next stop waits for that.
    pub key_interval: Box<str>,
    /// Instance whose node is stopped first, counted from 0.
    pub first: usize,
    /// Nodes that are stopped at most.
    pub stops: usize,
}

/// Results of one stop.
#[derive(Debug, Serialize)]
pub struct Stop {
    /// Instance whose node was stopped.
    pub instance: Box<str>,
    /// Service of the instance.
    pub service: Box<str>,
    /// Whether the process ended with success.
    pub clean: bool,
    /// Time from the signal to the end of the process, in milliseconds.
    pub stop_ms: u64,
    /// Latest start of a call at the leaving backend server after the signal, in milliseconds; 0 if
    /// there was none.
    pub latest_start_ms: u64,
    /// Report of the load around the stop.
    pub report: Report,
}

impl Stop {
    fn count(&self, select: impl Fn(&hitch_load::report::Row) -> u64) -> u64 {
        self.report.rows.iter().map(select).sum()
    }

    /// Returns the calls that ended with an unknown outcome, a wrong or another answer.
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
    /// Length of the ownership intervals of keys.
    pub key_interval: Box<str>,
    /// Results by instance.
    pub stops: Vec<Stop>,
}

/// Stops one node after the other under load and starts it again.
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
    let mut running = Running::start(deployment, options.port_base, &contract).await?;
    let seed = options.seed;
    load::wait_until_served(&running, STREAMS).await?;
    let rest = format!("duration_ms: {LOAD_MS}\nseed: {seed}\nstreams:\n{STREAMS}");
    let plan = load::plan(&running.callers(), &rest)?;
    let mut stops = Vec::new();
    let end = options.first.saturating_add(options.stops);
    let end = end.min(running.instances.len());
    for number in options.first..end {
        let sent = load::run(&plan);
        let (report, stopped) = tokio::join!(sent, stop(&mut running, number));
        let (clean, stop_ms, latest_start_ms) = stopped?;
        let instance = &running.instances[number];
        stops.push(Stop {
            instance: instance.name.clone(),
            service: instance.service.clone(),
            clean,
            stop_ms,
            latest_start_ms,
            report: report?,
        });
        if number + 1 == end {
            break;
        }
        running.start_node(number)?;
        running.wait_for(number, "/readyz").await?;
        load::wait_until_served(&running, STREAMS).await?;
    }
    Ok(Outcome {
        seed,
        key_interval: options.key_interval.clone(),
        stops,
    })
}

/// Stops a node; returns whether it ended well, how long it took and when its last call began.
async fn stop(running: &mut Running, number: usize) -> Result<(bool, u64, u64), Error> {
    tokio::time::sleep(BEFORE_SIGNAL).await;
    let backend = running.instances[number].backend;
    let Some(mut node) = running.instances[number].node.take() else {
        return Ok((false, 0, 0));
    };
    let signalled = Instant::now();
    node.signal("-TERM")?;
    // The backend server does not say that it leaves, so the node alone must know.
    let leaving = json!({ "draining": true, "health": "ok" });
    running.http.control(backend, &leaving).await?;
    let status = node.ended(STOP_TIMEOUT).await?;
    let stop_ms = signalled.elapsed().as_millis() as u64;
    let rest = Duration::from_millis(MAX_LATE_MS * 2).saturating_sub(signalled.elapsed());
    tokio::time::sleep(rest).await;
    let counters = running.http.get(backend, "/counters").await?;
    let latest = counters["latest_start_after_drain_ms"].as_u64();
    let latest = latest.ok_or_else(|| Error::Content {
        file: "counters".into(),
        detail: "no latest_start_after_drain_ms".into(),
    })?;
    let staying = json!({ "draining": false, "health": "truth" });
    running.http.control(backend, &staying).await?;
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
        let (mut cut, mut late) = (0, 0);
        for stop in &self.stops {
            cut += stop.cut();
            late += u64::from(stop.latest_start_ms > MAX_LATE_MS);
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
        let verdict = if cut == 0 && late == 0 {
            "met"
        } else {
            "MISSED"
        };
        writeln!(
            f,
            "target (0 calls cut, no new work after 3 s): {verdict}; {cut} cut, {late} stops with late work"
        )
    }
}
