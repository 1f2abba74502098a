//! How long calls were on their way, without clocks that agree.
//!
//! The difference between the receiver's and the sender's clock is unknown but constant, so the smallest difference that
//! a connection has shown stands for a call that was not held up. What a later call shows beyond it is the time for
//! which that call waited: behind others on a narrow link, or unread while the receiver was frozen.

use std::time::Duration;

/// The calls of one connection.
#[derive(Debug, Default)]
pub struct Transit {
    smallest_ms: Option<i64>,
}

impl Transit {
    /// Returns how long a call was held up that was sent at `sent` by the sender's clock and is received at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut transit = hitch_mesh::transit::Transit::default();
    /// let seconds = Duration::from_secs;
    /// assert_eq!(transit.held_up(seconds(100), seconds(7)), Duration::ZERO);
    /// assert_eq!(transit.held_up(seconds(101), seconds(10)), seconds(2));
    /// ```
    pub fn held_up(&mut self, sent: Duration, now: Duration) -> Duration {
        let difference = now.as_millis() as i64 - sent.as_millis() as i64;
        let smallest = self.smallest_ms.map_or(difference, |s| s.min(difference));
        self.smallest_ms = Some(smallest);
        Duration::from_millis((difference - smallest) as u64)
    }
}
