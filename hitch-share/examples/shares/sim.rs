//! Nodes of one service in virtual time, with faults of the network, the processes and their clocks.

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

/// Longest time after which a node learns of a change of the membership.
const MEMBERSHIP_LAG: Duration = Duration::from_secs(1);

/// Time without a sign of life after which a node is gone.
const SUSPICION: Duration = Duration::from_millis(1500);

/// Faults of the network.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Part of the messages that is lost.
    pub loss: f64,
    /// Part of the messages that is delivered twice.
    pub repeats: f64,
    /// Longest delay in milliseconds; messages overtake each other.
    pub delay_ms: u64,
    /// Largest difference of a clock's speed, as a part of it.
    pub drift: f64,
}

/// One node.
#[derive(Debug)]
pub struct Node {
    name: Box<str>,
    /// `None` while the process is down.
    share: Option<(Share, LimitId)>,
    incarnation: u32,
    offset: Duration,
    speed: f64,
    paused: Option<(Duration, Duration)>,
    next_tick: Duration,
    next_view: Duration,
    /// Side of a partition.
    side: u32,
    /// Calls offered per second.
    pub offered: f64,
    /// Calls admitted so far.
    pub admitted: u64,
    /// Messages sent so far.
    pub sent: u64,
}

impl Node {
    fn local(&self, now: Duration) -> Duration {
        self.offset + now.mul_f64(self.speed)
    }

    fn is_paused(&self, now: Duration) -> bool {
        self.paused.is_some_and(|(_, until)| now < until)
    }

    fn is_running(&self, now: Duration) -> bool {
        self.share.is_some() && !self.is_paused(now)
    }

    /// Rate at which the node admits, zero while it does not run.
    pub fn rate(&self, now: Duration) -> f64 {
        match &self.share {
            Some((share, limit)) if !self.is_paused(now) => share.rate(self.local(now), *limit),
            _ => 0.0,
        }
    }

    /// Rate that the node has given away.
    pub fn given(&self, now: Duration) -> f64 {
        match &self.share {
            Some((share, limit)) if !self.is_paused(now) => share.given(self.local(now), *limit),
            _ => 0.0,
        }
    }
}

/// All nodes and the messages between them.
pub struct World {
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
    next_message: u64,
}

impl World {
    /// Makes a world without nodes.
    pub fn new(limit: f64, options: Options, faults: Faults, seed: u64) -> Self {
        World {
            limit,
            nodes: Vec::new(),
            now: Duration::ZERO,
            options,
            faults,
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            next_message: 0,
        }
    }

    /// Starts one more node.
    pub fn join(&mut self, offered: f64) {
        let drift = self.faults.drift;
        let node = Node {
            name: format!("node-{}", self.nodes.len()).into(),
            share: None,
            incarnation: 0,
            offset: Duration::from_millis(self.rng.random_range(0..100_000)),
            speed: 1.0 + drift * (self.rng.random::<f64>() - 0.5),
            paused: None,
            next_tick: Duration::ZERO,
            next_view: Duration::ZERO,
            side: 0,
            offered,
            admitted: 0,
            sent: 0,
        };
        self.nodes.push(node);
        self.restart(self.nodes.len() - 1);
    }

    /// Starts a node anew, without any state.
    pub fn restart(&mut self, node: usize) {
        let now = self.now;
        let limit = self.limit;
        let options = self.options.clone();
        let node = &mut self.nodes[node];
        node.incarnation += 1;
        let mut share = Share::new(node.local(now), &node.name, node.incarnation, options);
        let id = share.set_limit(node.local(now), "association", "fee", limit);
        node.share = Some((share, id));
        node.paused = None;
        node.next_view = now;
        node.next_tick = now + STEP;
    }

    /// Kills a node.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node].share = None;
    }

    /// Stops a node without its knowledge.
    pub fn pause(&mut self, node: usize, length: Duration) {
        self.nodes[node].paused = Some((self.now, self.now + length));
    }

    /// Puts a node on one side of a partition.
    pub fn set_side(&mut self, node: usize, side: u32) {
        self.nodes[node].side = side;
    }

    /// Sum of the rates of all running nodes.
    pub fn sum(&self) -> f64 {
        self.nodes.iter().map(|node| node.rate(self.now)).sum()
    }

    /// Sum of what all running nodes have given away.
    pub fn given(&self) -> f64 {
        self.nodes.iter().map(|node| node.given(self.now)).sum()
    }

    /// Moves on by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_running(self.now) {
                continue;
            }
            self.offer(index);
            self.update_view(index);
            self.tick(index);
        }
    }

    fn offer(&mut self, index: usize) {
        let expected = self.nodes[index].offered * STEP.as_secs_f64();
        let calls = (expected + self.rng.random::<f64>()).floor() as u64;
        let node = &mut self.nodes[index];
        let local = node.local(self.now);
        let Some((share, limit)) = &mut node.share else {
            return;
        };
        for _ in 0..calls {
            node.admitted += u64::from(share.admit(local, *limit));
        }
    }

    fn update_view(&mut self, index: usize) {
        if self.now < self.nodes[index].next_view {
            return;
        }
        let side = self.nodes[index].side;
        let mut present: Vec<Box<str>> = Vec::new();
        for node in &self.nodes {
            let silent = match node.paused {
                Some((since, until)) if self.now < until => self.now - since,
                _ => Duration::ZERO,
            };
            if node.share.is_some() && node.side == side && silent < SUSPICION {
                present.push(node.name.clone());
            }
        }
        let lag = MEMBERSHIP_LAG.mul_f64(self.rng.random::<f64>());
        let node = &mut self.nodes[index];
        node.next_view = self.now + lag;
        let local = node.local(self.now);
        if let Some((share, _)) = &mut node.share {
            share.set_members(local, present.iter().map(|name| &**name));
        }
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if self.now < node.next_tick {
            return;
        }
        node.next_tick = self.now + self.options.tick;
        let local = node.local(self.now);
        let Some((share, _)) = &mut node.share else {
            return;
        };
        let commands = share.tick(local, &mut self.rng);
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
            let copies = 1 + u64::from(self.rng.random::<f64>() < self.faults.repeats);
            for _ in 0..copies {
                if self.rng.random::<f64>() < self.faults.loss {
                    continue;
                }
                let delay = self.rng.random_range(0..=self.faults.delay_ms);
                let at = self.now + Duration::from_millis(delay);
                self.next_message += 1;
                self.in_flight
                    .insert((at, self.next_message), (from, to, message.clone()));
            }
        }
    }

    /// Delivers what is due; what a paused node gets waits until it runs again.
    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.in_flight, later);
        for ((_, id), (from, to, message)) in due {
            if let Some((_, until)) = self.nodes[to].paused.filter(|(_, until)| self.now < *until) {
                self.in_flight.insert((until, id), (from, to, message));
                continue;
            }
            if self.nodes[from].side != self.nodes[to].side {
                continue;
            }
            let sender = self.nodes[from].name.clone();
            let local = self.nodes[to].local(self.now);
            let Some((share, _)) = &mut self.nodes[to].share else {
                continue;
            };
            let commands = share.receive(local, &sender, message);
            self.send(to, commands);
        }
    }
}
