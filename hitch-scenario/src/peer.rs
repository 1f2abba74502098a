//! What nodes do among themselves and with the log.

use std::time::Duration;

use hitch_config::State;
use hitch_once::Record as Ownership;
use hitch_once::Source;
use hitch_once::Step;
use hitch_retry::Outcome;
use hitch_retry::suspicion::Evidence;
use hitch_roster::Command as Peering;
use hitch_roster::Member;
use hitch_roster::MemberKey;
use hitch_roster::Peer as Partner;
use hitch_spread::Command;
use hitch_spread::Digest;
use hitch_spread::FetchResponse;
use hitch_spread::Peer;
use hitch_spread::Record;

use crate::log;
use crate::log::Appended;
use crate::node::index;
use crate::script::Point;
use crate::world::Broken;
use crate::world::TICK;
use crate::world::What;
use crate::world::World;

/// Readers in each availability zone, as in `hitch-node`.
const READERS: usize = 2;
/// Time within which an exchange must be answered, as in `hitch-node`.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time of an indirect probe.
const PROBE: Duration = Duration::from_millis(100);
/// Time between two reads of one stream.
const READ_PERIOD: Duration = Duration::from_millis(200);
/// Time between two looks at whether a snapshot is due.
const SNAPSHOT_PERIOD: Duration = Duration::from_secs(1);
/// Time from the drain notice to the planned stop, at least.
const STOP_AFTER: Duration = Duration::from_millis(3_200);
/// Bytes of records that go along with an exchange.
const PIGGYBACK_BYTES: usize = 8 * 1024;
/// Bytes of records that answer one fetch.
const FETCH_BYTES: usize = 256 * 1024;

/// What one node tells another.
#[derive(Debug, Clone)]
pub enum Message {
    /// A request for an exchange.
    Exchange(u64, Duration, Box<Exchange>),
    /// Its answer.
    ExchangeReply(u64, Duration, Box<Exchange>),
    /// A notice of new records.
    Notify(Digest),
    /// A request for records.
    Fetch(u64),
    /// Records that were asked for.
    Records(Vec<Record>),
    /// A snapshot in their place.
    Snapshot(Box<[u8]>),
    /// Ask another node.
    Busy,
    /// News of requests that crash backend servers.
    Evidence(Vec<Evidence>),
    /// An attempt of a call.
    Call(usize),
    /// What became of it, with the answer and the owner of its key where there is one.
    Reply(usize, Outcome, u64, Option<Box<str>>),
}

/// Both sides of an exchange.
#[derive(Debug, Clone)]
pub struct Exchange {
    own: Member,
    members: Vec<Member>,
    digest: Digest,
    roster: hitch_roster::Digest,
    records: Vec<Record>,
}

impl World {
    pub(crate) fn tick(&mut self, n: usize) {
        self.push(TICK, n, What::Tick);
        let now = self.local(n);
        let commands = self.nodes[n].roster.tick(now, &mut self.rng);
        self.note_roster(n);
        for command in commands {
            self.peer_with(n, command);
        }
        let commands = self.nodes[n].spread.tick(now, &mut self.rng);
        self.carry_out(n, commands);
        self.read(n);
        self.own_keys(n);
        self.write_snapshot(n);
        let broken = self.broken;
        self.nodes[n].bring_into_force(now, broken);
        self.announce_state(n);
        self.poll_queue(n);
        self.stop_if_drained(n);
    }

    /// Brings what the roster learned to the pools.
    pub(crate) fn note_roster(&mut self, n: usize) {
        let changes = self.nodes[n].roster.take_changes();
        self.nodes[n].note_changes(changes);
        let now = self.local(n);
        let broken = self.broken;
        self.nodes[n].bring_into_force(now, broken);
    }

    fn announce_state(&mut self, n: usize) {
        let now = self.now;
        let local = self.local(n);
        let is_early = self.broken == Some(Broken::StartEarly);
        let node = &mut self.nodes[n];
        node.ready |= (node.spread.is_ready() || is_early) && node.table.version() > 0;
        let state = match (
            node.drained_at,
            node.ready && node.backend_down_until <= now,
        ) {
            (Some(_), _) => hitch_roster::State::Draining,
            (None, true) => hitch_roster::State::Ready,
            (None, false) => hitch_roster::State::Starting,
        };
        node.roster.set_state(local, state);
        self.note_roster(n);
    }

    fn stop_if_drained(&mut self, n: usize) {
        let Some(since) = self.nodes[n].drained_at else {
            return;
        };
        let at_once = self.broken == Some(crate::world::Broken::StopAtOnce);
        let idle = self.nodes[n].tickets.is_empty() && !self.calls.has_open(n);
        if at_once || (self.now >= since + STOP_AFTER && idle) {
            self.stop(n, true);
        }
    }

    fn peer_with(&mut self, n: usize, command: Peering) {
        match command {
            Peering::Exchange {
                with: Partner::Seed(address),
            } => self.exchange(n, index(&address), None),
            Peering::Exchange {
                with: Partner::Member(key),
            } => {
                if let Some(member) = self.nodes[n].roster.get(key) {
                    self.exchange(n, index(&member.contact.instance), Some(key));
                }
            }
            Peering::ProbeVia { target, via } => {
                let roster = &self.nodes[n].roster;
                let (Some(to), Some(via)) = (roster.get(target), roster.get(via)) else {
                    return;
                };
                let (to, via) = (index(&to.contact.instance), index(&via.contact.instance));
                let runs = |i: usize| self.nodes[i].up && self.nodes[i].frozen_until <= self.now;
                let mut answered = runs(to) && runs(via);
                for (a, b) in [(n, via), (via, to), (to, via), (via, n)] {
                    answered &= self.net.delay(&mut self.rng, a, b).is_some();
                }
                self.push(PROBE, n, What::Probed(target, answered));
            }
        }
    }

    /// Begins an exchange with another node.
    pub(crate) fn exchange(&mut self, n: usize, to: usize, key: Option<MemberKey>) {
        if !self.reach(Point::Announce, n, None) {
            return;
        }
        self.next_id += 1;
        let id = self.next_id;
        self.nodes[n].exchanges.insert(id, key);
        let body = self.side(n, None, None);
        let asked = self.local(n);
        self.push(EXCHANGE_TIMEOUT, n, What::ExchangeTimeout(id));
        self.send(n, to, Message::Exchange(id, asked, body));
    }

    fn side(
        &mut self,
        n: usize,
        to: Option<MemberKey>,
        theirs: Option<&Exchange>,
    ) -> Box<Exchange> {
        let now = self.local(n);
        let node = &mut self.nodes[n];
        let mut members = node.roster.take_recent_updates(to);
        let mut records = Vec::new();
        if let Some(theirs) = theirs {
            members.extend(node.roster.missing(&theirs.roster));
            records = node
                .spread
                .missing_records(theirs.digest.next_offset, PIGGYBACK_BYTES);
        }
        Box::new(Exchange {
            own: node.roster.own(),
            members,
            digest: node
                .spread
                .digest(now, node.state.version(), node.state.hash()),
            roster: node.roster.digest(),
            records,
        })
    }

    pub(crate) fn exchange_timeout(&mut self, n: usize, id: u64) {
        if let Some(Some(key)) = self.nodes[n].exchanges.remove(&id) {
            self.probed(n, key, false);
        }
    }

    pub(crate) fn probed(&mut self, n: usize, key: MemberKey, answered: bool) {
        let now = self.local(n);
        match answered {
            true => self.nodes[n].roster.answered(key),
            false => self.nodes[n].roster.failed(now, key),
        }
        self.note_roster(n);
    }

    pub(crate) fn receive(&mut self, n: usize, from: usize, message: Message) {
        let now = self.local(n);
        let peer = Peer(from as u64);
        match message {
            Message::Exchange(id, asked, theirs) => {
                self.heard(n, from, &theirs, None);
                let key = self.nodes[n].roster.try_find(&theirs.own.contact.instance);
                let body = self.side(n, key, Some(&theirs));
                self.send(n, from, Message::ExchangeReply(id, asked, body));
            }
            Message::ExchangeReply(id, asked, theirs) => {
                // An answer that came after its timeout counts no more, as its request was dropped.
                let Some(key) = self.nodes[n].exchanges.remove(&id) else {
                    return;
                };
                if let Some(key) = key {
                    self.probed(n, key, true);
                }
                self.heard(n, from, &theirs, Some(asked));
            }
            Message::Notify(digest) => {
                let node = &mut self.nodes[n];
                let commands = node
                    .spread
                    .received_digest(now, peer, digest, None, &mut self.rng);
                self.carry_out(n, commands);
            }
            Message::Fetch(next_offset) => self.serve(n, from, next_offset),
            Message::Records(records) => {
                let outcome = self.nodes[n].spread.received_records(now, peer, records);
                self.take_in(n, outcome, None);
            }
            Message::Snapshot(bytes) => {
                let state = State::from_snapshot(&bytes).expect("nodes send what they hold");
                let next = state.next_offset();
                let outcome = self.nodes[n]
                    .spread
                    .received_snapshot(now, Some(peer), next);
                self.take_in(n, outcome, Some(state));
            }
            Message::Busy => self.nodes[n].spread.fetch_failed(now, peer, &mut self.rng),
            Message::Evidence(evidence) => {
                for piece in &evidence {
                    self.nodes[n].suspicion.merge(piece, now);
                }
            }
            Message::Call(attempt) => self.admit(attempt, self.now),
            Message::Reply(attempt, outcome, answer, owner) => {
                self.replied(attempt, outcome, answer, owner);
            }
        }
    }

    fn heard(&mut self, n: usize, from: usize, theirs: &Exchange, asked: Option<Duration>) {
        let now = self.local(n);
        let mut members = theirs.members.clone();
        members.push(theirs.own.clone());
        let changes = self.nodes[n].roster.merge(now, members);
        self.nodes[n].note_changes(changes);
        self.note_roster(n);
        let peer = Peer(from as u64);
        if !theirs.records.is_empty() {
            let records = theirs.records.clone();
            let outcome = self.nodes[n].spread.received_records(now, peer, records);
            self.take_in(n, outcome, None);
        }
        let node = &mut self.nodes[n];
        let digest = theirs.digest;
        let commands = node
            .spread
            .received_digest(now, peer, digest, asked, &mut self.rng);
        self.carry_out(n, commands);
    }

    fn serve(&mut self, n: usize, to: usize, next_offset: u64) {
        let now = self.local(n);
        let message = match self.nodes[n]
            .spread
            .serve_fetch(now, next_offset, FETCH_BYTES)
        {
            FetchResponse::Records(records) => Message::Records(records),
            FetchResponse::Snapshot(ticket) => {
                self.nodes[n].spread.release_snapshot(ticket);
                Message::Snapshot(self.nodes[n].state.snapshot().into())
            }
            FetchResponse::Busy => Message::Busy,
        };
        self.send(n, to, message);
    }

    fn carry_out(&mut self, n: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Fetch { from, next_offset } => {
                    self.send(n, from.0 as usize, Message::Fetch(next_offset));
                }
                Command::Announce { peers } => {
                    if !self.reach(Point::Spread, n, None) {
                        return;
                    }
                    let now = self.local(n);
                    let node = &self.nodes[n];
                    let digest = node
                        .spread
                        .digest(now, node.state.version(), node.state.hash());
                    for key in node.roster.announce_peers(peers, &mut self.rng) {
                        let Some(member) = self.nodes[n].roster.get(key) else {
                            continue;
                        };
                        let to = index(&member.contact.instance);
                        self.send(n, to, Message::Notify(digest));
                    }
                }
            }
        }
    }

    fn take_in(&mut self, n: usize, outcome: hitch_spread::Outcome, snapshot: Option<State>) {
        let applies = outcome.adopt || !outcome.apply.is_empty();
        let commands = outcome.commands.clone();
        if applies && !self.reach(Point::Apply, n, None) && !self.nodes[n].up {
            return;
        }
        let now = self.local(n);
        let broken = self.broken;
        self.nodes[n].take_in(now, outcome, snapshot, broken);
        self.nodes[n].bring_into_force(now, broken);
        self.carry_out(n, commands);
    }

    /// Returns whether a stream may be read now, and notes the read.
    fn begin_read(&mut self, n: usize, stream: usize, period: Duration) -> Option<Duration> {
        let latency = self.log.latency()?;
        if !self.net.reaches_log(n) || self.nodes[n].busy_until[stream] > self.now {
            return None;
        }
        self.nodes[n].busy_until[stream] = self.now + latency + period;
        Some(latency)
    }

    fn read(&mut self, n: usize) {
        let node = &self.nodes[n];
        let zone = node.roster.own().contact.zone.clone();
        let readers = node.roster.readers(&zone, READERS);
        if !readers.contains(&node.roster.own_key()) {
            return;
        }
        let Some(latency) = self.begin_read(n, log::CONFIG, READ_PERIOD) else {
            return;
        };
        if !self.reach(Point::Read, n, None) || self.log.down || !self.net.reaches_log(n) {
            return;
        }
        let asked = self.local(n);
        let what = match self
            .log
            .read(log::CONFIG, self.nodes[n].spread.next_offset())
        {
            Ok(entries) => {
                let mut records = Vec::new();
                for entry in entries {
                    let data = (*entry.data).into();
                    records.push(Record {
                        offset: entry.offset,
                        data,
                    });
                }
                let end = self.log.all(log::CONFIG).len() as u64;
                What::ReadChanges(asked, records, end)
            }
            Err(_) => {
                let newest = self.log.all(log::SNAPSHOTS).last();
                What::ReadSnapshot(newest.map(|e| e.data.clone()))
            }
        };
        self.push(latency, n, what);
    }

    pub(crate) fn read_changes(
        &mut self,
        n: usize,
        asked: Duration,
        records: Vec<Record>,
        end: u64,
    ) {
        let now = self.local(n);
        let at_end = records.is_empty();
        let spread = &mut self.nodes[n].spread;
        let outcome = spread.received_log_records(now, asked, records);
        if at_end {
            spread.received_log_end(now, asked, end);
        }
        self.take_in(n, outcome, None);
    }

    pub(crate) fn read_snapshot(&mut self, n: usize, bytes: Option<Box<[u8]>>) {
        let Some(bytes) = bytes else { return };
        let state = State::from_snapshot(&bytes).expect("nodes write what they hold");
        let now = self.local(n);
        let spread = &mut self.nodes[n].spread;
        let outcome = spread.received_snapshot(now, None, state.next_offset());
        self.take_in(n, outcome, Some(state));
    }

    /// Appends for a node, if it reaches the log.
    fn append(&mut self, n: usize, stream: usize, data: &[u8]) -> Option<Appended> {
        if !self.reach(Point::Append, n, None) {
            return None;
        }
        if !self.net.reaches_log(n) {
            return Some(Appended::Refused);
        }
        Some(self.log.append(self.now, stream, data))
    }

    fn write_snapshot(&mut self, n: usize) {
        let node = &self.nodes[n];
        if !node.ready || node.roster.snapshot_writer() != Some(node.roster.own_key()) {
            return;
        }
        if self
            .begin_read(n, log::SNAPSHOTS, SNAPSHOT_PERIOD)
            .is_none()
        {
            return;
        }
        if let Some(newest) = self.log.all(log::SNAPSHOTS).last() {
            let state = State::from_snapshot(&newest.data).expect("nodes write what they hold");
            self.nodes[n].snapshot_next = state.next_offset();
        }
        if self.nodes[n].state.next_offset() <= self.nodes[n].snapshot_next {
            return;
        }
        if !self.reach(Point::Snapshot, n, None) {
            return;
        }
        let bytes = self.nodes[n].state.snapshot();
        self.append(n, log::SNAPSHOTS, &bytes);
    }

    fn own_keys(&mut self, n: usize) {
        if let Some(latency) = self.begin_read(n, log::OWNERSHIP, READ_PERIOD) {
            let from = self.nodes[n].ownership_next;
            let entries = self.log.read(log::OWNERSHIP, from).unwrap_or_default();
            let records = entries.iter().map(|e| e.data.clone()).collect();
            self.push(latency, n, What::ReadOwnership(from, records));
        }
    }

    pub(crate) fn read_ownership(&mut self, n: usize, from: u64, records: Vec<Box<[u8]>>) {
        let node = &mut self.nodes[n];
        if from != node.ownership_next {
            return;
        }
        let at_end = records.is_empty();
        for data in records {
            let offset = node.ownership_next;
            node.ownership_next += 1;
            let record = Ownership::from_bytes(&data).expect("nodes append what they can read");
            if *record.service == *node.service() {
                let _ = node.map.apply(offset, &record, Source::Log);
            }
        }
        if !at_end {
            return;
        }
        node.map.mark_caught_up();
        node.planner.finish_read_back();
        self.plan_ownership(n);
    }

    fn plan_ownership(&mut self, n: usize) {
        let wall_ms = self.wall_ms(n);
        let node = &mut self.nodes[n];
        if !node.ready || node.released {
            return;
        }
        let live = node.live_holders();
        let record = if node.drained_at.is_some() {
            node.released = true;
            let release = node.once.release(wall_ms);
            node.planner.plan_release(&node.map, &live, &release)
        } else {
            match node.planner.next(&node.map, &live, wall_ms) {
                Step::Append(record) => record,
                Step::Wait { .. } | Step::ReadBack => return,
            }
        };
        let appended = self.append(n, log::OWNERSHIP, &record.to_bytes());
        if appended == Some(Appended::Refused) {
            self.nodes[n].planner.append_refused(wall_ms);
        }
    }
}
