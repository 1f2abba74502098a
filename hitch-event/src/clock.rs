//! Hybrid logical clock.

use serde::Deserialize;
use serde::Serialize;

/// Timestamp of an event, which orders the merged events of all processes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Highest wall clock time known to the process, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Logical counter that orders events with equal `wall_ms`.
    pub logical: u32,
}

/// Hybrid logical clock of one process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Advances the clock and returns the timestamp of a local event at wall clock time `now_ms`.
    ///
    /// ```
    /// let mut clock = hitch_event::Clock::default();
    /// let first = clock.tick(5);
    /// assert!(clock.tick(4) > first);
    /// ```
    pub fn tick(&mut self, now_ms: u64) -> Stamp {
        self.last = match now_ms > self.last.wall_ms {
            true => Stamp {
                wall_ms: now_ms,
                logical: 0,
            },
            false => Stamp {
                logical: self.last.logical + 1,
                ..self.last
            },
        };
        self.last
    }

    /// Merges the timestamp of a received message into the clock and returns the timestamp of its
    /// receipt, which is higher.
    ///
    /// ```
    /// let mut clock = hitch_event::Clock::default();
    /// let remote = hitch_event::Stamp { wall_ms: 9, logical: 3 };
    /// assert!(clock.observe(remote, 1) > remote);
    /// ```
    pub fn observe(&mut self, remote: Stamp, now_ms: u64) -> Stamp {
        self.last = self.last.max(remote);
        self.tick(now_ms)
    }
}
