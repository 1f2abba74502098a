//! Sums that decay exponentially with time.

use std::time::Duration;

/// A sum whose terms lose their weight with a time constant.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Duration,
}

impl DecayingSum {
    pub(crate) fn add(&mut self, now: Duration, amount: f64, time: Duration) {
        self.sum = self.value(now, time) + amount;
        self.updated_at = self.updated_at.max(now);
    }

    pub(crate) fn value(&self, now: Duration, time: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.sum * (-age.as_secs_f64() / time.as_secs_f64()).exp()
    }

    /// Returns the rate of the terms, in units a second.
    pub(crate) fn rate(&self, now: Duration, time: Duration) -> f64 {
        self.value(now, time) / time.as_secs_f64()
    }
}
