//! The clocks of the process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::time::Instant;

/// The start of the process, from which monotonic time is counted.
#[derive(Debug, Clone, Copy)]
pub struct Time {
    start: Instant,
}

impl Time {
    /// Starts counting now.
    ///
    /// ```
    /// let time = hitch_node::time::Time::start();
    /// assert!(time.now() < std::time::Duration::from_secs(60));
    /// ```
    pub fn start() -> Time {
        Time {
            start: Instant::now(),
        }
    }

    /// Returns the monotonic time since the start. It goes on while the process is frozen.
    ///
    /// ```
    /// let time = hitch_node::time::Time::start();
    /// assert!(time.now() <= time.now());
    /// ```
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts an instant to the time since the start.
    ///
    /// ```
    /// let time = hitch_node::time::Time::start();
    /// assert!(time.since_start(tokio::time::Instant::now()) <= time.now());
    /// ```
    pub fn since_start(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start)
    }
}

/// Returns the wall clock in milliseconds since the Unix epoch.
///
/// ```
/// assert!(hitch_node::time::wall_ms() > 0);
/// ```
pub fn wall_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
