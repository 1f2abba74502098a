//! Digests: one hash for each bucket of members, and what a peer lacks by its digest.

use std::cmp::Reverse;

use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::Member;
use crate::member::MemberKey;
use crate::merge::Entry;
use crate::recent::order_of;
use crate::roster::Roster;

/// Number of buckets; a digest takes 512 bytes.
pub const BUCKETS: usize = 64;

/// Most recently changed members that are sent of a bucket that differs, leaving ones first.
///
/// A bucket holds 88 members at 5,600, and a difference is nearly always among its latest changes.
const NEWEST_IN_BUCKET: usize = 8;

/// Other members that are sent of a bucket that differs, another part each time.
const OTHERS_IN_BUCKET: usize = 4;

/// Changes since the last exchange from which on details are sent.
const MANY_CHANGES: u32 = 16;

/// Entries in the details of one message, of 4 bytes each.
const MAX_DETAILS: usize = 2048;

/// Hashes of all members by bucket; 0 for an empty bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest(pub [u64; BUCKETS]);

/// Short hashes of the members in one bucket, by which a peer finds exactly what is missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BucketDetail {
    /// Which bucket, below [`BUCKETS`].
    pub bucket: usize,
    /// One hash for each member, ascending.
    pub hashes: Vec<u32>,
}

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

/// What [`Roster::bucket_details`] remembers.
#[derive(Debug, Clone, Default)]
pub(crate) struct DetailTurns {
    /// Bucket to begin with.
    bucket: usize,
    /// Changes at the last call.
    changes: u32,
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
        let max = self.max_missing(theirs);
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

    /// Returns details to send along with a digest, for some of the buckets, another part each time.
    ///
    /// There are none unless many members changed of late, as after a mass restart; then the latest
    /// changes of a bucket are mostly known to both sides.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// assert_eq!(Roster::new(own, Options::default()).bucket_details(), []);
    /// ```
    pub fn bucket_details(&mut self) -> Vec<BucketDetail> {
        let turns = &mut self.detail_turns;
        let before = std::mem::replace(&mut turns.changes, self.change_count);
        let changes = self.change_count.wrapping_sub(before);
        let mut details = Vec::new();
        let mut entries = 0;
        while changes >= MANY_CHANGES && details.len() < BUCKETS && entries < MAX_DETAILS {
            let bucket = turns.bucket % BUCKETS;
            turns.bucket = bucket + 1;
            let mut hashes = Vec::new();
            for key in &self.buckets[bucket].members {
                hashes.push(hash_of(&self.entries[*key]) as u32);
            }
            hashes.sort_unstable();
            entries += hashes.len();
            details.push(BucketDetail { bucket, hashes });
        }
        details
    }

    /// Returns members that the sender of `theirs` lacks by its details, within the same bounds as
    /// [`Roster::missing`]. To be used when there are details.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let mut roster = Roster::new(own.clone(), Options::default());
    /// let details: Vec<BucketDetail> = (0..64).map(|bucket| BucketDetail { bucket, hashes: vec![] }).collect();
    /// assert_eq!(roster.missing_by_details(&Digest([1; 64]), &details), [own]);
    /// ```
    pub fn missing_by_details(&mut self, theirs: &Digest, details: &[BucketDetail]) -> Vec<Member> {
        let max = self.max_missing(theirs);
        let turn = self.detector.next_turn();
        let mut members = Vec::new();
        for i in 0..BUCKETS {
            let at = (i + turn) % BUCKETS;
            let detail = details.iter().find(|detail| detail.bucket == at);
            let known = match theirs.0[at] {
                hash if hash == self.buckets[at].hash => continue,
                0 => Some(&[][..]),
                _ => detail.map(|detail| &detail.hashes[..]),
            };
            let Some(known) = known else {
                continue;
            };
            for key in &self.buckets[at].members {
                let entry = &self.entries[*key];
                let hash = hash_of(entry) as u32;
                if !entry.hidden && known.binary_search(&hash).is_err() {
                    members.push(entry.member());
                }
            }
        }
        members.sort_by_key(|member| order_of(member.state));
        members.truncate(max);
        members
    }

    fn max_missing(&self, theirs: &Digest) -> usize {
        match theirs.0.contains(&0) {
            true => self.options.max_missing_new,
            false => self.options.max_missing,
        }
    }

    fn narrow(&self, members: &mut Vec<MemberKey>, turn: usize) {
        members.sort_unstable_by_key(|key| {
            let entry = &self.entries[*key];
            (order_of(entry.state), Reverse(entry.changed))
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
