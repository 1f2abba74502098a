//! Measured service time of one rank.

use std::time::Duration;

/// Weight of a new sample once the average has settled.
const SETTLED_WEIGHT: f64 = 1.0 / 32.0;

/// Age after which a measurement loses half its value for each further period of the same length.
///
/// Without this a rank whose measured time exceeds every deadline would never run again and so never be
/// measured again.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Mean deviations above the mean that count as a long service time (RFC 6298 uses the same factor).
const LONG_DEVIATIONS: f64 = 4.0;

/// Exponentially weighted mean and mean deviation of the service time, in seconds.
#[derive(Debug, Clone, Default)]
pub(crate) struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u32,
    last: Duration,
}

impl Estimate {
    pub(crate) fn observe(&mut self, now: Duration, latency: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(SETTLED_WEIGHT);
        let error = latency.as_secs_f64() - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
        self.last = now;
    }

    /// Returns the estimate at `now`, zero while nothing was measured.
    pub(crate) fn at(&self, now: Duration) -> Duration {
        let age = now.saturating_sub(self.last);
        if age <= HALF_LIFE {
            return Duration::from_secs_f64(self.mean);
        }
        let halvings = (age - HALF_LIFE).as_secs_f64() / HALF_LIFE.as_secs_f64();
        Duration::from_secs_f64(self.mean * (-halvings).exp2())
    }

    /// Service time that few calls exceed.
    pub(crate) fn long(&self) -> Duration {
        Duration::from_secs_f64(self.mean + LONG_DEVIATIONS * self.deviation)
    }
}
