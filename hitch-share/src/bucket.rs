//! Token bucket whose rate changes.

/// Tokens for calls that may be admitted now.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Bucket {
    tokens: f64,
}

impl Bucket {
    /// Adds `tokens` and keeps at most the burst of `rate`: what accrues in `burst` seconds, but at least
    /// one call as long as the rate is above zero.
    pub(crate) fn refill(&mut self, tokens: f64, rate: f64, burst: f64) {
        let most = match rate > 0.0 {
            true => (rate * burst).max(1.0),
            false => 0.0,
        };
        self.tokens = (self.tokens + tokens).min(most);
    }

    pub(crate) fn try_take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
