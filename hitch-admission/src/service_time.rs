//! Estimate of the service time of one rank.

use std::time::Duration;

/// Smallest weight of a new sample in the averages; the first samples weigh more.
const MIN_SAMPLE_WEIGHT: f64 = 1.0 / 32.0;

/// Age of the last sample up to which the mean keeps its full value. Beyond it, the mean is halved for each
/// further period of this length.
///
/// Without this decay, a rank whose estimate exceeds the deadline of every call would have all its calls
/// refused and so would never be measured again.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Mean deviations between the mean and the upper bound of the service time; the retransmission timeout of
/// RFC 6298 uses the same factor.
const UPPER_BOUND_DEVIATIONS: f64 = 4.0;

/// Exponentially weighted moving averages of the service time and of its absolute deviation, in seconds.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceTime {
    mean: f64,
    deviation: f64,
    samples: u32,
    last_sample_at: Duration,
}

impl ServiceTime {
    pub(crate) fn observe(&mut self, now: Duration, latency: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_SAMPLE_WEIGHT);
        let error = latency.as_secs_f64() - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
        self.last_sample_at = now;
    }

    pub(crate) fn has_samples(&self) -> bool {
        self.samples > 0
    }

    /// Returns the mean, whatever the age of the last sample.
    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns the mean absolute deviation.
    pub(crate) fn deviation(&self) -> Duration {
        Duration::from_secs_f64(self.deviation)
    }

    /// Returns the mean at `now`, reduced by the age of the last sample; zero without a sample.
    pub(crate) fn mean_at(&self, now: Duration) -> Duration {
        let age = now.saturating_sub(self.last_sample_at);
        if age <= HALF_LIFE {
            return Duration::from_secs_f64(self.mean);
        }
        let half_lives = (age - HALF_LIFE).as_secs_f64() / HALF_LIFE.as_secs_f64();
        Duration::from_secs_f64(self.mean * (-half_lives).exp2())
    }

    /// Returns a service time that few calls exceed.
    pub(crate) fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean + UPPER_BOUND_DEVIATIONS * self.deviation)
    }
}
