//! Who owns which keys of one service, folded from its records in log order.
//!
//! The first record in log order wins; the part of a later one that overlaps it is void. So a holder
//! that has read its own grant keeps it whatever is appended later, except what it releases itself.

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
    /// Refers to a holder in a map.
    pub struct HolderKey;
}

/// From whom a record was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From the log, of which every record since the map began was read here or by the one peer that sent
    /// them all.
    Log,
    /// From a peer, which sent what follows the records applied so far and may lack some of them.
    Peer,
}

/// What became of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The record counts, at least where nothing earlier overlaps it.
    Taken,
    /// The record was applied before.
    Old,
}

/// Records are missing before the one given: the map has to be started anew, from the log or with
/// everything that a peer holds.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("ownership record {found} arrived before {expected}, records are missing"))]
pub struct Error {
    /// Sequence number that would be next.
    pub expected: u64,
    /// Sequence number of the record.
    pub found: u64,
}

/// Who owns a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup<'a> {
    /// This node incarnation.
    Owned(&'a Holder),
    /// Nobody, as far as this map has read.
    Nobody,
    /// The map doesn't reach back that far, or was never read to the end of the log.
    NotCovered,
}

/// Where a node sends a keyed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target<'a> {
    /// To the owner, which is alive as far as is known.
    Owner(&'a Holder),
    /// Nowhere: the owner lost its memory, so the call is refused as unknown.
    Lost(&'a Holder),
    /// Nowhere: nobody owns the key yet, so the call is refused as not-run.
    Nobody,
    /// Nowhere: the key is older than the map, so the call is refused as unknown.
    NotCovered,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Span {
    to_ms: u64,
    holder: HolderKey,
}

/// The ownership of one service.
#[derive(Debug, Clone)]
pub struct OwnershipMap {
    next_offset: u64,
    next_sequence: u64,
    any_sequence: bool,
    complete_from_ms: u64,
    confirmed: bool,
    holders: SlotMap<HolderKey, Holder>,
    spans: BTreeMap<(u8, u64), Span>,
}

impl OwnershipMap {
    /// Makes an empty map that holds every record for key times from `complete_from_ms` on: 0 when it
    /// will read the stream from its beginning, [`complete_from`] of the first record kept, or the value
    /// that a peer's map states.
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
            any_sequence: complete_from_ms > 0,
            complete_from_ms,
            confirmed: false,
            holders: SlotMap::with_key(),
            spans: BTreeMap::new(),
        }
    }

    /// States that the map was read to an end of the log that was learned after this process started.
    ///
    /// Until then the map answers nothing: a node that just started must not claim that nobody owned a
    /// key which its former incarnation ran.
    ///
    /// ```
    /// # use hitch_once::Lookup;
    /// let mut map = hitch_once::OwnershipMap::new(0);
    /// map.mark_caught_up();
    /// assert_eq!(map.lookup(0, 5), Lookup::Nobody);
    /// ```
    pub fn mark_caught_up(&mut self) {
        self.confirmed = true;
    }

    /// Returns the offset after the last record applied.
    ///
    /// ```
    /// assert_eq!(hitch_once::OwnershipMap::new(0).next_offset(), 0);
    /// ```
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the sequence number of the next record.
    ///
    /// ```
    /// assert_eq!(hitch_once::OwnershipMap::new(0).next_sequence(), 0);
    /// ```
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns the key time from which on the map holds every record.
    ///
    /// ```
    /// assert_eq!(hitch_once::OwnershipMap::new(7).complete_from_ms(), 7);
    /// ```
    pub fn complete_from_ms(&self) -> u64 {
        self.complete_from_ms
    }

    /// Applies the record of the service at `offset` of the stream.
    ///
    /// The sequence number serves to notice a gap and decides nothing else: writers that race use the same
    /// one, and after a trim the first record kept may be one that came late.
    ///
    /// ```
    /// use hitch_once::OwnershipMap;
    /// use hitch_once::Record;
    /// use hitch_once::Source;
    /// use hitch_once::map::Applied;
    ///
    /// let record = Record { service: "ledger".into(), sequence: 0, release: None, grants: vec![] };
    /// let mut map = OwnershipMap::new(0);
    /// assert_eq!(map.apply(3, &record, Source::Log), Ok(Applied::Taken));
    /// assert_eq!(map.apply(3, &record, Source::Log), Ok(Applied::Old));
    /// ```
    pub fn apply(&mut self, offset: u64, record: &Record, from: Source) -> Result<Applied, Error> {
        if offset < self.next_offset {
            return Ok(Applied::Old);
        }
        let expected = self.next_sequence;
        let found = record.sequence;
        let gap = found > expected && !self.any_sequence && from == Source::Peer;
        ensure!(!gap, Snafu { expected, found });
        self.any_sequence = false;
        self.next_offset = offset + 1;
        self.next_sequence = expected.max(found.saturating_add(1));
        if let Some(release) = &record.release {
            self.release(release);
        }
        for grant in &record.grants {
            self.grant(grant);
        }
        Ok(Applied::Taken)
    }

    /// Looks up who owns the keys of a bucket at a key time.
    ///
    /// ```
    /// # use hitch_once::Lookup;
    /// let mut map = hitch_once::OwnershipMap::new(100);
    /// map.mark_caught_up();
    /// assert_eq!(map.lookup(0, 99), Lookup::NotCovered);
    /// assert_eq!(map.lookup(0, 100), Lookup::Nobody);
    /// ```
    pub fn lookup(&self, bucket: u8, key_ms: u64) -> Lookup<'_> {
        if key_ms < self.complete_from_ms || !self.confirmed {
            return Lookup::NotCovered;
        }
        let before = self.spans.range((bucket, 0)..=(bucket, key_ms)).next_back();
        match before {
            Some((_, span)) if key_ms < span.to_ms => Lookup::Owned(&self.holders[span.holder]),
            _ => Lookup::Nobody,
        }
    }

    /// Finds where to send a call with `key`; `is_live` tells whether an incarnation still runs.
    ///
    /// ```
    /// use hitch_once::Key;
    /// use hitch_once::map::Target;
    ///
    /// let mut map = hitch_once::OwnershipMap::new(0);
    /// map.mark_caught_up();
    /// assert_eq!(map.target(Key::generate(5, 0), |_| true), Target::Nobody);
    /// ```
    pub fn target(&self, key: Key, is_live: impl Fn(&Holder) -> bool) -> Target<'_> {
        match self.lookup(key.bucket(), key.time_ms()) {
            Lookup::Owned(holder) if is_live(holder) => Target::Owner(holder),
            Lookup::Owned(holder) => Target::Lost(holder),
            Lookup::Nobody => Target::Nobody,
            Lookup::NotCovered => Target::NotCovered,
        }
    }

    /// Makes a key dated `now_ms` for a call that came without one, in a bucket with a live owner if any.
    ///
    /// ```
    /// use hitch_once::Key;
    ///
    /// let mut random = 0;
    /// let key = hitch_once::OwnershipMap::new(0).assign(5, |_| true, || {
    ///     random += 1;
    ///     random
    /// });
    /// assert_eq!(key, Key::generate(5, random));
    /// ```
    pub fn assign(
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

    /// Returns the end of the last interval granted, or 0.
    ///
    /// ```
    /// assert_eq!(hitch_once::OwnershipMap::new(0).end_ms(), 0);
    /// ```
    pub fn end_ms(&self) -> u64 {
        self.spans.values().map(|s| s.to_ms).max().unwrap_or(0)
    }

    /// Forgets what concerns key times below `floor_ms` only; the map never answers for them again.
    ///
    /// ```
    /// let mut map = hitch_once::OwnershipMap::new(0);
    /// map.prune(100);
    /// assert_eq!(map.complete_from_ms(), 100);
    /// ```
    pub fn prune(&mut self, floor_ms: u64) {
        self.complete_from_ms = self.complete_from_ms.max(floor_ms);
        self.spans.retain(|_, span| span.to_ms > floor_ms);
        self.drop_unused_holders();
    }

    /// Collects the parts of `from_ms..to_ms` of a bucket that nobody owns.
    ///
    /// ```
    /// assert_eq!(hitch_once::OwnershipMap::new(0).free(3, 10, 20), [(10, 20)]);
    /// ```
    pub fn free(&self, bucket: u8, from_ms: u64, to_ms: u64) -> Vec<(u64, u64)> {
        let mut parts = Vec::new();
        let mut next = from_ms.max(self.complete_from_ms);
        for ((_, start), span) in self.spans.range((bucket, 0)..(bucket, to_ms)) {
            if span.to_ms <= next {
                continue;
            }
            if *start > next {
                parts.push((next, *start));
            }
            next = span.to_ms;
        }
        if next < to_ms {
            parts.push((next, to_ms));
        }
        parts
    }

    fn grant(&mut self, grant: &Grant) {
        for bucket in grant.first_bucket..=grant.last_bucket.min(BUCKETS - 1) {
            for (from_ms, to_ms) in self.free(bucket, grant.from_ms, grant.to_ms) {
                let holder = self.intern(&grant.holder);
                self.spans.insert((bucket, from_ms), Span { to_ms, holder });
            }
        }
    }

    fn release(&mut self, release: &Release) {
        let Some(holder) = self.find(&release.holder) else {
            return;
        };
        self.spans
            .retain(|(_, start), span| span.holder != holder || *start < release.from_ms);
        for span in self.spans.values_mut() {
            if span.holder == holder {
                span.to_ms = span.to_ms.min(release.from_ms);
            }
        }
        self.drop_unused_holders();
    }

    fn find(&self, holder: &Holder) -> Option<HolderKey> {
        let mut known = self.holders.iter();
        known.find(|(_, h)| *h == holder).map(|(key, _)| key)
    }

    fn intern(&mut self, holder: &Holder) -> HolderKey {
        match self.find(holder) {
            Some(key) => key,
            None => self.holders.insert(holder.clone()),
        }
    }

    fn drop_unused_holders(&mut self) {
        let spans = &self.spans;
        self.holders
            .retain(|key, _| spans.values().any(|span| span.holder == key));
    }
}

/// Returns the key time from which on records trimmed from the log do not matter, given when the first
/// record still kept was appended, by the log's clock.
///
/// ```
/// assert_eq!(hitch_once::map::complete_from(1), 1 + hitch_once::record::MAX_GRANT_AHEAD_MS);
/// ```
pub fn complete_from(first_kept_ms: u64) -> u64 {
    first_kept_ms + MAX_GRANT_AHEAD_MS
}
