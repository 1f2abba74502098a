//! Counts the answers of the local backend server for the reports to the controller.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::evidence;
use crate::evidence::Counts;

/// Time from the first sight of a backend server during which it counts as warming up, even if it does not say so. It is
/// slow for 3 s after its start.
pub const WARM_UP: Duration = Duration::from_millis(3_250);
/// Bad answers without an instruction of a controller after which the node refuses calls for its backend server. All
/// nodes stop sending such calls by themselves; this bound holds if one of them does not.
const MAX_UNGUIDED_BAD: u32 = 25;
/// Most routes that are counted. The name of a route comes from the configuration, so there are few.
const MAX_ROUTES: usize = 64;

/// How the backend server ended a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// It answered, and the answer is no failure.
    Answered,
    /// It answered with a failure, or closed the connection without an answer.
    Failed,
    /// It did not answer in time.
    TimedOut,
}

/// Counts of one incarnation of the local backend server, by route.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    incarnation: Box<str>,
    routes: BTreeMap<Box<str>, Counts>,
    number: u64,
    unguided_bad: u32,
}

impl Recorder {
    /// Records how a call ended. `is_cold` states that the backend server was warming up when the call was sent to it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::recorder::*;
    /// let mut recorder = Recorder::default();
    /// recorder.record("i-1", "/read/", Ended::Answered, Duration::from_millis(40), false);
    /// assert_eq!(recorder.take("i-1").1["/read/"].answers, 1);
    /// ```
    pub fn record(
        &mut self,
        incarnation: &str,
        route: &str,
        ended: Ended,
        latency: Duration,
        is_cold: bool,
    ) {
        self.set_incarnation(incarnation);
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return;
        }
        let counts = self.routes.entry(route.into()).or_default();
        if is_cold {
            counts.cold_answers += 1;
            counts.cold_failures += u32::from(ended == Ended::Failed);
            return;
        }
        counts.answers += 1;
        counts.failures += u32::from(ended != Ended::Answered);
        // A failure may be fast, and then hides that the other answers are slow.
        if ended != Ended::Failed {
            let bucket = evidence::bucket(latency);
            if counts.buckets.len() <= bucket {
                counts.buckets.resize(bucket + 1, 0);
            }
            counts.buckets[bucket] += 1;
        }
    }

    /// Records a failure of an unproved version for which no controller has sent an instruction of late. Returns whether
    /// the node now refuses calls for it.
    ///
    /// ```
    /// let mut recorder = hitch_rollout::recorder::Recorder::default();
    /// assert!(!recorder.record_unguided_failure());
    /// ```
    pub fn record_unguided_failure(&mut self) -> bool {
        self.unguided_bad += 1;
        self.has_stopped()
    }

    /// Returns whether the node refuses calls for its backend server.
    ///
    /// ```
    /// assert!(!hitch_rollout::recorder::Recorder::default().has_stopped());
    /// ```
    pub fn has_stopped(&self) -> bool {
        self.unguided_bad >= MAX_UNGUIDED_BAD
    }

    /// Returns the number of the next report and the counts for it.
    ///
    /// ```
    /// let mut recorder = hitch_rollout::recorder::Recorder::default();
    /// assert_eq!(recorder.take("i-1").0, 1);
    /// assert_eq!(recorder.take("i-1").0, 2);
    /// ```
    pub fn take(&mut self, incarnation: &str) -> (u64, BTreeMap<Box<str>, Counts>) {
        self.set_incarnation(incarnation);
        self.number += 1;
        (self.number, self.routes.clone())
    }

    /// Starts new counts for another incarnation.
    fn set_incarnation(&mut self, incarnation: &str) {
        if *self.incarnation != *incarnation {
            self.incarnation = incarnation.into();
            self.routes.clear();
            self.number = 0;
        }
    }
}
