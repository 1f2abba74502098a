//! The next record of a service.
//!
//! Nothing here is a safety rule: whatever is planned, by however many nodes and from however wrong a
//! clock, the fold of [`crate::OwnershipMap`] decides.

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

/// Shortest ownership interval that is planned, in milliseconds.
pub const MIN_INTERVAL_MS: u64 = 1_000;

/// Longest time for which a node leaves a needed record to the node ranked before it, in milliseconds.
pub const MAX_PATIENCE_MS: u64 = 2_000;

/// Settings of the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Length of the ownership intervals, in milliseconds; the contract's `key_interval`. It is kept
    /// within [`MIN_INTERVAL_MS`] and [`MAX_INTERVAL_MS`].
    pub interval_ms: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            interval_ms: 60_000,
        }
    }
}

/// What the node does next about the ownership of its service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Append this record, and then own nothing by it until it was read back.
    Append(Record),
    /// Ask again at this wall time, in milliseconds, or when the map or the roster changes.
    Wait {
        /// When to ask again.
        until_ms: u64,
    },
    /// Read the log: an append of this node has not been read back, and may have taken effect.
    ReadBack,
}

/// Plans the records of one service on one node.
#[derive(Debug, Clone)]
pub struct Planner {
    service: Box<str>,
    me: Holder,
    interval_ms: u64,
    needed_since_ms: Option<u64>,
    not_before_ms: u64,
    sent_sequence: Option<u64>,
}

impl Planner {
    /// Makes the planner of the incarnation `me`.
    ///
    /// ```
    /// use hitch_once::Holder;
    /// use hitch_once::Incarnation;
    /// use hitch_once::Planner;
    ///
    /// let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// let planner = Planner::new("ledger", me, Default::default());
    /// ```
    pub fn new(service: &str, me: Holder, options: Options) -> Planner {
        Planner {
            service: service.into(),
            me,
            interval_ms: options.interval_ms.clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS),
            needed_since_ms: None,
            not_before_ms: 0,
            sent_sequence: None,
        }
    }

    /// Changes the settings, for example after a new version of the contract.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let mut planner = Planner::new("ledger", me, Default::default());
    /// planner.configure(hitch_once::plan::Options { interval_ms: 30_000 });
    /// ```
    pub fn configure(&mut self, options: Options) {
        self.interval_ms = options.interval_ms.clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS);
    }

    /// Decides what to do at wall time `now_ms`, given the nodes of the service that are alive and not
    /// leaving.
    ///
    /// The node ranked first by rendezvous hashing appends when half of the last interval is left; each
    /// node ranked after it waits one patience longer, in case that node is cut off. The record covers
    /// what nobody owns yet, from the oldest key that callers may still send, so keys that were refused
    /// as not-run during a log outage can run after it. What a crashed owner holds is left to end.
    ///
    /// ```
    /// use hitch_once::Holder;
    /// use hitch_once::Incarnation;
    /// use hitch_once::OwnershipMap;
    /// use hitch_once::Planner;
    /// use hitch_once::Step;
    ///
    /// let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// let mut planner = Planner::new("ledger", me.clone(), Default::default());
    /// let Step::Append(record) = planner.next(&OwnershipMap::new(0), &[me], 5_000) else { panic!() };
    /// assert_eq!(record.grants[0].to_ms, 65_000);
    /// ```
    pub fn next(&mut self, map: &OwnershipMap, live: &[Holder], now_ms: u64) -> Step {
        if self.sent_sequence.is_some_and(|s| s >= map.next_sequence()) {
            return Step::ReadBack;
        }
        self.sent_sequence = None;
        let ranked = ranked(&self.service, map.next_sequence(), live);
        let Some(rank) = ranked.iter().position(|h| **h == self.me) else {
            return self.wait(now_ms, now_ms + self.patience_ms());
        };
        let end_ms = map.end_ms();
        let due_ms = end_ms.saturating_sub(self.interval_ms / 2);
        let horizon_ms = match now_ms >= due_ms {
            true => end_ms.max(now_ms) + self.interval_ms,
            false => end_ms,
        };
        let grants = grants(map, &ranked, now_ms.saturating_sub(MAX_AGE_MS), horizon_ms);
        if grants.is_empty() {
            self.needed_since_ms = None;
            return self.wait(now_ms, due_ms);
        }
        let since_ms = *self.needed_since_ms.get_or_insert(now_ms);
        let turn_ms = since_ms + rank as u64 * self.patience_ms();
        let turn_ms = turn_ms.max(self.not_before_ms);
        if now_ms < turn_ms {
            return self.wait(now_ms, turn_ms);
        }
        self.needed_since_ms = None;
        self.sent_sequence = Some(map.next_sequence());
        Step::Append(self.record(map, None, grants))
    }

    /// Notes that the log surely did not take the last record, as on a full append rate or an outage.
    ///
    /// An append without an answer is another matter: then [`Planner::next`] asks to read back.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let mut planner = Planner::new("ledger", me.clone(), Default::default());
    /// let map = OwnershipMap::new(0);
    /// planner.next(&map, &[me.clone()], 5_000);
    /// planner.append_refused(5_010);
    /// assert_eq!(planner.next(&map, &[me], 5_010), Step::Wait { until_ms: 7_010 });
    /// ```
    pub fn append_refused(&mut self, now_ms: u64) {
        self.sent_sequence = None;
        self.not_before_ms = now_ms + self.patience_ms();
    }

    /// Notes that a read which began after the answer to the last append came or was given up reached
    /// the end of the log, and that the map holds everything it returned.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let mut planner = Planner::new("ledger", me.clone(), Default::default());
    /// let map = OwnershipMap::new(0);
    /// planner.next(&map, &[me.clone()], 5_000);
    /// assert_eq!(planner.next(&map, &[me.clone()], 5_010), Step::ReadBack);
    /// planner.finish_read_back();
    /// assert!(matches!(planner.next(&map, &[me], 5_020), Step::Append(_)));
    /// ```
    pub fn finish_read_back(&mut self) {
        self.sent_sequence = None;
    }

    /// Makes the record by which this node leaves: it gives up what its table released, and hands that
    /// to the nodes in `live`. Appending it again is harmless.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let planner = Planner::new("ledger", me.clone(), Default::default());
    /// let mut table = KeyTable::<()>::new(me, Default::default());
    /// let record = planner.plan_release(&OwnershipMap::new(0), &[], &table.release(5_000));
    /// assert!(record.release.is_some());
    /// ```
    pub fn plan_release(&self, map: &OwnershipMap, live: &[Holder], release: &Release) -> Record {
        let mut after = map.clone();
        let record = self.record(map, Some(release.clone()), Vec::new());
        let offset = map.next_offset();
        after
            .apply(offset, &record, Source::Log)
            .expect("the record carries the next sequence number of the map");
        let mut ranked = ranked(&self.service, map.next_sequence(), live);
        ranked.retain(|h| **h != self.me);
        let grants = grants(&after, &ranked, release.from_ms, map.end_ms());
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

    fn patience_ms(&self) -> u64 {
        (self.interval_ms / 8).min(MAX_PATIENCE_MS)
    }

    fn wait(&self, now_ms: u64, until_ms: u64) -> Step {
        Step::Wait {
            until_ms: until_ms.max(now_ms + 1),
        }
    }
}

/// Orders the nodes by rendezvous hashing, the one that appends first.
///
/// The sequence number is hashed too, so the work moves on with each record.
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

/// Divides what nobody owns of `from_ms..to_ms` evenly among the nodes, in runs of buckets.
fn grants(map: &OwnershipMap, nodes: &[&Holder], from_ms: u64, to_ms: u64) -> Vec<Grant> {
    let owners = nodes.len().min(usize::from(BUCKETS));
    let mut grants: Vec<Grant> = Vec::new();
    if owners == 0 {
        return grants;
    }
    for bucket in 0..BUCKETS {
        let holder = nodes[usize::from(bucket) * owners / usize::from(BUCKETS)];
        for (from_ms, to_ms) in map.free(bucket, from_ms, to_ms) {
            let run = grants.iter_mut().find(|g| {
                let same_time = (g.from_ms, g.to_ms) == (from_ms, to_ms);
                same_time && g.last_bucket + 1 == bucket && g.holder == *holder
            });
            if let Some(run) = run {
                run.last_bucket = bucket;
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
