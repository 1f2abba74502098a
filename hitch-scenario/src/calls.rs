//! Calls: submission by the caller, attempts of the receiving node, and the outcome.

use std::time::Duration;

use hitch_admission::Ticket;
use hitch_once::Key;
use hitch_retry::Decision;
use hitch_retry::NotRun;
use hitch_retry::Outcome;
use hitch_retry::RetryContext;
use hitch_retry::Unknown;
use hitch_retry::decide;
use hitch_route::BackendKey;
use hitch_route::pool::Finished;
use hitch_route::table;
use rand::RngExt;

use crate::contract::CUSTOMER;
use crate::contract::DEADLINE_MS;
use crate::node::instance_index;
use crate::peer::Message;
use crate::script::Point;
use crate::simulation::Defect;
use crate::simulation::Event;
use crate::simulation::START_MS;
use crate::simulation::Simulation;

/// Time beyond the deadline for which the sender of an attempt waits for its reply.
const SENDER_GRACE: Duration = Duration::from_millis(20);
/// Time beyond the deadline for which a caller waits for the answer.
const CALLER_GRACE: Duration = Duration::from_millis(100);
/// Longest time that a call waits for a node to catch up with the configuration.
const MAX_CATCH_UP_WAIT: Duration = Duration::from_millis(500);
/// Interval at which a waiting call is checked again.
pub(crate) const RECHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Service time of the backend servers.
pub(crate) const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Attempts that find no reachable backend server before the call is given up.
const MAX_UNREACHABLE: usize = 8;

/// A call that a caller wants to have run.
#[derive(Debug)]
pub struct Call {
    /// Id of the call in the scenario.
    pub id: Box<str>,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Idempotency key.
    pub key: Key,
    /// Whether the call crashes every backend server that runs it.
    pub crashes: bool,
}

/// One submission of a call by its caller; each resend is another one.
#[derive(Debug)]
pub struct Submission {
    /// Index of the call.
    pub call: usize,
    /// Node that received the submission.
    pub via: usize,
    /// Outcome that the caller received; none while the submission is open.
    pub outcome: Option<Outcome>,
    /// Index of the call that the answer belongs to.
    pub answer: u64,
    arrived: Duration,
    tried: Vec<BackendKey>,
    unreachable: usize,
    attempts: u32,
    owner: Option<Box<str>>,
    unknown: Option<Outcome>,
}

/// One attempt of a submission at a backend server.
#[derive(Debug)]
pub struct Attempt {
    /// Index of the submission.
    pub submission: usize,
    /// Node whose local backend server is to run the attempt.
    pub to: usize,
    /// Whether that node refused the attempt as not run.
    pub refused: bool,
    pub(crate) backend: BackendKey,
    pub(crate) started_at: Duration,
    pub(crate) arrived: bool,
    pub(crate) handed_over: bool,
    pub(crate) ticket: Option<Ticket>,
    ended: bool,
}

/// One run of a call by a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Index of the attempt.
    pub attempt: usize,
    /// Index of the call.
    pub call: usize,
    /// Node on the backend server's instance.
    pub node: usize,
    /// Start time, since the start of the scenario.
    pub at: Duration,
}

/// All calls of a simulation.
#[derive(Debug, Default)]
pub struct Calls {
    /// Calls, without their resends.
    pub calls: Vec<Call>,
    /// Submissions of the callers.
    pub submissions: Vec<Submission>,
    /// Attempts of the nodes.
    pub attempts: Vec<Attempt>,
    /// Runs by the backend servers.
    pub runs: Vec<Run>,
    /// The next call crashes its backend server.
    pub crash_next: bool,
    /// The next call is answered after its deadline.
    pub late_next: bool,
    /// The next call is answered with the answer to another call.
    pub cross_next: bool,
}

impl Calls {
    /// Returns whether a submission that a node received has no outcome yet.
    ///
    /// ```
    /// assert!(!hitch_scenario::calls::Calls::default().has_open(0));
    /// ```
    pub fn has_open(&self, node: usize) -> bool {
        let mut submissions = self.submissions.iter();
        submissions.any(|s| s.via == node && s.outcome.is_none())
    }

    pub(crate) fn deadline(&self, submission: usize) -> Duration {
        self.submissions[submission].arrived + Duration::from_millis(DEADLINE_MS)
    }

    pub(crate) fn call_of(&self, attempt: usize) -> usize {
        self.submissions[self.attempts[attempt].submission].call
    }
}

pub(crate) fn method_and_path(idempotent: bool) -> (&'static str, &'static str) {
    match idempotent {
        true => ("GET", "/entries"),
        false => ("POST", "/fees"),
    }
}

impl Simulation {
    pub(crate) fn new_call(&mut self, id: &str, idempotent: bool, crashes: bool) -> usize {
        let wall = START_MS + self.now.as_millis() as u64;
        self.calls.calls.push(Call {
            id: id.into(),
            idempotent,
            key: Key::generate(wall, self.rng.random()),
            crashes,
        });
        self.calls.calls.len() - 1
    }

    pub(crate) fn submit(&mut self, call: usize, via: usize) {
        self.calls.submissions.push(Submission {
            call,
            via,
            outcome: None,
            answer: 0,
            arrived: self.now,
            tried: Vec::new(),
            unreachable: 0,
            attempts: 0,
            owner: None,
            unknown: None,
        });
        let i = self.calls.submissions.len() - 1;
        self.schedule(Duration::ZERO, via, Event::Route(i));
        let wait = Duration::from_millis(DEADLINE_MS) + CALLER_GRACE;
        self.schedule(wait, via, Event::CallerDeadline(i));
    }

    pub(crate) fn caller_deadline(&mut self, i: usize) {
        self.finish_submission(i, Outcome::Unknown(Unknown::Deadline), 0);
    }

    fn finish_submission(&mut self, i: usize, outcome: Outcome, answer: u64) {
        let submission = &mut self.calls.submissions[i];
        if submission.outcome.is_some() {
            return;
        }
        let unknown = submission.unknown;
        let unknown = unknown.filter(|_| self.defect != Some(Defect::ForgetUnknown));
        submission.outcome = Some(match (outcome, unknown) {
            (Outcome::NotRun(_), Some(unknown)) => unknown,
            _ => outcome,
        });
        submission.answer = answer;
    }

    /// Fails a call or an attempt whose destination process is not running; drops any other event.
    pub(crate) fn fail_undeliverable(&mut self, event: Event) {
        let refused = Outcome::NotRun(NotRun::BackendRefused);
        match event {
            Event::Route(i) => self.finish_submission(i, refused, 0),
            Event::Receive(from, Message::Call(i)) => {
                let to = self.calls.attempts[i].to;
                self.send(to, from, Message::Reply(i, refused, 0, None));
            }
            _ => {}
        }
    }

    /// Returns whether the node has caught up with the configuration, or the call has waited long enough for it.
    /// Otherwise starts an exchange with a random peer and schedules `resume`.
    pub(crate) fn ensure_caught_up(
        &mut self,
        n: usize,
        arrived_at: Duration,
        resume: Event,
    ) -> bool {
        if !self.nodes[n].spread.needs_exchange(self.uptime(n))
            || self.now >= arrived_at + MAX_CATCH_UP_WAIT
        {
            return true;
        }
        for key in self.nodes[n].roster.random_peers(1, &mut self.rng) {
            if let Some(member) = self.nodes[n].roster.get(key) {
                self.exchange(n, instance_index(&member.contact.instance), Some(key));
            }
        }
        self.schedule_for_process(RECHECK_INTERVAL, n, resume);
        false
    }

    pub(crate) fn route(&mut self, i: usize) {
        let submission = &self.calls.submissions[i];
        let (n, arrived_at, call) = (submission.via, submission.arrived, submission.call);
        if submission.outcome.is_some()
            || !self.trigger_faults(Point::Route, n, Some(Event::Route(i)))
        {
            return;
        }
        if !self.ensure_caught_up(n, arrived_at, Event::Route(i)) {
            return;
        }
        if let Err(reason) = self.check_arrival(n, call) {
            return self.finish_submission(i, Outcome::NotRun(reason), 0);
        }
        self.nodes[n].retry_budget.earn();
        self.start_attempt(i);
    }

    fn check_arrival(&self, n: usize, call: usize) -> Result<(), NotRun> {
        if !self.nodes[n].ready {
            return Err(NotRun::NotReady);
        }
        let call = &self.calls.calls[call];
        let (method, path) = method_and_path(call.idempotent);
        let target = self.nodes[n].table.try_find(CUSTOMER, method, path);
        target.map_err(|err| match err {
            table::Error::UnknownCustomer => NotRun::UnknownCustomer,
            table::Error::NoRoute | table::Error::WrongMethod => NotRun::NoRoute,
            table::Error::Inactive => NotRun::NoBackendServer,
        })?;
        let timestamp = call.key.check_timestamp(self.wall_ms(n));
        timestamp.map_err(|_| NotRun::InvalidKey)
    }

    pub(crate) fn start_attempt(&mut self, i: usize) {
        let submission = &self.calls.submissions[i];
        let n = submission.via;
        if submission.outcome.is_some() {
            return;
        }
        if self.now + Duration::from_millis(1) >= self.calls.deadline(i) {
            return self.finish_submission(i, Outcome::NotRun(NotRun::Deadline), 0);
        }
        let service = match self.calls.calls[submission.call].idempotent {
            true => crate::contract::REPEATABLE,
            false => crate::contract::ONCE,
        };
        let now = self.uptime(n);
        let node = &self.nodes[n];
        let pool = node.pools.get(service);
        let pick = pool.and_then(|pool| {
            let owner = submission.owner.as_ref().and_then(|o| pool.try_find(o));
            let untried = || pool.pick(now, &mut self.rng, &submission.tried);
            let pick = owner.or_else(untried);
            pick.or_else(|| pool.pick(now, &mut self.rng, &[]))
        });
        let Some(pick) = pick else {
            return self.finish_submission(i, Outcome::NotRun(NotRun::NoBackendServer), 0);
        };
        let mut to = instance_index(&pick.instance);
        if self.defect == Some(Defect::RouteToDraining) {
            let mut draining = self
                .nodes
                .iter()
                .filter(|n| n.up && n.draining_since.is_some());
            to = draining.next().map_or(to, |n| n.identity.index);
        }
        if let Some(pool) = self.nodes[n].pools.get_mut(service) {
            pool.started(pick.key);
        }
        let submission = &mut self.calls.submissions[i];
        submission.tried.push(pick.key);
        submission.attempts += 1;
        self.calls.attempts.push(Attempt {
            submission: i,
            to,
            refused: false,
            backend: pick.key,
            started_at: self.now,
            arrived: false,
            handed_over: false,
            ticket: None,
            ended: false,
        });
        let attempt = self.calls.attempts.len() - 1;
        let wait = self.calls.deadline(i) + SENDER_GRACE - self.now;
        self.schedule_for_process(wait, n, Event::SenderDeadline(attempt));
        self.send(n, to, Message::Call(attempt));
    }

    pub(crate) fn sender_deadline(&mut self, attempt: usize) {
        self.handle_reply(attempt, Outcome::Unknown(Unknown::Deadline), 0, None);
    }

    pub(crate) fn handle_reply(
        &mut self,
        a: usize,
        outcome: Outcome,
        answer: u64,
        owner: Option<Box<str>>,
    ) {
        let attempt = &mut self.calls.attempts[a];
        if std::mem::replace(&mut attempt.ended, true) {
            return;
        }
        let (i, backend, started_at) = (attempt.submission, attempt.backend, attempt.started_at);
        let submission = &mut self.calls.submissions[i];
        if submission.outcome.is_some() {
            return;
        }
        let n = submission.via;
        let idempotent = self.calls.calls[submission.call].idempotent;
        let now = self.now - self.nodes[n].identity.started;
        let service = self.nodes[attempt.to].service();
        let finished = match outcome {
            Outcome::Answered => Finished::Answered {
                latency: self.now - started_at,
            },
            Outcome::NotRun(NotRun::BackendRefused) => Finished::Failed,
            Outcome::NotRun(_) => Finished::Refused,
            Outcome::Unknown(Unknown::Deadline) => Finished::Abandoned,
            Outcome::Unknown(_) => Finished::Failed,
        };
        let mut outcome = outcome;
        if let Some(pool) = self.nodes[n].pools.get_mut(service) {
            pool.finished(now, backend, finished, None);
            if outcome == Outcome::NotRun(NotRun::NotOwner) {
                let known = owner.as_ref().and_then(|o| pool.try_find(o)).is_some();
                submission.owner = owner;
                if !known {
                    outcome = Outcome::NotRun(NotRun::NoOwner);
                }
            }
        }
        if let Outcome::Unknown(_) = outcome {
            submission.unknown = Some(outcome);
        }
        if outcome == Outcome::NotRun(NotRun::BackendRefused) {
            submission.unreachable += 1;
            if submission.unreachable < MAX_UNREACHABLE {
                return self.schedule_for_process(RECHECK_INTERVAL, n, Event::Attempt(i));
            }
        }
        let context = RetryContext {
            attempt: submission.attempts,
            outcome: Some(outcome),
            idempotent,
            elapsed: self.now - started_at,
            remaining_time: self.calls.deadline(i).saturating_sub(self.now),
            budget_milli: self.nodes[n].retry_budget.milli(),
            expected_latency: SERVICE_TIME,
        };
        let decision = decide::next(&Default::default(), &context, &mut self.rng);
        if let Decision::Retry { after, cost_milli } = decision
            && (cost_milli == 0 || self.nodes[n].retry_budget.try_spend())
        {
            return self.schedule_for_process(after, n, Event::Attempt(i));
        }
        self.finish_submission(i, outcome, answer);
    }

    /// Fails all calls in flight at a node whose process ends.
    ///
    /// Returns the number of calls that are aborted.
    pub(crate) fn abort_calls(&mut self, n: usize) -> usize {
        let lost = Outcome::Unknown(Unknown::ConnectionLost);
        let mut aborted = 0;
        for i in 0..self.calls.submissions.len() {
            let submission = &self.calls.submissions[i];
            if submission.via == n && submission.outcome.is_none() {
                aborted += 1;
                self.finish_submission(i, lost, 0);
            }
        }
        for a in 0..self.calls.attempts.len() {
            let attempt = &self.calls.attempts[a];
            let from = self.calls.submissions[attempt.submission].via;
            if attempt.to != n || attempt.ended || !attempt.arrived || from == n {
                continue;
            }
            aborted += usize::from(attempt.ticket.is_some());
            self.send(n, from, Message::Reply(a, lost, 0, None));
        }
        aborted
    }
}
