//! History of the calls in progress, for a load report that lags.

use std::collections::VecDeque;
use std::time::Duration;

/// Changes kept; an older load is reported as the oldest one kept.
const MAX_CHANGES: usize = 8_192;

#[derive(Debug, Default)]
pub(crate) struct History {
    changes: VecDeque<(Duration, u32)>,
}

impl History {
    pub(crate) fn push(&mut self, now: Duration, running: u32) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((now, running));
    }

    /// Returns the calls in progress at `then`.
    pub(crate) fn at(&self, then: Duration) -> u32 {
        let after = self.changes.partition_point(|(time, _)| *time <= then);
        match after.checked_sub(1) {
            Some(i) => self.changes[i].1,
            None => 0,
        }
    }
}
