//! Simulation of the nodes of one service in virtual time, with faults of the network, the processes and
//! their clocks.

use std::collections::BTreeMap;
use std::time::Duration;

use hitch_share::Command;
use hitch_share::LimitId;
use hitch_share::Message;
use hitch_share::Options;
use hitch_share::Share;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Step of virtual time.
pub const STEP: Duration = Duration::from_millis(10);

/// Longest time until a node learns of a change of the membership.
const MAX_MEMBERSHIP_DELAY: Duration = Duration::from_secs(1);

/// Time for which a node must be unresponsive before the others consider it gone.
const FAILURE_DETECTION_TIME: Duration = Duration::from_millis(1500);

/// Faults of the network.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is duplicated. Each copy may be lost.
    pub duplicates: f64,
    /// Longest delay in milliseconds. Messages may be reordered.
    pub delay_ms: u64,
    /// Largest difference between the rates of two clocks, as a fraction of the nominal rate.
    pub drift: f64,
}

/// One node.
#[derive(Debug)]
pub struct Node {
    name: Box<str>,
    /// `None` while the process is down.
    share: Option<(Share, LimitId)>,
    incarnation: u32,
    clock_offset: Duration,
    clock_rate: f64,
    /// Start and end of the last pause.
    paused: Option<(Duration, Duration)>,
    next_tick: Duration,
    next_membership_update: Duration,
    /// Side of the partition on which the node is. Nodes on different sides cannot communicate.
    partition: u32,
    /// Calls offered per second.
    pub offered: f64,
    /// Calls admitted so far.
    pub admitted: u64,
    /// Messages sent so far.
    pub sent: u64,
}

impl Node {
    fn local_time(&self, now: Duration) -> Duration {
        self.clock_offset + now.mul_f64(self.clock_rate)
    }

    fn is_paused(&self, now: Duration) -> bool {
        self.paused.is_some_and(|(_, until)| now < until)
    }

    fn is_running(&self, now: Duration) -> bool {
        self.share.is_some() && !self.is_paused(now)
    }

    /// Returns the rate at which the node admits calls; zero while it does not run.
    pub fn rate(&self, now: Duration) -> f64 {
        match &self.share {
            Some((share, limit)) if !self.is_paused(now) => {
                share.rate(self.local_time(now), *limit)
            }
            _ => 0.0,
        }
    }

    /// Returns the rate that the node has granted to others.
    pub fn issued_rate(&self, now: Duration) -> f64 {
        match &self.share {
            Some((share, limit)) if !self.is_paused(now) => {
                share.issued_rate(self.local_time(now), *limit)
            }
            _ => 0.0,
        }
    }
}

/// All nodes and the messages between them.
pub struct Simulation {
    /// The limit in calls per second.
    pub limit: f64,
    /// The nodes, also those that are down.
    pub nodes: Vec<Node>,
    /// Virtual time.
    pub now: Duration,
    options: Options,
    faults: Faults,
    rng: ChaCha8Rng,
    in_flight: BTreeMap<(Duration, u64), (usize, usize, Message)>,
    next_message_id: u64,
}

impl Simulation {
    /// Creates a simulation without nodes.
    pub fn new(limit: f64, options: Options, faults: Faults, seed: u64) -> Self {
        Simulation {
            limit,
            nodes: Vec::new(),
            now: Duration::ZERO,
            options,
            faults,
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            next_message_id: 0,
        }
    }

    /// Starts a new node.
    pub fn join(&mut self, offered: f64) {
        let drift = self.faults.drift;
        let node = Node {
            name: format!("node-{}", self.nodes.len()).into(),
            share: None,
            incarnation: 0,
            clock_offset: Duration::from_millis(self.rng.random_range(0..100_000)),
            clock_rate: 1.0 + drift * (self.rng.random::<f64>() - 0.5),
            paused: None,
            next_tick: Duration::ZERO,
            next_membership_update: Duration::ZERO,
            partition: 0,
            offered,
            admitted: 0,
            sent: 0,
        };
        self.nodes.push(node);
        self.restart(self.nodes.len() - 1);
    }

    /// Restarts a node with empty state.
    pub fn restart(&mut self, node: usize) {
        let now = self.now;
        let limit = self.limit;
        let options = self.options.clone();
        let node = &mut self.nodes[node];
        node.incarnation += 1;
        let mut share = Share::new(node.local_time(now), &node.name, node.incarnation, options);
        let id = share.set_limit(node.local_time(now), "association", "fee", limit);
        node.share = Some((share, id));
        node.paused = None;
        node.next_membership_update = now;
        node.next_tick = now + STEP;
    }

    /// Crashes a node.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node].share = None;
    }

    /// Suspends a node for `length`. It does not notice.
    pub fn pause(&mut self, node: usize, length: Duration) {
        self.nodes[node].paused = Some((self.now, self.now + length));
    }

    /// Puts a node on one side of a partition.
    pub fn set_partition(&mut self, node: usize, partition: u32) {
        self.nodes[node].partition = partition;
    }

    /// Returns the sum of the rates of all running nodes.
    pub fn total_rate(&self) -> f64 {
        self.nodes.iter().map(|node| node.rate(self.now)).sum()
    }

    /// Returns the sum of the rates that all running nodes have granted.
    pub fn total_issued(&self) -> f64 {
        self.nodes
            .iter()
            .map(|node| node.issued_rate(self.now))
            .sum()
    }

    /// Advances virtual time by [`STEP`].
    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_running(self.now) {
                continue;
            }
            self.offer(index);
            self.update_membership(index);
            self.tick(index);
        }
    }

    fn offer(&mut self, index: usize) {
        let expected_calls = self.nodes[index].offered * STEP.as_secs_f64();
        let calls = (expected_calls + self.rng.random::<f64>()).floor() as u64;
        let node = &mut self.nodes[index];
        let local_now = node.local_time(self.now);
        let Some((share, limit)) = &mut node.share else {
            return;
        };
        for _ in 0..calls {
            node.admitted += u64::from(share.admit(local_now, *limit));
        }
    }

    fn update_membership(&mut self, index: usize) {
        if self.now < self.nodes[index].next_membership_update {
            return;
        }
        let partition = self.nodes[index].partition;
        let mut present: Vec<Box<str>> = Vec::new();
        for node in &self.nodes {
            let unresponsive_for = match node.paused {
                Some((since, until)) if self.now < until => self.now - since,
                _ => Duration::ZERO,
            };
            if node.share.is_some()
                && node.partition == partition
                && unresponsive_for < FAILURE_DETECTION_TIME
            {
                present.push(node.name.clone());
            }
        }
        let delay = MAX_MEMBERSHIP_DELAY.mul_f64(self.rng.random::<f64>());
        let node = &mut self.nodes[index];
        node.next_membership_update = self.now + delay;
        let local_now = node.local_time(self.now);
        if let Some((share, _)) = &mut node.share {
            share.set_members(local_now, present.iter().map(|name| &**name));
        }
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if self.now < node.next_tick {
            return;
        }
        node.next_tick = self.now + self.options.tick;
        let local_now = node.local_time(self.now);
        let Some((share, _)) = &mut node.share else {
            return;
        };
        let commands = share.tick(local_now, &mut self.rng);
        self.send(index, commands);
    }

    fn send(&mut self, from: usize, commands: Vec<Command>) {
        for Command::Send { to, message } in commands {
            self.nodes[from].sent += 1;
            let Some((share, _)) = &self.nodes[from].share else {
                continue;
            };
            let to = share.instance(to);
            let Some(to) = self.nodes.iter().position(|node| Some(&*node.name) == to) else {
                continue;
            };
            let copies = 1 + u64::from(self.rng.random::<f64>() < self.faults.duplicates);
            for _ in 0..copies {
                if self.rng.random::<f64>() < self.faults.loss {
                    continue;
                }
                let delay = self.rng.random_range(0..=self.faults.delay_ms);
                let at = self.now + Duration::from_millis(delay);
                self.next_message_id += 1;
                self.in_flight
                    .insert((at, self.next_message_id), (from, to, message.clone()));
            }
        }
    }

    /// Delivers the messages that are due. Messages to a paused node wait until it runs again.
    fn deliver(&mut self) {
        let not_due = self.in_flight.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.in_flight, not_due);
        for ((_, id), (from, to, message)) in due {
            if let Some((_, until)) = self.nodes[to].paused.filter(|(_, until)| self.now < *until) {
                self.in_flight.insert((until, id), (from, to, message));
                continue;
            }
            if self.nodes[from].partition != self.nodes[to].partition {
                continue;
            }
            let sender = self.nodes[from].name.clone();
            let local_now = self.nodes[to].local_time(self.now);
            let Some((share, _)) = &mut self.nodes[to].share else {
                continue;
            };
            let commands = share.receive(local_now, &sender, message);
            self.send(to, commands);
        }
    }
}
