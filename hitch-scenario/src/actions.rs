//! Performs the actions of a scenario and evaluates its expectations.

use std::time::Duration;

use crate::check::Check;
use crate::log;
use crate::node::Node;
use crate::script::Action;
use crate::script::Expect;
use crate::script::Point;
use crate::script::Target;
use crate::simulation::Event;
use crate::simulation::Simulation;

/// Downtime of the nodes that [`Action::Herd`] kills.
const HERD_DOWNTIME: Duration = Duration::from_millis(500);
/// Downtime of a node that [`Action::Restart`] kills.
const RESTART_DOWNTIME: Duration = Duration::from_millis(200);

impl Simulation {
    pub(crate) fn perform(&mut self, action: &Action, default_node: usize) {
        let node_of = |target: &Target| target.node.unwrap_or(default_node);
        match action {
            Action::Publish => self.publish(1, true),
            Action::PublishBad => self.publish(1, false),
            Action::Race => self.publish(2, true),
            Action::Kill(target) => self.stop(node_of(target), false),
            Action::Restart(target) => self.restart(node_of(target), RESTART_DOWNTIME),
            Action::Herd { count } => {
                for i in 0..(*count).min(self.nodes.len()) {
                    self.restart((default_node + i) % self.nodes.len(), HERD_DOWNTIME);
                }
            }
            Action::Freeze { node, length } => {
                let n = node.unwrap_or(default_node);
                self.nodes[n].frozen_until = self.now + *length;
            }
            Action::Cut(target) => {
                self.net.outbound_blocked.insert(node_of(target));
                self.net.inbound_blocked.insert(node_of(target));
            }
            Action::CutOneWay(target) => {
                self.net.outbound_blocked.insert(node_of(target));
            }
            Action::Slow { node, by } => {
                self.net
                    .extra_delay
                    .insert(node.unwrap_or(default_node), *by);
            }
            Action::LogDown => self.log.down = true,
            Action::LogUp => {
                self.log.down = false;
                self.log.extra_latency = Duration::ZERO;
            }
            Action::LogSlow { by } => self.log.extra_latency = *by,
            Action::AppendLate { by } => self.log.next_append_delay = Some(*by),
            Action::AppendLost => self.log.lose_next_reply = true,
            Action::Trim => self.trim(),
            Action::Clocks { node, ms } => {
                self.nodes[node.unwrap_or(default_node)].clock_offset_ms = *ms
            }
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
                self.trigger_faults(Point::Resend, *via, None);
                if let Some(call) = self.try_find_call(id) {
                    self.submit(call, *via);
                }
            }
            Action::CrashNext => self.calls.crash_next = true,
            Action::LateNext => self.calls.late_next = true,
            Action::CrossNext => self.calls.cross_next = true,
            Action::Drain(target) => self.drain(node_of(target)),
            Action::Recover => self.recover(),
        }
    }

    fn try_find_call(&self, id: &str) -> Option<usize> {
        self.calls.calls.iter().position(|c| *c.id == *id)
    }

    /// Ends the process of a node; a planned stop must abort no call.
    pub(crate) fn stop(&mut self, n: usize, planned: bool) {
        if !self.nodes[n].up {
            return;
        }
        let aborted = self.abort_calls(n);
        self.nodes[n].up = false;
        self.nodes[n].frozen_until = Duration::ZERO;
        if planned && aborted > 0 {
            let text = format!("the planned stop of n{n} aborted {aborted} calls");
            self.record_violation(Check::AbortedByStop, text);
        }
    }

    fn restart(&mut self, n: usize, after: Duration) {
        if self.nodes[n].draining_since.is_none() && self.nodes[n].up {
            self.stop(n, false);
            self.schedule(after, n, Event::Start);
        }
    }

    fn drain(&mut self, n: usize) {
        if !self.trigger_faults(Point::Drain, n, None) {
            return;
        }
        let now = self.uptime(n);
        self.nodes[n].draining_since = Some(self.now);
        if self.defect == Some(crate::simulation::Defect::RouteToDraining) {
            return;
        }
        if let Some(queue) = &mut self.nodes[n].queue {
            queue.drain(now);
        }
        self.nodes[n]
            .roster
            .set_state(now, hitch_roster::State::Draining);
        self.apply_roster_changes(n);
    }

    fn trim(&mut self) {
        let Some(newest) = self.log.all_records(log::SNAPSHOTS).last() else {
            return;
        };
        let state = hitch_config::State::from_snapshot(&newest.data);
        self.log.first_offset = state
            .expect("nodes append only valid snapshots")
            .next_offset();
    }

    fn recover(&mut self) {
        self.net = Default::default();
        self.log.down = false;
        self.log.extra_latency = Duration::ZERO;
        for n in 0..self.nodes.len() {
            self.nodes[n].clock_offset_ms = 0;
            if !self.nodes[n].up && self.nodes[n].draining_since.is_none() {
                self.schedule(Duration::ZERO, n, Event::Start);
            }
        }
    }

    pub(crate) fn check_expectation(&mut self, expect: &Expect) {
        self.sync_history();
        let result = self.evaluate(expect);
        if let Err(text) = result {
            let text = format!("at {:?}: {text}", self.now);
            self.report.failures.push(text.into());
        }
    }

    fn evaluate(&mut self, expect: &Expect) -> Result<(), String> {
        match expect {
            Expect::Accepted(count) => {
                let verdicts = self.history.verdicts.values().flatten();
                let mut versions: Vec<u64> = verdicts.copied().collect();
                versions.sort_unstable();
                check_eq("accepted changes", versions.len(), *count)?;
                self.check_version(versions.last().copied().unwrap_or(0))
            }
            Expect::Outcome { id, any } => {
                let call = self
                    .try_find_call(id)
                    .ok_or("the scenario makes no call with this id")?;
                let mut submissions = self.calls.submissions.iter();
                let last = submissions
                    .rfind(|s| s.call == call)
                    .ok_or("the call has no submission")?;
                let name = last.outcome.map_or("open", |o| o.name());
                match any.iter().any(|n| **n == *name) {
                    true => Ok(()),
                    false => Err(format!(
                        "the last submission of call {id} ended as {:?}",
                        last.outcome
                    )),
                }
            }
            Expect::Runs { id, count } => {
                let call = self
                    .try_find_call(id)
                    .ok_or("the scenario makes no call with this id")?;
                let runs = self.calls.runs.iter().filter(|r| r.call == call);
                check_eq(&format!("runs of {id}"), runs.count(), *count)
            }
            Expect::Duplicates(count) => {
                let mut duplicates = 0;
                for (i, call) in self.calls.calls.iter().enumerate() {
                    let runs = self.calls.runs.iter().filter(|r| r.call == i).count();
                    duplicates += usize::from(!call.idempotent && runs > 1);
                }
                check_eq("keys that ran twice", duplicates, *count)
            }
            Expect::NoWorkAt { node, since } => {
                let runs = self.calls.runs.iter();
                let late = runs.filter(|r| r.node == *node && r.at > *since);
                check_eq(&format!("runs at n{node} after {since:?}"), late.count(), 0)
            }
            Expect::Converged { within } => {
                let version = self.history.reference.version();
                let result = self.check_version(version);
                result.map_err(|text| format!("{text} after {within:?}"))
            }
        }
    }

    fn check_version(&self, version: u64) -> Result<(), String> {
        let reachable = |n: &&Node| {
            let n = n.identity.index;
            let is_cut =
                self.net.outbound_blocked.contains(&n) || self.net.inbound_blocked.contains(&n);
            self.nodes[n].up && self.nodes[n].frozen_until <= self.now && !is_cut
        };
        for node in self.nodes.iter().filter(reachable) {
            let name = format!("version in force on n{}", node.identity.index);
            check_eq(&name, node.table.version() as usize, version as usize)?;
        }
        Ok(())
    }
}

fn check_eq(name: &str, found: usize, expected: usize) -> Result<(), String> {
    match found == expected {
        true => Ok(()),
        false => Err(format!("{name}: got {found}, expected {expected}")),
    }
}
