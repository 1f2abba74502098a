//! Freshness: when the end of the log was last confirmed, and when a peer last answered.

use std::collections::VecDeque;
use std::time::Duration;

use crate::spread::Spread;

/// Confirmations kept until the records they speak of are held.
const MAX_UNREACHED: usize = 16;

/// What a node tells its peers of its records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest {
    /// Offset after the last record held.
    pub next_offset: u64,
    /// Version in force, as the caller gave it.
    pub version: u64,
    /// Hash of the accepted state, as the caller gave it.
    pub state_hash: u64,
    /// Upper bound on the time since the log had no record from `next_offset` on; none when the
    /// node knows of no confirmation.
    pub confirmed_age: Option<Duration>,
}

/// An age and when it was noted; the moment itself may lie before process start.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    noted: Duration,
    age: Duration,
}

impl Confirmation {
    fn age_at(&self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.noted)
    }
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Freshness {
    confirmed: Option<Confirmation>,
    /// Confirmations of offsets that this node has yet to reach.
    unreached: VecDeque<(u64, Confirmation)>,
    touched: Option<Duration>,
}

impl Spread {
    /// Notes that a read of the log, begun at `asked_at`, found its end at `next_offset`.
    ///
    /// The age counts from `asked_at`: an answer that waited in a frozen process is old.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let mut spread = Spread::new(Options::default());
    /// let at = Duration::from_secs;
    /// spread.received_log_end(at(9), at(4), 0);
    /// assert_eq!(spread.confirmed_age(at(10)), Some(at(6)));
    /// ```
    pub fn received_log_end(&mut self, now: Duration, asked_at: Duration, next_offset: u64) {
        let age = now.saturating_sub(asked_at);
        self.note_confirmation(now, next_offset, age);
        self.touch(asked_at);
        self.start.heard_log(now, next_offset, &self.options);
        self.update_ready(now);
    }

    /// Returns what to tell peers; version and hash are those of the applied state.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let spread = Spread::new(Options::default());
    /// assert_eq!(spread.digest(Duration::ZERO, 0, 0).confirmed_age, None);
    /// ```
    pub fn digest(&self, now: Duration, version: u64, state_hash: u64) -> Digest {
        Digest {
            next_offset: self.next_offset(),
            version,
            state_hash,
            confirmed_age: self.confirmed_age(now),
        }
    }

    /// Returns an upper bound on the time since all that the log held was held here.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// assert_eq!(Spread::new(Options::default()).confirmed_age(Duration::ZERO), None);
    /// ```
    pub fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        self.fresh.confirmed.map(|c| c.age_at(now))
    }

    /// Returns whether the node must exchange with a peer before it serves its next call.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let mut spread = Spread::new(Options::default());
    /// let at = Duration::from_secs;
    /// assert!(spread.needs_exchange(at(1)));
    /// spread.received_log_end(at(1), at(1), 0);
    /// assert!(!spread.needs_exchange(at(4)));
    /// assert!(spread.needs_exchange(at(5)));
    /// ```
    pub fn needs_exchange(&self, now: Duration) -> bool {
        let within = self.options.touch_within;
        let touched = self.fresh.touched;
        touched.is_none_or(|touched| now.saturating_sub(touched) > within)
    }

    /// Returns whether the last confirmation is older than `stale_after`, or missing.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let spread = Spread::new(Options::default());
    /// assert!(spread.is_stale(Duration::ZERO, Duration::from_secs(60)));
    /// ```
    pub fn is_stale(&self, now: Duration, stale_after: Duration) -> bool {
        let age = self.confirmed_age(now);
        age.is_none_or(|age| age > stale_after)
    }

    pub(crate) fn touch(&mut self, asked_at: Duration) {
        self.fresh.touched = self.fresh.touched.max(Some(asked_at));
    }

    pub(crate) fn note_confirmation(&mut self, now: Duration, next_offset: u64, age: Duration) {
        let confirmation = Confirmation { noted: now, age };
        if next_offset <= self.next_offset() {
            self.take_confirmation(now, confirmation);
            return;
        }
        // The earlier ones stay, as they are reached first.
        if self.fresh.unreached.len() < MAX_UNREACHED {
            self.fresh.unreached.push_back((next_offset, confirmation));
        }
    }

    /// Takes the confirmations whose records are now held.
    pub(crate) fn reach_confirmations(&mut self, now: Duration) {
        let next = self.next_offset();
        for (offset, confirmation) in std::mem::take(&mut self.fresh.unreached) {
            match offset <= next {
                true => self.take_confirmation(now, confirmation),
                false => self.fresh.unreached.push_back((offset, confirmation)),
            }
        }
    }

    fn take_confirmation(&mut self, now: Duration, new: Confirmation) {
        let newer = |old: Confirmation| new.age_at(now) < old.age_at(now);
        if self.fresh.confirmed.is_none_or(newer) {
            self.fresh.confirmed = Some(new);
        }
    }
}
