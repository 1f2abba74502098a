//! Digests: one hash for each bucket of members, and what a peer lacks by its digest.

use std::cmp::Reverse;

use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::Member;
use crate::member::MemberKey;
use crate::member::State;
use crate::merge::Entry;
use crate::roster::Roster;

/// Number of buckets; a digest takes 512 bytes.
pub const BUCKETS: usize = 64;

/// Most recently changed members that are sent of a bucket that differs, leaving ones first.
///
/// A bucket holds 88 members at 5,600, and a difference is nearly always among its latest changes.
const NEWEST_IN_BUCKET: usize = 8;

/// Other members that are sent of a bucket that differs, another part each time.
const OTHERS_IN_BUCKET: usize = 4;

/// Hashes of all members by bucket; 0 for an empty bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest(pub [u64; BUCKETS]);

#[derive(Debug, Clone, Default)]
pub(crate) struct Bucket {
    pub(crate) hash: u64,
    /// In the order of instances.
    pub(crate) members: Vec<MemberKey>,
}

impl Bucket {
    pub(crate) fn position(
        &self,
        entries: &SlotMap<MemberKey, Entry>,
        instance: &str,
    ) -> Result<usize, usize> {
        self.members
            .binary_search_by(|key| (*entries[*key].contact.instance).cmp(instance))
    }
}

pub(crate) fn bucket_of(instance: &str) -> usize {
    (xxh3_64(instance.as_bytes()) % BUCKETS as u64) as usize
}

fn hash_of(entry: &Entry) -> u64 {
    let version = xxh3_64_with_seed(&entry.incarnation.0, entry.sequence);
    let seed = version ^ (entry.state as u64 + 1);
    xxh3_64_with_seed(entry.contact.instance.as_bytes(), seed)
}

impl Roster {
    /// Returns the digest of all members that are passed on.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert_eq!(roster.digest().0.iter().filter(|h| **h != 0).count(), 1);
    /// ```
    pub fn digest(&self) -> Digest {
        let mut digest = Digest([0; BUCKETS]);
        for (hash, bucket) in digest.0.iter_mut().zip(&self.buckets) {
            *hash = bucket.hash;
        }
        digest
    }

    /// Returns members that the sender of `theirs` seems to lack, at most `max_missing`, or
    /// `max_missing_new` when it has empty buckets.
    ///
    /// Of a bucket that is empty at the sender it returns all members. Of one that differs it
    /// returns the latest changes and a changing part of the others.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let mut roster = Roster::new(own.clone(), Options::default());
    /// assert_eq!(roster.missing(&Digest([0; 64])), [own]);
    /// assert_eq!(roster.missing(&roster.digest()), []);
    /// ```
    pub fn missing(&mut self, theirs: &Digest) -> Vec<Member> {
        let max = match theirs.0.contains(&0) {
            true => self.options.max_missing_new,
            false => self.options.max_missing,
        };
        let turn = self.detector.next_turn();
        let mut keys = Vec::new();
        for i in 0..BUCKETS {
            // Starts at another bucket each time, so that the bound starves none.
            let at = (i + turn) % BUCKETS;
            let bucket = &self.buckets[at];
            if bucket.hash == theirs.0[at] {
                continue;
            }
            if keys.len() >= max {
                break;
            }
            let shown = |key: &MemberKey| !self.entries[*key].hidden;
            let mut members: Vec<MemberKey> =
                bucket.members.iter().copied().filter(shown).collect();
            if theirs.0[at] != 0 {
                self.narrow(&mut members, turn);
            }
            keys.extend(members);
        }
        keys.truncate(max);
        keys.iter().map(|key| self.entries[*key].member()).collect()
    }

    fn narrow(&self, members: &mut Vec<MemberKey>, turn: usize) {
        members.sort_unstable_by_key(|key| {
            let entry = &self.entries[*key];
            (entry.state != State::Draining, Reverse(entry.changed))
        });
        if members.len() <= NEWEST_IN_BUCKET + OTHERS_IN_BUCKET {
            return;
        }
        let others = members.split_off(NEWEST_IN_BUCKET);
        let start = turn * OTHERS_IN_BUCKET;
        for i in 0..OTHERS_IN_BUCKET {
            members.push(others[(start + i) % others.len()]);
        }
    }

    pub(crate) fn toggle_hash(&mut self, key: MemberKey) {
        let entry = &self.entries[key];
        if entry.hidden {
            return;
        }
        let hash = hash_of(entry);
        self.buckets[bucket_of(&entry.contact.instance)].hash ^= hash;
    }
}
