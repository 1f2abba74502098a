//! Actions and expectations of a scenario.

use std::time::Duration;

use crate::check::Check;
use crate::log;
use crate::node::Node;
use crate::script::Action;
use crate::script::Expect;
use crate::script::Point;
use crate::script::Target;
use crate::world::What;
use crate::world::World;

/// Time after which a herd returns.
const HERD_DOWN: Duration = Duration::from_millis(500);
/// Time after which a restarted node is back.
const RESTART: Duration = Duration::from_millis(200);

impl World {
    pub(crate) fn act(&mut self, action: &Action, actor: usize) {
        let of = |target: &Target| target.node.unwrap_or(actor);
        match action {
            Action::Publish => self.publish(1, true),
            Action::PublishBad => self.publish(1, false),
            Action::Race => self.publish(2, true),
            Action::Kill(target) => self.stop(of(target), false),
            Action::Restart(target) => self.restart(of(target), RESTART),
            Action::Herd { count } => {
                for i in 0..(*count).min(self.nodes.len()) {
                    self.restart((actor + i) % self.nodes.len(), HERD_DOWN);
                }
            }
            Action::Freeze { node, length } => {
                let n = node.unwrap_or(actor);
                self.nodes[n].frozen_until = self.now + *length;
            }
            Action::Cut(target) => {
                self.net.mute.insert(of(target));
                self.net.deaf.insert(of(target));
            }
            Action::CutOneWay(target) => {
                self.net.mute.insert(of(target));
            }
            Action::Slow { node, by } => {
                self.net.slow.insert(node.unwrap_or(actor), *by);
            }
            Action::LogDown => self.log.down = true,
            Action::LogUp => {
                self.log.down = false;
                self.log.slow = Duration::ZERO;
            }
            Action::LogSlow { by } => self.log.slow = *by,
            Action::AppendLate { by } => self.log.late = Some(*by),
            Action::AppendLost => self.log.lose = true,
            Action::Trim => self.trim(),
            Action::Clocks { node, ms } => self.nodes[node.unwrap_or(actor)].clock_ms = *ms,
            Action::Call {
                id,
                via,
                idempotent,
                crashes,
            } => {
                let call = self.new_call(id, *idempotent, *crashes);
                self.submit(call, *via);
            }
            Action::Resend { id, via } => {
                self.reach(Point::Resend, *via, None);
                if let Some(call) = self.try_call(id) {
                    self.submit(call, *via);
                }
            }
            Action::CrashNext => self.calls.crash_next = true,
            Action::LateNext => self.calls.late_next = true,
            Action::CrossNext => self.calls.cross_next = true,
            Action::Drain(target) => self.drain(of(target)),
            Action::Recover => self.recover(),
        }
    }

    fn try_call(&self, id: &str) -> Option<usize> {
        self.calls.calls.iter().position(|c| *c.id == *id)
    }

    /// Ends the process of a node.
    pub(crate) fn stop(&mut self, n: usize, planned: bool) {
        if !self.nodes[n].up {
            return;
        }
        let cut = self.end_calls(n);
        self.nodes[n].up = false;
        self.nodes[n].frozen_until = Duration::ZERO;
        if planned && cut > 0 {
            let text = format!("the planned stop of n{n} cut {cut} calls");
            self.violated(Check::CutByStop, text);
        }
    }

    fn restart(&mut self, n: usize, after: Duration) {
        if self.nodes[n].drained_at.is_none() && self.nodes[n].up {
            self.stop(n, false);
            self.push_any(after, n, What::Start);
        }
    }

    fn drain(&mut self, n: usize) {
        if !self.reach(Point::Drain, n, None) {
            return;
        }
        let now = self.local(n);
        self.nodes[n].drained_at = Some(self.now);
        if self.broken == Some(crate::world::Broken::RouteToDraining) {
            return;
        }
        if let Some(queue) = &mut self.nodes[n].queue {
            queue.drain(now);
        }
        self.nodes[n]
            .roster
            .set_state(now, hitch_roster::State::Draining);
        self.note_roster(n);
    }

    fn trim(&mut self) {
        let Some(newest) = self.log.all(log::SNAPSHOTS).last() else {
            return;
        };
        let state = hitch_config::State::from_snapshot(&newest.data);
        self.log.first = state.expect("nodes write what they hold").next_offset();
    }

    fn recover(&mut self) {
        self.net = Default::default();
        self.log.down = false;
        self.log.slow = Duration::ZERO;
        for n in 0..self.nodes.len() {
            self.nodes[n].clock_ms = 0;
            if !self.nodes[n].up && self.nodes[n].drained_at.is_none() {
                self.push_any(Duration::ZERO, n, What::Start);
            }
        }
    }

    pub(crate) fn expect(&mut self, expect: &Expect) {
        self.learn();
        let result = self.holds_now(expect);
        if let Err(text) = result {
            let text = format!("at {:?}: {text}", self.now);
            self.report.failures.push(text.into());
        }
    }

    fn holds_now(&mut self, expect: &Expect) -> Result<(), String> {
        match expect {
            Expect::Accepted(count) => {
                let verdicts = self.history.verdicts.values().flatten();
                let mut versions: Vec<u64> = verdicts.copied().collect();
                versions.sort_unstable();
                check_eq("accepted changes", versions.len(), *count)?;
                self.all_at(versions.last().copied().unwrap_or(0))
            }
            Expect::Outcome { id, any } => {
                let call = self.try_call(id).ok_or("the call was not made")?;
                let mut all = self.calls.submissions.iter();
                let last = all
                    .rfind(|s| s.call == call)
                    .ok_or("the call was not sent")?;
                let name = last.outcome.map_or("open", |o| o.name());
                match any.iter().any(|n| **n == *name) {
                    true => Ok(()),
                    false => Err(format!("call {id} ended as {:?}", last.outcome)),
                }
            }
            Expect::Runs { id, count } => {
                let call = self.try_call(id).ok_or("the call was not made")?;
                let runs = self.calls.ledger.iter().filter(|r| r.call == call);
                check_eq(&format!("runs of {id}"), runs.count(), *count)
            }
            Expect::Duplicates(count) => {
                let mut duplicates = 0;
                for (i, call) in self.calls.calls.iter().enumerate() {
                    let runs = self.calls.ledger.iter().filter(|r| r.call == i).count();
                    duplicates += usize::from(!call.idempotent && runs > 1);
                }
                check_eq("keys that ran twice", duplicates, *count)
            }
            Expect::NoWorkAt { node, since } => {
                let runs = self.calls.ledger.iter();
                let late = runs.filter(|r| r.node == *node && r.at > *since);
                check_eq(&format!("later runs at n{node}"), late.count(), 0)
            }
            Expect::Converged { within } => {
                let version = self.history.oracle.version();
                let result = self.all_at(version);
                result.map_err(|text| format!("{text} after {within:?}"))
            }
        }
    }

    fn all_at(&self, version: u64) -> Result<(), String> {
        let reachable = |n: &&Node| {
            let n = n.place.index;
            let cut = self.net.mute.contains(&n) || self.net.deaf.contains(&n);
            self.nodes[n].up && self.nodes[n].frozen_until <= self.now && !cut
        };
        for node in self.nodes.iter().filter(reachable) {
            let name = format!("version in force on n{}", node.place.index);
            check_eq(&name, node.table.version() as usize, version as usize)?;
        }
        Ok(())
    }
}

fn check_eq(name: &str, found: usize, wanted: usize) -> Result<(), String> {
    match found == wanted {
        true => Ok(()),
        false => Err(format!("{name}: {found}, not {wanted}")),
    }
}
