//! Measures the rate of offered calls.

use std::time::Duration;

/// Weight of a period whose rate is above the average, so that a rise shows within a few periods.
const RISING_WEIGHT: f64 = 0.5;

/// Weight of a period whose rate is below the average, so that a short pause of the load does not cause the
/// node to grant its share to others.
const FALLING_WEIGHT: f64 = 0.2;

/// Exponentially weighted moving average of the rate, with different weights for rise and fall.
#[derive(Debug, Clone)]
pub(crate) struct RateMeter {
    rate: f64,
    calls: f64,
    period_start: Duration,
}

impl RateMeter {
    pub(crate) fn new(now: Duration) -> Self {
        RateMeter {
            rate: 0.0,
            calls: 0.0,
            period_start: now,
        }
    }

    pub(crate) fn count_call(&mut self) {
        self.calls += 1.0;
    }

    /// Returns the average rate, in calls per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Ends the current period at `now` and adds its rate to the average.
    pub(crate) fn end_period(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.period_start).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let rate = self.calls / elapsed;
        let weight = match rate > self.rate {
            true => RISING_WEIGHT,
            false => FALLING_WEIGHT,
        };
        self.rate += weight * (rate - self.rate);
        self.calls = 0.0;
        self.period_start = now;
    }
}
