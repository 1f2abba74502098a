//! Rates of requests by rank, and the fraction of them that a bound admits.

use std::time::Duration;

use crate::decay::DecayingSum;

/// Ranks that requests have; less urgent ones count as the last.
const RANKS: usize = 8;
/// Time constant of the rates of requests. A node where 25 requests a second enter sees as many within it.
pub(crate) const RATE_TIME: Duration = Duration::from_secs(1);
/// Least fraction of the requests that is admitted, so that room is noticed.
pub(crate) const MIN_ADMITTED: f64 = 0.05;
/// `Retry-After` of a request of which all were admitted; one of which a fraction is admitted gets it divided by that.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Largest `Retry-After` of a refused request. An overload lasts for some seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_500);

/// Requests, admitted or not, by rank.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    ranks: [DecayingSum; RANKS],
}

impl Demand {
    pub(crate) fn add(&mut self, now: Duration, rank: u32, amount: f64) {
        self.ranks[position(rank)].add(now, amount, RATE_TIME);
    }

    /// Returns the rate over all ranks, in units a second.
    pub(crate) fn rate(&self, now: Duration) -> f64 {
        self.ranks.iter().map(|sum| sum.rate(now, RATE_TIME)).sum()
    }

    /// Returns the fraction of the requests of a rank that is admitted: the more urgent ones use the bound first.
    pub(crate) fn admitted_fraction(&self, now: Duration, rank: u32, bound: Option<f64>) -> f64 {
        let Some(bound) = bound else { return 1.0 };
        let rate = |sum: &DecayingSum| sum.rate(now, RATE_TIME);
        let urgent: f64 = self.ranks[..position(rank)].iter().map(rate).sum();
        let own = rate(&self.ranks[position(rank)]).max(f64::MIN_POSITIVE);
        ((bound - urgent) / own).clamp(MIN_ADMITTED, 1.0)
    }
}

fn position(rank: u32) -> usize {
    (rank as usize).min(RANKS - 1)
}

/// Returns the time after which a refused request is likely to be admitted, if a fraction of such requests is.
pub(crate) fn retry_after(admitted: f64) -> Duration {
    RETRY_AFTER
        .div_f64(admitted.clamp(MIN_ADMITTED, 1.0))
        .min(MAX_RETRY_AFTER)
}
