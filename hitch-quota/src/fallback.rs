//! Admission while no home of an organisation answers, so that a loss of the homes does not end all service.
//!
//! Each node admits an equal part of a quarter of the limit. If some nodes do reach the home, the requests of a window stay
//! within the limit and its overage as long as those nodes are 40 % or more: 5 × (1 + 0.25 × 0.6) + 1 seconds of the rate
//! beside 5.5 × 1.1 + 1.1 with a burst of one second, and the slack. A node that is cut off alone admits next to nothing.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time without an answer after which requests are admitted. Homes are replaced within this time.
const LOST_AFTER: Duration = Duration::from_secs(1);
/// Fraction of the limit that all nodes together admit.
const FRACTION: f64 = 0.25;

/// Buckets of the organisations whose homes do not answer.
#[derive(Debug, Clone, Default)]
pub struct Fallback {
    buckets: BTreeMap<Box<str>, Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    lost_at: Duration,
    refilled_at: Duration,
    tokens: f64,
}

impl Fallback {
    /// Records that a home of the organisation answered, which ends the admission without it.
    ///
    /// ```
    /// hitch_quota::Fallback::default().answered("acme");
    /// ```
    pub fn answered(&mut self, organisation: &str) {
        self.buckets.remove(organisation);
    }

    /// Returns whether a request that got no answer is admitted.
    ///
    /// `rate` is the organisation's limit in requests per second, `nodes` the number of all nodes that are listed, whether
    /// or not they can be reached. `random` is drawn evenly from 0 to 1: the buckets of the nodes start at different
    /// levels, so that their sum is as if they were one.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut fallback = hitch_quota::Fallback::default();
    /// assert!(!fallback.admit(Duration::ZERO, "acme", 100.0, 1, 0.5));
    /// assert!(fallback.admit(Duration::from_secs(2), "acme", 100.0, 1, 0.5));
    /// ```
    pub fn admit(
        &mut self,
        now: Duration,
        organisation: &str,
        rate: f64,
        nodes: usize,
        random: f64,
    ) -> bool {
        if !self.buckets.contains_key(organisation) {
            let bucket = Bucket {
                lost_at: now,
                refilled_at: now + LOST_AFTER,
                tokens: random,
            };
            self.buckets.insert(organisation.into(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(organisation) else {
            return false;
        };
        if now < bucket.lost_at + LOST_AFTER {
            return false;
        }
        let share = rate * FRACTION / nodes.max(1) as f64;
        let elapsed = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        bucket.refilled_at = bucket.refilled_at.max(now);
        bucket.tokens = (bucket.tokens + share * elapsed).min(share.max(1.0));
        let is_admitted = bucket.tokens >= 1.0;
        if is_admitted {
            bucket.tokens -= 1.0;
        }
        is_admitted
    }
}
