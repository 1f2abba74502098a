//! The hybrid logical clock.

use serde::Deserialize;
use serde::Serialize;

/// A position in the merged order of events.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Highest wall clock seen, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Orders events within one millisecond.
    pub logical: u32,
}

/// The clock of one process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// Stamps an event of this process at wall time `now_ms`.
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

    /// Takes over the stamp of a received message and stamps its receipt.
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
