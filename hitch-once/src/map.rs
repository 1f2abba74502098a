//! Which node incarnation owns which keys of one service, computed from its records in log order.
//!
//! The first record in log order wins; the part of a later record that overlaps it has no effect.
//! Therefore a holder that has read its own grant keeps it whatever is appended later, except for what it
//! releases itself.

use std::collections::BTreeMap;

use slotmap::SlotMap;
use slotmap::new_key_type;
use snafu::Snafu;
use snafu::ensure;

use crate::key::BUCKETS;
use crate::key::Key;
use crate::record::Grant;
use crate::record::Holder;
use crate::record::MAX_GRANT_AHEAD_MS;
use crate::record::Record;
use crate::record::Release;

new_key_type! {
    /// Key of a holder in an ownership map.
    pub struct HolderKey;
}

/// Where a record was received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From the log: every record since the first one of the map was read from the log by this node, or by
    /// the single peer that sent them all.
    Log,
    /// From a peer, which sent the records that follow those applied so far and may itself lack some.
    Peer,
}

/// Result of applying a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The record was applied, except for parts that overlap an earlier record.
    New,
    /// A record at this offset or a later one was applied before; this one was ignored.
    Duplicate,
}

/// Records are missing before the given one. The caller must rebuild the map, from the log or from all
/// records that a peer has.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "ownership records are missing: received sequence number {found}, expected {expected}"
))]
pub struct Error {
    /// Sequence number of the next record without a gap.
    pub expected: u64,
    /// Sequence number of the given record.
    pub found: u64,
}

/// Owner of a key, as far as the map knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup<'a> {
    /// This node incarnation owns the key.
    Owned(&'a Holder),
    /// No record applied to this map grants the key.
    Unowned,
    /// The key is older than the records of the map, or the map was never read to the end of the log.
    NotCovered,
}

/// Where a node sends a call that carries an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target<'a> {
    /// To the owner, which still runs as far as this node knows.
    Owner(&'a Holder),
    /// Nowhere: the owner no longer runs and its table of keys is lost, so the call is refused as unknown.
    OwnerLost(&'a Holder),
    /// Nowhere: no incarnation owns the key yet, so the call is refused as not-run.
    Unowned,
    /// Nowhere: the map does not cover the key, so the call is refused as unknown.
    NotCovered,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Interval {
    to_ms: u64,
    holder: HolderKey,
}

/// Owners of the keys of one service, by bucket and interval of key time.
#[derive(Debug, Clone)]
pub struct OwnershipMap {
    next_offset: u64,
    next_sequence: u64,
    accept_any_sequence: bool,
    complete_from_ms: u64,
    caught_up: bool,
    holders: SlotMap<HolderKey, Holder>,
    intervals: BTreeMap<(u8, u64), Interval>,
}

impl OwnershipMap {
    /// Creates an empty map. `complete_from_ms` is the key time from which on the map will contain every
    /// record: 0 if the stream is read from its beginning, otherwise [`complete_from`] of the first
    /// retained record, or the value that a peer reported for its own map.
    ///
    /// ```
    /// use hitch_once::Lookup;
    ///
    /// let map = hitch_once::OwnershipMap::new(0);
    /// assert_eq!(map.lookup(0, 5), Lookup::NotCovered);
    /// ```
    pub fn new(complete_from_ms: u64) -> OwnershipMap {
        OwnershipMap {
            next_offset: 0,
            next_sequence: 0,
            accept_any_sequence: complete_from_ms > 0,
            complete_from_ms,
            caught_up: false,
            holders: SlotMap::with_key(),
            intervals: BTreeMap::new(),
        }
    }

    /// Notes that the map contains all records up to an end of the log that was read after this process
    /// started.
    ///
    /// Until then every lookup returns [`Lookup::NotCovered`]: a node that just started must not report a
    /// key as unowned that its previous incarnation ran.
    ///
    /// ```
    /// # use hitch_once::Lookup;
    /// let mut map = hitch_once::OwnershipMap::new(0);
    /// map.mark_caught_up();
    /// assert_eq!(map.lookup(0, 5), Lookup::Unowned);
    /// ```
    pub fn mark_caught_up(&mut self) {
        self.caught_up = true;
    }

    /// Returns the stream offset after the last record applied.
    ///
    /// ```
    /// assert_eq!(hitch_once::OwnershipMap::new(0).next_offset(), 0);
    /// ```
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the sequence number that the next record of the service should have.
    ///
    /// ```
    /// assert_eq!(hitch_once::OwnershipMap::new(0).next_sequence(), 0);
    /// ```
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns the key time from which on the map contains every record, in milliseconds since the Unix
    /// epoch.
    ///
    /// ```
    /// assert_eq!(hitch_once::OwnershipMap::new(7).complete_from_ms(), 7);
    /// ```
    pub fn complete_from_ms(&self) -> u64 {
        self.complete_from_ms
    }

    /// Applies a record of the service that has `offset` in the stream. Fails if the record comes from a
    /// peer and records before it are missing.
    ///
    /// The sequence number is used only to detect such a gap: concurrent writers use the same number, and
    /// after a trim the first retained record may be one that was appended late.
    ///
    /// ```
    /// use hitch_once::OwnershipMap;
    /// use hitch_once::Record;
    /// use hitch_once::Source;
    /// use hitch_once::map::Applied;
    ///
    /// let record = Record { service: "ledger".into(), sequence: 0, release: None, grants: vec![] };
    /// let mut map = OwnershipMap::new(0);
    /// assert_eq!(map.apply(3, &record, Source::Log), Ok(Applied::New));
    /// assert_eq!(map.apply(3, &record, Source::Log), Ok(Applied::Duplicate));
    /// ```
    pub fn apply(&mut self, offset: u64, record: &Record, from: Source) -> Result<Applied, Error> {
        if offset < self.next_offset {
            return Ok(Applied::Duplicate);
        }
        let expected = self.next_sequence;
        let found = record.sequence;
        let gap = found > expected && !self.accept_any_sequence && from == Source::Peer;
        ensure!(!gap, Snafu { expected, found });
        self.accept_any_sequence = false;
        self.next_offset = offset + 1;
        self.next_sequence = expected.max(found.saturating_add(1));
        if let Some(release) = &record.release {
            self.release(release);
        }
        for grant in &record.grants {
            self.grant(grant);
        }
        Ok(Applied::New)
    }

    /// Looks up the owner of the keys of a bucket at a key time.
    ///
    /// ```
    /// # use hitch_once::Lookup;
    /// let mut map = hitch_once::OwnershipMap::new(100);
    /// map.mark_caught_up();
    /// assert_eq!(map.lookup(0, 99), Lookup::NotCovered);
    /// assert_eq!(map.lookup(0, 100), Lookup::Unowned);
    /// ```
    pub fn lookup(&self, bucket: u8, key_ms: u64) -> Lookup<'_> {
        if key_ms < self.complete_from_ms || !self.caught_up {
            return Lookup::NotCovered;
        }
        let preceding = self
            .intervals
            .range((bucket, 0)..=(bucket, key_ms))
            .next_back();
        match preceding {
            Some((_, interval)) if key_ms < interval.to_ms => {
                Lookup::Owned(&self.holders[interval.holder])
            }
            _ => Lookup::Unowned,
        }
    }

    /// Returns where to send a call with `key`; `is_live` returns whether an incarnation still runs.
    ///
    /// ```
    /// use hitch_once::Key;
    /// use hitch_once::map::Target;
    ///
    /// let mut map = hitch_once::OwnershipMap::new(0);
    /// map.mark_caught_up();
    /// assert_eq!(map.target(Key::generate(5, 0), |_| true), Target::Unowned);
    /// ```
    pub fn target(&self, key: Key, is_live: impl Fn(&Holder) -> bool) -> Target<'_> {
        match self.lookup(key.bucket(), key.time_ms()) {
            Lookup::Owned(holder) if is_live(holder) => Target::Owner(holder),
            Lookup::Owned(holder) => Target::OwnerLost(holder),
            Lookup::Unowned => Target::Unowned,
            Lookup::NotCovered => Target::NotCovered,
        }
    }

    /// Generates a key with timestamp `now_ms` for a call that arrived without one. Tries up to [`BUCKETS`]
    /// times to find a key whose owner is live.
    ///
    /// ```
    /// use hitch_once::Key;
    ///
    /// let mut random = 0;
    /// let key = hitch_once::OwnershipMap::new(0).generate_key(5, |_| true, || {
    ///     random += 1;
    ///     random
    /// });
    /// assert_eq!(key, Key::generate(5, random));
    /// ```
    pub fn generate_key(
        &self,
        now_ms: u64,
        is_live: impl Fn(&Holder) -> bool,
        mut random: impl FnMut() -> u128,
    ) -> Key {
        let mut key = Key::generate(now_ms, random());
        for _ in 0..BUCKETS {
            if matches!(self.target(key, &is_live), Target::Owner(_)) {
                break;
            }
            key = Key::generate(now_ms, random());
        }
        key
    }

    /// Returns the end of the last interval granted, in milliseconds since the Unix epoch, or 0 if there is
    /// none.
    ///
    /// ```
    /// assert_eq!(hitch_once::OwnershipMap::new(0).granted_until_ms(), 0);
    /// ```
    pub fn granted_until_ms(&self) -> u64 {
        self.intervals.values().map(|s| s.to_ms).max().unwrap_or(0)
    }

    /// Removes the intervals that end at or before `before_ms`. Lookups of earlier key times return
    /// [`Lookup::NotCovered`] from then on.
    ///
    /// ```
    /// let mut map = hitch_once::OwnershipMap::new(0);
    /// map.prune(100);
    /// assert_eq!(map.complete_from_ms(), 100);
    /// ```
    pub fn prune(&mut self, before_ms: u64) {
        self.complete_from_ms = self.complete_from_ms.max(before_ms);
        self.intervals
            .retain(|_, interval| interval.to_ms > before_ms);
        self.drop_unused_holders();
    }

    /// Returns the parts of the key times `from_ms..to_ms` of a bucket that no incarnation owns.
    ///
    /// ```
    /// assert_eq!(hitch_once::OwnershipMap::new(0).unowned(3, 10, 20), [(10, 20)]);
    /// ```
    pub fn unowned(&self, bucket: u8, from_ms: u64, to_ms: u64) -> Vec<(u64, u64)> {
        let mut ranges = Vec::new();
        let mut start_ms = from_ms.max(self.complete_from_ms);
        for ((_, interval_from_ms), interval) in self.intervals.range((bucket, 0)..(bucket, to_ms))
        {
            if interval.to_ms <= start_ms {
                continue;
            }
            if *interval_from_ms > start_ms {
                ranges.push((start_ms, *interval_from_ms));
            }
            start_ms = interval.to_ms;
        }
        if start_ms < to_ms {
            ranges.push((start_ms, to_ms));
        }
        ranges
    }

    fn grant(&mut self, grant: &Grant) {
        for bucket in grant.first_bucket..=grant.last_bucket.min(BUCKETS - 1) {
            for (from_ms, to_ms) in self.unowned(bucket, grant.from_ms, grant.to_ms) {
                let holder = self.intern(&grant.holder);
                self.intervals
                    .insert((bucket, from_ms), Interval { to_ms, holder });
            }
        }
    }

    fn release(&mut self, release: &Release) {
        let Some(holder) = self.find(&release.holder) else {
            return;
        };
        self.intervals.retain(|(_, from_ms), interval| {
            interval.holder != holder || *from_ms < release.from_ms
        });
        for interval in self.intervals.values_mut() {
            if interval.holder == holder {
                interval.to_ms = interval.to_ms.min(release.from_ms);
            }
        }
        self.drop_unused_holders();
    }

    fn find(&self, holder: &Holder) -> Option<HolderKey> {
        let mut holders = self.holders.iter();
        holders.find(|(_, h)| *h == holder).map(|(key, _)| key)
    }

    fn intern(&mut self, holder: &Holder) -> HolderKey {
        match self.find(holder) {
            Some(key) => key,
            None => self.holders.insert(holder.clone()),
        }
    }

    fn drop_unused_holders(&mut self) {
        let intervals = &self.intervals;
        self.holders
            .retain(|key, _| intervals.values().any(|interval| interval.holder == key));
    }
}

/// Returns the key time from which on the records trimmed from the log have no effect.
/// `first_retained_ms` is the time at which the first retained record was appended, by the log's clock.
///
/// ```
/// assert_eq!(hitch_once::map::complete_from(1), 1 + hitch_once::record::MAX_GRANT_AHEAD_MS);
/// ```
pub fn complete_from(first_retained_ms: u64) -> u64 {
    first_retained_ms + MAX_GRANT_AHEAD_MS
}
