//! Digests for anti-entropy: one hash per bucket of members, and the members that a peer lacks
//! according to its digest.

use std::cmp::Reverse;

use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::Member;
use crate::member::MemberKey;
use crate::merge::Entry;
use crate::recent::send_priority;
use crate::roster::Roster;

/// Number of buckets; a digest takes 512 bytes.
pub const BUCKETS: usize = 64;

/// Number of the most recently changed members sent for a bucket whose hash differs, draining ones
/// first.
///
/// With 5,600 members a bucket has 88 of them, and the difference is nearly always among the latest
/// changes.
const NEWEST_IN_BUCKET: usize = 8;

/// Number of other members sent for a bucket whose hash differs; they rotate from call to call.
const OTHERS_IN_BUCKET: usize = 4;

/// Minimum number of changes since the previous call for which bucket details are returned.
const MIN_CHANGES_FOR_DETAILS: u32 = 16;

/// Number of hashes, of 4 bytes each, after which a message gets no further bucket details.
const MAX_DETAIL_HASHES: usize = 2048;

/// Combined hash of the members of each bucket; 0 for an empty bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Digest(pub [u64; BUCKETS]);

/// Short hashes of the members of one bucket, from which a peer determines exactly which members
/// are missing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BucketDetail {
    /// Index of the bucket, less than [`BUCKETS`].
    pub bucket: usize,
    /// One hash per member, in ascending order.
    pub hashes: Vec<u32>,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Bucket {
    /// XOR of the hashes of the gossiped members.
    pub(crate) hash: u64,
    /// Ordered by instance name.
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

/// State of [`Roster::bucket_details`] between calls.
#[derive(Debug, Clone, Default)]
pub(crate) struct DetailCursor {
    /// Bucket with which the next call starts, modulo [`BUCKETS`].
    next_bucket: usize,
    /// Change count of the roster at the previous call.
    change_count: u32,
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
    /// Returns the digest of all gossiped members, which excludes members hidden as gone.
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

    /// Returns members that the sender of `peer_digest` probably lacks: at most `max_missing`, or
    /// `max_missing_new_node` when the digest has empty buckets.
    ///
    /// For a bucket that is empty at the sender it returns all members. For one that differs it
    /// returns the latest changes and a rotating subset of the others.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let mut roster = Roster::new(own.clone(), Options::default());
    /// assert_eq!(roster.missing(&Digest([0; 64])), [own]);
    /// assert_eq!(roster.missing(&roster.digest()), []);
    /// ```
    pub fn missing(&mut self, peer_digest: &Digest) -> Vec<Member> {
        let max = self.max_missing(peer_digest);
        let rotation = self.detector.next_rotation();
        let mut keys = Vec::new();
        for i in 0..BUCKETS {
            // Each call starts at another bucket, so that the limit starves no bucket.
            let at = (i + rotation) % BUCKETS;
            let bucket = &self.buckets[at];
            if bucket.hash == peer_digest.0[at] {
                continue;
            }
            if keys.len() >= max {
                break;
            }
            let is_gossiped = |key: &MemberKey| !self.entries[*key].hidden;
            let mut members: Vec<MemberKey> =
                bucket.members.iter().copied().filter(is_gossiped).collect();
            if peer_digest.0[at] != 0 {
                self.sample_differing_bucket(&mut members, rotation);
            }
            keys.extend(members);
        }
        keys.truncate(max);
        keys.iter().map(|key| self.entries[*key].member()).collect()
    }

    /// Returns the details to send along with a digest, for a subset of the buckets that rotates
    /// from call to call.
    ///
    /// Empty unless many members changed since the previous call, as after a mass restart; in that
    /// case both sides already have most of the latest changes of a bucket, and
    /// [`Roster::missing`] would send them again.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// assert_eq!(Roster::new(own, Options::default()).bucket_details(), []);
    /// ```
    pub fn bucket_details(&mut self) -> Vec<BucketDetail> {
        let cursor = &mut self.detail_cursor;
        let before = std::mem::replace(&mut cursor.change_count, self.change_count);
        let changes = self.change_count.wrapping_sub(before);
        let mut details = Vec::new();
        let mut entries = 0;
        while changes >= MIN_CHANGES_FOR_DETAILS
            && details.len() < BUCKETS
            && entries < MAX_DETAIL_HASHES
        {
            let bucket = cursor.next_bucket % BUCKETS;
            cursor.next_bucket = bucket + 1;
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

    /// Returns the members that the sender of `peer_digest` lacks according to its bucket details,
    /// draining ones first and with the same limits as [`Roster::missing`].
    ///
    /// To be used in place of [`Roster::missing`] when the sender included details.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let mut roster = Roster::new(own.clone(), Options::default());
    /// let details: Vec<BucketDetail> =
    ///     (0..64).map(|bucket| BucketDetail { bucket, hashes: vec![] }).collect();
    /// assert_eq!(roster.missing_by_details(&Digest([1; 64]), &details), [own]);
    /// ```
    pub fn missing_by_details(
        &mut self,
        peer_digest: &Digest,
        details: &[BucketDetail],
    ) -> Vec<Member> {
        let max = self.max_missing(peer_digest);
        let rotation = self.detector.next_rotation();
        let mut members = Vec::new();
        for i in 0..BUCKETS {
            let at = (i + rotation) % BUCKETS;
            let detail = details.iter().find(|detail| detail.bucket == at);
            let known = match peer_digest.0[at] {
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
        members.sort_by_key(|member| send_priority(member.state));
        members.truncate(max);
        members
    }

    fn max_missing(&self, peer_digest: &Digest) -> usize {
        match peer_digest.0.contains(&0) {
            true => self.options.max_missing_new_node,
            false => self.options.max_missing,
        }
    }

    /// Reduces the members of a differing bucket to the latest changes and a rotating subset of the
    /// others.
    fn sample_differing_bucket(&self, members: &mut Vec<MemberKey>, rotation: usize) {
        members.sort_unstable_by_key(|key| {
            let entry = &self.entries[*key];
            (send_priority(entry.state), Reverse(entry.change_number))
        });
        if members.len() <= NEWEST_IN_BUCKET + OTHERS_IN_BUCKET {
            return;
        }
        let others = members.split_off(NEWEST_IN_BUCKET);
        let start = rotation * OTHERS_IN_BUCKET;
        for i in 0..OTHERS_IN_BUCKET {
            members.push(others[(start + i) % others.len()]);
        }
    }

    /// Adds a member's hash to its bucket, or removes it if present; XOR is its own inverse.
    pub(crate) fn toggle_hash(&mut self, key: MemberKey) {
        let entry = &self.entries[key];
        if entry.hidden {
            return;
        }
        let hash = hash_of(entry);
        self.buckets[bucket_of(&entry.contact.instance)].hash ^= hash;
    }
}
