//! Token bucket with a variable rate.

/// Token bucket. Each admitted call takes one token.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
}

impl TokenBucket {
    /// Adds `tokens` up to the capacity: the tokens that accrue in `burst` seconds at `rate` calls per
    /// second, but at least one while the rate is above zero.
    pub(crate) fn refill(&mut self, tokens: f64, rate: f64, burst: f64) {
        let capacity = match rate > 0.0 {
            true => (rate * burst).max(1.0),
            false => 0.0,
        };
        self.tokens = (self.tokens + tokens).min(capacity);
    }

    pub(crate) fn try_take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
