//! The nodes, the network and the log in virtual time.

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
use crate::wire::answer;
use crate::wire::encoded_len;

const ZONES: usize = 6;
pub const READERS: usize = 2;
const SNAPSHOT_TIME: Duration = Duration::from_millis(20);
const INLINE_BYTES: usize = 8192;
const FETCH_BYTES: usize = 65_536;
/// The log was trimmed before this offset and holds a snapshot that reaches it.
pub const LOG_FIRST: u64 = 10_000;
const LOG_READ: Duration = Duration::from_micros(200);
const LOG_WAIT: Duration = Duration::from_secs(2);
pub const TICK: Duration = Duration::from_millis(100);
const TICK_BEHIND: Duration = Duration::from_millis(20);

pub enum Event {
    Tick(usize, Duration),
    Deliver(usize, usize, Box<Message>),
    Sent(usize, hitch_spread::TransferId),
    LogRead(usize, Poll),
    LogWaited(usize, Poll),
    Append,
    Kill(usize),
    Return(usize),
}

/// A read of the log: the offset wanted, and when it was sent by the reader's clock.
pub type Poll = (u64, Duration);

pub struct Node {
    pub up: bool,
    /// Times that the node was started.
    runs: u8,
    born: Duration,
    pub roster: Roster,
    pub spread: Spread,
    read_until: Duration,
    next_election: Duration,
}

pub struct Change {
    pub at: Duration,
    holders: usize,
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
    polls: BTreeMap<usize, Poll>,
    log_free: Duration,
    pub bytes: u64,
    pub reads: BTreeMap<u64, u64>,
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
            log_free: Duration::ZERO,
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
            runs: 1,
            born: self.now,
            roster,
            spread: Spread::new(Default::default()),
            read_until: Duration::ZERO,
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
        let near = from % ZONES == to % ZONES;
        let mut ms = if near { 0.5 } else { 1.4 } * self.rng.random_range(1.0..2.0);
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

    fn local(&self, node: usize) -> Duration {
        self.now - self.nodes[node].born
    }

    fn config(&self, node: usize) -> Option<Digest> {
        let spread = &self.nodes[node].spread;
        Some(spread.digest(self.local(node), spread.next_offset(), u64::MAX))
    }

    pub fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(at, born) if self.nodes[at].up && self.nodes[at].born == born => {
                self.tick(at);
                let behind = self.nodes[at].spread.is_behind();
                let pause = if behind { TICK_BEHIND } else { TICK };
                self.after(pause, Event::Tick(at, born));
            }
            Event::Deliver(from, to, message) if self.nodes[to].up => {
                self.deliver(from, to, *message);
            }
            Event::LogRead(at, poll) if self.nodes[at].up => match poll.0 == self.log_end() {
                true => {
                    self.polls.insert(at, poll);
                    self.after(LOG_WAIT, Event::LogWaited(at, poll));
                }
                false => self.log_answer(at, poll),
            },
            Event::LogWaited(at, poll) if self.polls.get(&at) == Some(&poll) => {
                self.polls.remove(&at);
                self.log_answer(at, poll);
            }
            Event::Append => {
                let at = self.now;
                let (holders, done) = (0, None);
                self.changes.push(Change { at, holders, done });
                for (reader, poll) in std::mem::take(&mut self.polls) {
                    self.log_answer(reader, poll);
                }
            }
            Event::Kill(at) => self.kill(at),
            Event::Return(at) => self.start(at),
            Event::Sent(at, ticket) => self.nodes[at].spread.release_snapshot(ticket),
            _ => {}
        }
    }

    /// Starts a node that knows nothing but some seeds.
    fn start(&mut self, at: usize) {
        let runs = self.nodes[at].runs + 1;
        let own = Member::starting(Incarnation([runs; 16]), self.contacts[at].clone());
        let seeds = (0..8).map(|_| self.rng.random_range(0..self.args.nodes));
        let seeds = seeds.map(|i| i.to_string().into()).collect();
        let options = hitch_roster::Options {
            seeds,
            ..Default::default()
        };
        let node = self.new_node(at, Roster::new(own, options));
        self.nodes[at] = Node { runs, ..node };
    }

    /// Kills a node at once; it returns soon.
    fn kill(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.up = false;
        for offset in LOG_FIRST..node.spread.next_offset() {
            self.changes[(offset - LOG_FIRST) as usize].holders -= 1;
        }
        self.polls.remove(&at);
        let boot = Duration::from_millis(self.rng.random_range(100..600));
        self.after(boot, Event::Return(at));
    }

    fn tick(&mut self, at: usize) {
        let now = self.local(at);
        let node = &mut self.nodes[at];
        if node.spread.is_ready() {
            node.roster.set_state(now, State::Ready);
        }
        let commands = node.roster.tick(now, &mut self.rng);
        node.roster.take_changes();
        for command in commands {
            match command {
                hitch_roster::Command::Exchange { with } => self.exchange(at, with),
                hitch_roster::Command::ProbeVia { target, via } => {
                    let mut message = Message::new(Kind::Probe);
                    message.target = self.index(at, target).unwrap_or(at);
                    self.send(at, self.index(at, via).unwrap_or(at), message);
                }
            }
        }
        if !self.args.tail {
            let commands = self.nodes[at].spread.tick(now, &mut self.rng);
            self.carry_out(at, commands);
        }
        self.read_log(at);
    }

    fn read_log(&mut self, at: usize) {
        let now = self.local(at);
        let node = &mut self.nodes[at];
        if now < node.read_until || now < node.next_election {
            return;
        }
        if !self.args.tail && !node.roster.is_reader(now, READERS) {
            node.next_election = now + Duration::from_secs(1);
            return;
        }
        node.read_until = now + LOG_WAIT + Duration::from_secs(1);
        let poll = (node.spread.next_offset(), now);
        *self.reads.entry(self.now.as_secs()).or_default() += 1;
        self.after(Duration::from_millis(1), Event::LogRead(at, poll));
    }

    fn log_end(&self) -> u64 {
        LOG_FIRST + self.changes.len() as u64
    }

    fn log_answer(&mut self, at: usize, (next, asked): Poll) {
        self.log_free = self.log_free.max(self.now) + LOG_READ;
        if self.rng.random_bool(self.args.loss) {
            return;
        }
        let mut message = Message::new(Kind::Log);
        (message.asked, message.next) = (asked, self.log_end());
        for offset in next.max(LOG_FIRST)..message.next {
            let data = self.data.clone();
            message.records.push(Record { offset, data });
        }
        let delay = self.log_free - self.now + Duration::from_millis(1);
        self.after(delay, Event::Deliver(at, at, Box::new(message)));
    }

    fn exchange(&mut self, at: usize, with: hitch_roster::Peer) {
        let (to, key) = match with {
            hitch_roster::Peer::Member(key) => (self.index(at, key), Some(key)),
            hitch_roster::Peer::Seed(address) => (address.parse().ok(), None),
        };
        let mut message = Message::new(Kind::Exchange);
        (message.asked, message.config) = (self.local(at), self.config(at));
        let roster = &mut self.nodes[at].roster;
        message.members = roster.take_recent(key);
        message.sender = Some(roster.own());
        message.roster = Some(Box::new(roster.digest()));
        message.details = roster.details();
        self.send(at, to.unwrap_or(at), message);
    }

    fn carry_out(&mut self, at: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Fetch { from, next_offset } => {
                    let mut message = Message::new(Kind::Fetch);
                    message.next = next_offset;
                    self.send(at, from.0 as usize, message);
                }
                Command::Announce { peers } => {
                    for key in self.nodes[at].roster.announce_peers(peers, &mut self.rng) {
                        let mut message = Message::new(Kind::Notify);
                        message.config = self.config(at);
                        if self.args.push {
                            let spread = &self.nodes[at].spread;
                            message.records =
                                spread.missing_records(spread.next_offset() - 1, 1 << 20);
                        }
                        self.send(at, self.index(at, key).unwrap_or(at), message);
                    }
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, at: usize, message: Message) {
        let (now, tail, source) = (self.local(at), self.args.tail, Peer(from as u64));
        let target_up = self.nodes[message.target].up;
        let before = self.nodes[at].spread.next_offset();
        let mut reply = None;
        let Node { roster, spread, .. } = &mut self.nodes[at];
        let sender = message.sender.clone();
        let key = sender.and_then(|s| roster.try_find(&s.contact.instance));
        roster.merge(now, message.members.into_iter().chain(message.sender));
        let mut outcome = Outcome::default();
        match message.kind {
            Kind::Exchange => {
                let mut answer = Message::new(Kind::Answer);
                answer.asked = message.asked;
                answer.members = roster.take_recent(key);
                let digest = message.roster.expect("an exchange has a digest");
                let missing = match message.details.is_empty() {
                    true => roster.missing(&digest),
                    false => roster.missing_by(&digest, &message.details),
                };
                answer.members.extend(missing);
                answer.sender = Some(roster.own());
                let theirs = message.config.map_or(0, |c| c.next_offset);
                if !tail {
                    answer.records = spread.missing_records(theirs, INLINE_BYTES);
                }
                reply = Some(answer);
            }
            Kind::Answer => {
                key.into_iter().for_each(|key| roster.answered(key));
                if !message.records.is_empty() {
                    outcome = spread.received_records(now, source, message.records);
                }
            }
            Kind::Fetch => {
                let (answer, ticket) = answer(spread, now, message.next, FETCH_BYTES);
                reply = Some(answer);
                ticket
                    .into_iter()
                    .for_each(|t| self.after(SNAPSHOT_TIME, Event::Sent(at, t)));
            }
            Kind::Notify if message.records.is_empty() => {}
            Kind::Fetched | Kind::Notify => {
                outcome = spread.received_records(now, source, message.records)
            }
            Kind::Snapshot => outcome = spread.received_snapshot(now, Some(source), message.next),
            Kind::Busy => spread.fetch_failed(now, source, &mut self.rng),
            Kind::Probe if target_up => {
                let mut answer = Message::new(Kind::Probed);
                answer.target = message.target;
                reply = Some(answer);
            }
            Kind::Probed => {
                let key = roster.try_find(&self.contacts[message.target].instance);
                key.into_iter().for_each(|key| roster.answered(key));
            }
            Kind::Log => {
                if before < LOG_FIRST {
                    spread.received_snapshot(now, None, LOG_FIRST);
                    *self.reads.entry(self.now.as_secs()).or_default() += 1;
                }
                outcome = spread.received_log_records(now, message.asked, message.records);
                spread.received_log_end(now, message.asked, message.next);
                self.nodes[at].read_until = Duration::ZERO;
            }
            Kind::Probe => {}
        }
        if let Some(config) = message.config.filter(|_| !tail) {
            let asked = Some(message.asked).filter(|_| message.kind == Kind::Answer);
            let spread = &mut self.nodes[at].spread;
            let more = spread.received_digest(now, source, config, asked, &mut self.rng);
            outcome.commands.extend(more);
        }
        if let Some(mut reply) = reply {
            reply.config = self.config(at).filter(|_| reply.kind == Kind::Answer);
            self.send(at, from, reply);
        }
        if !tail {
            self.carry_out(at, outcome.commands);
        }
        self.progressed(at, before);
    }

    fn progressed(&mut self, at: usize, before: u64) {
        let next = self.nodes[at].spread.next_offset();
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

    /// Kills half of the nodes at once; each returns with another incarnation.
    pub fn restart(&mut self) {
        let mut all: Vec<usize> = (0..self.args.nodes).collect();
        for i in 0..all.len() / 2 {
            let other = self.rng.random_range(i..all.len());
            all.swap(i, other);
        }
        for at in all.into_iter().take(self.args.nodes / 2) {
            self.kill(at);
        }
    }

    /// Returns whether every node is ready and holds all records older than a second.
    pub fn in_force(&self) -> bool {
        let due = |change: &&Change| change.at + Duration::from_secs(1) <= self.now;
        let end = LOG_FIRST + self.changes.iter().filter(due).count() as u64;
        let holds = |n: &Node| n.up && n.spread.is_ready() && n.spread.next_offset() >= end;
        self.nodes.iter().all(holds)
    }

    /// Returns the mean number of members that a roster lacks or knows in another state than they
    /// are, and of those that it knows in the right state of an earlier entry.
    pub fn wrong_entries(&self) -> (f64, f64) {
        let own = self.nodes.iter().map(|node| node.roster.own());
        let own: BTreeMap<Box<str>, Member> =
            own.map(|m| (m.contact.instance.clone(), m)).collect();
        let (mut other, mut earlier) = (0, 0);
        for node in &self.nodes {
            other += self.nodes.len();
            for (_, member) in node.roster.members() {
                let now = &own[&member.contact.instance];
                other -= usize::from(now.state == member.state);
                earlier += usize::from(now.state == member.state && *now != member);
            }
        }
        let mean = |sum: usize| sum as f64 / self.nodes.len() as f64;
        (mean(other), mean(earlier))
    }
}
