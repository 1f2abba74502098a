//! What was measured.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::call::Judgement;
use crate::call::Outcome;

/// Longest latency that a histogram tells apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant digits of a latency.
const DIGITS: u8 = 3;

/// Returns an empty histogram of microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS).expect("the bounds are valid")
}

/// Calls of one stream in one phase.
#[derive(Debug, Clone)]
pub struct Cell {
    /// Calls scheduled.
    pub offered: u64,
    /// Requests sent, including resends.
    pub attempts: u64,
    /// Calls that ended with an answer of their own and status 2xx.
    pub answered: u64,
    /// Calls that ended as not run.
    pub not_run: u64,
    /// Calls that ended with an unknown outcome.
    pub unknown: u64,
    /// Calls that ended with another answer.
    pub other: u64,
    /// Calls that ended with the answer to another call.
    pub wrong: u64,
    /// Calls that were not sent because too many were in flight.
    pub dropped: u64,
    /// Calls by reason, those answered excepted.
    pub reasons: BTreeMap<Box<str>, u64>,
    /// Latency of answered calls from their scheduled time, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for Cell {
    fn default() -> Self {
        Cell {
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
    /// Attempts that were said not to have run.
    pub not_run: u32,
    /// Attempts with any other end.
    pub other: u32,
}

/// Everything measured in a run.
#[derive(Debug, Clone)]
pub struct Recording {
    /// Calls by stream and phase.
    pub cells: BTreeMap<(Box<str>, Box<str>), Cell>,
    /// Attempts by idempotency key.
    pub key_outcomes: BTreeMap<Box<str>, KeyOutcomes>,
    /// Delay of the generator itself: from the scheduled time to the start of a call, in
    /// microseconds.
    pub send_lag: Histogram<u64>,
}

impl Default for Recording {
    fn default() -> Self {
        Recording {
            cells: BTreeMap::new(),
            key_outcomes: BTreeMap::new(),
            send_lag: histogram(),
        }
    }
}

impl Recording {
    pub(crate) fn cell(&mut self, stream: &str, phase: &str) -> &mut Cell {
        self.cells.entry((stream.into(), phase.into())).or_default()
    }

    pub(crate) fn record_key_outcome(&mut self, key: &str, outcome: Outcome) {
        let outcomes = self.key_outcomes.entry(key.into()).or_default();
        match outcome {
            Outcome::Answered => outcomes.answered += 1,
            Outcome::NotRun => outcomes.not_run += 1,
            Outcome::Unknown | Outcome::Other | Outcome::Wrong => outcomes.other += 1,
        }
    }

    /// Adds the latency of answered calls of every stream and phase.
    pub(crate) fn all_latency(&self) -> Histogram<u64> {
        let mut all = histogram();
        for cell in self.cells.values() {
            all.add(&cell.latency)
                .expect("all histograms have the same bounds");
        }
        all
    }
}

impl Cell {
    pub(crate) fn end(&mut self, judgement: Judgement, latency: Duration) {
        match judgement.outcome {
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
        *self.reasons.entry(judgement.reason).or_default() += 1;
    }
}
