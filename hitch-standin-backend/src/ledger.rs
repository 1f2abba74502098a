//! Ledger of the runs, kept across crashes. Its size grows with the number of idempotency keys.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Runs of the calls with one idempotency key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Runs started.
    pub started: u32,
    /// Runs finished.
    pub finished: u32,
    /// Runs stopped early because the caller disconnected, the deadline passed or the backend
    /// server crashed.
    pub stopped: u32,
}

/// All runs, as `GET /ledger` returns them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Runs started, with and without a key.
    pub started: u64,
    /// Runs finished.
    pub finished: u64,
    /// Runs stopped early.
    pub stopped: u64,
    /// Runs by idempotency key.
    pub keys: BTreeMap<Box<str>, Runs>,
}

impl Ledger {
    /// Records the start of a run.
    ///
    /// ```
    /// let mut ledger = hitch_standin_backend::Ledger::default();
    /// ledger.start(Some("k"));
    /// ledger.start(Some("k"));
    /// assert_eq!(ledger.duplicates(), 1);
    /// ```
    pub fn start(&mut self, key: Option<&str>) {
        self.started += 1;
        if let Some(key) = key {
            self.keys.entry(key.into()).or_default().started += 1;
        }
    }

    /// Records that a run finished.
    ///
    /// ```
    /// let mut ledger = hitch_standin_backend::Ledger::default();
    /// ledger.start(Some("k"));
    /// ledger.finish(Some("k"));
    /// assert_eq!(ledger.keys["k"].finished, 1);
    /// ```
    pub fn finish(&mut self, key: Option<&str>) {
        self.finished += 1;
        if let Some(runs) = key.and_then(|key| self.keys.get_mut(key)) {
            runs.finished += 1;
        }
    }

    /// Records that a run was stopped before it finished.
    ///
    /// ```
    /// let mut ledger = hitch_standin_backend::Ledger::default();
    /// ledger.start(Some("k"));
    /// ledger.stop(Some("k"));
    /// assert_eq!(ledger.keys["k"].stopped, 1);
    /// ```
    pub fn stop(&mut self, key: Option<&str>) {
        self.stopped += 1;
        if let Some(runs) = key.and_then(|key| self.keys.get_mut(key)) {
            runs.stopped += 1;
        }
    }

    /// Returns the number of idempotency keys with more than one run started.
    ///
    /// ```
    /// assert_eq!(hitch_standin_backend::Ledger::default().duplicates(), 0);
    /// ```
    pub fn duplicates(&self) -> usize {
        self.keys.values().filter(|runs| runs.started > 1).count()
    }

    /// Adds the runs of another backend server of the same service, so that [`Ledger::duplicates`]
    /// counts keys that were run on both.
    ///
    /// ```
    /// let mut ledger = hitch_standin_backend::Ledger::default();
    /// ledger.start(Some("k"));
    /// let other = ledger.clone();
    /// ledger.merge(&other);
    /// assert_eq!(ledger.duplicates(), 1);
    /// ```
    pub fn merge(&mut self, other: &Ledger) {
        self.started += other.started;
        self.finished += other.finished;
        self.stopped += other.stopped;
        for (key, runs) in &other.keys {
            let sum = self.keys.entry(key.clone()).or_default();
            sum.started += runs.started;
            sum.finished += runs.finished;
            sum.stopped += runs.stopped;
        }
    }
}
