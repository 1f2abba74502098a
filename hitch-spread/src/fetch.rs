//! Handling of received digests, records and snapshots, and the fetches and announcements that
//! follow from them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use crate::fresh::Digest;
use crate::record::Record;
use crate::spread::Peer;
use crate::spread::Spread;

/// Maximum number of peers remembered as sources of records.
const MAX_SOURCES: usize = 8;

/// Number of failures after which the backoff before a fetch no longer doubles.
const MAX_DOUBLINGS: u32 = 4;

/// A command that the caller must execute.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Fetch records, and report the result by [`Spread::received_records`],
    /// [`Spread::received_snapshot`] or [`Spread::fetch_failed`].
    Fetch {
        /// The peer to fetch from.
        from: Peer,
        /// The first offset that this node lacks.
        next_offset: u64,
    },
    /// Send the digest to peers, such as those that `Roster::announce_peers` returns.
    Announce {
        /// Number of peers.
        peers: usize,
    },
}

/// Result of receiving records or a snapshot: what the caller must apply and execute.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Whether to replace the state by the received snapshot, before the records are applied.
    pub adopt: bool,
    /// Records to apply, each offset exactly once and in order.
    pub apply: Vec<Record>,
    /// Commands to execute next.
    pub commands: Vec<Command>,
}

/// A fetch in flight.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    from: Peer,
    deadline: Duration,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct FetchState {
    /// Peers that hold records which this node lacks, with the offset after their last record.
    sources: BTreeMap<Peer, u64>,
    in_flight: Option<InFlight>,
    /// Earliest time of the next fetch, due to backoff or to the jitter of the first fetch.
    not_before: Option<Duration>,
    /// Consecutive failures.
    failures: u32,
    /// Whether the node obtained records since its last announcement.
    announce_pending: bool,
    last_announce: Option<Duration>,
}

impl FetchState {
    pub(crate) fn has_sources(&self) -> bool {
        !self.sources.is_empty()
    }
}

impl Spread {
    /// Handles records that this node received from the log by a read sent at `requested_at`.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let mut spread = Spread::new(Options::default());
    /// let record = Record { offset: 0, data: (*b"change").into() };
    /// let outcome = spread.received_log_records(Duration::ZERO, Duration::ZERO, [record]);
    /// assert_eq!(outcome.commands, [Command::Announce { peers: 5 }]);
    /// ```
    pub fn received_log_records(
        &mut self,
        now: Duration,
        requested_at: Duration,
        records: impl IntoIterator<Item = Record>,
    ) -> Outcome {
        self.record_contact(requested_at);
        let mut outcome = Outcome::default();
        self.insert_records(now, records, &mut outcome);
        outcome
    }

    /// Handles a peer's digest. `requested_at` is when the request that it answers was sent, or
    /// `None` when the peer sent it unsolicited.
    ///
    /// Only an answer confirms freshness: the transit time of an unsolicited digest is unknown, and
    /// so is its age.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let mut spread = Spread::new(Options { start_jitter: Duration::ZERO, ..Options::default() });
    /// let digest = Digest { next_offset: 7, version: 7, state_hash: 0, confirmed_age: None };
    /// let commands =
    ///     spread.received_digest(Duration::ZERO, Peer(1), digest, None, &mut rand::rng());
    /// assert_eq!(commands, [Command::Fetch { from: Peer(1), next_offset: 0 }]);
    /// ```
    pub fn received_digest(
        &mut self,
        now: Duration,
        from: Peer,
        digest: Digest,
        requested_at: Option<Duration>,
        rng: &mut impl rand::Rng,
    ) -> Vec<Command> {
        if let Some(requested_at) = requested_at {
            self.record_contact(requested_at);
            if let Some(age) = digest.confirmed_age {
                let max_transit = now.saturating_sub(requested_at);
                self.add_confirmation(now, digest.next_offset, age + max_transit);
            }
        }
        let is_confirmed = requested_at.is_some() && digest.confirmed_age.is_some();
        let confirmed_peer = Some(from).filter(|_| is_confirmed);
        self.startup
            .learn_from_peer(now, confirmed_peer, digest.next_offset, &self.options);
        self.update_ready(now);
        if digest.next_offset <= self.next_offset() {
            self.fetching.sources.remove(&from);
            return Vec::new();
        }
        self.add_source(from, digest.next_offset);
        if self.next_offset() == 0 && self.fetching.not_before.is_none() {
            let jitter = self.options.start_jitter.mul_f64(rng.random());
            self.fetching.not_before = Some(now + jitter);
        }
        self.start_fetch(now, Some(from)).into_iter().collect()
    }

    /// Handles records that a peer sent; they may arrive in any order and any number of times.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let mut spread = Spread::new(Options::default());
    /// let record = |offset| Record { offset, data: (*b"change").into() };
    /// let early = spread.received_records(Duration::ZERO, Peer(1), [record(1)]);
    /// assert_eq!(early.apply, []);
    /// let both = spread.received_records(Duration::ZERO, Peer(1), [record(0)]);
    /// assert_eq!(both.apply, [record(0), record(1)]);
    /// ```
    pub fn received_records(
        &mut self,
        now: Duration,
        from: Peer,
        records: impl IntoIterator<Item = Record>,
    ) -> Outcome {
        let before = self.next_offset();
        let mut outcome = Outcome::default();
        self.insert_records(now, records, &mut outcome);
        self.finish_fetch(now, from, before, &mut outcome);
        outcome
    }

    /// Handles a snapshot of all records below `next_offset`, from a peer or, if `from` is `None`,
    /// from the log.
    ///
    /// The caller replaces its state only when [`Outcome::adopt`] is set; an older snapshot never
    /// moves the state back.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let mut spread = Spread::new(Options::default());
    /// assert!(spread.received_snapshot(Duration::ZERO, None, 9).adopt);
    /// assert!(!spread.received_snapshot(Duration::ZERO, None, 8).adopt);
    /// assert_eq!(spread.next_offset(), 9);
    /// ```
    pub fn received_snapshot(
        &mut self,
        now: Duration,
        from: Option<Peer>,
        next_offset: u64,
    ) -> Outcome {
        let before = self.next_offset();
        let mut outcome = Outcome {
            adopt: next_offset > before,
            ..Outcome::default()
        };
        if outcome.adopt {
            self.ring.restart_at(next_offset);
        }
        self.insert_records(now, [], &mut outcome);
        if let Some(from) = from {
            self.finish_fetch(now, from, before, &mut outcome);
        }
        outcome
    }

    /// Records that a fetch failed or that the peer was busy. After a backoff, the fetch is
    /// retried, at another peer if one is known.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let mut spread = Spread::new(Options::default());
    /// spread.fetch_failed(Duration::ZERO, Peer(1), &mut rand::rng());
    /// ```
    pub fn fetch_failed(&mut self, now: Duration, from: Peer, rng: &mut impl rand::Rng) {
        let fetch = self.fetching.in_flight.filter(|f| f.from == from);
        if fetch.is_none() {
            return;
        }
        self.fetching.in_flight = None;
        if self.fetching.sources.len() > 1 {
            self.fetching.sources.remove(&from);
        }
        let doublings = self.fetching.failures.min(MAX_DOUBLINGS);
        let backoff = self.options.retry_backoff * 2u32.pow(doublings);
        let jitter = rng.random_range(1.0..2.0);
        self.fetching.not_before = Some(now + backoff.mul_f64(jitter));
        self.fetching.failures += 1;
    }

    /// Checks timeouts and returns the commands that are due. The caller calls this about every 20
    /// ms while a fetch is in flight or in backoff, and every 100 ms otherwise.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let mut spread = Spread::new(Options::default());
    /// assert_eq!(spread.tick(Duration::ZERO, &mut rand::rng()), []);
    /// ```
    pub fn tick(&mut self, now: Duration, rng: &mut impl rand::Rng) -> Vec<Command> {
        let timed_out = self.fetching.in_flight.filter(|f| now >= f.deadline);
        if let Some(timed_out) = timed_out {
            self.fetch_failed(now, timed_out.from, rng);
        }
        self.update_ready(now);
        let mut commands = Vec::new();
        let count = self.fetching.sources.len();
        if count > 0 {
            let index = rng.random_range(0..count);
            let source = self.fetching.sources.keys().nth(index).copied();
            commands.extend(self.start_fetch(now, source));
        }
        commands.extend(self.announce_if_due(now));
        commands
    }

    /// Buffers new records and moves those that are now in order to the outcome.
    fn insert_records(
        &mut self,
        now: Duration,
        records: impl IntoIterator<Item = Record>,
        outcome: &mut Outcome,
    ) {
        for record in records {
            if record.offset >= self.next_offset() {
                self.out_of_order.insert(record.offset, record.data);
            }
        }
        self.out_of_order = self.out_of_order.split_off(&self.next_offset());
        while let Some(data) = self.out_of_order.remove(&self.next_offset()) {
            outcome.apply.push(Record {
                offset: self.next_offset(),
                data: data.clone(),
            });
            let (count, bytes) = (self.options.ring_records, self.options.ring_bytes);
            self.ring.push(data, count, bytes);
        }
        self.trim_out_of_order();
        let next = self.next_offset();
        self.fetching
            .sources
            .retain(|_, source_next| *source_next > next);
        if outcome.adopt || !outcome.apply.is_empty() {
            self.fetching.announce_pending = true;
            self.apply_pending_confirmations(now);
        }
        self.update_ready(now);
        outcome.commands.extend(self.announce_if_due(now));
    }

    /// Drops the out-of-order records with the highest offsets until the rest are within the
    /// bounds; the dropped ones are fetched again later.
    fn trim_out_of_order(&mut self) {
        let mut bytes: usize = self.out_of_order.values().map(|data| data.len()).sum();
        while self.out_of_order.len() > self.options.max_out_of_order
            || bytes > self.options.ring_bytes
        {
            let Some((_, data)) = self.out_of_order.pop_last() else {
                return;
            };
            bytes -= data.len();
        }
    }

    /// Ends the fetch that `from` answered and starts the next one.
    fn finish_fetch(&mut self, now: Duration, from: Peer, before: u64, outcome: &mut Outcome) {
        if self.fetching.in_flight.is_some_and(|f| f.from == from) {
            self.fetching.in_flight = None;
            self.fetching.not_before = None;
            self.fetching.failures = 0;
            if self.next_offset() == before {
                // The peer no longer holds the records that it announced.
                self.fetching.sources.remove(&from);
            }
        }
        let source = match self.fetching.sources.contains_key(&from) {
            true => Some(from),
            false => self.fetching.sources.keys().next().copied(),
        };
        outcome.commands.extend(self.start_fetch(now, source));
    }

    fn add_source(&mut self, from: Peer, next_offset: u64) {
        self.fetching.sources.insert(from, next_offset);
        if self.fetching.sources.len() > MAX_SOURCES {
            let sources = self.fetching.sources.iter();
            let lowest = sources.min_by_key(|(_, next_offset)| **next_offset);
            let lowest = lowest.map(|(peer, _)| *peer);
            self.fetching
                .sources
                .retain(|peer, _| Some(*peer) != lowest);
        }
    }

    /// Starts a fetch from `source`, unless one is in flight or it is too early for the next one.
    fn start_fetch(&mut self, now: Duration, source: Option<Peer>) -> Option<Command> {
        let from = source?;
        let too_early = self.fetching.not_before.is_some_and(|at| now < at);
        if self.fetching.in_flight.is_some() || too_early {
            return None;
        }
        let next_offset = self.next_offset();
        let timeout = match next_offset {
            0 => self.options.first_fetch_timeout,
            _ => self.options.fetch_timeout,
        };
        let deadline = now + timeout;
        self.fetching.in_flight = Some(InFlight { from, deadline });
        Some(Command::Fetch { from, next_offset })
    }

    /// Returns an announcement if one is pending and the last one is at lowest the configured
    /// interval ago.
    fn announce_if_due(&mut self, now: Duration) -> Option<Command> {
        let last = self.fetching.last_announce;
        let too_early = last.is_some_and(|last| now < last + self.options.announce_interval);
        if !self.fetching.announce_pending || too_early {
            return None;
        }
        self.fetching.announce_pending = false;
        self.fetching.last_announce = Some(now);
        let peers = self.options.fanout;
        Some(Command::Announce { peers })
    }
}
