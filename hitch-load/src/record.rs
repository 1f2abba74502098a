//! Measurements of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::call::AttemptResult;
use crate::call::Outcome;

/// Largest latency that a histogram records, in microseconds; larger ones count as this value.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant decimal digits that a histogram keeps of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Returns an empty histogram for latencies in microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

/// Counts and latency of the calls of one stream in one phase.
#[derive(Debug, Clone)]
pub struct PhaseStats {
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
    /// Number of calls by reason, for calls that were sent and not answered with status 2xx.
    pub reasons: BTreeMap<Box<str>, u64>,
    /// Latency of answered calls from their scheduled time, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for PhaseStats {
    fn default() -> Self {
        PhaseStats {
            offered: 0,
            attempts: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            other: 0,
            wrong: 0,
            dropped: 0,
            reasons: BTreeMap::new(),
            latency: histogram(),
        }
    }
}

/// Attempts with one idempotency key, counted by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KeyOutcomes {
    /// Attempts that were answered.
    pub answered: u32,
    /// Attempts that were reported as not run.
    pub not_run: u32,
    /// Attempts that ended in any other way.
    pub other: u32,
}

/// All measurements of a run.
#[derive(Debug, Clone)]
pub struct Recording {
    /// Counts and latency by stream and phase.
    pub stats: BTreeMap<(Box<str>, Box<str>), PhaseStats>,
    /// Attempts by idempotency key.
    pub key_outcomes: BTreeMap<Box<str>, KeyOutcomes>,
    /// Delay that the generator itself adds, from the scheduled time of a call to its start, in
    /// microseconds.
    pub send_lag: Histogram<u64>,
}

impl Default for Recording {
    fn default() -> Self {
        Recording {
            stats: BTreeMap::new(),
            key_outcomes: BTreeMap::new(),
            send_lag: histogram(),
        }
    }
}

impl Recording {
    /// Returns the counts of a stream in a phase.
    pub(crate) fn stats_mut(&mut self, stream: &str, phase: &str) -> &mut PhaseStats {
        self.stats.entry((stream.into(), phase.into())).or_default()
    }

    /// Counts an attempt with an idempotency key.
    pub(crate) fn record_key_outcome(&mut self, key: &str, outcome: Outcome) {
        let outcomes = self.key_outcomes.entry(key.into()).or_default();
        match outcome {
            Outcome::Answered => outcomes.answered += 1,
            Outcome::NotRun => outcomes.not_run += 1,
            Outcome::Unknown | Outcome::Other | Outcome::Wrong => outcomes.other += 1,
        }
    }

    /// Returns the latency of the answered calls of all streams and phases together.
    pub(crate) fn all_latency(&self) -> Histogram<u64> {
        let mut all = histogram();
        for stats in self.stats.values() {
            all.add(&stats.latency)
                .expect("all histograms have the same bounds");
        }
        all
    }
}

impl PhaseStats {
    /// Counts a call that has ended with the result of its last attempt.
    pub(crate) fn record_call(&mut self, result: AttemptResult, latency: Duration) {
        match result.outcome {
            Outcome::Answered => {
                self.answered += 1;
                self.latency.saturating_record(latency.as_micros() as u64);
                return;
            }
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Other => self.other += 1,
            Outcome::Wrong => self.wrong += 1,
        }
        *self.reasons.entry(result.reason).or_default() += 1;
    }
}
