//! Calls, from the caller to the backend server and back.

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
use crate::node::index;
use crate::peer::Message;
use crate::script::Point;
use crate::world::Broken;
use crate::world::START_MS;
use crate::world::What;
use crate::world::World;

/// Time that the sender of an attempt waits beyond the deadline.
const GRACE: Duration = Duration::from_millis(20);
/// Time that a caller waits beyond the deadline.
const CALLER_GRACE: Duration = Duration::from_millis(100);
/// Longest time that a call waits for a node that was out of touch.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Time between two looks at what a call waits for.
pub(crate) const RECHECK: Duration = Duration::from_millis(50);
/// Service time of the backend server.
pub(crate) const SERVICE: Duration = Duration::from_millis(20);
/// Backend servers that could not be connected to before a call gives up.
const MAX_UNREACHABLE: usize = 8;

/// What a caller wants done.
#[derive(Debug)]
pub struct Call {
    /// Name in the scenario.
    pub id: Box<str>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Its key.
    pub key: Key,
    /// Whether it crashes backend servers.
    pub crashes: bool,
}

/// One time that a caller sent a call.
#[derive(Debug)]
pub struct Submission {
    /// Which call.
    pub call: usize,
    /// Node that it entered at.
    pub via: usize,
    /// How it ended for the caller.
    pub outcome: Option<Outcome>,
    /// What the answer said, the number of a call.
    pub answer: u64,
    arrived: Duration,
    tried: Vec<BackendKey>,
    unreachable: usize,
    attempts: u32,
    owner: Option<Box<str>>,
    unknown: Option<Outcome>,
}

/// One hand-over between nodes.
#[derive(Debug)]
pub struct Attempt {
    /// Which submission.
    pub submission: usize,
    /// Node beside the backend server.
    pub to: usize,
    /// Whether that node said that this hand-over was not run.
    pub refused: bool,
    pub(crate) backend: BackendKey,
    pub(crate) began: Duration,
    pub(crate) arrived: bool,
    pub(crate) handed_over: bool,
    pub(crate) ticket: Option<Ticket>,
    ended: bool,
}

/// One run at a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Which attempt.
    pub attempt: usize,
    /// Which call.
    pub call: usize,
    /// Node beside the backend server.
    pub node: usize,
    /// When it began.
    pub at: Duration,
}

/// All calls of a run.
#[derive(Debug, Default)]
pub struct Calls {
    /// What callers wanted.
    pub calls: Vec<Call>,
    /// What they sent.
    pub submissions: Vec<Submission>,
    /// What nodes handed over.
    pub attempts: Vec<Attempt>,
    /// What backend servers ran.
    pub ledger: Vec<Run>,
    /// The next call crashes its backend server.
    pub crash_next: bool,
    /// The next call is answered after its deadline.
    pub late_next: bool,
    /// The next call is answered with another one's answer.
    pub cross_next: bool,
}

impl Calls {
    /// Returns whether a call that entered at a node is still open.
    ///
    /// ```
    /// assert!(!hitch_scenario::calls::Calls::default().has_open(0));
    /// ```
    pub fn has_open(&self, node: usize) -> bool {
        let mut all = self.submissions.iter();
        all.any(|s| s.via == node && s.outcome.is_none())
    }

    pub(crate) fn deadline(&self, submission: usize) -> Duration {
        self.submissions[submission].arrived + Duration::from_millis(DEADLINE_MS)
    }

    pub(crate) fn call_of(&self, attempt: usize) -> usize {
        self.submissions[self.attempts[attempt].submission].call
    }
}

pub(crate) fn path(idempotent: bool) -> (&'static str, &'static str) {
    match idempotent {
        true => ("GET", "/entries"),
        false => ("POST", "/fees"),
    }
}

impl World {
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
        self.push_any(Duration::ZERO, via, What::Route(i));
        let wait = Duration::from_millis(DEADLINE_MS) + CALLER_GRACE;
        self.push_any(wait, via, What::CallerDeadline(i));
    }

    pub(crate) fn caller_deadline(&mut self, i: usize) {
        self.finish(i, Outcome::Unknown(Unknown::Deadline), 0);
    }

    fn finish(&mut self, i: usize, outcome: Outcome, answer: u64) {
        let submission = &mut self.calls.submissions[i];
        if submission.outcome.is_some() {
            return;
        }
        let unknown = submission.unknown;
        let unknown = unknown.filter(|_| self.broken != Some(Broken::ForgetUnknown));
        submission.outcome = Some(match (outcome, unknown) {
            (Outcome::NotRun(_), Some(unknown)) => unknown,
            _ => outcome,
        });
        submission.answer = answer;
    }

    /// Ends what was meant for a process that does not run.
    pub(crate) fn lost(&mut self, what: What) {
        let refused = Outcome::NotRun(NotRun::BackendRefused);
        match what {
            What::Route(i) => self.finish(i, refused, 0),
            What::Receive(from, Message::Call(i)) => {
                let to = self.calls.attempts[i].to;
                self.send(to, from, Message::Reply(i, refused, 0, None));
            }
            _ => {}
        }
    }

    /// Waits for an exchange when a node was out of touch; returns whether the call goes on now.
    pub(crate) fn in_touch(&mut self, n: usize, since: Duration, again: What) -> bool {
        if !self.nodes[n].spread.needs_exchange(self.local(n)) || self.now >= since + CATCH_UP {
            return true;
        }
        for key in self.nodes[n].roster.random_peers(1, &mut self.rng) {
            if let Some(member) = self.nodes[n].roster.get(key) {
                self.exchange(n, index(&member.contact.instance), Some(key));
            }
        }
        self.push(RECHECK, n, again);
        false
    }

    pub(crate) fn route(&mut self, i: usize) {
        let submission = &self.calls.submissions[i];
        let (n, since, call) = (submission.via, submission.arrived, submission.call);
        if submission.outcome.is_some() || !self.reach(Point::Route, n, Some(What::Route(i))) {
            return;
        }
        if !self.in_touch(n, since, What::Route(i)) {
            return;
        }
        if let Err(reason) = self.check_arrival(n, call) {
            return self.finish(i, Outcome::NotRun(reason), 0);
        }
        self.nodes[n].bucket.earn();
        self.attempt(i);
    }

    fn check_arrival(&self, n: usize, call: usize) -> Result<(), NotRun> {
        if !self.nodes[n].ready {
            return Err(NotRun::NotReady);
        }
        let call = &self.calls.calls[call];
        let (method, path) = path(call.idempotent);
        let found = self.nodes[n].table.try_find(CUSTOMER, method, path);
        found.map_err(|err| match err {
            table::Error::UnknownCustomer => NotRun::UnknownCustomer,
            table::Error::NoRoute | table::Error::WrongMethod => NotRun::NoRoute,
            table::Error::Inactive => NotRun::NoBackendServer,
        })?;
        let dated = call.key.check_timestamp(self.wall_ms(n));
        dated.map_err(|_| NotRun::InvalidKey)
    }

    pub(crate) fn attempt(&mut self, i: usize) {
        let submission = &self.calls.submissions[i];
        let n = submission.via;
        if submission.outcome.is_some() {
            return;
        }
        if self.now + Duration::from_millis(1) >= self.calls.deadline(i) {
            return self.finish(i, Outcome::NotRun(NotRun::Deadline), 0);
        }
        let service = match self.calls.calls[submission.call].idempotent {
            true => crate::contract::REPEATABLE,
            false => crate::contract::ONCE,
        };
        let now = self.local(n);
        let node = &self.nodes[n];
        let pool = node.pools.get(service);
        let pick = pool.and_then(|pool| {
            let owner = submission.owner.as_ref().and_then(|o| pool.try_find(o));
            let untried = || pool.pick(now, &mut self.rng, &submission.tried);
            let pick = owner.or_else(untried);
            pick.or_else(|| pool.pick(now, &mut self.rng, &[]))
        });
        let Some(pick) = pick else {
            return self.finish(i, Outcome::NotRun(NotRun::NoBackendServer), 0);
        };
        let mut to = index(&pick.instance);
        if self.broken == Some(Broken::RouteToDraining) {
            let mut leaving = self.nodes.iter().filter(|n| n.up && n.drained_at.is_some());
            to = leaving.next().map_or(to, |n| n.place.index);
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
            began: self.now,
            arrived: false,
            handed_over: false,
            ticket: None,
            ended: false,
        });
        let attempt = self.calls.attempts.len() - 1;
        let wait = self.calls.deadline(i) + GRACE - self.now;
        self.push(wait, n, What::SenderDeadline(attempt));
        self.send(n, to, Message::Call(attempt));
    }

    pub(crate) fn sender_deadline(&mut self, attempt: usize) {
        self.replied(attempt, Outcome::Unknown(Unknown::Deadline), 0, None);
    }

    pub(crate) fn replied(
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
        let (i, backend, began) = (attempt.submission, attempt.backend, attempt.began);
        let submission = &mut self.calls.submissions[i];
        if submission.outcome.is_some() {
            return;
        }
        let n = submission.via;
        let idempotent = self.calls.calls[submission.call].idempotent;
        let now = self.now - self.nodes[n].place.started;
        let service = self.nodes[attempt.to].service();
        let finished = match outcome {
            Outcome::Answered => Finished::Answered {
                latency: self.now - began,
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
                return self.push(RECHECK, n, What::Attempt(i));
            }
        }
        let situation = RetryContext {
            attempt: submission.attempts,
            outcome: Some(outcome),
            idempotent,
            elapsed: self.now - began,
            remaining_time: self.calls.deadline(i).saturating_sub(self.now),
            budget_milli: self.nodes[n].bucket.milli(),
            expected_latency: SERVICE,
        };
        let decision = decide::next(&Default::default(), &situation, &mut self.rng);
        if let Decision::Retry { after, cost_milli } = decision
            && (cost_milli == 0 || self.nodes[n].bucket.try_spend())
        {
            return self.push(after, n, What::Attempt(i));
        }
        self.finish(i, outcome, answer);
    }

    /// Ends the process of a node, and with it the connections of its calls.
    ///
    /// Returns how many calls that cuts.
    pub(crate) fn end_calls(&mut self, n: usize) -> usize {
        let lost = Outcome::Unknown(Unknown::ConnectionLost);
        let mut cut = 0;
        for i in 0..self.calls.submissions.len() {
            let submission = &self.calls.submissions[i];
            if submission.via == n && submission.outcome.is_none() {
                cut += 1;
                self.finish(i, lost, 0);
            }
        }
        for a in 0..self.calls.attempts.len() {
            let attempt = &self.calls.attempts[a];
            let from = self.calls.submissions[attempt.submission].via;
            if attempt.to != n || attempt.ended || !attempt.arrived || from == n {
                continue;
            }
            cut += usize::from(attempt.ticket.is_some());
            self.send(n, from, Message::Reply(a, lost, 0, None));
        }
        cut
    }
}
