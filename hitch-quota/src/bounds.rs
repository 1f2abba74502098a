//! Limits, and how exactly they are kept.

use std::time::Duration;

/// Longest lifetime of a lease. Tokens granted before a window may be spent in it, which the overage of 10 % of a window
/// of 5 s (500 ms) covers.
const MAX_LIFETIME: Duration = Duration::from_millis(400);
/// Least lifetime of a lease. A shorter one would expire on the way between availability zones.
const MIN_LIFETIME: Duration = Duration::from_millis(50);
/// Part of the overage that leases use. The rest covers differences between clocks.
const LIFETIME_FRACTION: f64 = 0.8;
/// Part of the slack by which a token bucket holds more than the burst. Without it, random arrivals at a mean of 62 % of
/// a rate of 4.8 per second find the bucket empty in over 1 % of the cases. The other half is a reserve.
const SLACK_FRACTION: f64 = 0.5;

/// Limit of an organisation over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second; 0 for no limit.
    pub rate: f64,
    /// Requests that are admitted at once on top of the rate.
    pub burst: f64,
}

/// How exactly the limits are kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Length of the sliding window in which requests are counted.
    pub window: Duration,
    /// Fraction by which the requests of a window may exceed the limit.
    pub overage: f64,
    /// Requests by which a window may exceed the limit on top of that.
    pub slack: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            window: Duration::from_secs(5),
            overage: 0.1,
            slack: 20.0,
        }
    }
}

impl Bounds {
    /// Returns the time from the request for a lease until its tokens expire.
    ///
    /// ```
    /// let bounds = hitch_quota::Bounds::default();
    /// assert_eq!(bounds.lifetime(), std::time::Duration::from_millis(400));
    /// ```
    pub fn lifetime(&self) -> Duration {
        let lifetime = self
            .window
            .mul_f64(self.overage.max(0.0) * LIFETIME_FRACTION);
        lifetime.clamp(MIN_LIFETIME, MAX_LIFETIME)
    }

    /// Returns the most tokens that the token bucket of an organisation holds.
    ///
    /// ```
    /// let limit = hitch_quota::Limit { rate: 5.0, burst: 5.0 };
    /// assert_eq!(hitch_quota::Bounds::default().capacity(limit), 15.0);
    /// ```
    pub fn capacity(&self, limit: Limit) -> f64 {
        (limit.burst + self.slack * SLACK_FRACTION).max(1.0)
    }

    /// Returns the most requests of a window.
    ///
    /// ```
    /// let limit = hitch_quota::Limit { rate: 5.0, burst: 5.0 };
    /// assert_eq!(hitch_quota::Bounds::default().most_in_window(limit), 53.0);
    /// ```
    pub fn most_in_window(&self, limit: Limit) -> f64 {
        let exact = limit.rate * self.window.as_secs_f64() + limit.burst;
        exact * (1.0 + self.overage) + self.slack
    }
}
