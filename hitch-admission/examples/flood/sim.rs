//! Simulation in virtual time of one backend server behind the admission queue or a plain first-in-first-out
//! queue.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use hitch_admission::Admission;
use hitch_admission::Command;
use hitch_admission::Finished;
use hitch_admission::Offer;
use hitch_admission::Options;
use hitch_admission::Queue;
use hitch_admission::RankId;
use hitch_admission::Ticket;
use hitch_contract::Rank;
use hitch_contract::Service;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SecondaryMap;

/// Smallest advance of virtual time to a poll that the queue requested, so that the simulation always makes
/// progress.
const MIN_ADVANCE: Duration = Duration::from_micros(1);

/// Offered load of one rank: Poisson arrivals, with service times of a constant and an exponential part.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Calls offered per second during the warm-up.
    pub warm_up_per_second: f64,
    /// Calls offered per second after the warm-up.
    pub per_second: f64,
    /// Constant part of the service time.
    pub constant: Duration,
    /// Mean of the exponential part of the service time.
    pub exponential: Duration,
    /// Time from arrival to deadline.
    pub deadline: Duration,
}

impl Load {
    /// Mean service time in seconds.
    pub fn mean(&self) -> f64 {
        (self.constant + self.exponential).as_secs_f64()
    }
}

/// Parameters of one simulation run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Slots of the backend server.
    pub slots: u32,
    /// Ranks of the contract.
    pub ranks: Vec<Rank>,
    /// Load of each rank.
    pub loads: Vec<Load>,
    /// Calls that the backend server runs concurrently at full speed; with more, service times grow in
    /// proportion.
    pub full_speed_calls: u32,
    /// Factor applied to every service time after the warm-up.
    pub slowdown: f64,
    /// Options of the admission queue.
    pub options: Options,
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// End of the warm-up; calls that arrive earlier are not counted.
    pub warm_up: Duration,
    /// Time of the last arrival.
    pub end: Duration,
}

/// Results of the counted calls of one rank.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Calls offered.
    pub offered: usize,
    /// Calls answered within the target latency.
    pub on_time: usize,
    /// Time from arrival to the answer, or to the deadline for a call without an answer.
    pub latencies: Vec<Duration>,
}

impl Tally {
    /// 99th percentile of the latency in milliseconds.
    pub fn p99_ms(&self) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let index = (sorted.len() * 99).div_ceil(100).saturating_sub(1);
        sorted.get(index).map_or(0.0, |p99| p99.as_secs_f64() * 1e3)
    }

    /// Fraction of the offered calls that were answered within the target latency.
    pub fn goodput(&self) -> f64 {
        self.on_time as f64 / self.offered.max(1) as f64
    }
}

/// A generated call: its arrival, and the service time that it takes without contention.
#[derive(Debug, Clone, Copy)]
struct Call {
    rank: usize,
    arrived: Duration,
    service: Duration,
    deadline: Duration,
}

impl Scenario {
    /// Simulates the calls with the admission queue.
    pub fn run(&self) -> Vec<Tally> {
        let service = Service {
            name: "simulated".into(),
            slots: self.slots,
            connections: 10 * self.slots,
        };
        let mut server = Server {
            queue: Queue::new(Duration::ZERO, &service, &self.ranks, self.options.clone()),
            calls: self.calls(),
            calls_by_ticket: SecondaryMap::new(),
            ends: BinaryHeap::new(),
            tallies: vec![Tally::default(); self.ranks.len()],
            scenario: self,
        };
        server.run();
        server.tallies
    }

    /// Simulates the same calls in order of arrival, with the deadline as the only admission control.
    pub fn run_fifo(&self) -> Vec<Tally> {
        let mut tallies = vec![Tally::default(); self.ranks.len()];
        let mut ends: BinaryHeap<Reverse<Duration>> = BinaryHeap::new();
        for call in self.calls() {
            let free_at = match ends.len() < self.slots as usize {
                true => Duration::ZERO,
                false => ends.pop().map_or(Duration::ZERO, |Reverse(end)| end),
            };
            let start = free_at.max(call.arrived);
            if start >= call.deadline {
                ends.push(Reverse(free_at));
                self.count(&mut tallies, &call, None);
                continue;
            }
            let end = start + call.service;
            ends.push(Reverse(end.min(call.deadline)));
            self.count(
                &mut tallies,
                &call,
                Some(end).filter(|end| *end <= call.deadline),
            );
        }
        tallies
    }

    fn calls(&self) -> Vec<Call> {
        let mut calls = Vec::new();
        for (rank, load) in self.loads.iter().enumerate() {
            let mut rng = ChaCha8Rng::seed_from_u64(self.seed * 16 + rank as u64);
            let mut exponential = move |mean: f64| -mean * (1.0 - rng.random::<f64>()).ln();
            let warm_up = self.warm_up.as_secs_f64();
            let mut at = exponential(1.0 / load.warm_up_per_second);
            while at < self.end.as_secs_f64() {
                let arrived = Duration::from_secs_f64(at);
                let exponential_part = exponential(load.exponential.as_secs_f64());
                calls.push(Call {
                    rank,
                    arrived,
                    service: load.constant + Duration::from_secs_f64(exponential_part),
                    deadline: arrived + load.deadline,
                });
                let per_second = match at < warm_up {
                    true => load.warm_up_per_second,
                    false => load.per_second,
                };
                at += exponential(1.0 / per_second);
            }
        }
        calls.sort_by_key(|call| call.arrived);
        calls
    }

    fn count(&self, tallies: &mut [Tally], call: &Call, answered: Option<Duration>) {
        if call.arrived < self.warm_up {
            return;
        }
        let tally = &mut tallies[call.rank];
        tally.offered += 1;
        let latency = answered.unwrap_or(call.deadline) - call.arrived;
        tally.latencies.push(latency);
        if answered.is_some() && latency <= self.ranks[call.rank].target_latency {
            tally.on_time += 1;
        }
    }
}

/// State of one run with the admission queue.
struct Server<'a> {
    scenario: &'a Scenario,
    queue: Queue,
    calls: Vec<Call>,
    calls_by_ticket: SecondaryMap<Ticket, AdmittedCall>,
    /// Ends of the started calls, the earliest first. An entry stays after its call was cancelled.
    ends: BinaryHeap<Reverse<(Duration, Ticket)>>,
    tallies: Vec<Tally>,
}

/// A call that is queued or running.
#[derive(Debug, Clone, Copy)]
struct AdmittedCall {
    call: Call,
    /// Time of the start, for a queued call that of its arrival.
    since: Duration,
}

impl Server<'_> {
    fn run(&mut self) {
        let mut now = Duration::ZERO;
        let mut arrivals: VecDeque<Call> = self.calls.drain(..).collect();
        loop {
            let arrival = arrivals.front().map(|call| call.arrived);
            let end = self.ends.peek().map(|Reverse((end, _))| *end);
            let next_poll = self
                .queue
                .next_poll(now)
                .map(|at| at.max(now + MIN_ADVANCE));
            let Some(next) = [arrival, end, next_poll].into_iter().flatten().min() else {
                return;
            };
            now = next;
            if end == Some(now) {
                self.end_call(now);
            } else if arrival == Some(now)
                && let Some(call) = arrivals.pop_front()
            {
                self.offer(now, call);
            }
            self.poll(now);
        }
    }

    fn offer(&mut self, now: Duration, call: Call) {
        let offer = Offer {
            rank: RankId::new(call.rank as u16),
            deadline: call.deadline,
            expected: None,
        };
        let since = now;
        match self.queue.offer(now, offer) {
            Admission::Run(ticket) => {
                self.calls_by_ticket
                    .insert(ticket, AdmittedCall { call, since });
                self.start(now, ticket);
            }
            Admission::Queued(ticket) => {
                self.calls_by_ticket
                    .insert(ticket, AdmittedCall { call, since });
            }
            Admission::Refused(_) => self.scenario.count(&mut self.tallies, &call, None),
        }
    }

    fn poll(&mut self, now: Duration) {
        for command in self.queue.poll(now) {
            match command {
                Command::Start(ticket) => self.start(now, ticket),
                Command::Refuse(ticket, _) => self.count_unanswered(ticket),
                Command::Cancel(ticket) => {
                    self.queue.finish(now, ticket, Finished::Cancelled);
                    self.count_unanswered(ticket);
                }
            }
        }
    }

    fn start(&mut self, now: Duration, ticket: Ticket) {
        let admitted = &mut self.calls_by_ticket[ticket];
        admitted.since = now;
        let contention =
            f64::from(self.queue.running()) / f64::from(self.scenario.full_speed_calls);
        let slowdown = match now < self.scenario.warm_up {
            true => 1.0,
            false => self.scenario.slowdown,
        };
        let service = admitted
            .call
            .service
            .mul_f64(contention.max(1.0) * slowdown);
        self.ends.push(Reverse((now + service, ticket)));
    }

    fn end_call(&mut self, now: Duration) {
        let Some(Reverse((_, ticket))) = self.ends.pop() else {
            return;
        };
        let Some(admitted) = self.calls_by_ticket.remove(ticket) else {
            return;
        };
        let latency = now - admitted.since;
        self.queue
            .finish(now, ticket, Finished::Answered { latency });
        self.scenario
            .count(&mut self.tallies, &admitted.call, Some(now));
    }

    fn count_unanswered(&mut self, ticket: Ticket) {
        if let Some(admitted) = self.calls_by_ticket.remove(ticket) {
            self.scenario.count(&mut self.tallies, &admitted.call, None);
        }
    }
}
