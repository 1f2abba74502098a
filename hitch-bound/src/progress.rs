//! Time that a connection may take for a request head, for the next piece of a body and between requests.

use std::time::Duration;

/// Bytes of a body that count as progress. Fewer would let a client keep its memory by sending a byte now and then.
pub const PROGRESS_BYTES: usize = 16 * 1024;
/// Time without progress after which a body or an answer gives its memory back while the account is short of memory. A
/// link of 10 Mbit/s that 20 bodies share carries 16 KiB of each in 260 ms.
pub const STALL_IN_SHORTAGE: Duration = Duration::from_millis(500);
/// Interval at which a body or an answer without progress checks whether the account is short.
pub const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time limits of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Longest time from the first byte of a request head to its end.
    pub head: Duration,
    /// Longest time between requests, and before the first one.
    pub idle: Duration,
    /// Longest time in which a client takes nothing of an answer.
    pub answer: Duration,
}

/// Why a connection is to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expired {
    /// The request head is not whole in time.
    Head,
    /// No request came.
    Idle,
    /// The client does not read the answer.
    Answer,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting,
    Head,
    Busy,
}

/// What a connection has been doing, and since when.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    timeouts: Timeouts,
    phase: Phase,
    since: Duration,
    write_stalled_since: Option<Duration>,
}

impl Progress {
    /// Creates the record of a connection that was just opened.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use hitch_bound::progress::*;
    /// let timeouts = Timeouts { head: Duration::from_secs(3), idle: Duration::from_secs(15),
    ///     answer: Duration::from_secs(15) };
    /// let progress = Progress::new(timeouts, Duration::ZERO);
    /// assert_eq!(progress.expired(Duration::from_secs(15), false), Some(Expired::Idle));
    /// ```
    pub fn new(timeouts: Timeouts, now: Duration) -> Progress {
        Progress {
            timeouts,
            phase: Phase::Waiting,
            since: now,
            write_stalled_since: None,
        }
    }

    /// Records received bytes. Between requests they begin a request head, unless they are empty lines, which some clients
    /// send after a body. Returns whether a head began.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_bound::progress::*;
    /// # let timeouts = Timeouts { head: Duration::from_secs(3), idle: Duration::from_secs(15),
    /// #     answer: Duration::from_secs(15) };
    /// let mut progress = Progress::new(timeouts, Duration::ZERO);
    /// assert!(!progress.received(b"\r\n", Duration::ZERO));
    /// assert!(progress.received(b"GET", Duration::from_secs(1)));
    /// assert_eq!(progress.expired(Duration::from_secs(4), false), Some(Expired::Head));
    /// ```
    pub fn received(&mut self, bytes: &[u8], now: Duration) -> bool {
        let begins =
            self.phase == Phase::Waiting && bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n'));
        if begins {
            self.phase = Phase::Head;
            self.since = now;
        }
        begins
    }

    /// Returns whether the connection has no request, not even a part of one.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_bound::progress::*;
    /// # let timeouts = Timeouts { head: Duration::from_secs(3), idle: Duration::from_secs(15),
    /// #     answer: Duration::from_secs(15) };
    /// assert!(Progress::new(timeouts, Duration::ZERO).is_waiting());
    /// ```
    pub fn is_waiting(&self) -> bool {
        self.phase == Phase::Waiting && self.write_stalled_since.is_none()
    }

    /// Records that the head of a request is whole.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_bound::progress::*;
    /// # let timeouts = Timeouts { head: Duration::from_secs(3), idle: Duration::from_secs(15),
    /// #     answer: Duration::from_secs(15) };
    /// let mut progress = Progress::new(timeouts, Duration::ZERO);
    /// progress.request_began();
    /// assert_eq!(progress.expired(Duration::from_secs(60), false), None);
    /// ```
    pub fn request_began(&mut self) {
        self.phase = Phase::Busy;
    }

    /// Records that the answer to a request is ready to be sent.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_bound::progress::*;
    /// # let timeouts = Timeouts { head: Duration::from_secs(3), idle: Duration::from_secs(15),
    /// #     answer: Duration::from_secs(15) };
    /// let mut progress = Progress::new(timeouts, Duration::ZERO);
    /// progress.request_ended(Duration::from_secs(60));
    /// assert_eq!(progress.expired(Duration::from_secs(61), false), None);
    /// ```
    pub fn request_ended(&mut self, now: Duration) {
        self.phase = Phase::Waiting;
        self.since = now;
    }

    /// Records whether the client took a part of the answer.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_bound::progress::*;
    /// # let timeouts = Timeouts { head: Duration::from_secs(3), idle: Duration::from_secs(15),
    /// #     answer: Duration::from_secs(15) };
    /// let mut progress = Progress::new(timeouts, Duration::ZERO);
    /// progress.wrote(false, Duration::ZERO);
    /// assert_eq!(progress.expired(Duration::from_secs(1), false), None);
    /// assert_eq!(progress.expired(Duration::from_secs(1), true), Some(Expired::Answer));
    /// ```
    pub fn wrote(&mut self, has_progress: bool, now: Duration) {
        match has_progress {
            true => {
                self.write_stalled_since = None;
                if self.phase == Phase::Waiting {
                    self.since = now;
                }
            }
            false => {
                self.write_stalled_since.get_or_insert(now);
            }
        }
    }

    /// Returns why the connection is to be closed now, if it is. `is_short` tells whether memory is short.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_bound::progress::*;
    /// # let timeouts = Timeouts { head: Duration::from_secs(3), idle: Duration::from_secs(15),
    /// #     answer: Duration::from_secs(15) };
    /// assert_eq!(Progress::new(timeouts, Duration::ZERO).expired(Duration::ZERO, true), None);
    /// ```
    pub fn expired(&self, now: Duration, is_short: bool) -> Option<Expired> {
        if let Some(since) = self.write_stalled_since {
            let stalled = now.saturating_sub(since);
            let is_over = stalled >= self.timeouts.answer
                || is_short && stalled >= STALL_IN_SHORTAGE.min(self.timeouts.answer);
            return is_over.then_some(Expired::Answer);
        }
        let age = now.saturating_sub(self.since);
        match self.phase {
            Phase::Head if age >= self.timeouts.head => Some(Expired::Head),
            Phase::Waiting if age >= self.timeouts.idle => Some(Expired::Idle),
            _ => None,
        }
    }

    /// Returns the time at which [`Progress::expired`] is to be asked next, or `None` while a request is being run.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_bound::progress::*;
    /// # let timeouts = Timeouts { head: Duration::from_secs(3), idle: Duration::from_secs(15),
    /// #     answer: Duration::from_secs(15) };
    /// let progress = Progress::new(timeouts, Duration::ZERO);
    /// assert_eq!(progress.next_check(Duration::ZERO), Some(Duration::from_secs(15)));
    /// ```
    pub fn next_check(&self, now: Duration) -> Option<Duration> {
        if let Some(since) = self.write_stalled_since {
            return Some((since + self.timeouts.answer).min(now + STALL_CHECK_INTERVAL));
        }
        match self.phase {
            Phase::Head => Some(self.since + self.timeouts.head),
            Phase::Waiting => Some(self.since + self.timeouts.idle),
            Phase::Busy => None,
        }
    }
}
