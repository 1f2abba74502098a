//! Execution of attempts by the nodes beside the backend servers.

use std::time::Duration;

use hitch_admission::Admission;
use hitch_admission::Command;
use hitch_admission::Finished as Ended;
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
use crate::calls::RECHECK;
use crate::calls::Run;
use crate::calls::SERVICE;
use crate::calls::path;
use crate::contract::CUSTOMER;
use crate::contract::DEADLINE_MS;
use crate::node::name;
use crate::peer::Message;
use crate::script::Point;
use crate::world::Broken;
use crate::world::What;
use crate::world::World;

/// Time that a crashed backend server is down.
const RESTART: Duration = Duration::from_secs(1);

impl World {
    /// Answers the sender of an attempt.
    fn reply(&mut self, a: usize, outcome: Outcome, answer: u64, owner: Option<Box<str>>) {
        let attempt = &mut self.calls.attempts[a];
        attempt.refused |= matches!(outcome, Outcome::NotRun(_));
        let (from, to) = (self.calls.submissions[attempt.submission].via, attempt.to);
        self.send(to, from, Message::Reply(a, outcome, answer, owner));
    }

    fn refuse(&mut self, a: usize, reason: NotRun) {
        self.reply(a, Outcome::NotRun(reason), 0, None);
    }

    pub(crate) fn admit(&mut self, a: usize, since: Duration) {
        let attempt = &mut self.calls.attempts[a];
        attempt.arrived = true;
        let (n, i) = (attempt.to, attempt.submission);
        let again = What::Admit(a, since);
        if self.nodes[n].drained_at.is_some() && self.broken != Some(Broken::RouteToDraining) {
            return self.refuse(a, NotRun::Draining);
        }
        if !self.in_touch(n, since, again.clone()) {
            return;
        }
        if !self.reach(Point::Admit, n, Some(again)) {
            return;
        }
        let call = &self.calls.calls[self.calls.submissions[i].call];
        let now = self.local(n);
        let print = fingerprint(call);
        let deadline = self
            .calls
            .deadline(i)
            .saturating_sub(self.nodes[n].place.started);
        let node = &mut self.nodes[n];
        let Some(queue) = &mut node.queue else {
            return self.refuse(a, NotRun::NotReady);
        };
        if node.suspicion.crashes(print, now) >= MAX_CRASHES {
            return self.refuse(a, NotRun::CrashSuspect);
        }
        if !call.idempotent {
            match node.once.offer(&node.map, call.key, print.0) {
                hitch_once::Decision::Run => {}
                hitch_once::Decision::Join => {
                    return node.joined.entry(call.key).or_default().push(a);
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
                node.tickets.insert(ticket, a);
                self.calls.attempts[a].ticket = Some(ticket);
                self.push(Duration::ZERO, n, What::HandOver(a));
            }
            Admission::Queued(ticket) => {
                node.tickets.insert(ticket, a);
                self.calls.attempts[a].ticket = Some(ticket);
            }
            Admission::Refused(reason) => {
                self.complete(a, Outcome::NotRun(refused_as(reason)), 0);
            }
        }
        self.poll_queue(n);
    }

    pub(crate) fn poll_queue(&mut self, n: usize) {
        let now = self.local(n);
        let Some(queue) = &mut self.nodes[n].queue else {
            return;
        };
        for command in queue.poll(now) {
            let ticket = match command {
                Command::Start(t) | Command::Refuse(t, _) | Command::Cancel(t) => t,
            };
            let Some(a) = self.nodes[n].tickets.get(&ticket).copied() else {
                continue;
            };
            let handed_over = self.calls.attempts[a].handed_over;
            match command {
                Command::Start(_) => self.push(Duration::ZERO, n, What::HandOver(a)),
                Command::Refuse(_, reason) => {
                    self.complete(a, Outcome::NotRun(refused_as(reason)), 0);
                }
                Command::Cancel(_) if handed_over => {
                    self.complete(a, Outcome::Unknown(Unknown::Deadline), 0);
                }
                Command::Cancel(_) => self.complete(a, Outcome::NotRun(NotRun::Deadline), 0),
            }
        }
    }

    fn holds(&self, a: usize) -> bool {
        let attempt = &self.calls.attempts[a];
        let ticket = attempt.ticket;
        ticket.is_some_and(|t| self.nodes[attempt.to].tickets.get(&t) == Some(&a))
    }

    pub(crate) fn hand_over(&mut self, a: usize) {
        let n = self.calls.attempts[a].to;
        if !self.holds(a) || !self.reach(Point::HandOver, n, Some(What::HandOver(a))) {
            return;
        }
        let call = self.calls.call_of(a);
        let now = self.local(n);
        let print = fingerprint(&self.calls.calls[call]);
        if self.nodes[n].backend_down_until > self.now {
            return self.complete(a, Outcome::NotRun(NotRun::BackendRefused), 0);
        }
        match self.nodes[n].suspicion.begin(print, now) {
            Verdict::Run => {}
            Verdict::Refuse => {
                return self.complete(a, Outcome::NotRun(NotRun::CrashSuspect), 0);
            }
            _ => return self.push(RECHECK, n, What::HandOver(a)),
        }
        self.calls.attempts[a].handed_over = true;
        self.calls.ledger.push(Run {
            attempt: a,
            call,
            node: n,
            at: self.now,
        });
        self.reach(Point::Run, n, None);
        if !self.nodes[n].up {
            return;
        }
        let crashes = self.calls.calls[call].crashes;
        if crashes || std::mem::take(&mut self.calls.crash_next) {
            return self.crash(n);
        }
        let mut wait = SERVICE;
        if std::mem::take(&mut self.calls.late_next) {
            wait += Duration::from_millis(DEADLINE_MS);
        }
        let id = match std::mem::take(&mut self.calls.cross_next) {
            true => u64::MAX,
            false => call as u64,
        };
        self.push(wait, n, What::Answer(a, id));
    }

    pub(crate) fn answered(&mut self, a: usize, id: u64) {
        let n = self.calls.attempts[a].to;
        if !self.holds(a) || !self.reach(Point::Answer, n, Some(What::Answer(a, id))) {
            return;
        }
        let own = id == self.calls.call_of(a) as u64;
        match own || self.broken == Some(Broken::AcceptCrossed) {
            true => self.complete(a, Outcome::Answered, id),
            false => self.complete(a, Outcome::Unknown(Unknown::CrossedAnswer), 0),
        }
    }

    /// The backend server beside a node crashes with all that it runs.
    fn crash(&mut self, n: usize) {
        let now = self.local(n);
        self.nodes[n].backend_down_until = self.now + RESTART;
        let site = CrashedBackend {
            instance: name(n),
            incarnation: self.nodes[n].place.incarnation,
        };
        let evidence = self.nodes[n].suspicion.crashed(&site, now);
        self.tell(n, evidence);
        for a in self.nodes[n].tickets.clone().into_values() {
            if self.calls.attempts[a].handed_over {
                self.complete(a, Outcome::Unknown(Unknown::ConnectionLost), 0);
            }
        }
    }

    fn tell(&mut self, n: usize, evidence: Vec<Evidence>) {
        if evidence.is_empty() {
            return;
        }
        for to in 0..self.nodes.len() {
            if to != n {
                self.send(n, to, Message::Evidence(evidence.clone()));
            }
        }
    }

    /// Ends an attempt at the node beside the backend server.
    fn complete(&mut self, a: usize, outcome: Outcome, answer: u64) {
        let now = self.local(self.calls.attempts[a].to);
        let attempt = &mut self.calls.attempts[a];
        let (n, handed_over) = (attempt.to, attempt.handed_over);
        let latency = self.now - attempt.began;
        let ticket = attempt.ticket.take();
        let call = &self.calls.calls[self.calls.call_of(a)];
        let (key, print) = (call.key, fingerprint(call));
        let node = &mut self.nodes[n];
        if let (Some(ticket), Some(queue)) = (ticket, &mut node.queue) {
            node.tickets.remove(&ticket);
            let ended = match outcome {
                Outcome::Answered => Ended::Answered { latency },
                Outcome::Unknown(Unknown::Deadline) => Ended::Cancelled,
                _ => Ended::Failed,
            };
            queue.finish(now, ticket, ended);
        }
        if !call.idempotent {
            match outcome {
                Outcome::Answered => node.once.record_answer(key, answer, 8),
                Outcome::NotRun(_) if !handed_over => node.once.remove_unsent(key),
                _ => node.once.mark_unknown(key),
            }
        }
        let mut waiting = node.joined.remove(&key).unwrap_or_default();
        waiting.push(a);
        if handed_over && outcome != Outcome::Unknown(Unknown::ConnectionLost) {
            let evidence = node.suspicion.end(print, outcome == Outcome::Answered, now);
            self.tell(n, evidence);
        }
        let outcome = match outcome {
            Outcome::Unknown(_) if self.broken == Some(Broken::RefuseAfterHandOver) => {
                Outcome::NotRun(NotRun::BackendRefused)
            }
            outcome => outcome,
        };
        for a in waiting {
            self.reply(a, outcome, answer, None);
        }
    }
}

fn fingerprint(call: &Call) -> Fingerprint {
    let (method, path) = path(call.idempotent);
    Fingerprint::of(CUSTOMER, method, path, call.id.as_bytes())
}

fn refused_as(reason: Reason) -> NotRun {
    match reason {
        Reason::Deadline => NotRun::Deadline,
        Reason::Draining => NotRun::Draining,
        Reason::UnknownRank => NotRun::Malformed,
        Reason::Target | Reason::Full | Reason::Evicted => NotRun::QueueFull,
    }
}
