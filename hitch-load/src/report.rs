//! The report of a run, printed as a table or written as JSON.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::audit;
use crate::plan::Plan;
use crate::record::Recording;

/// Results of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Addresses to which the calls were sent.
    pub targets: Vec<SocketAddr>,
    /// Seed of the plan.
    pub seed: u64,
    /// Length of the run, in milliseconds.
    pub duration_ms: u64,
    /// Delay that the generator itself adds, from the scheduled time of a call to its start.
    pub send_lag: Latency,
    /// Results by stream and phase.
    pub rows: Vec<Row>,
    /// Comparison with the ledgers; absent if the plan names no ledger.
    pub audit: Option<audit::Outcome>,
}

/// Percentiles and maximum of a latency, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Latency {
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Largest value.
    pub max_us: u64,
}

impl Latency {
    /// Reads the percentiles from a histogram of microseconds.
    ///
    /// ```
    /// use hitch_load::report::Latency;
    ///
    /// let mut histogram = hdrhistogram::Histogram::<u64>::new(3).unwrap();
    /// histogram.record(7).unwrap();
    /// assert_eq!(Latency::of(&histogram).p99_us, 7);
    /// ```
    pub fn of(histogram: &Histogram<u64>) -> Latency {
        Latency {
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

/// Results of one stream in one phase.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Name of the stream.
    pub stream: Box<str>,
    /// Rank of the stream.
    pub rank: Box<str>,
    /// Name of the phase.
    pub phase: Box<str>,
    /// Length of the phase, in milliseconds.
    pub phase_ms: u64,
    /// Calls scheduled, whether or not they were sent.
    pub offered: u64,
    /// Attempts, retries included.
    pub attempts: u64,
    /// Calls answered with status 2xx.
    pub answered: u64,
    /// Calls that were not run.
    pub not_run: u64,
    /// Calls whose outcome is unknown.
    pub unknown: u64,
    /// Calls answered with an error that does not state whether the call was run, and calls whose
    /// request is malformed.
    pub other: u64,
    /// Calls that received the answer to another call.
    pub wrong: u64,
    /// Calls that were not sent because the limit of calls in flight was reached.
    pub dropped: u64,
    /// Answered calls per second of the phase.
    pub goodput: f64,
    /// Latency of answered calls from their scheduled time.
    pub latency: Latency,
    /// Number of calls by reason, for calls that were sent and not answered with status 2xx.
    pub reasons: BTreeMap<Box<str>, u64>,
}

impl Report {
    /// Creates the report of a recording.
    ///
    /// ```
    /// use hitch_load::Report;
    /// use hitch_load::record::Recording;
    ///
    /// let text = "{ targets: [], duration_ms: 1, streams: [] }";
    /// let plan = hitch_load::plan::from_str("plan.yaml", text).unwrap();
    /// let report = Report::new(&plan, &[], &Recording::default());
    /// assert!(report.rows.is_empty());
    /// ```
    pub fn new(plan: &Plan, targets: &[SocketAddr], recording: &Recording) -> Report {
        let lengths = phase_lengths(plan);
        let mut rows = Vec::new();
        for ((stream, phase), stats) in &recording.stats {
            let phase_ms = lengths.get(phase).copied().unwrap_or(0);
            let rank = plan.streams.iter().find(|s| s.name == *stream);
            rows.push(Row {
                stream: stream.clone(),
                rank: rank.map_or_else(|| "".into(), |s| s.rank.clone()),
                phase: phase.clone(),
                phase_ms,
                offered: stats.offered,
                attempts: stats.attempts,
                answered: stats.answered,
                not_run: stats.not_run,
                unknown: stats.unknown,
                other: stats.other,
                wrong: stats.wrong,
                dropped: stats.dropped,
                goodput: stats.answered as f64 * 1_000.0 / phase_ms.max(1) as f64,
                latency: Latency::of(&stats.latency),
                reasons: stats.reasons.clone(),
            });
        }
        Report {
            targets: targets.to_vec(),
            seed: plan.seed,
            duration_ms: plan.duration_ms,
            send_lag: Latency::of(&recording.send_lag),
            rows,
            audit: None,
        }
    }
}

/// Returns the length of each phase, in milliseconds.
fn phase_lengths(plan: &Plan) -> BTreeMap<Box<str>, u64> {
    let boundaries: Vec<u64> = plan.boundaries().into_iter().collect();
    let mut lengths = BTreeMap::new();
    for pair in boundaries.windows(2) {
        let phase = plan.phase(std::time::Duration::from_millis(pair[0]));
        *lengths.entry(phase).or_default() += pair[1] - pair[0];
    }
    lengths
}

/// Formats a time in microseconds as milliseconds.
pub(crate) fn ms(us: u64) -> String {
    format!("{:.2}", us as f64 / 1_000.0)
}

/// The table that `hitch-load` prints.
impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:<12} {:>9} {:>9} {:>8} {:>8} {:>7} {:>6} {:>8} {:>9} {:>9} {:>9} {:>9}",
            "stream",
            "phase",
            "offered",
            "2xx",
            "not-run",
            "unknown",
            "other",
            "wrong",
            "dropped",
            "goodput/s",
            "p50 ms",
            "p99 ms",
            "p99.9 ms"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:<16} {:<12} {:>9} {:>9} {:>8} {:>8} {:>7} {:>6} {:>8} {:>9.1} {:>9} {:>9} {:>9}",
                row.stream,
                row.phase,
                row.offered,
                row.answered,
                row.not_run,
                row.unknown,
                row.other,
                row.wrong,
                row.dropped,
                row.goodput,
                ms(row.latency.p50_us),
                ms(row.latency.p99_us),
                ms(row.latency.p999_us)
            )?;
            for (reason, count) in &row.reasons {
                writeln!(f, "  {count} x {reason}")?;
            }
        }
        writeln!(
            f,
            "delay of the generator: p50 {} ms, p99 {} ms",
            ms(self.send_lag.p50_us),
            ms(self.send_lag.p99_us)
        )?;
        let Some(audit) = &self.audit else {
            return Ok(());
        };
        writeln!(
            f,
            "ledgers: {} keys sent, {} run, {} run twice, {} false not-run, {} answered but not run",
            audit.keys,
            audit.keys_run,
            audit.duplicates.count,
            audit.false_not_run.count,
            audit.answered_without_run.count
        )
    }
}
