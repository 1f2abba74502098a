//! Learns beside a backend server which nested calls the runs of each route make, and how many of them fail for lack of
//! room.
//!
//! A nested call does not name the request that it belongs to, so it is attributed to all runs in flight, in proportion
//! to what is known of their routes (expectation maximisation; Dempster, Laird and Rubin, 1977). The estimates separate
//! the routes because the mix of the runs in flight varies.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::decay::DecayingSum;

/// Time constant of the number of nested calls for each run. The calls of a route change only with the software.
const RUNS_TIME: Duration = Duration::from_secs(10);
/// Time constant of the share of nested calls that fail. It is a few times the length of a run, so that the control
/// reacts within a second.
const FAILURE_TIME: Duration = Duration::from_millis(250);
/// Nested calls for each run that a route is assumed to make at least when one is attributed, so that a route is noticed
/// that begins to make them.
const MIN_ATTRIBUTION: f64 = 0.02;
/// Least number of runs from which a route's nested calls are reported.
const MIN_RUNS: f64 = 5.0;
/// Least number of nested calls for each run that is reported.
const MIN_CALLS: f64 = 0.05;
/// Least number of ended nested calls from which their failures are reported.
const MIN_ENDED: f64 = 2.0;
/// Fraction of its time limit that a nested call may wait in a queue before it counts as failed in part, and the one from
/// which it counts as failed. Long waits announce refusals, and the runs that made the calls keep their slots meanwhile.
const FREE_WAIT: f64 = 0.35;
const FAILED_WAIT: f64 = 0.85;
/// Most services that one route is reported to depend on, so that answers stay small.
const MAX_REPORTED: usize = 6;
/// Most routes and services that are kept.
const MAX_NAMES: usize = 256;

/// How a nested call ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NestedEnd {
    /// It was answered, also by an error status: that is not for lack of room.
    Answered {
        /// Fraction of its time limit that it waited in a queue.
        waited: f64,
    },
    /// No backend server had room for it.
    Refused,
    /// It was not answered within its time limit.
    Late,
    /// Its caller left earlier than that, or its end says nothing about room.
    Abandoned,
}

impl NestedEnd {
    /// Returns how far the call counts as failed for lack of room, from 0 to 1. `None` if its end says nothing about room.
    ///
    /// ```
    /// use hitch_dependence::NestedEnd;
    /// assert_eq!(NestedEnd::Refused.failed(), Some(1.0));
    /// assert_eq!(NestedEnd::Answered { waited: 0.1 }.failed(), Some(0.0));
    /// ```
    pub fn failed(self) -> Option<f64> {
        match self {
            NestedEnd::Answered { waited } => {
                Some(((waited - FREE_WAIT) / (FAILED_WAIT - FREE_WAIT)).clamp(0.0, 1.0))
            }
            NestedEnd::Refused | NestedEnd::Late => Some(1.0),
            NestedEnd::Abandoned => None,
        }
    }
}

/// Nested calls of the runs of a route to one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Dependence {
    /// Service that is called.
    pub service: Box<str>,
    /// Mean number of nested calls that one run makes to the service, directly or through other services.
    pub calls: f64,
    /// Share of the recent nested calls to the service that failed for lack of room. Those that waited long count in part.
    pub failed: f64,
}

/// What is known of the runs of one backend server.
#[derive(Debug, Clone, Default)]
pub struct Learner {
    routes: BTreeMap<Box<str>, Route>,
    services: BTreeMap<Box<str>, Service>,
}

#[derive(Debug, Clone, Default)]
struct Route {
    in_flight: u32,
    runs: DecayingSum,
    /// Attributed nested calls, by service.
    calls: BTreeMap<Box<str>, DecayingSum>,
}

#[derive(Debug, Clone, Default)]
struct Service {
    ended: DecayingSum,
    failed: DecayingSum,
    /// What the service's own runs depend on, as its nodes reported last.
    behind: Vec<Dependence>,
}

impl Route {
    fn calls_for_each_run(&self, now: Duration, service: &str) -> f64 {
        let runs = self.runs.value(now, RUNS_TIME);
        match self.calls.get(service) {
            Some(calls) if runs > 0.0 => calls.value(now, RUNS_TIME) / runs,
            _ => 0.0,
        }
    }
}

impl Service {
    fn failed_share(&self, now: Duration) -> f64 {
        let ended = self.ended.value(now, FAILURE_TIME);
        match ended >= MIN_ENDED {
            true => (self.failed.value(now, FAILURE_TIME) / ended).clamp(0.0, 1.0),
            false => 0.0,
        }
    }
}

impl Learner {
    /// Records that the backend server begins to run a request.
    ///
    /// ```
    /// let mut learner = hitch_dependence::Learner::default();
    /// learner.run_started(Default::default(), "/balance/");
    /// ```
    pub fn run_started(&mut self, now: Duration, route: &str) {
        if let Some(route) = entry(&mut self.routes, route) {
            route.in_flight += 1;
            route.runs.add(now, 1.0, RUNS_TIME);
        }
    }

    /// Records that the run of a request has ended.
    ///
    /// ```
    /// let mut learner = hitch_dependence::Learner::default();
    /// learner.run_ended("/balance/");
    /// ```
    pub fn run_ended(&mut self, route: &str) {
        if let Some(route) = self.routes.get_mut(route) {
            route.in_flight = route.in_flight.saturating_sub(1);
        }
    }

    /// Records that the backend server makes a nested call.
    ///
    /// ```
    /// let mut learner = hitch_dependence::Learner::default();
    /// learner.nested_started(Default::default(), "wallet");
    /// ```
    pub fn nested_started(&mut self, now: Duration, service: &str) {
        let weight = |route: &Route| {
            let calls = route.calls_for_each_run(now, service).max(MIN_ATTRIBUTION);
            f64::from(route.in_flight) * calls
        };
        let running = self.routes.values().filter(|route| route.in_flight > 0);
        let sum: f64 = running.map(weight).sum();
        if sum <= 0.0 {
            return;
        }
        for route in self.routes.values_mut().filter(|route| route.in_flight > 0) {
            let part = weight(route) / sum;
            if let Some(calls) = entry(&mut route.calls, service) {
                calls.add(now, part, RUNS_TIME);
            }
        }
    }

    /// Records how a nested call ended.
    ///
    /// ```
    /// use hitch_dependence::NestedEnd;
    /// let mut learner = hitch_dependence::Learner::default();
    /// learner.nested_ended(Default::default(), "wallet", NestedEnd::Late);
    /// ```
    pub fn nested_ended(&mut self, now: Duration, service: &str, end: NestedEnd) {
        let Some(failed) = end.failed() else { return };
        let Some(service) = entry(&mut self.services, service) else {
            return;
        };
        service.ended.add(now, 1.0, FAILURE_TIME);
        service.failed.add(now, failed, FAILURE_TIME);
    }

    /// Records what the runs of nested calls to `service` depend on, as the node that ran one reported.
    ///
    /// ```
    /// let mut learner = hitch_dependence::Learner::default();
    /// learner.observe_behind("wallet", &[]);
    /// ```
    pub fn observe_behind(&mut self, service: &str, behind: &[Dependence]) {
        if let Some(service) = entry(&mut self.services, service) {
            service.behind = behind.iter().take(MAX_REPORTED).cloned().collect();
        }
    }

    /// Returns the nested calls of the runs of a route, and of the runs that they lead to.
    ///
    /// ```
    /// let learner = hitch_dependence::Learner::default();
    /// assert!(learner.dependences(Default::default(), "/balance/").is_empty());
    /// ```
    pub fn dependences(&self, now: Duration, route: &str) -> Vec<Dependence> {
        let Some(route) = self.routes.get(route) else {
            return Vec::new();
        };
        if route.runs.value(now, RUNS_TIME) < MIN_RUNS {
            return Vec::new();
        }
        let mut found: Vec<Dependence> = Vec::new();
        let mut add = |dependence: Dependence| {
            if dependence.calls < MIN_CALLS {
                return;
            }
            let same = |known: &Dependence| known.service == dependence.service;
            match found.iter().position(same) {
                Some(position) => {
                    let known = &mut found[position];
                    known.calls += dependence.calls;
                    known.failed = known.failed.max(dependence.failed);
                }
                None if found.len() < MAX_REPORTED => found.push(dependence),
                None => {}
            }
        };
        for name in route.calls.keys() {
            let calls = route.calls_for_each_run(now, name);
            let service = self.services.get(name);
            add(Dependence {
                service: name.clone(),
                calls,
                failed: service.map_or(0.0, |service| service.failed_share(now)),
            });
            for behind in service.map_or(&[][..], |service| &service.behind) {
                add(Dependence {
                    calls: calls * behind.calls,
                    ..behind.clone()
                });
            }
        }
        found
    }
}

/// Returns the value of a name, which is added if it is new; `None` if there are too many.
pub(crate) fn entry<'a, T: Default>(
    map: &'a mut BTreeMap<Box<str>, T>,
    name: &str,
) -> Option<&'a mut T> {
    if !map.contains_key(name) {
        if map.len() >= MAX_NAMES {
            return None;
        }
        map.insert(name.into(), T::default());
    }
    map.get_mut(name)
}
