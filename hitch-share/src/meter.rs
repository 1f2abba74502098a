//! Measured rate of offered calls.

use std::time::Duration;

/// Weight of a period whose rate is above the average; a rise must be seen within a few periods.
const RISING_WEIGHT: f64 = 0.5;

/// Weight of a period whose rate is below the average; a short pause must not give the share away.
const FALLING_WEIGHT: f64 = 0.2;

#[derive(Debug, Clone)]
pub(crate) struct Meter {
    rate: f64,
    calls: f64,
    since: Duration,
}

impl Meter {
    pub(crate) fn new(now: Duration) -> Self {
        Meter {
            rate: 0.0,
            calls: 0.0,
            since: now,
        }
    }

    pub(crate) fn count(&mut self) {
        self.calls += 1.0;
    }

    /// Calls per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Ends a period.
    pub(crate) fn roll(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.since).as_secs_f64();
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
        self.since = now;
    }
}
