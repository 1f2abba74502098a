//! Arrival of digests, records and snapshots, and the fetches that follow.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use crate::fresh::Digest;
use crate::record::Record;
use crate::spread::Peer;
use crate::spread::Spread;

/// Peers remembered as sources of records.
const MAX_SOURCES: usize = 8;

/// Failures after which the wait before a fetch no longer doubles.
const MAX_DOUBLINGS: u32 = 4;

/// What the caller is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Fetch records; report by [`Spread::received_records`], [`Spread::received_snapshot`] or
    /// [`Spread::fetch_failed`].
    Fetch {
        /// The peer to ask.
        from: Peer,
        /// The first offset wanted.
        next_offset: u64,
    },
    /// Send the digest to peers, such as those of `Roster::announce_peers`.
    Announce {
        /// How many peers.
        peers: usize,
    },
}

/// What arrived.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Whether to adopt the snapshot, before the records are applied.
    pub adopt: bool,
    /// Records to apply, each offset exactly once and in order.
    pub apply: Vec<Record>,
    /// What to do next.
    pub commands: Vec<Command>,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    from: Peer,
    deadline: Duration,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Fetching {
    /// Peers that hold more than this node, with the offset they reach.
    sources: BTreeMap<Peer, u64>,
    in_flight: Option<InFlight>,
    not_before: Option<Duration>,
    failures: u32,
    announce_wanted: bool,
    last_announce: Option<Duration>,
}

impl Fetching {
    pub(crate) fn has_sources(&self) -> bool {
        !self.sources.is_empty()
    }
}

impl Spread {
    /// Takes in records that this node read from the log by a read begun at `asked_at`.
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
        asked_at: Duration,
        records: impl IntoIterator<Item = Record>,
    ) -> Outcome {
        self.touch(asked_at);
        let mut outcome = Outcome::default();
        self.take_in(now, records, &mut outcome);
        outcome
    }

    /// Takes in a peer's digest. `asked_at` is when the request that it answers was sent, or none
    /// when the peer sent it unasked.
    ///
    /// Only an answer tells about freshness: the time that an unasked digest was on its way is
    /// unknown, and so is its age.
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
        asked_at: Option<Duration>,
        rng: &mut impl rand::Rng,
    ) -> Vec<Command> {
        if let Some(asked_at) = asked_at {
            self.touch(asked_at);
            if let Some(age) = digest.confirmed_age {
                let on_the_way = now.saturating_sub(asked_at);
                self.note_confirmation(now, digest.next_offset, age + on_the_way);
            }
        }
        let knows = asked_at.is_some() && digest.confirmed_age.is_some();
        let heard = Some(from).filter(|_| knows);
        self.start
            .heard_peer(now, heard, digest.next_offset, &self.options);
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
        self.fetch(now, Some(from)).into_iter().collect()
    }

    /// Takes in records that a peer sent; any order and any repetition is harmless.
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
        self.take_in(now, records, &mut outcome);
        self.answered(now, from, before, &mut outcome);
        outcome
    }

    /// Takes in a snapshot that reaches `next_offset`, of a peer or (none) of the log.
    ///
    /// The caller adopts it only when the outcome says so; an older one moves nothing back.
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
        self.take_in(now, [], &mut outcome);
        if let Some(from) = from {
            self.answered(now, from, before, &mut outcome);
        }
        outcome
    }

    /// Notes that a fetch failed or that the peer was busy; another peer is asked after a wait.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let mut spread = Spread::new(Options::default());
    /// spread.fetch_failed(Duration::ZERO, Peer(1), &mut rand::rng());
    /// ```
    pub fn fetch_failed(&mut self, now: Duration, from: Peer, rng: &mut impl rand::Rng) {
        let asked = self.fetching.in_flight.filter(|f| f.from == from);
        if asked.is_none() {
            return;
        }
        self.fetching.in_flight = None;
        if self.fetching.sources.len() > 1 {
            self.fetching.sources.remove(&from);
        }
        let doublings = self.fetching.failures.min(MAX_DOUBLINGS);
        let wait = self.options.retry_wait * 2u32.pow(doublings);
        let jitter = rng.random_range(1.0..2.0);
        self.fetching.not_before = Some(now + wait.mul_f64(jitter));
        self.fetching.failures += 1;
    }

    /// Advances timeouts and returns what to do now. To be called about every 20 ms while a fetch
    /// is in flight or waits, and every 100 ms otherwise.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let mut spread = Spread::new(Options::default());
    /// assert_eq!(spread.tick(Duration::ZERO, &mut rand::rng()), []);
    /// ```
    pub fn tick(&mut self, now: Duration, rng: &mut impl rand::Rng) -> Vec<Command> {
        let late = self.fetching.in_flight.filter(|f| now >= f.deadline);
        if let Some(late) = late {
            self.fetch_failed(now, late.from, rng);
        }
        self.update_ready(now);
        let mut commands = Vec::new();
        let count = self.fetching.sources.len();
        if count > 0 {
            let any = rng.random_range(0..count);
            let source = self.fetching.sources.keys().nth(any).copied();
            commands.extend(self.fetch(now, source));
        }
        commands.extend(self.announce(now));
        commands
    }

    fn take_in(
        &mut self,
        now: Duration,
        records: impl IntoIterator<Item = Record>,
        outcome: &mut Outcome,
    ) {
        for record in records {
            if record.offset >= self.next_offset() {
                self.waiting.insert(record.offset, record.data);
            }
        }
        self.waiting = self.waiting.split_off(&self.next_offset());
        while let Some(data) = self.waiting.remove(&self.next_offset()) {
            outcome.apply.push(Record {
                offset: self.next_offset(),
                data: data.clone(),
            });
            let (count, bytes) = (self.options.ring_records, self.options.ring_bytes);
            self.ring.push(data, count, bytes);
        }
        self.bound_waiting();
        let next = self.next_offset();
        self.fetching.sources.retain(|_, reach| *reach > next);
        if outcome.adopt || !outcome.apply.is_empty() {
            self.fetching.announce_wanted = true;
            self.reach_confirmations(now);
        }
        self.update_ready(now);
        outcome.commands.extend(self.announce(now));
    }

    /// Drops the latest waiting records over the bounds; they are fetched again later.
    fn bound_waiting(&mut self) {
        let mut bytes: usize = self.waiting.values().map(|data| data.len()).sum();
        while self.waiting.len() > self.options.max_waiting || bytes > self.options.ring_bytes {
            let Some((_, data)) = self.waiting.pop_last() else {
                return;
            };
            bytes -= data.len();
        }
    }

    /// Ends the fetch that `from` answered and begins the next one.
    fn answered(&mut self, now: Duration, from: Peer, before: u64, outcome: &mut Outcome) {
        if self.fetching.in_flight.is_some_and(|f| f.from == from) {
            self.fetching.in_flight = None;
            self.fetching.not_before = None;
            self.fetching.failures = 0;
            if self.next_offset() == before {
                // The peer no longer holds what it announced.
                self.fetching.sources.remove(&from);
            }
        }
        let source = match self.fetching.sources.contains_key(&from) {
            true => Some(from),
            false => self.fetching.sources.keys().next().copied(),
        };
        outcome.commands.extend(self.fetch(now, source));
    }

    fn add_source(&mut self, from: Peer, reach: u64) {
        self.fetching.sources.insert(from, reach);
        if self.fetching.sources.len() > MAX_SOURCES {
            let sources = self.fetching.sources.iter();
            let oldest = sources.min_by_key(|(_, reach)| **reach);
            let oldest = oldest.map(|(peer, _)| *peer);
            self.fetching
                .sources
                .retain(|peer, _| Some(*peer) != oldest);
        }
    }

    /// Begins a fetch from `source`, unless one is in flight or a wait is not over.
    fn fetch(&mut self, now: Duration, source: Option<Peer>) -> Option<Command> {
        let from = source?;
        let waits = self.fetching.not_before.is_some_and(|at| now < at);
        if self.fetching.in_flight.is_some() || waits {
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

    fn announce(&mut self, now: Duration) -> Option<Command> {
        let last = self.fetching.last_announce;
        let soon = last.is_some_and(|last| now < last + self.options.announce_interval);
        if !self.fetching.announce_wanted || soon {
            return None;
        }
        self.fetching.announce_wanted = false;
        self.fetching.last_announce = Some(now);
        let peers = self.options.fanout;
        Some(Command::Announce { peers })
    }
}
