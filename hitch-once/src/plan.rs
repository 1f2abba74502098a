//! Plans the next ownership record of a service.
//!
//! At-most-once execution does not depend on this module: any number of nodes may plan any records, even
//! with wrong clocks, because [`crate::OwnershipMap`] decides which of them take effect.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

use crate::key::BUCKETS;
use crate::key::MAX_AGE_MS;
use crate::map::OwnershipMap;
use crate::map::Source;
use crate::record::Grant;
use crate::record::Holder;
use crate::record::MAX_INTERVAL_MS;
use crate::record::Record;
use crate::record::Release;

/// Shortest ownership interval that a planner may use, in milliseconds.
pub const MIN_INTERVAL_MS: u64 = 1_000;

/// Upper bound on the time for which a node waits for the node ranked before it to append a needed record,
/// in milliseconds.
pub const MAX_TAKEOVER_DELAY_MS: u64 = 2_000;

/// Settings of the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Length of the ownership intervals, in milliseconds; the contract's `key_interval`. Clamped to
    /// [`MIN_INTERVAL_MS`] and [`MAX_INTERVAL_MS`].
    pub interval_ms: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            interval_ms: 60_000,
        }
    }
}

/// What the node must do next to maintain the ownership of its service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Append this record. It grants nothing until the node has read it back from the log.
    Append(Record),
    /// Call [`Planner::next`] again at this time, or earlier if the map or the membership changes.
    Wait {
        /// Wall-clock time, in milliseconds since the Unix epoch.
        until_ms: u64,
    },
    /// Read the log: an append of this node may have taken effect and has not been read back yet.
    ReadBack,
}

/// Plans the records of one service on one node.
#[derive(Debug, Clone)]
pub struct Planner {
    service: Box<str>,
    holder: Holder,
    interval_ms: u64,
    needed_since_ms: Option<u64>,
    not_before_ms: u64,
    pending_sequence: Option<u64>,
}

impl Planner {
    /// Creates the planner of the incarnation `holder`.
    ///
    /// ```
    /// use hitch_once::Holder;
    /// use hitch_once::Incarnation;
    /// use hitch_once::Planner;
    ///
    /// let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// let planner = Planner::new("ledger", holder, Default::default());
    /// ```
    pub fn new(service: &str, holder: Holder, options: Options) -> Planner {
        Planner {
            service: service.into(),
            holder,
            interval_ms: options.interval_ms.clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS),
            needed_since_ms: None,
            not_before_ms: 0,
            pending_sequence: None,
        }
    }

    /// Changes the settings, for example when a new version of the contract comes into force.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let mut planner = Planner::new("ledger", holder, Default::default());
    /// planner.configure(hitch_once::plan::Options { interval_ms: 30_000 });
    /// ```
    pub fn configure(&mut self, options: Options) {
        self.interval_ms = options.interval_ms.clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS);
    }

    /// Decides what to do at wall-clock time `now_ms`. `live` are the nodes of the service that run and are
    /// not draining.
    ///
    /// The node ranked first by rendezvous hashing appends when half of the last interval remains. Each
    /// node ranked after it waits one takeover delay longer (an eighth of the interval, at most
    /// [`MAX_TAKEOVER_DELAY_MS`]), in case the nodes before it are disconnected from the log. The record
    /// grants all keys without an owner, from the oldest key that callers may still send, so that keys
    /// refused as not-run during a log outage can run after it. The grants of a crashed owner are left to
    /// expire.
    ///
    /// ```
    /// use hitch_once::Holder;
    /// use hitch_once::Incarnation;
    /// use hitch_once::OwnershipMap;
    /// use hitch_once::Planner;
    /// use hitch_once::Step;
    ///
    /// let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// let mut planner = Planner::new("ledger", holder.clone(), Default::default());
    /// let Step::Append(record) = planner.next(&OwnershipMap::new(0), &[holder], 5_000) else { panic!() };
    /// assert_eq!(record.grants[0].to_ms, 65_000);
    /// ```
    pub fn next(&mut self, map: &OwnershipMap, live: &[Holder], now_ms: u64) -> Step {
        if self
            .pending_sequence
            .is_some_and(|s| s >= map.next_sequence())
        {
            return Step::ReadBack;
        }
        self.pending_sequence = None;
        let ranked = ranked(&self.service, map.next_sequence(), live);
        let Some(rank) = ranked.iter().position(|h| **h == self.holder) else {
            return self.wait(now_ms, now_ms + self.takeover_delay_ms());
        };
        let granted_until_ms = map.granted_until_ms();
        let due_ms = granted_until_ms.saturating_sub(self.interval_ms / 2);
        let horizon_ms = match now_ms >= due_ms {
            true => granted_until_ms.max(now_ms) + self.interval_ms,
            false => granted_until_ms,
        };
        let grants = divide_unowned(map, &ranked, now_ms.saturating_sub(MAX_AGE_MS), horizon_ms);
        if grants.is_empty() {
            self.needed_since_ms = None;
            return self.wait(now_ms, due_ms);
        }
        let since_ms = *self.needed_since_ms.get_or_insert(now_ms);
        let append_at_ms = since_ms + rank as u64 * self.takeover_delay_ms();
        let append_at_ms = append_at_ms.max(self.not_before_ms);
        if now_ms < append_at_ms {
            return self.wait(now_ms, append_at_ms);
        }
        self.needed_since_ms = None;
        self.pending_sequence = Some(map.next_sequence());
        Step::Append(self.record(map, None, grants))
    }

    /// Notes that the log refused the last append, for example because the append rate was exceeded or
    /// because of an outage. The planner then waits one takeover delay before it appends again.
    ///
    /// Must not be called for an append without an answer, which may have taken effect: for that one
    /// [`Planner::next`] returns [`Step::ReadBack`].
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let mut planner = Planner::new("ledger", holder.clone(), Default::default());
    /// let map = OwnershipMap::new(0);
    /// planner.next(&map, &[holder.clone()], 5_000);
    /// planner.append_refused(5_010);
    /// assert_eq!(planner.next(&map, &[holder], 5_010), Step::Wait { until_ms: 7_010 });
    /// ```
    pub fn append_refused(&mut self, now_ms: u64) {
        self.pending_sequence = None;
        self.not_before_ms = now_ms + self.takeover_delay_ms();
    }

    /// Notes that the last append has been read back: a read that began after its answer was received, or
    /// after the wait for it was given up, reached the end of the log, and the map contains all records
    /// that it returned.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let mut planner = Planner::new("ledger", holder.clone(), Default::default());
    /// let map = OwnershipMap::new(0);
    /// planner.next(&map, &[holder.clone()], 5_000);
    /// assert_eq!(planner.next(&map, &[holder.clone()], 5_010), Step::ReadBack);
    /// planner.finish_read_back();
    /// assert!(matches!(planner.next(&map, &[holder], 5_020), Step::Append(_)));
    /// ```
    pub fn finish_read_back(&mut self) {
        self.pending_sequence = None;
    }

    /// Returns the record with which this node shuts down: it gives up the keys in `release` and grants
    /// them to the other nodes in `live`. Appending the record more than once is safe.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let planner = Planner::new("ledger", holder.clone(), Default::default());
    /// let mut table = KeyTable::<()>::new(holder, Default::default());
    /// let record = planner.plan_release(&OwnershipMap::new(0), &[], &table.release(5_000));
    /// assert!(record.release.is_some());
    /// ```
    pub fn plan_release(&self, map: &OwnershipMap, live: &[Holder], release: &Release) -> Record {
        let mut released_map = map.clone();
        let record = self.record(map, Some(release.clone()), Vec::new());
        let offset = map.next_offset();
        released_map
            .apply(offset, &record, Source::Log)
            .expect("the record has the next sequence number of the map");
        let mut ranked = ranked(&self.service, map.next_sequence(), live);
        ranked.retain(|h| **h != self.holder);
        let grants = divide_unowned(
            &released_map,
            &ranked,
            release.from_ms,
            map.granted_until_ms(),
        );
        Record { grants, ..record }
    }

    fn record(&self, map: &OwnershipMap, release: Option<Release>, grants: Vec<Grant>) -> Record {
        Record {
            service: self.service.clone(),
            sequence: map.next_sequence(),
            release,
            grants,
        }
    }

    fn takeover_delay_ms(&self) -> u64 {
        (self.interval_ms / 8).min(MAX_TAKEOVER_DELAY_MS)
    }

    fn wait(&self, now_ms: u64, until_ms: u64) -> Step {
        Step::Wait {
            until_ms: until_ms.max(now_ms + 1),
        }
    }
}

/// Sorts the nodes by rendezvous hashing. The first one appends the record.
///
/// The sequence number is part of the hash, so that a different node comes first for each record.
fn ranked<'a>(service: &str, sequence: u64, live: &'a [Holder]) -> Vec<&'a Holder> {
    let mut ranked: Vec<&Holder> = live.iter().collect();
    ranked.sort_by_key(|holder| {
        let mut text = Vec::new();
        text.extend_from_slice(service.as_bytes());
        text.extend_from_slice(&sequence.to_be_bytes());
        text.extend_from_slice(&holder.incarnation.0);
        text.extend_from_slice(holder.instance.as_bytes());
        (Reverse(xxh3_64(&text)), *holder)
    });
    ranked.dedup();
    ranked
}

/// Divides the keys in `from_ms..to_ms` that no incarnation owns evenly among the nodes, in contiguous
/// ranges of buckets.
fn divide_unowned(map: &OwnershipMap, nodes: &[&Holder], from_ms: u64, to_ms: u64) -> Vec<Grant> {
    let owner_count = nodes.len().min(usize::from(BUCKETS));
    let mut grants: Vec<Grant> = Vec::new();
    if owner_count == 0 {
        return grants;
    }
    for bucket in 0..BUCKETS {
        let holder = nodes[usize::from(bucket) * owner_count / usize::from(BUCKETS)];
        for (from_ms, to_ms) in map.unowned(bucket, from_ms, to_ms) {
            let adjacent = grants.iter_mut().find(|g| {
                let same_time = (g.from_ms, g.to_ms) == (from_ms, to_ms);
                same_time && g.last_bucket + 1 == bucket && g.holder == *holder
            });
            if let Some(adjacent) = adjacent {
                adjacent.last_bucket = bucket;
                continue;
            }
            grants.push(Grant {
                first_bucket: bucket,
                last_bucket: bucket,
                from_ms,
                to_ms,
                holder: holder.clone(),
            });
        }
    }
    grants
}
