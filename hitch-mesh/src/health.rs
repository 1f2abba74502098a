//! Passive health check of the local backend server, based on the results of its calls.
//!
//! The node on a backend server's instance sees all of its calls. Each of the other nodes sees few: one in several
//! seconds in a mesh of 60 nodes. So the local node decides for all whether the backend server is failing, and sends
//! each change to its peers.

use std::time::Duration;

/// Weight of one call in the exponentially weighted moving average of failures: a backend server that fails every other
/// call counts as failing after about 12 calls.
const EWMA_WEIGHT: f64 = 1.0 / 16.0;
/// Failure rate from which a backend server counts as failing. Healthy ones fail less than 1 in 100 calls.
const FAILING_RATE: f64 = 0.3;
/// Calls that a backend server must have had before it can count as failing.
const MIN_CALLS: u32 = 8;
/// Length of the first failing period; each further period in a row is twice as long.
const FIRST_FAILING_PERIOD: Duration = Duration::from_secs(1);
/// Longest failing period. A backend server that has recovered gets its usual share of the calls within this time.
const MAX_FAILING_PERIOD: Duration = Duration::from_secs(4);

/// Failure statistics of one incarnation of a backend server.
#[derive(Debug, Clone, Default)]
pub struct PassiveHealth {
    failure_rate: f64,
    calls: u32,
    consecutive_periods: u32,
    failing_until: Option<Duration>,
}

impl PassiveHealth {
    /// Records the result of a call. Returns the end of the failing period if this call starts one.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut health = hitch_mesh::health::PassiveHealth::default();
    /// let until = (0..20).find_map(|_| health.record(Duration::ZERO, true));
    /// assert_eq!(until, Some(Duration::from_secs(1)));
    /// ```
    pub fn record(&mut self, now: Duration, failed: bool) -> Option<Duration> {
        self.calls = self.calls.saturating_add(1);
        self.failure_rate += EWMA_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
        if self.failure_rate < EWMA_WEIGHT / 2.0 {
            self.consecutive_periods = 0;
        }
        let was_healthy = self.failing_until.is_none();
        if !was_healthy || self.calls < MIN_CALLS || self.failure_rate < FAILING_RATE {
            return None;
        }
        let period = FIRST_FAILING_PERIOD * 2u32.saturating_pow(self.consecutive_periods.min(8));
        self.consecutive_periods += 1;
        let until = now + period.min(MAX_FAILING_PERIOD);
        self.failing_until = Some(until);
        Some(until)
    }

    /// Ends the failing period if it has elapsed, and returns whether it did.
    ///
    /// The failure rate is set just below the limit, so that a backend server which still fails enters the next period
    /// after a few calls.
    ///
    /// ```
    /// let mut health = hitch_mesh::health::PassiveHealth::default();
    /// assert!(!health.end_failing_period(Default::default()));
    /// ```
    pub fn end_failing_period(&mut self, now: Duration) -> bool {
        if self.failing_until.is_none_or(|until| now < until) {
            return false;
        }
        self.failing_until = None;
        self.failure_rate = self.failure_rate.min(FAILING_RATE - EWMA_WEIGHT);
        true
    }

    /// Returns whether the backend server is in a failing period.
    ///
    /// ```
    /// assert!(!hitch_mesh::health::PassiveHealth::default().is_failing());
    /// ```
    pub fn is_failing(&self) -> bool {
        self.failing_until.is_some()
    }
}
