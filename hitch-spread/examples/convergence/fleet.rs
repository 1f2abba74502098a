//! Simulation of the nodes, the network and the log in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use hitch_roster::Contact;
use hitch_roster::Incarnation;
use hitch_roster::Member;
use hitch_roster::MemberKey;
use hitch_roster::Roster;
use hitch_roster::State;
use hitch_spread::Command;
use hitch_spread::Digest;
use hitch_spread::Outcome;
use hitch_spread::Peer;
use hitch_spread::Record;
use hitch_spread::Spread;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Args;
use crate::histogram;
use crate::wire::Kind;
use crate::wire::Message;
use crate::wire::encoded_len;
use crate::wire::fetch_reply;

const ZONES: usize = 6;
/// Nodes of each zone that read the log.
pub const READERS: usize = 2;
/// Time that the transfer of a snapshot takes.
const SNAPSHOT_TIME: Duration = Duration::from_millis(20);
/// Maximum size of the records that an exchange reply includes, in bytes.
const INLINE_BYTES: usize = 8192;
/// Maximum size of the records in a fetch reply, in bytes.
const FETCH_BYTES: usize = 65_536;
/// The log was trimmed before this offset and holds a snapshot that reaches it.
pub const LOG_FIRST: u64 = 10_000;
/// Time that the log takes to answer a read.
const LOG_READ_TIME: Duration = Duration::from_micros(200);
/// Time that the log holds back a read at its end until a record is appended.
const LOG_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two ticks of a node.
pub const TICK: Duration = Duration::from_millis(100);
/// Interval between two ticks of a node that is behind.
const TICK_BEHIND: Duration = Duration::from_millis(20);

/// An event of the simulation; nodes are given by their index.
pub enum Event {
    /// A node ticks, unless it was restarted since the given start time.
    Tick(usize, Duration),
    /// A message arrives: sender, receiver, message.
    Deliver(usize, usize, Box<Message>),
    SnapshotSent(usize, hitch_spread::TransferId),
    LogRead(usize, Poll),
    LogPollTimeout(usize, Poll),
    Append,
    Kill(usize),
    Restart(usize),
}

/// A read of the log: the first offset requested, and when it was sent, by the reader's clock.
pub type Poll = (u64, Duration);

pub struct Node {
    pub up: bool,
    /// Number of times that the node was started.
    starts: u8,
    started_at: Duration,
    pub roster: Roster,
    pub spread: Spread,
    /// Time until which the node waits for the answer to a log read.
    read_deadline: Duration,
    /// Earliest time at which the node checks again whether it is a reader.
    next_election: Duration,
}

pub struct Change {
    pub at: Duration,
    /// Number of nodes that hold the change.
    holders: usize,
    /// When all nodes held the change for the first time.
    pub done: Option<Duration>,
}

pub struct Fleet {
    pub args: Args,
    pub now: Duration,
    pub rng: ChaCha8Rng,
    events: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    pub nodes: Vec<Node>,
    contacts: Vec<Arc<Contact>>,
    pub changes: Vec<Change>,
    data: Arc<[u8]>,
    /// Reads that wait at the end of the log, by node.
    polls: BTreeMap<usize, Poll>,
    /// When the log has answered all reads accepted so far.
    log_idle_at: Duration,
    /// Bytes sent by all nodes.
    pub bytes: u64,
    /// Number of log reads, by second.
    pub reads: BTreeMap<u64, u64>,
    /// Time from an append until a node holds the record, in microseconds.
    pub delays: Histogram<u64>,
}

fn contact(i: usize) -> Arc<Contact> {
    Arc::new(Contact {
        instance: format!("i-{i:07}").into(),
        region: format!("nl-west-{}", i % ZONES / 3).into(),
        zone: format!("nl-west-{}{}", i % ZONES / 3, i % 3).into(),
        address: format!("10.20.{}.{}:7000", i / 250, i % 250).into(),
        admin: format!("10.20.{}.{}:7001", i / 250, i % 250).into(),
        service: format!("service-{}", i % 560).into(),
        customer: format!("customer-{}", i % 100).into(),
    })
}

impl Fleet {
    pub fn new(args: Args) -> Fleet {
        let mut fleet = Fleet {
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(args.seed),
            events: BTreeMap::new(),
            event_count: 0,
            nodes: Vec::new(),
            contacts: (0..args.nodes).map(contact).collect(),
            changes: Vec::new(),
            data: vec![7; 3000].into(),
            polls: BTreeMap::new(),
            log_idle_at: Duration::ZERO,
            bytes: 0,
            reads: BTreeMap::new(),
            delays: histogram(),
            args,
        };
        let first = |c: &Arc<Contact>| Member::starting(Incarnation([1; 16]), c.clone());
        let mut members: Vec<Member> = fleet.contacts.iter().map(first).collect();
        members.iter_mut().for_each(|m| m.state = State::Ready);
        for i in 0..fleet.args.nodes {
            let mut roster = Roster::new(members[i].clone(), Default::default());
            roster.load(Duration::ZERO, members.iter().cloned());
            let node = fleet.new_node(i, roster);
            fleet.nodes.push(node);
            let spread = &mut fleet.nodes[i].spread;
            spread.received_snapshot(Duration::ZERO, None, LOG_FIRST);
        }
        fleet
    }

    fn new_node(&mut self, i: usize, roster: Roster) -> Node {
        let phase = TICK.mul_f64(self.rng.random::<f64>() * 10.0);
        self.after(phase, Event::Tick(i, self.now));
        Node {
            up: true,
            starts: 1,
            started_at: self.now,
            roster,
            spread: Spread::new(Default::default()),
            read_deadline: Duration::ZERO,
            next_election: Duration::ZERO,
        }
    }

    pub fn after(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        let at = (self.now + delay, self.event_count);
        self.events.insert(at, event);
    }

    pub fn run_until(&mut self, end: Duration) {
        while let Some(next) = self.events.first_entry() {
            if next.key().0 > end {
                break;
            }
            self.now = next.key().0;
            let event = next.remove();
            self.handle(event);
        }
        self.now = end;
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.bytes += encoded_len(&message);
        if self.rng.random_bool(self.args.loss) {
            return;
        }
        let same_zone = from % ZONES == to % ZONES;
        let mut ms = if same_zone { 0.5 } else { 1.4 } * self.rng.random_range(1.0..2.0);
        ms += self.rng.random_range(0.1..1.0);
        if self.rng.random_bool(0.01) {
            ms += self.rng.random_range(10.0..50.0);
        }
        let mut delay = Duration::from_secs_f64(ms / 1000.0);
        if message.kind == Kind::Snapshot {
            delay += SNAPSHOT_TIME;
        }
        self.after(delay, Event::Deliver(from, to, Box::new(message)));
    }

    fn index(&self, node: usize, key: MemberKey) -> Option<usize> {
        let member = self.nodes[node].roster.get(key)?;
        member.contact.instance[2..].parse().ok()
    }

    fn local_time(&self, node: usize) -> Duration {
        self.now - self.nodes[node].started_at
    }

    fn config(&self, node: usize) -> Option<Digest> {
        let spread = &self.nodes[node].spread;
        Some(spread.digest(self.local_time(node), spread.next_offset(), u64::MAX))
    }

    pub fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(i, started_at)
                if self.nodes[i].up && self.nodes[i].started_at == started_at =>
            {
                self.tick(i);
                let behind = self.nodes[i].spread.is_behind();
                let interval = if behind { TICK_BEHIND } else { TICK };
                self.after(interval, Event::Tick(i, started_at));
            }
            Event::Deliver(from, to, message) if self.nodes[to].up => {
                self.deliver(from, to, *message);
            }
            Event::LogRead(i, poll) if self.nodes[i].up => match poll.0 == self.log_end() {
                true => {
                    self.polls.insert(i, poll);
                    self.after(LOG_POLL_TIMEOUT, Event::LogPollTimeout(i, poll));
                }
                false => self.answer_log_read(i, poll),
            },
            Event::LogPollTimeout(i, poll) if self.polls.get(&i) == Some(&poll) => {
                self.polls.remove(&i);
                self.answer_log_read(i, poll);
            }
            Event::Append => {
                let at = self.now;
                let (holders, done) = (0, None);
                self.changes.push(Change { at, holders, done });
                for (reader, poll) in std::mem::take(&mut self.polls) {
                    self.answer_log_read(reader, poll);
                }
            }
            Event::Kill(i) => self.kill(i),
            Event::Restart(i) => self.start(i),
            Event::SnapshotSent(i, transfer) => self.nodes[i].spread.release_snapshot(transfer),
            _ => {}
        }
    }

    /// Restarts a node, which knows only the addresses of some seeds.
    fn start(&mut self, i: usize) {
        let starts = self.nodes[i].starts + 1;
        let own = Member::starting(Incarnation([starts; 16]), self.contacts[i].clone());
        let seeds = (0..8).map(|_| self.rng.random_range(0..self.args.nodes));
        let seeds = seeds.map(|i| i.to_string().into()).collect();
        let options = hitch_roster::Options {
            seeds,
            ..Default::default()
        };
        let node = self.new_node(i, Roster::new(own, options));
        self.nodes[i] = Node { starts, ..node };
    }

    /// Kills a node without a drain; it restarts shortly afterwards.
    fn kill(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.up = false;
        for offset in LOG_FIRST..node.spread.next_offset() {
            self.changes[(offset - LOG_FIRST) as usize].holders -= 1;
        }
        self.polls.remove(&i);
        let delay = Duration::from_millis(self.rng.random_range(100..600));
        self.after(delay, Event::Restart(i));
    }

    fn tick(&mut self, i: usize) {
        let now = self.local_time(i);
        let node = &mut self.nodes[i];
        if node.spread.is_ready() {
            node.roster.set_state(now, State::Ready);
        }
        let commands = node.roster.tick(now, &mut self.rng);
        node.roster.take_changes();
        for command in commands {
            match command {
                hitch_roster::Command::Exchange { with } => self.exchange(i, with),
                hitch_roster::Command::ProbeVia { target, via } => {
                    let mut message = Message::new(Kind::Probe);
                    message.target = self.index(i, target).unwrap_or(i);
                    self.send(i, self.index(i, via).unwrap_or(i), message);
                }
            }
        }
        if !self.args.tail {
            let commands = self.nodes[i].spread.tick(now, &mut self.rng);
            self.execute(i, commands);
        }
        self.read_log(i);
    }

    fn read_log(&mut self, i: usize) {
        let now = self.local_time(i);
        let node = &mut self.nodes[i];
        if now < node.read_deadline || now < node.next_election {
            return;
        }
        if !self.args.tail && !node.roster.is_reader(now, READERS) {
            node.next_election = now + Duration::from_secs(1);
            return;
        }
        node.read_deadline = now + LOG_POLL_TIMEOUT + Duration::from_secs(1);
        let poll = (node.spread.next_offset(), now);
        *self.reads.entry(self.now.as_secs()).or_default() += 1;
        self.after(Duration::from_millis(1), Event::LogRead(i, poll));
    }

    fn log_end(&self) -> u64 {
        LOG_FIRST + self.changes.len() as u64
    }

    fn answer_log_read(&mut self, i: usize, (next_offset, requested_at): Poll) {
        self.log_idle_at = self.log_idle_at.max(self.now) + LOG_READ_TIME;
        if self.rng.random_bool(self.args.loss) {
            return;
        }
        let mut message = Message::new(Kind::LogReply);
        (message.requested_at, message.next_offset) = (requested_at, self.log_end());
        for offset in next_offset.max(LOG_FIRST)..message.next_offset {
            let data = self.data.clone();
            message.records.push(Record { offset, data });
        }
        let delay = self.log_idle_at - self.now + Duration::from_millis(1);
        self.after(delay, Event::Deliver(i, i, Box::new(message)));
    }

    fn exchange(&mut self, i: usize, with: hitch_roster::Peer) {
        let (to, key) = match with {
            hitch_roster::Peer::Member(key) => (self.index(i, key), Some(key)),
            hitch_roster::Peer::Seed(address) => (address.parse().ok(), None),
        };
        let mut message = Message::new(Kind::Exchange);
        (message.requested_at, message.config) = (self.local_time(i), self.config(i));
        let roster = &mut self.nodes[i].roster;
        message.members = roster.take_recent_updates(key);
        message.sender = Some(roster.own());
        message.roster = Some(Box::new(roster.digest()));
        message.details = roster.bucket_details();
        self.send(i, to.unwrap_or(i), message);
    }

    fn execute(&mut self, i: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Fetch { from, next_offset } => {
                    let mut message = Message::new(Kind::Fetch);
                    message.next_offset = next_offset;
                    self.send(i, from.0 as usize, message);
                }
                Command::Announce { peers } => {
                    for key in self.nodes[i].roster.announce_peers(peers, &mut self.rng) {
                        let mut message = Message::new(Kind::Notify);
                        message.config = self.config(i);
                        if self.args.push {
                            let spread = &self.nodes[i].spread;
                            message.records =
                                spread.missing_records(spread.next_offset() - 1, 1 << 20);
                        }
                        self.send(i, self.index(i, key).unwrap_or(i), message);
                    }
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let (now, tail, source) = (self.local_time(to), self.args.tail, Peer(from as u64));
        let target_up = self.nodes[message.target].up;
        let before = self.nodes[to].spread.next_offset();
        let mut reply = None;
        let Node { roster, spread, .. } = &mut self.nodes[to];
        let sender = message.sender.clone();
        let key = sender.and_then(|s| roster.try_find(&s.contact.instance));
        roster.merge(now, message.members.into_iter().chain(message.sender));
        let mut outcome = Outcome::default();
        match message.kind {
            Kind::Exchange => {
                let mut answer = Message::new(Kind::ExchangeReply);
                answer.requested_at = message.requested_at;
                answer.members = roster.take_recent_updates(key);
                let digest = message.roster.expect("an exchange has a digest");
                let missing = match message.details.is_empty() {
                    true => roster.missing(&digest),
                    false => roster.missing_by_details(&digest, &message.details),
                };
                answer.members.extend(missing);
                answer.sender = Some(roster.own());
                let peer_next_offset = message.config.map_or(0, |c| c.next_offset);
                if !tail {
                    answer.records = spread.missing_records(peer_next_offset, INLINE_BYTES);
                }
                reply = Some(answer);
            }
            Kind::ExchangeReply => {
                key.into_iter().for_each(|key| roster.answered(key));
                if !message.records.is_empty() {
                    outcome = spread.received_records(now, source, message.records);
                }
            }
            Kind::Fetch => {
                let (answer, transfer) = fetch_reply(spread, now, message.next_offset, FETCH_BYTES);
                reply = Some(answer);
                transfer
                    .into_iter()
                    .for_each(|t| self.after(SNAPSHOT_TIME, Event::SnapshotSent(to, t)));
            }
            Kind::Notify if message.records.is_empty() => {}
            Kind::FetchReply | Kind::Notify => {
                outcome = spread.received_records(now, source, message.records)
            }
            Kind::Snapshot => {
                outcome = spread.received_snapshot(now, Some(source), message.next_offset)
            }
            Kind::Busy => spread.fetch_failed(now, source, &mut self.rng),
            Kind::Probe if target_up => {
                let mut answer = Message::new(Kind::ProbeReply);
                answer.target = message.target;
                reply = Some(answer);
            }
            Kind::ProbeReply => {
                let key = roster.try_find(&self.contacts[message.target].instance);
                key.into_iter().for_each(|key| roster.answered(key));
            }
            Kind::LogReply => {
                if before < LOG_FIRST {
                    spread.received_snapshot(now, None, LOG_FIRST);
                    *self.reads.entry(self.now.as_secs()).or_default() += 1;
                }
                outcome = spread.received_log_records(now, message.requested_at, message.records);
                spread.received_log_end(now, message.requested_at, message.next_offset);
                self.nodes[to].read_deadline = Duration::ZERO;
            }
            Kind::Probe => {}
        }
        if let Some(config) = message.config.filter(|_| !tail) {
            let requested_at =
                Some(message.requested_at).filter(|_| message.kind == Kind::ExchangeReply);
            let spread = &mut self.nodes[to].spread;
            let more = spread.received_digest(now, source, config, requested_at, &mut self.rng);
            outcome.commands.extend(more);
        }
        if let Some(mut reply) = reply {
            reply.config = self
                .config(to)
                .filter(|_| reply.kind == Kind::ExchangeReply);
            self.send(to, from, reply);
        }
        if !tail {
            self.execute(to, outcome.commands);
        }
        self.count_new_records(to, before);
    }

    fn count_new_records(&mut self, i: usize, before: u64) {
        let next = self.nodes[i].spread.next_offset();
        for offset in before.max(LOG_FIRST)..next {
            let change = &mut self.changes[(offset - LOG_FIRST) as usize];
            change.holders += 1;
            let delay = (self.now - change.at).as_micros() as u64;
            self.delays.saturating_record(delay);
            if change.holders == self.args.nodes {
                change.done.get_or_insert(self.now);
            }
        }
    }

    /// Kills half of the nodes at once; each restarts with a new incarnation.
    pub fn restart(&mut self) {
        let mut all: Vec<usize> = (0..self.args.nodes).collect();
        for i in 0..all.len() / 2 {
            let other = self.rng.random_range(i..all.len());
            all.swap(i, other);
        }
        for i in all.into_iter().take(self.args.nodes / 2) {
            self.kill(i);
        }
    }

    /// Returns whether every node is ready and holds all records older than a second.
    pub fn in_force(&self) -> bool {
        let due = |change: &&Change| change.at + Duration::from_secs(1) <= self.now;
        let end = LOG_FIRST + self.changes.iter().filter(due).count() as u64;
        let holds = |n: &Node| n.up && n.spread.is_ready() && n.spread.next_offset() >= end;
        self.nodes.iter().all(holds)
    }

    /// Returns two means over all rosters: the number of members that are missing or have a wrong
    /// state, and the number of members that have the right state but an outdated entry.
    pub fn wrong_entries(&self) -> (f64, f64) {
        let own = self.nodes.iter().map(|node| node.roster.own());
        let own: BTreeMap<Box<str>, Member> =
            own.map(|m| (m.contact.instance.clone(), m)).collect();
        let (mut wrong, mut outdated) = (0, 0);
        for node in &self.nodes {
            wrong += self.nodes.len();
            for (_, member) in node.roster.members() {
                let current = &own[&member.contact.instance];
                wrong -= usize::from(current.state == member.state);
                outdated += usize::from(current.state == member.state && *current != member);
            }
        }
        let mean = |sum: usize| sum as f64 / self.nodes.len() as f64;
        (mean(wrong), mean(outdated))
    }
}
