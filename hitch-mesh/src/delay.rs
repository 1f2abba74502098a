//! Estimates how long messages of a peer were delayed, without synchronised clocks.
//!
//! The offset between the receiver's and the sender's clock is unknown but constant. The smallest difference between
//! receive time and send time on a connection is taken for that of a message without delay. The delay of a later
//! message is the amount by which its difference is greater: the time that it waited behind other traffic on a narrow
//! link, or unread while the receiver was frozen.

use std::time::Duration;

/// Delay estimate for the messages of one connection.
#[derive(Debug, Default)]
pub struct DelayEstimator {
    min_offset_ms: Option<i64>,
}

impl DelayEstimator {
    /// Returns the delay of a message that was sent at `sent` by the sender's clock and received at `now` by the
    /// receiver's.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut estimator = hitch_mesh::delay::DelayEstimator::default();
    /// let seconds = Duration::from_secs;
    /// assert_eq!(estimator.excess_delay(seconds(100), seconds(7)), Duration::ZERO);
    /// assert_eq!(estimator.excess_delay(seconds(101), seconds(10)), seconds(2));
    /// ```
    pub fn excess_delay(&mut self, sent: Duration, now: Duration) -> Duration {
        let offset = now.as_millis() as i64 - sent.as_millis() as i64;
        let min_offset = self.min_offset_ms.map_or(offset, |min| min.min(offset));
        self.min_offset_ms = Some(min_offset);
        Duration::from_millis((offset - min_offset) as u64)
    }
}
