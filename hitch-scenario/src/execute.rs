//! Execution of attempts by the node on the backend server's instance: admission, hand-over, answer.

use std::time::Duration;

use hitch_admission::Admission;
use hitch_admission::Command;
use hitch_admission::Finished as AttemptResult;
use hitch_admission::Offer;
use hitch_admission::RankId;
use hitch_admission::Reason;
use hitch_once::Refusal;
use hitch_retry::Fingerprint;
use hitch_retry::NotRun;
use hitch_retry::Outcome;
use hitch_retry::Unknown;
use hitch_retry::suspicion::CrashedBackend;
use hitch_retry::suspicion::Evidence;
use hitch_retry::suspicion::MAX_CRASHES;
use hitch_retry::suspicion::Verdict;

use crate::calls::Call;
use crate::calls::RECHECK_INTERVAL;
use crate::calls::Run;
use crate::calls::SERVICE_TIME;
use crate::calls::method_and_path;
use crate::contract::CUSTOMER;
use crate::contract::DEADLINE_MS;
use crate::node::instance_name;
use crate::peer::Message;
use crate::script::Point;
use crate::simulation::Defect;
use crate::simulation::Event;
use crate::simulation::Simulation;

/// Downtime of a backend server after a crash.
const BACKEND_DOWNTIME: Duration = Duration::from_secs(1);

impl Simulation {
    /// Sends the outcome of an attempt to the node that made it.
    fn reply(&mut self, a: usize, outcome: Outcome, answer: u64, owner: Option<Box<str>>) {
        let attempt = &mut self.calls.attempts[a];
        attempt.refused |= matches!(outcome, Outcome::NotRun(_));
        let (from, to) = (self.calls.submissions[attempt.submission].via, attempt.to);
        self.send(to, from, Message::Reply(a, outcome, answer, owner));
    }

    fn refuse(&mut self, a: usize, reason: NotRun) {
        self.reply(a, Outcome::NotRun(reason), 0, None);
    }

    pub(crate) fn admit(&mut self, a: usize, arrived_at: Duration) {
        let attempt = &mut self.calls.attempts[a];
        attempt.arrived = true;
        let (n, i) = (attempt.to, attempt.submission);
        let resume = Event::Admit(a, arrived_at);
        if self.nodes[n].draining_since.is_some() && self.defect != Some(Defect::RouteToDraining) {
            return self.refuse(a, NotRun::Draining);
        }
        if !self.ensure_caught_up(n, arrived_at, resume.clone()) {
            return;
        }
        if !self.trigger_faults(Point::Admit, n, Some(resume)) {
            return;
        }
        let call = &self.calls.calls[self.calls.submissions[i].call];
        let now = self.uptime(n);
        let fingerprint = call_fingerprint(call);
        let deadline = self
            .calls
            .deadline(i)
            .saturating_sub(self.nodes[n].identity.started);
        let node = &mut self.nodes[n];
        let Some(queue) = &mut node.queue else {
            return self.refuse(a, NotRun::NotReady);
        };
        if node.suspicion.crashes(fingerprint, now) >= MAX_CRASHES {
            return self.refuse(a, NotRun::CrashSuspect);
        }
        if !call.idempotent {
            match node.keys.offer(&node.ownership, call.key, fingerprint.0) {
                hitch_once::Decision::Run => {}
                hitch_once::Decision::Join => {
                    return node.joined_attempts.entry(call.key).or_default().push(a);
                }
                hitch_once::Decision::Answer(answer) => {
                    return self.reply(a, Outcome::Answered, answer, None);
                }
                hitch_once::Decision::KeyReused => return self.refuse(a, NotRun::KeyReused),
                hitch_once::Decision::Refused(Refusal::Unknown) => {
                    return self.reply(a, Outcome::Unknown(Unknown::OwnerLost), 0, None);
                }
                hitch_once::Decision::Refused(Refusal::NotRun { owner: None }) => {
                    return self.refuse(a, NotRun::NoOwner);
                }
                hitch_once::Decision::Refused(Refusal::NotRun { owner }) => {
                    let owner = owner.map(|o| o.instance);
                    return self.reply(a, Outcome::NotRun(NotRun::NotOwner), 0, owner);
                }
            }
        }
        let offer = Offer {
            rank: RankId::new(0),
            deadline,
            expected: None,
        };
        match queue.offer(now, offer) {
            Admission::Run(ticket) => {
                node.attempts_by_ticket.insert(ticket, a);
                self.calls.attempts[a].ticket = Some(ticket);
                self.schedule_for_process(Duration::ZERO, n, Event::HandOver(a));
            }
            Admission::Queued(ticket) => {
                node.attempts_by_ticket.insert(ticket, a);
                self.calls.attempts[a].ticket = Some(ticket);
            }
            Admission::Refused(reason) => {
                self.complete(a, Outcome::NotRun(not_run_reason(reason)), 0);
            }
        }
        self.poll_queue(n);
    }

    pub(crate) fn poll_queue(&mut self, n: usize) {
        let now = self.uptime(n);
        let Some(queue) = &mut self.nodes[n].queue else {
            return;
        };
        for command in queue.poll(now) {
            let ticket = match command {
                Command::Start(t) | Command::Refuse(t, _) | Command::Cancel(t) => t,
            };
            let Some(a) = self.nodes[n].attempts_by_ticket.get(&ticket).copied() else {
                continue;
            };
            let handed_over = self.calls.attempts[a].handed_over;
            match command {
                Command::Start(_) => {
                    self.schedule_for_process(Duration::ZERO, n, Event::HandOver(a))
                }
                Command::Refuse(_, reason) => {
                    self.complete(a, Outcome::NotRun(not_run_reason(reason)), 0);
                }
                Command::Cancel(_) if handed_over => {
                    self.complete(a, Outcome::Unknown(Unknown::Deadline), 0);
                }
                Command::Cancel(_) => self.complete(a, Outcome::NotRun(NotRun::Deadline), 0),
            }
        }
    }

    fn holds_ticket(&self, a: usize) -> bool {
        let attempt = &self.calls.attempts[a];
        let ticket = attempt.ticket;
        ticket.is_some_and(|t| self.nodes[attempt.to].attempts_by_ticket.get(&t) == Some(&a))
    }

    pub(crate) fn hand_over(&mut self, a: usize) {
        let n = self.calls.attempts[a].to;
        if !self.holds_ticket(a)
            || !self.trigger_faults(Point::HandOver, n, Some(Event::HandOver(a)))
        {
            return;
        }
        let call = self.calls.call_of(a);
        let now = self.uptime(n);
        let fingerprint = call_fingerprint(&self.calls.calls[call]);
        if self.nodes[n].backend_down_until > self.now {
            return self.complete(a, Outcome::NotRun(NotRun::BackendRefused), 0);
        }
        match self.nodes[n].suspicion.begin(fingerprint, now) {
            Verdict::Run => {}
            Verdict::Refuse => {
                return self.complete(a, Outcome::NotRun(NotRun::CrashSuspect), 0);
            }
            _ => return self.schedule_for_process(RECHECK_INTERVAL, n, Event::HandOver(a)),
        }
        self.calls.attempts[a].handed_over = true;
        self.calls.runs.push(Run {
            attempt: a,
            call,
            node: n,
            at: self.now,
        });
        self.trigger_faults(Point::Run, n, None);
        if !self.nodes[n].up {
            return;
        }
        let crashes = self.calls.calls[call].crashes;
        if crashes || std::mem::take(&mut self.calls.crash_next) {
            return self.crash(n);
        }
        let mut wait = SERVICE_TIME;
        if std::mem::take(&mut self.calls.late_next) {
            wait += Duration::from_millis(DEADLINE_MS);
        }
        let id = match std::mem::take(&mut self.calls.cross_next) {
            true => u64::MAX,
            false => call as u64,
        };
        self.schedule_for_process(wait, n, Event::Answer(a, id));
    }

    pub(crate) fn answered(&mut self, a: usize, id: u64) {
        let n = self.calls.attempts[a].to;
        if !self.holds_ticket(a)
            || !self.trigger_faults(Point::Answer, n, Some(Event::Answer(a, id)))
        {
            return;
        }
        let is_own = id == self.calls.call_of(a) as u64;
        match is_own || self.defect == Some(Defect::AcceptCrossed) {
            true => self.complete(a, Outcome::Answered, id),
            false => self.complete(a, Outcome::Unknown(Unknown::CrossedAnswer), 0),
        }
    }

    /// Crashes the local backend server of a node together with all calls that it runs.
    fn crash(&mut self, n: usize) {
        let now = self.uptime(n);
        self.nodes[n].backend_down_until = self.now + BACKEND_DOWNTIME;
        let crashed = CrashedBackend {
            instance: instance_name(n),
            incarnation: self.nodes[n].identity.incarnation,
        };
        let evidence = self.nodes[n].suspicion.crashed(&crashed, now);
        self.broadcast_evidence(n, evidence);
        for a in self.nodes[n].attempts_by_ticket.clone().into_values() {
            if self.calls.attempts[a].handed_over {
                self.complete(a, Outcome::Unknown(Unknown::ConnectionLost), 0);
            }
        }
    }

    fn broadcast_evidence(&mut self, n: usize, evidence: Vec<Evidence>) {
        if evidence.is_empty() {
            return;
        }
        for to in 0..self.nodes.len() {
            if to != n {
                self.send(n, to, Message::Evidence(evidence.clone()));
            }
        }
    }

    /// Ends an attempt, and all attempts that wait for its key, with an outcome.
    fn complete(&mut self, a: usize, outcome: Outcome, answer: u64) {
        let now = self.uptime(self.calls.attempts[a].to);
        let attempt = &mut self.calls.attempts[a];
        let (n, handed_over) = (attempt.to, attempt.handed_over);
        let latency = self.now - attempt.started_at;
        let ticket = attempt.ticket.take();
        let call = &self.calls.calls[self.calls.call_of(a)];
        let (key, fingerprint) = (call.key, call_fingerprint(call));
        let node = &mut self.nodes[n];
        if let (Some(ticket), Some(queue)) = (ticket, &mut node.queue) {
            node.attempts_by_ticket.remove(&ticket);
            let result = match outcome {
                Outcome::Answered => AttemptResult::Answered { latency },
                Outcome::Unknown(Unknown::Deadline) => AttemptResult::Cancelled,
                _ => AttemptResult::Failed,
            };
            queue.finish(now, ticket, result);
        }
        if !call.idempotent {
            match outcome {
                Outcome::Answered => node.keys.record_answer(key, answer, 8),
                Outcome::NotRun(_) if !handed_over => node.keys.remove_unsent(key),
                _ => node.keys.mark_unknown(key),
            }
        }
        let mut joined = node.joined_attempts.remove(&key).unwrap_or_default();
        joined.push(a);
        if handed_over && outcome != Outcome::Unknown(Unknown::ConnectionLost) {
            let evidence = node
                .suspicion
                .end(fingerprint, outcome == Outcome::Answered, now);
            self.broadcast_evidence(n, evidence);
        }
        let outcome = match outcome {
            Outcome::Unknown(_) if self.defect == Some(Defect::RefuseAfterHandOver) => {
                Outcome::NotRun(NotRun::BackendRefused)
            }
            outcome => outcome,
        };
        for a in joined {
            self.reply(a, outcome, answer, None);
        }
    }
}

fn call_fingerprint(call: &Call) -> Fingerprint {
    let (method, path) = method_and_path(call.idempotent);
    Fingerprint::of(CUSTOMER, method, path, call.id.as_bytes())
}

fn not_run_reason(reason: Reason) -> NotRun {
    match reason {
        Reason::Deadline => NotRun::Deadline,
        Reason::Draining => NotRun::Draining,
        Reason::UnknownRank => NotRun::Malformed,
        Reason::Target | Reason::Full | Reason::Evicted => NotRun::QueueFull,
    }
}
