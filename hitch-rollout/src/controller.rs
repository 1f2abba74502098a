//! The controller of one order: steps, judgement and end.

use std::fmt;
use std::time::Duration;

use crate::evidence::Report;
use crate::evidence::Tally;
use crate::judge;
use crate::judge::Finding;
use crate::order::Instruction;
use crate::order::Phase;
use crate::order::State;
use crate::plan;
use crate::traffic::Traffic;

/// Time between instructions; one of six must arrive within their time to live.
const INTERVAL: Duration = Duration::from_millis(250);
/// The same in the last step.
const LAST_INTERVAL: Duration = Duration::from_millis(100);
/// Most backend servers that an instruction lists. Each node passes every instruction on to about six others, and 24
/// addresses have 500 bytes. Beyond that, the share is spread over all new backend servers.
const MAX_CANARIES: usize = 24;
/// Least time of a step, so that reports of it arrive before the next one.
const MIN_STEP: Duration = Duration::from_millis(400);
/// Age from which the report of a backend server does not count any more. Reports come every 250 ms.
const REPORT_TTL: Duration = Duration::from_millis(1_000);
/// Answers of the warm new version, relative to all answers, that are needed for the steps after the canaries.
const MIN_ANSWER_SHARE: f64 = 0.02;
/// Bounds of that number. With 100 answers, a version that fails one in ten is found out.
const MIN_ANSWERS: (f64, f64) = (10.0, 100.0);
/// Longest time from the last step to the end, even if calls are in flight to old backend servers.
const MAX_DRAIN: Duration = Duration::from_millis(1_500);
/// Time in which the instruction of the last step reaches all nodes, and the calls that they had sent by then arrive.
const SETTLE: Duration = Duration::from_millis(300);

/// What the controller decided, for operators.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The share was changed.
    Step {
        /// The new share.
        share: f64,
        /// Backend servers that get it; 0 for all.
        canaries: usize,
        /// Answers of the new version so far.
        answers: u32,
        /// Time since the order.
        age: Duration,
    },
    /// The order ends.
    End {
        /// Its final state.
        state: State,
        /// Why it ends.
        reason: Reason,
        /// Answers of the new version so far.
        answers: u32,
        /// Time since the order.
        age: Duration,
    },
}

/// Why an order ends.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// No call is in flight to an old backend server.
    Drained,
    /// Calls were in flight to old backend servers for as long as the controller waits for them.
    DrainTimeout {
        /// Calls in flight by the latest reports.
        in_flight: u32,
    },
    /// The new version is bad.
    Bad(Finding),
    /// The time is over, and there is not enough evidence that the new version is good.
    NoEvidence {
        /// Backend servers of the new version that accept calls.
        servers: usize,
    },
    /// The status could not be written before the time was over.
    NotWritten,
    /// The operator withdrew the order.
    Withdrawn,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Drained => write!(f, "no call is in flight to the old version"),
            Reason::DrainTimeout { in_flight } => {
                write!(
                    f,
                    "{in_flight} calls are still in flight to the old version"
                )
            }
            Reason::Bad(finding) => write!(f, "{finding}"),
            Reason::NoEvidence { servers } => write!(
                f,
                "the time is over without enough evidence, {servers} new backend servers accept calls"
            ),
            Reason::NotWritten => write!(f, "the status could not be written in time"),
            Reason::Withdrawn => write!(f, "the order was withdrawn"),
        }
    }
}

/// The controller of one order, from the claim of its term on.
#[derive(Debug, Clone)]
pub struct Controller {
    target_version: Box<str>,
    duration: Duration,
    exposure: f64,
    ordered_at: Duration,
    term: u64,
    sequence: u64,
    step: usize,
    step_since: Duration,
    canaries: Vec<Box<str>>,
    tally: Tally,
    ending: Option<State>,
    may_be_written: bool,
    confirmed: Option<State>,
}

impl Controller {
    /// Creates the controller of an order of which this node wrote the status record of the term. It continues with the
    /// share that an earlier controller has reached, unless that is the whole. `exposure` is the largest share of the
    /// requests that an unproved version may get over the duration of the order.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::*;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// let controller = Controller::new(Duration::ZERO, &traffic, 1, 0.1);
    /// assert_eq!(controller.term(), 1);
    /// ```
    pub fn new(now: Duration, traffic: &Traffic, term: u64, exposure: f64) -> Controller {
        let known = traffic.instruction(now);
        let reached = |step: &usize| plan::share(*step, exposure) <= known.share;
        let step = (0..plan::LAST_STEP).rev().find(reached).unwrap_or(0);
        Controller {
            target_version: known.target_version.clone(),
            duration: known.duration,
            exposure,
            ordered_at: now.saturating_sub(known.age),
            term,
            sequence: 0,
            step,
            step_since: now,
            canaries: known.canaries,
            tally: Tally::new(&known.target_version),
            ending: None,
            may_be_written: false,
            confirmed: None,
        }
    }

    /// Makes the order count as over: a controller had begun it, and no node knows when.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::*;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), false, 0.5);
    /// let mut controller = Controller::new(Duration::ZERO, &traffic, 1, 0.1);
    /// controller.expire(Duration::from_secs(20));
    /// assert!(controller.tick(Duration::from_secs(20)).is_some());
    /// ```
    pub fn expire(&mut self, now: Duration) {
        self.ordered_at = now.saturating_sub(self.duration);
    }

    /// Adds the report of a node.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_rollout::*;
    /// # fn run(controller: &mut Controller, report: evidence::Report) {
    /// controller.add(Duration::ZERO, report);
    /// # }
    /// ```
    pub fn add(&mut self, now: Duration, report: Report) {
        self.tally.add(now, report);
    }

    /// Judges the evidence and takes the next step if it is due.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::*;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// let mut controller = Controller::new(Duration::ZERO, &traffic, 1, 0.1);
    /// assert_eq!(controller.tick(Duration::from_millis(100)), None);
    /// ```
    pub fn tick(&mut self, now: Duration) -> Option<Decision> {
        if self.confirmed.is_some() || self.ending == Some(State::RolledBack) {
            return None;
        }
        // A status that may have been written stops the old backend servers: there is no way back.
        if self.ending == Some(State::Completed) && self.may_be_written {
            return None;
        }
        if let Some(finding) = judge::judge(&self.tally) {
            return Some(self.end(now, State::RolledBack, Reason::Bad(finding)));
        }
        let age = now.saturating_sub(self.ordered_at);
        if self.ending == Some(State::Completed) {
            let is_over = age >= self.duration;
            return is_over.then(|| self.end(now, State::RolledBack, Reason::NotWritten));
        }
        if self.step == plan::LAST_STEP {
            return self.try_complete(now);
        }
        if age >= plan::give_up_at(self.duration) {
            let servers = self.accepting(now, true).len();
            return Some(self.end(now, State::RolledBack, Reason::NoEvidence { servers }));
        }
        let decision = self.may_advance(now, age).then(|| {
            self.step += 1;
            self.step_since = now;
        });
        self.update_canaries(now);
        let (_, new) = self.tally.totals();
        decision.map(|()| Decision::Step {
            share: self.share(),
            canaries: self.canaries.len(),
            answers: new.answers + new.cold_answers,
            age,
        })
    }

    /// Ends the order because the operator withdrew it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::*;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// let mut controller = Controller::new(Duration::ZERO, &traffic, 1, 0.1);
    /// controller.withdraw(Duration::ZERO);
    /// assert_eq!(controller.ending(), Some(State::RolledBack));
    /// ```
    pub fn withdraw(&mut self, now: Duration) -> Option<Decision> {
        if self.confirmed.is_some() || self.ending.is_some() {
            return None;
        }
        Some(self.end(now, State::RolledBack, Reason::Withdrawn))
    }

    fn end(&mut self, now: Duration, state: State, reason: Reason) -> Decision {
        self.ending = Some(state);
        let (_, new) = self.tally.totals();
        Decision::End {
            state,
            reason,
            answers: new.answers + new.cold_answers,
            age: now.saturating_sub(self.ordered_at),
        }
    }

    /// Returns whether the next step is due and the evidence suffices for it.
    fn may_advance(&self, now: Duration, age: Duration) -> bool {
        let next = self.step + 1;
        if age < plan::earliest(next, self.duration) || now < self.step_since + MIN_STEP {
            return false;
        }
        let new_servers = self.warm(now);
        if new_servers == 0 {
            return false;
        }
        // The second step gives the canaries their normal load; only then there is much evidence.
        if next == 1 {
            return true;
        }
        let (old, new) = self.tally.totals();
        let answers = f64::from(old.answers + old.cold_answers + new.answers + new.cold_answers);
        let needed = (answers * MIN_ANSWER_SHARE).clamp(MIN_ANSWERS.0, MIN_ANSWERS.1);
        if f64::from(new.answers) < needed {
            return false;
        }
        // The new backend servers must be able to take over. Those that had no requests may not have warmed up.
        let usable = match age < plan::accept_cold_at(self.duration) {
            true => new_servers,
            false => self.accepting(now, true).len(),
        };
        next < plan::LAST_STEP || usable * 2 >= self.accepting(now, false).len()
    }

    fn try_complete(&mut self, now: Duration) -> Option<Decision> {
        let mut in_flight = 0;
        let mut is_drained = true;
        for (_, server) in self.tally.servers().filter(|(_, server)| !server.is_new) {
            // A node that is silent for longer has ended or is cut off.
            let is_silent = server.reported_at + MAX_DRAIN < now;
            let has_settled = server.reported_at >= self.step_since + SETTLE;
            is_drained &= is_silent || has_settled && server.in_flight == 0;
            in_flight += server.in_flight;
        }
        let is_settled = now >= self.step_since + SETTLE;
        if is_drained && is_settled {
            return Some(self.end(now, State::Completed, Reason::Drained));
        }
        let is_over = now >= self.step_since + MAX_DRAIN;
        is_over.then(|| self.end(now, State::Completed, Reason::DrainTimeout { in_flight }))
    }

    /// Returns the addresses of the backend servers of one version that accept calls.
    fn accepting(&self, now: Duration, is_new: bool) -> Vec<Box<str>> {
        let servers = self.tally.servers();
        let accepting = servers.filter(|(_, server)| {
            server.is_new == is_new && server.accepts && now < server.reported_at + REPORT_TTL
        });
        accepting.map(|(address, _)| address.into()).collect()
    }

    /// Returns the number of new backend servers that accept calls and have warmed up.
    fn warm(&self, now: Duration) -> usize {
        let servers = self.tally.servers();
        let warm = servers.filter(|(_, server)| {
            let is_usable = server.accepts && now < server.reported_at + REPORT_TTL;
            server.is_new && is_usable && !server.is_cold
        });
        warm.count()
    }

    /// Chooses the backend servers that get the share. Those that were chosen and still accept calls remain.
    fn update_canaries(&mut self, now: Duration) {
        let mut candidates: Vec<Box<str>> = self.accepting(now, true);
        let old = self.accepting(now, false).len();
        let count = plan::canaries(self.share(), old);
        let is_listed = count < candidates.len() && count <= MAX_CANARIES;
        if self.step == plan::LAST_STEP || !is_listed {
            self.canaries.clear();
            return;
        }
        // An order unrelated to the addresses, which may be in the order of the zones.
        let cold = |address: &str| {
            let mut servers = self.tally.servers();
            servers.any(|(known, server)| known == address && server.is_cold)
        };
        candidates.sort_by_cached_key(|address| (cold(address), hash(address)));
        self.canaries.retain(|address| candidates.contains(address));
        for candidate in candidates {
            if self.canaries.len() < count && !self.canaries.contains(&candidate) {
                self.canaries.push(candidate);
            }
        }
        self.canaries.truncate(count);
    }

    /// Returns the share of the present step, or 0 if the order is being rolled back.
    fn share(&self) -> f64 {
        match self.confirmed.or(self.ending) {
            Some(State::RolledBack) => 0.0,
            _ => plan::share(self.step, self.exposure),
        }
    }

    /// Returns the next instruction for all nodes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::*;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// let mut controller = Controller::new(Duration::ZERO, &traffic, 1, 0.1);
    /// assert_eq!(controller.instruction(Duration::ZERO).sequence, 1);
    /// ```
    pub fn instruction(&mut self, now: Duration) -> Instruction {
        self.sequence += 1;
        let age = now.saturating_sub(self.ordered_at);
        Instruction {
            target_version: self.target_version.clone(),
            phase: self.confirmed.map_or(Phase::Running, Phase::from),
            term: self.term,
            sequence: self.sequence,
            share: self.share(),
            canaries: self.canaries.clone(),
            duration: self.duration,
            age,
            issued: age,
        }
    }

    /// Returns the time until the next instruction. While the last requests move away from the old version, a node that
    /// missed one instruction must get the next one soon.
    ///
    /// ```
    /// # fn run(controller: &hitch_rollout::Controller) {
    /// let next = controller.interval();
    /// # }
    /// ```
    pub fn interval(&self) -> Duration {
        match self.step == plan::LAST_STEP {
            true => LAST_INTERVAL,
            false => INTERVAL,
        }
    }

    /// Returns the state in which the order ends and that is to be written, or `None` while it runs.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::*;
    /// let traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
    /// assert_eq!(Controller::new(Duration::ZERO, &traffic, 1, 0.1).ending(), None);
    /// ```
    pub fn ending(&self) -> Option<State> {
        self.ending.filter(|_| self.confirmed.is_none())
    }

    /// Records that a status record with the final state was sent, and that there was no answer.
    ///
    /// ```
    /// # fn run(controller: &mut hitch_rollout::Controller) {
    /// controller.set_may_be_written();
    /// # }
    /// ```
    pub fn set_may_be_written(&mut self) {
        self.may_be_written = true;
    }

    /// Records the final state that the status record has, with the term of that record.
    ///
    /// ```
    /// # fn run(controller: &mut hitch_rollout::Controller) {
    /// controller.confirm(hitch_rollout::State::Completed, 7);
    /// # }
    /// ```
    pub fn confirm(&mut self, state: State, term: u64) {
        self.confirmed = Some(state);
        self.ending = Some(state);
        self.canaries.clear();
        if state == State::Completed {
            self.step = plan::LAST_STEP;
        }
        if term > self.term {
            self.term = term;
        }
    }

    /// Returns the final state that was written, if it was.
    ///
    /// ```
    /// # fn run(controller: &hitch_rollout::Controller) {
    /// assert_eq!(controller.confirmed(), None);
    /// # }
    /// ```
    pub fn confirmed(&self) -> Option<State> {
        self.confirmed
    }

    /// Returns the version that was ordered.
    ///
    /// ```
    /// # fn run(controller: &hitch_rollout::Controller) {
    /// assert_eq!(controller.target_version(), "v2");
    /// # }
    /// ```
    pub fn target_version(&self) -> &str {
        &self.target_version
    }

    /// Returns the term.
    ///
    /// ```
    /// # fn run(controller: &hitch_rollout::Controller) {
    /// assert_eq!(controller.term(), 1);
    /// # }
    /// ```
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the evidence so far.
    ///
    /// ```
    /// # fn run(controller: &hitch_rollout::Controller) {
    /// let (old, new) = controller.tally().totals();
    /// # }
    /// ```
    pub fn tally(&self) -> &Tally {
        &self.tally
    }
}

/// Hashes an address (FNV-1a).
fn hash(address: &str) -> u64 {
    let bytes = address.bytes();
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
