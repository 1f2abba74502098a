//! The discrete-event simulation that runs a scenario in virtual time.
//!
//! Index variables: `n` is a node, `a` an attempt, and `i` a submission of a call, a publication or a step.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::calls::Calls;
use crate::check::Check;
use crate::check::History;
use crate::check::Violation;
use crate::log::Log;
use crate::net::Network;
use crate::node::Identity;
use crate::node::Node;
use crate::operator::Publication;
use crate::peer::Message;
use crate::script::Action;
use crate::script::Expect;
use crate::script::Point;
use crate::script::Scenario;
use crate::script::Step;

/// Wall-clock time at the start of a run, in milliseconds since the Unix epoch.
pub const START_MS: u64 = 1_800_000_000_000;
/// Interval between two ticks of a node.
pub const TICK: Duration = Duration::from_millis(50);
/// Virtual time for which a run continues after its last step.
const RUN_TAIL: Duration = Duration::from_millis(100);

/// A defect injected into every node, with which a test proves that a check detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Defect {
    /// Replaces the state by an older one.
    AdoptOlderSnapshot,
    /// Serves as soon as any version is in force, without having caught up.
    ServeEarly,
    /// Brings a contract into force without its last route.
    PartialApply,
    /// Keeps routes active to services that have no backend server.
    RouteToMissing,
    /// Skips an accepted change.
    SkipVersion,
    /// Restarts under the incarnation of the previous process.
    ReuseIncarnation,
    /// Reports a call as not run although it was handed to the backend server and its outcome is unknown.
    RefuseAfterHandOver,
    /// Keeps accepting calls while it drains.
    RouteToDraining,
    /// Stops at the drain notice without waiting for the calls in flight.
    StopAtOnce,
    /// Reports a call as not run when its last attempt was refused, although an earlier attempt may have run.
    ForgetUnknown,
    /// Forwards an answer that carries the id of another call.
    AcceptCrossed,
}

/// Options of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// Defect of all nodes.
    pub defect: Option<Defect>,
}

/// Result of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Violated invariants, at most one violation for each check.
    pub violations: Vec<Violation>,
    /// Messages of the expectations that did not hold.
    pub failures: Vec<Box<str>>,
    /// Number of armed actions that were performed.
    pub triggered: usize,
    /// Number of times that backend servers ran a call.
    pub runs: usize,
    /// Hash of all events in order; equal for equal runs.
    pub trace: u64,
}

/// An event of the simulation.
#[derive(Debug, Clone)]
pub enum Event {
    /// Periodic work of a node: timers, reads of the log, its queue.
    Tick,
    /// A step of the scenario is due.
    Step(usize),
    /// A message arrives; the number is that of the sending node.
    Receive(usize, Message),
    /// A read of the changes is answered: time of the read on the node, records, and end offset of the stream.
    ReadChanges(Duration, Vec<hitch_spread::Record>, u64),
    /// A read of the changes found them trimmed: the newest snapshot, if any.
    ReadSnapshot(Option<Box<[u8]>>),
    /// A read of the ownership records is answered: offset that was read from, and records.
    ReadOwnership(u64, Vec<Box<[u8]>>),
    /// The timeout of an exchange expires.
    ExchangeTimeout(u64),
    /// An indirect probe ends: member, and whether it answered.
    Probed(hitch_roster::MemberKey, bool),
    /// An operator continues to publish a change.
    Operator(usize),
    /// A killed node starts again.
    Start,
    /// A submission arrives at the node that receives it.
    Route(usize),
    /// The next attempt of a submission is due.
    Attempt(usize),
    /// An attempt enters the node of its backend server, where it arrived at the given time.
    Admit(usize, Duration),
    /// An attempt is handed to the backend server.
    HandOver(usize),
    /// The backend server answers an attempt; the answer carries the id of a call.
    Answer(usize, u64),
    /// The sender of an attempt stops waiting.
    SenderDeadline(usize),
    /// The caller of a submission stops waiting.
    CallerDeadline(usize),
}

#[derive(Debug)]
struct ScheduledEvent {
    /// Node that the event is for.
    to: usize,
    /// Start number of the process that the event is for; 0 for whichever process runs then.
    start_number: u64,
    event: Event,
}

/// State of the whole simulation.
#[derive(Debug)]
pub struct Simulation {
    /// Virtual time since the start of the run.
    pub now: Duration,
    /// Random number generator, seeded by the scenario.
    pub rng: ChaCha8Rng,
    /// Defect of all nodes.
    pub defect: Option<Defect>,
    /// Simulated log service.
    pub log: Log,
    /// Simulated network.
    pub net: Network,
    /// The nodes, indexed by their number.
    pub nodes: Vec<Node>,
    /// Number of process starts of all nodes so far.
    pub starts: u64,
    /// Calls with their submissions, attempts and runs.
    pub calls: Calls,
    /// Changes that operators publish.
    pub publications: Vec<Publication>,
    /// History that the checks compare with.
    pub history: History,
    /// Result so far.
    pub report: Report,
    pub(crate) next_exchange_id: u64,
    zones: usize,
    events: BTreeMap<(Duration, u64), ScheduledEvent>,
    scheduled_count: u64,
    armed: Vec<(Duration, Point, Action)>,
    steps: Vec<Step>,
}

/// Runs a scenario to its end and reports what did not hold.
///
/// ```
/// let text = "nodes: { count: 2, zones: 1 }\nsteps:\n  - { at: 1s, do: publish }\n";
/// let scenario = hitch_scenario::Scenario::from_yaml(text)?;
/// let report = hitch_scenario::simulation::run(&scenario, Default::default());
/// assert_eq!(report.violations, []);
/// # Ok::<(), hitch_scenario::script::Error>(())
/// ```
pub fn run(scenario: &Scenario, options: Options) -> Report {
    let mut simulation = Simulation::new(scenario, options);
    let last = scenario.steps.iter().filter(|s| s.before.is_none());
    let end = last.map(due_at).max().unwrap_or_default() + RUN_TAIL;
    while let Some(entry) = simulation.events.first_entry() {
        let at = entry.key().0;
        if at > end {
            break;
        }
        let scheduled = entry.remove();
        simulation.now = simulation.now.max(at);
        simulation.handle(scheduled);
    }
    simulation.check_all();
    simulation.report.runs = simulation.calls.runs.len();
    simulation.report
}

/// Returns when a step is due; an expectation with a time limit is evaluated at the limit.
fn due_at(step: &Step) -> Duration {
    match step.expect {
        Some(Expect::Converged { within }) => step.at + within,
        _ => step.at,
    }
}

impl Simulation {
    fn new(scenario: &Scenario, options: Options) -> Simulation {
        let mut simulation = Simulation {
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            defect: options.defect,
            log: Log::default(),
            net: Network::default(),
            nodes: Vec::new(),
            starts: 0,
            calls: Calls::default(),
            publications: Vec::new(),
            history: History::default(),
            report: Report {
                violations: Vec::new(),
                failures: Vec::new(),
                triggered: 0,
                runs: 0,
                trace: scenario.seed,
            },
            next_exchange_id: 0,
            zones: scenario.nodes.zones.max(1),
            events: BTreeMap::new(),
            scheduled_count: 0,
            armed: Vec::new(),
            steps: scenario.steps.clone(),
        };
        for index in 0..scenario.nodes.count {
            let identity = simulation.next_identity(index);
            simulation
                .nodes
                .push(Node::start(identity, scenario.nodes.count));
            let jitter = simulation.rng.random_range(0..TICK.as_micros() as u64);
            simulation.schedule_for_process(Duration::from_micros(jitter), index, Event::Tick);
        }
        for (i, step) in scenario.steps.iter().enumerate() {
            match (step.before, &step.action) {
                (Some(point), Some(action)) => {
                    simulation.armed.push((step.at, point, action.clone()));
                }
                _ => simulation.schedule(due_at(step), 0, Event::Step(i)),
            }
        }
        simulation
    }

    fn next_identity(&mut self, index: usize) -> Identity {
        self.starts += 1;
        let wall = u128::from(START_MS) + self.now.as_millis();
        let incarnation = ((wall << 64) + u128::from(self.starts)).to_be_bytes();
        Identity {
            index,
            zone: index / 2 % self.zones,
            start_number: self.starts,
            incarnation,
            started: self.now,
        }
    }

    /// Starts a new process of a node, with empty memory.
    pub(crate) fn start(&mut self, index: usize) {
        let mut identity = self.next_identity(index);
        if self.defect == Some(Defect::ReuseIncarnation) {
            identity.incarnation = self.nodes[index].identity.incarnation;
        }
        let clock_offset_ms = self.nodes[index].clock_offset_ms;
        self.nodes[index] = Node::start(identity, self.nodes.len());
        self.nodes[index].clock_offset_ms = clock_offset_ms;
        self.schedule_for_process(Duration::ZERO, index, Event::Tick);
    }

    /// Schedules an event for the current process of a node; it is dropped if that process ends before.
    pub(crate) fn schedule_for_process(&mut self, after: Duration, to: usize, event: Event) {
        let start_number = self.nodes[to].identity.start_number;
        self.insert(
            self.now + after,
            ScheduledEvent {
                to,
                start_number,
                event,
            },
        );
    }

    /// Schedules an event for whichever process of the node runs at that time.
    pub(crate) fn schedule(&mut self, after: Duration, to: usize, event: Event) {
        let at = self.now + after;
        self.insert(
            at,
            ScheduledEvent {
                to,
                start_number: 0,
                event,
            },
        );
    }

    fn insert(&mut self, at: Duration, scheduled: ScheduledEvent) {
        self.scheduled_count += 1;
        self.events.insert((at, self.scheduled_count), scheduled);
    }

    /// Sends a message, unless the network drops it.
    pub(crate) fn send(&mut self, from: usize, to: usize, message: Message) {
        if let Some(delay) = self.net.delay(&mut self.rng, from, to) {
            self.schedule(delay, to, Event::Receive(from, message));
        }
    }

    /// Returns the time since the process of a node started, which is the node's monotonic clock.
    pub(crate) fn uptime(&self, node: usize) -> Duration {
        self.now - self.nodes[node].identity.started
    }

    /// Returns the wall clock of a node, in milliseconds since the Unix epoch.
    pub(crate) fn wall_ms(&self, node: usize) -> u64 {
        let now = START_MS + self.now.as_millis() as u64;
        now.saturating_add_signed(self.nodes[node].clock_offset_ms)
    }

    /// Performs the actions armed for a fault point, and returns whether the node continues.
    ///
    /// If the node was frozen meanwhile, `resume` is scheduled for it, which takes effect when the node resumes.
    pub(crate) fn trigger_faults(
        &mut self,
        point: Point,
        node: usize,
        resume: Option<Event>,
    ) -> bool {
        let mut i = 0;
        let start_number = self.nodes[node].identity.start_number;
        while i < self.armed.len() {
            if self.armed[i].0 > self.now || self.armed[i].1 != point {
                i += 1;
                continue;
            }
            let (_, _, action) = self.armed.remove(i);
            self.report.triggered += 1;
            self.perform(&action, node);
        }
        let own = &self.nodes[node];
        if !own.up || own.identity.start_number != start_number {
            return false;
        }
        if own.frozen_until <= self.now {
            return true;
        }
        if let Some(resume) = resume {
            self.schedule_for_process(Duration::ZERO, node, resume);
        }
        false
    }

    fn handle(&mut self, scheduled: ScheduledEvent) {
        match scheduled.event {
            Event::Step(i) => return self.step(i),
            Event::Operator(i) => return self.publish_step(i),
            Event::CallerDeadline(i) => return self.caller_deadline(i),
            Event::Start => return self.start(scheduled.to),
            _ => {}
        }
        let node = &self.nodes[scheduled.to];
        if scheduled.start_number != 0 && scheduled.start_number != node.identity.start_number {
            return;
        }
        if node.frozen_until > self.now && node.up {
            let until = node.frozen_until;
            return self.insert(until, scheduled);
        }
        self.update_trace(&scheduled);
        let to = scheduled.to;
        if !self.nodes[to].up {
            return self.fail_undeliverable(scheduled.event);
        }
        match scheduled.event {
            Event::Tick => self.tick(to),
            Event::Receive(from, message) => self.receive(to, from, message),
            Event::ReadChanges(sent_at, records, end) => {
                self.finish_config_read(to, sent_at, records, end)
            }
            Event::ReadSnapshot(bytes) => self.finish_snapshot_read(to, bytes),
            Event::ReadOwnership(from, records) => self.finish_ownership_read(to, from, records),
            Event::ExchangeTimeout(id) => self.exchange_timeout(to, id),
            Event::Probed(key, answered) => self.probe_finished(to, key, answered),
            Event::Route(i) => self.route(i),
            Event::Attempt(i) => self.start_attempt(i),
            Event::Admit(i, arrived_at) => self.admit(i, arrived_at),
            Event::HandOver(i) => self.hand_over(i),
            Event::Answer(i, id) => self.answered(i, id),
            Event::SenderDeadline(i) => self.sender_deadline(i),
            Event::Step(_) | Event::Operator(_) | Event::Start | Event::CallerDeadline(_) => {}
        }
        self.check_node(to);
    }

    fn update_trace(&mut self, scheduled: &ScheduledEvent) {
        let kind = match &scheduled.event {
            Event::Tick => 1,
            Event::Receive(from, _) => 100 + *from as u64,
            Event::Admit(i, _) | Event::HandOver(i) | Event::Answer(i, _) => 1_000 + *i as u64,
            _ => 2,
        };
        let mut trace = self.report.trace;
        for part in [self.now.as_nanos() as u64, scheduled.to as u64, kind] {
            trace = (trace ^ part).wrapping_mul(0x0100_0000_01b3).rotate_left(7);
        }
        self.report.trace = trace;
    }

    fn step(&mut self, i: usize) {
        let step = self.steps[i].clone();
        if let Some(action) = &step.action {
            self.perform(action, 0);
        }
        if let Some(expect) = &step.expect {
            self.check_expectation(expect);
        }
        self.check_all();
    }

    /// Records a violated invariant; only the first violation of each check is kept.
    pub(crate) fn record_violation(&mut self, check: Check, text: String) {
        if self.report.violations.iter().any(|v| v.check == check) {
            return;
        }
        self.report.violations.push(Violation {
            at: self.now,
            check,
            text: text.into(),
        });
    }
}
