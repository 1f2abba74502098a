//! Freshness: when the end of the log was last confirmed, and when the node last had contact with a
//! peer or the log.

use std::collections::VecDeque;
use std::time::Duration;

use crate::spread::Spread;

/// Maximum number of confirmations kept until the node holds the records that they cover.
const MAX_PENDING: usize = 16;

/// Summary of a node's records that it sends to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest {
    /// Offset after the last record held.
    pub next_offset: u64,
    /// Version in force, as passed in by the caller.
    pub version: u64,
    /// Hash of the accepted state, as passed in by the caller.
    pub state_hash: u64,
    /// Upper bound on the time since the log had no record from `next_offset` on; `None` when the
    /// node has no confirmation.
    pub confirmed_age: Option<Duration>,
}

/// A confirmation that the log ended at some offset.
///
/// Kept as an age and the time at which that age was recorded, as the confirmation itself may have
/// happened before process start.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    recorded_at: Duration,
    age: Duration,
}

impl Confirmation {
    fn age_at(&self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.recorded_at)
    }
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Freshness {
    /// The newest confirmation of an offset that this node has reached.
    confirmed: Option<Confirmation>,
    /// Confirmations of offsets that this node has yet to reach.
    pending: VecDeque<(u64, Confirmation)>,
    /// When the latest request that was answered had been sent.
    last_contact: Option<Duration>,
}

impl Spread {
    /// Records that a read of the log, sent at `requested_at`, found the end of the log at
    /// `next_offset`.
    ///
    /// The age of this confirmation counts from `requested_at`, as an answer that waited in a
    /// frozen process is old.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let mut spread = Spread::new(Options::default());
    /// let at = Duration::from_secs;
    /// spread.received_log_end(at(9), at(4), 0);
    /// assert_eq!(spread.confirmed_age(at(10)), Some(at(6)));
    /// ```
    pub fn received_log_end(&mut self, now: Duration, requested_at: Duration, next_offset: u64) {
        let age = now.saturating_sub(requested_at);
        self.add_confirmation(now, next_offset, age);
        self.record_contact(requested_at);
        self.startup.learn_from_log(now, next_offset, &self.options);
        self.update_ready(now);
    }

    /// Returns the digest to send to peers; version and hash are those of the applied state.
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

    /// Returns an upper bound on the time since this node held all records of the log, or `None` if
    /// that was never confirmed.
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
        let timeout = self.options.contact_timeout;
        let last_contact = self.fresh.last_contact;
        last_contact.is_none_or(|last| now.saturating_sub(last) > timeout)
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

    pub(crate) fn record_contact(&mut self, requested_at: Duration) {
        self.fresh.last_contact = self.fresh.last_contact.max(Some(requested_at));
    }

    pub(crate) fn add_confirmation(&mut self, now: Duration, next_offset: u64, age: Duration) {
        let confirmation = Confirmation {
            recorded_at: now,
            age,
        };
        if next_offset <= self.next_offset() {
            self.update_confirmed(now, confirmation);
            return;
        }
        // When the queue is full, the earlier confirmations stay, as they are reached first.
        if self.fresh.pending.len() < MAX_PENDING {
            self.fresh.pending.push_back((next_offset, confirmation));
        }
    }

    /// Applies the pending confirmations whose records this node now holds.
    pub(crate) fn apply_pending_confirmations(&mut self, now: Duration) {
        let next = self.next_offset();
        for (offset, confirmation) in std::mem::take(&mut self.fresh.pending) {
            match offset <= next {
                true => self.update_confirmed(now, confirmation),
                false => self.fresh.pending.push_back((offset, confirmation)),
            }
        }
    }

    fn update_confirmed(&mut self, now: Duration, new: Confirmation) {
        let newer = |old: Confirmation| new.age_at(now) < old.age_at(now);
        if self.fresh.confirmed.is_none_or(newer) {
            self.fresh.confirmed = Some(new);
        }
    }
}
