//! Exchanges between nodes, and their reads from and appends to the log.

use std::time::Duration;

use hitch_config::State;
use hitch_once::Record as Ownership;
use hitch_once::Source;
use hitch_once::Step;
use hitch_retry::Outcome;
use hitch_retry::suspicion::Evidence;
use hitch_roster::Command as RosterCommand;
use hitch_roster::Member;
use hitch_roster::MemberKey;
use hitch_roster::Peer as RosterPeer;
use hitch_spread::Command;
use hitch_spread::Digest;
use hitch_spread::FetchResponse;
use hitch_spread::Peer;
use hitch_spread::Record;

use crate::log;
use crate::log::Appended;
use crate::node::instance_index;
use crate::script::Point;
use crate::simulation::Defect;
use crate::simulation::Event;
use crate::simulation::Simulation;
use crate::simulation::TICK;

/// Readers in each availability zone, as in `hitch-node`.
const READERS: usize = 2;
/// Timeout of an exchange, as in `hitch-node`.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Duration of an indirect probe.
const INDIRECT_PROBE_TIME: Duration = Duration::from_millis(100);
/// Interval between two reads of one stream.
const READ_PERIOD: Duration = Duration::from_millis(200);
/// Interval at which the snapshot writer checks whether a snapshot is due.
const SNAPSHOT_PERIOD: Duration = Duration::from_secs(1);
/// Minimum time from the drain notice to the planned stop.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3_200);
/// Limit on the records in an exchange, in bytes.
const PIGGYBACK_BYTES: usize = 8 * 1024;
/// Limit on the records in the answer to a fetch, in bytes.
const FETCH_BYTES: usize = 256 * 1024;

/// A message between two nodes.
#[derive(Debug, Clone)]
pub enum Message {
    /// Request of an exchange: id, send time on the sender's clock, body.
    Exchange(u64, Duration, Box<Exchange>),
    /// Answer to an exchange: id and send time of the request, body.
    ExchangeReply(u64, Duration, Box<Exchange>),
    /// Notice of new records.
    Notify(Digest),
    /// Request for the records from an offset on.
    Fetch(u64),
    /// Records in answer to a fetch.
    Records(Vec<Record>),
    /// Snapshot in answer to a fetch whose records are trimmed.
    Snapshot(Box<[u8]>),
    /// Refusal of a fetch; the receiver asks another node.
    Busy,
    /// Evidence against requests that crash backend servers.
    Evidence(Vec<Evidence>),
    /// Request to run an attempt, by its index.
    Call(usize),
    /// Outcome of an attempt, with its answer and, if another node owns the key, the owner's instance.
    Reply(usize, Outcome, u64, Option<Box<str>>),
}

/// Body of an exchange, the same in both directions.
#[derive(Debug, Clone)]
pub struct Exchange {
    sender: Member,
    members: Vec<Member>,
    digest: Digest,
    member_digest: hitch_roster::Digest,
    records: Vec<Record>,
}

impl Simulation {
    pub(crate) fn tick(&mut self, n: usize) {
        self.schedule_for_process(TICK, n, Event::Tick);
        let now = self.uptime(n);
        let commands = self.nodes[n].roster.tick(now, &mut self.rng);
        self.apply_roster_changes(n);
        for command in commands {
            self.execute_roster_command(n, command);
        }
        let commands = self.nodes[n].spread.tick(now, &mut self.rng);
        self.execute_spread(n, commands);
        self.start_config_read(n);
        self.start_ownership_read(n);
        self.write_snapshot(n);
        let defect = self.defect;
        self.nodes[n].bring_into_force(now, defect);
        self.update_member_state(n);
        self.poll_queue(n);
        self.stop_if_drained(n);
    }

    /// Applies membership changes to the pools and the routing table.
    pub(crate) fn apply_roster_changes(&mut self, n: usize) {
        let changes = self.nodes[n].roster.take_changes();
        self.nodes[n].apply_member_changes(changes);
        let now = self.uptime(n);
        let defect = self.defect;
        self.nodes[n].bring_into_force(now, defect);
    }

    fn update_member_state(&mut self, n: usize) {
        let now = self.now;
        let uptime = self.uptime(n);
        let serve_early = self.defect == Some(Defect::ServeEarly);
        let node = &mut self.nodes[n];
        node.ready |= (node.spread.is_ready() || serve_early) && node.table.version() > 0;
        let state = match (
            node.draining_since,
            node.ready && node.backend_down_until <= now,
        ) {
            (Some(_), _) => hitch_roster::State::Draining,
            (None, true) => hitch_roster::State::Ready,
            (None, false) => hitch_roster::State::Starting,
        };
        node.roster.set_state(uptime, state);
        self.apply_roster_changes(n);
    }

    fn stop_if_drained(&mut self, n: usize) {
        let Some(since) = self.nodes[n].draining_since else {
            return;
        };
        let stop_at_once = self.defect == Some(crate::simulation::Defect::StopAtOnce);
        let idle = self.nodes[n].attempts_by_ticket.is_empty() && !self.calls.has_open(n);
        if stop_at_once || (self.now >= since + MIN_DRAIN_TIME && idle) {
            self.stop(n, true);
        }
    }

    fn execute_roster_command(&mut self, n: usize, command: RosterCommand) {
        match command {
            RosterCommand::Exchange {
                with: RosterPeer::Seed(address),
            } => self.exchange(n, instance_index(&address), None),
            RosterCommand::Exchange {
                with: RosterPeer::Member(key),
            } => {
                if let Some(member) = self.nodes[n].roster.get(key) {
                    self.exchange(n, instance_index(&member.contact.instance), Some(key));
                }
            }
            RosterCommand::ProbeVia { target, via } => {
                let roster = &self.nodes[n].roster;
                let (Some(to), Some(via)) = (roster.get(target), roster.get(via)) else {
                    return;
                };
                let (to, via) = (
                    instance_index(&to.contact.instance),
                    instance_index(&via.contact.instance),
                );
                let is_running =
                    |i: usize| self.nodes[i].up && self.nodes[i].frozen_until <= self.now;
                let mut answered = is_running(to) && is_running(via);
                for (a, b) in [(n, via), (via, to), (to, via), (via, n)] {
                    answered &= self.net.delay(&mut self.rng, a, b).is_some();
                }
                self.schedule_for_process(INDIRECT_PROBE_TIME, n, Event::Probed(target, answered));
            }
        }
    }

    /// Starts an exchange with another node.
    pub(crate) fn exchange(&mut self, n: usize, to: usize, key: Option<MemberKey>) {
        if !self.trigger_faults(Point::Announce, n, None) {
            return;
        }
        self.next_exchange_id += 1;
        let id = self.next_exchange_id;
        self.nodes[n].exchanges.insert(id, key);
        let body = self.exchange_body(n, None, None);
        let sent_at = self.uptime(n);
        self.schedule_for_process(EXCHANGE_TIMEOUT, n, Event::ExchangeTimeout(id));
        self.send(n, to, Message::Exchange(id, sent_at, body));
    }

    fn exchange_body(
        &mut self,
        n: usize,
        to: Option<MemberKey>,
        theirs: Option<&Exchange>,
    ) -> Box<Exchange> {
        let now = self.uptime(n);
        let node = &mut self.nodes[n];
        let mut members = node.roster.take_recent_updates(to);
        let mut records = Vec::new();
        if let Some(theirs) = theirs {
            members.extend(node.roster.missing(&theirs.member_digest));
            records = node
                .spread
                .missing_records(theirs.digest.next_offset, PIGGYBACK_BYTES);
        }
        Box::new(Exchange {
            sender: node.roster.own(),
            members,
            digest: node
                .spread
                .digest(now, node.state.version(), node.state.hash()),
            member_digest: node.roster.digest(),
            records,
        })
    }

    pub(crate) fn exchange_timeout(&mut self, n: usize, id: u64) {
        if let Some(Some(key)) = self.nodes[n].exchanges.remove(&id) {
            self.probe_finished(n, key, false);
        }
    }

    pub(crate) fn probe_finished(&mut self, n: usize, key: MemberKey, answered: bool) {
        let now = self.uptime(n);
        match answered {
            true => self.nodes[n].roster.answered(key),
            false => self.nodes[n].roster.failed(now, key),
        }
        self.apply_roster_changes(n);
    }

    pub(crate) fn receive(&mut self, n: usize, from: usize, message: Message) {
        let now = self.uptime(n);
        let peer = Peer(from as u64);
        match message {
            Message::Exchange(id, sent_at, theirs) => {
                self.merge_exchange(n, from, &theirs, None);
                let key = self.nodes[n]
                    .roster
                    .try_find(&theirs.sender.contact.instance);
                let body = self.exchange_body(n, key, Some(&theirs));
                self.send(n, from, Message::ExchangeReply(id, sent_at, body));
            }
            Message::ExchangeReply(id, sent_at, theirs) => {
                // An answer after the timeout is ignored, because `hitch-node` has cancelled the request by then.
                let Some(key) = self.nodes[n].exchanges.remove(&id) else {
                    return;
                };
                if let Some(key) = key {
                    self.probe_finished(n, key, true);
                }
                self.merge_exchange(n, from, &theirs, Some(sent_at));
            }
            Message::Notify(digest) => {
                let node = &mut self.nodes[n];
                let commands = node
                    .spread
                    .received_digest(now, peer, digest, None, &mut self.rng);
                self.execute_spread(n, commands);
            }
            Message::Fetch(next_offset) => self.serve_fetch(n, from, next_offset),
            Message::Records(records) => {
                let outcome = self.nodes[n].spread.received_records(now, peer, records);
                self.apply_outcome(n, outcome, None);
            }
            Message::Snapshot(bytes) => {
                let state = State::from_snapshot(&bytes).expect("nodes send only valid snapshots");
                let next = state.next_offset();
                let outcome = self.nodes[n]
                    .spread
                    .received_snapshot(now, Some(peer), next);
                self.apply_outcome(n, outcome, Some(state));
            }
            Message::Busy => self.nodes[n].spread.fetch_failed(now, peer, &mut self.rng),
            Message::Evidence(evidence) => {
                for item in &evidence {
                    self.nodes[n].suspicion.merge(item, now);
                }
            }
            Message::Call(attempt) => self.admit(attempt, self.now),
            Message::Reply(attempt, outcome, answer, owner) => {
                self.handle_reply(attempt, outcome, answer, owner);
            }
        }
    }

    fn merge_exchange(
        &mut self,
        n: usize,
        from: usize,
        theirs: &Exchange,
        sent_at: Option<Duration>,
    ) {
        let now = self.uptime(n);
        let mut members = theirs.members.clone();
        members.push(theirs.sender.clone());
        let changes = self.nodes[n].roster.merge(now, members);
        self.nodes[n].apply_member_changes(changes);
        self.apply_roster_changes(n);
        let peer = Peer(from as u64);
        if !theirs.records.is_empty() {
            let records = theirs.records.clone();
            let outcome = self.nodes[n].spread.received_records(now, peer, records);
            self.apply_outcome(n, outcome, None);
        }
        let node = &mut self.nodes[n];
        let digest = theirs.digest;
        let commands = node
            .spread
            .received_digest(now, peer, digest, sent_at, &mut self.rng);
        self.execute_spread(n, commands);
    }

    fn serve_fetch(&mut self, n: usize, to: usize, next_offset: u64) {
        let now = self.uptime(n);
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

    fn execute_spread(&mut self, n: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Fetch { from, next_offset } => {
                    self.send(n, from.0 as usize, Message::Fetch(next_offset));
                }
                Command::Announce { peers } => {
                    if !self.trigger_faults(Point::Spread, n, None) {
                        return;
                    }
                    let now = self.uptime(n);
                    let node = &self.nodes[n];
                    let digest = node
                        .spread
                        .digest(now, node.state.version(), node.state.hash());
                    for key in node.roster.announce_peers(peers, &mut self.rng) {
                        let Some(member) = self.nodes[n].roster.get(key) else {
                            continue;
                        };
                        let to = instance_index(&member.contact.instance);
                        self.send(n, to, Message::Notify(digest));
                    }
                }
            }
        }
    }

    fn apply_outcome(&mut self, n: usize, outcome: hitch_spread::Outcome, snapshot: Option<State>) {
        let has_records = outcome.adopt || !outcome.apply.is_empty();
        let commands = outcome.commands.clone();
        if has_records && !self.trigger_faults(Point::Apply, n, None) && !self.nodes[n].up {
            return;
        }
        let now = self.uptime(n);
        let defect = self.defect;
        self.nodes[n].apply_outcome(now, outcome, snapshot, defect);
        self.nodes[n].bring_into_force(now, defect);
        self.execute_spread(n, commands);
    }

    /// Returns the read latency and reserves the read, if the stream may be read now.
    fn begin_read(&mut self, n: usize, stream: usize, period: Duration) -> Option<Duration> {
        let latency = self.log.latency()?;
        if !self.net.reaches_log(n) || self.nodes[n].next_read_at[stream] > self.now {
            return None;
        }
        self.nodes[n].next_read_at[stream] = self.now + latency + period;
        Some(latency)
    }

    fn start_config_read(&mut self, n: usize) {
        let node = &self.nodes[n];
        let zone = node.roster.own().contact.zone.clone();
        let readers = node.roster.readers(&zone, READERS);
        if !readers.contains(&node.roster.own_key()) {
            return;
        }
        let Some(latency) = self.begin_read(n, log::CONFIG, READ_PERIOD) else {
            return;
        };
        if !self.trigger_faults(Point::Read, n, None) || self.log.down || !self.net.reaches_log(n) {
            return;
        }
        let sent_at = self.uptime(n);
        let event = match self
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
                let end = self.log.all_records(log::CONFIG).len() as u64;
                Event::ReadChanges(sent_at, records, end)
            }
            Err(_) => {
                let newest = self.log.all_records(log::SNAPSHOTS).last();
                Event::ReadSnapshot(newest.map(|e| e.data.clone()))
            }
        };
        self.schedule_for_process(latency, n, event);
    }

    pub(crate) fn finish_config_read(
        &mut self,
        n: usize,
        sent_at: Duration,
        records: Vec<Record>,
        end: u64,
    ) {
        let now = self.uptime(n);
        let at_end = records.is_empty();
        let spread = &mut self.nodes[n].spread;
        let outcome = spread.received_log_records(now, sent_at, records);
        if at_end {
            spread.received_log_end(now, sent_at, end);
        }
        self.apply_outcome(n, outcome, None);
    }

    pub(crate) fn finish_snapshot_read(&mut self, n: usize, bytes: Option<Box<[u8]>>) {
        let Some(bytes) = bytes else { return };
        let state = State::from_snapshot(&bytes).expect("nodes append only valid snapshots");
        let now = self.uptime(n);
        let spread = &mut self.nodes[n].spread;
        let outcome = spread.received_snapshot(now, None, state.next_offset());
        self.apply_outcome(n, outcome, Some(state));
    }

    /// Appends a record for a node; refused if the node cannot reach the log, none if the node does not continue.
    fn append(&mut self, n: usize, stream: usize, data: &[u8]) -> Option<Appended> {
        if !self.trigger_faults(Point::Append, n, None) {
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
        if let Some(newest) = self.log.all_records(log::SNAPSHOTS).last() {
            let state =
                State::from_snapshot(&newest.data).expect("nodes append only valid snapshots");
            self.nodes[n].newest_snapshot_next = state.next_offset();
        }
        if self.nodes[n].state.next_offset() <= self.nodes[n].newest_snapshot_next {
            return;
        }
        if !self.trigger_faults(Point::Snapshot, n, None) {
            return;
        }
        let bytes = self.nodes[n].state.snapshot();
        self.append(n, log::SNAPSHOTS, &bytes);
    }

    fn start_ownership_read(&mut self, n: usize) {
        if let Some(latency) = self.begin_read(n, log::OWNERSHIP, READ_PERIOD) {
            let from = self.nodes[n].next_ownership_offset;
            let entries = self.log.read(log::OWNERSHIP, from).unwrap_or_default();
            let records = entries.iter().map(|e| e.data.clone()).collect();
            self.schedule_for_process(latency, n, Event::ReadOwnership(from, records));
        }
    }

    pub(crate) fn finish_ownership_read(&mut self, n: usize, from: u64, records: Vec<Box<[u8]>>) {
        let node = &mut self.nodes[n];
        if from != node.next_ownership_offset {
            return;
        }
        let at_end = records.is_empty();
        for data in records {
            let offset = node.next_ownership_offset;
            node.next_ownership_offset += 1;
            let record =
                Ownership::from_bytes(&data).expect("nodes append only valid ownership records");
            if *record.service == *node.service() {
                let _ = node.ownership.apply(offset, &record, Source::Log);
            }
        }
        if !at_end {
            return;
        }
        node.ownership.mark_caught_up();
        node.planner.finish_read_back();
        self.plan_ownership(n);
    }

    fn plan_ownership(&mut self, n: usize) {
        let wall_ms = self.wall_ms(n);
        let node = &mut self.nodes[n];
        if !node.ready || node.keys_released {
            return;
        }
        let live = node.live_holders();
        let record = if node.draining_since.is_some() {
            node.keys_released = true;
            let release = node.keys.release(wall_ms);
            node.planner.plan_release(&node.ownership, &live, &release)
        } else {
            match node.planner.next(&node.ownership, &live, wall_ms) {
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
