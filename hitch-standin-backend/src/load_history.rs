//! History of the number of calls in flight, for delayed load reports.

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of changes kept; the oldest ones are discarded first.
const MAX_CHANGES: usize = 8_192;

#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    /// Time of each change and the number of calls in flight from then on, oldest first.
    changes: VecDeque<(Duration, u32)>,
}

impl LoadHistory {
    pub(crate) fn push(&mut self, now: Duration, running: u32) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((now, running));
    }

    /// Returns the number of calls in flight at `then`, or 0 if `then` is before the oldest change
    /// kept.
    pub(crate) fn at(&self, then: Duration) -> u32 {
        let after = self.changes.partition_point(|(time, _)| *time <= then);
        match after.checked_sub(1) {
            Some(i) => self.changes[i].1,
            None => 0,
        }
    }
}
