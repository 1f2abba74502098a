//! Measured service times by class: calls that take about equally long, such as those of one route.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::service_time::ServiceTime;

/// Most classes with a measurement of their own; calls of further ones count as calls without a class. A configuration
/// has tens of routes, and names may come from other nodes.
const MAX_CLASSES: usize = 512;
/// Least remaining time of a running call, as a fraction of the mean of its class: a call that has run for longer than
/// the mean may end at any moment or not soon.
const MIN_REMAINING_FRACTION: f64 = 0.25;

/// Time constant of the sum of the time that a class has used lately. It spans several calls of each class, and is short
/// beside an overload of some seconds.
const RECENT_TIME: Duration = Duration::from_secs(1);

/// Index of a class in the queue that returned it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(u16);

/// Measured service times of all classes in the present incarnation of the backend server.
#[derive(Debug, Clone, Default)]
pub(crate) struct Classes {
    ids: BTreeMap<Box<str>, ClassId>,
    classes: Vec<Class>,
    /// Service time over all calls: the prior of a class without a measurement.
    all: ServiceTime,
}

#[derive(Debug, Clone)]
struct Class {
    target: Duration,
    service_time: ServiceTime,
    /// Expected time of the calls that were started, in seconds, as an exponentially decaying sum.
    started: f64,
    started_at: Duration,
}

impl Classes {
    /// Returns the class called `name`, which is added if it is new, and sets its target latency.
    pub(crate) fn enter(&mut self, name: &str, target: Duration) -> Option<ClassId> {
        if let Some(id) = self.ids.get(name) {
            self.classes[usize::from(id.0)].target = target;
            return Some(*id);
        }
        if self.classes.len() >= MAX_CLASSES {
            return None;
        }
        let id = ClassId(self.classes.len() as u16);
        self.ids.insert(name.into(), id);
        self.classes.push(Class {
            target,
            service_time: ServiceTime::default(),
            started: 0.0,
            started_at: Duration::ZERO,
        });
        Some(id)
    }

    /// Records the start of a call.
    pub(crate) fn observe_start(&mut self, now: Duration, class: Option<ClassId>) {
        let recent = self.recent_time(now, class);
        if let Some(class) = class.and_then(|id| self.classes.get_mut(usize::from(id.0))) {
            class.started = recent.as_secs_f64() + class.service_time.mean().as_secs_f64();
            class.started_at = now;
        }
    }

    /// Returns the time that the calls of a class have used lately.
    pub(crate) fn recent_time(&self, now: Duration, class: Option<ClassId>) -> Duration {
        let Some(class) = class.and_then(|id| self.classes.get(usize::from(id.0))) else {
            return Duration::ZERO;
        };
        let age = now.saturating_sub(class.started_at);
        let kept = (-age.as_secs_f64() / RECENT_TIME.as_secs_f64()).exp();
        Duration::from_secs_f64(class.started * kept)
    }

    pub(crate) fn observe(&mut self, now: Duration, class: Option<ClassId>, latency: Duration) {
        self.all.observe(now, latency);
        if let Some(class) = class.and_then(|id| self.classes.get_mut(usize::from(id.0))) {
            class.service_time.observe(now, latency);
        }
    }

    /// Discards the measurements, because another incarnation of the backend server runs now.
    pub(crate) fn restart(&mut self) {
        self.all = ServiceTime::default();
        for class in &mut self.classes {
            class.service_time = ServiceTime::default();
        }
    }

    /// Returns whether the service time of any call was measured.
    pub(crate) fn has_samples(&self) -> bool {
        self.all.has_samples()
    }

    /// Returns the target latency of a class.
    pub(crate) fn target(&self, class: Option<ClassId>) -> Option<Duration> {
        Some(self.classes.get(usize::from(class?.0))?.target)
    }

    /// Returns the estimate of a class, or of all calls if it has none of its own.
    pub(crate) fn service_time(&self, class: Option<ClassId>) -> &ServiceTime {
        let class = class.and_then(|id| self.classes.get(usize::from(id.0)));
        match class {
            Some(class) if class.service_time.has_samples() => &class.service_time,
            _ => &self.all,
        }
    }

    /// Returns the expected service time of a new call; zero for a class without a measurement, so that it gets one
    /// although calls of other classes take longer than its deadline allows.
    pub(crate) fn mean_of_new(&self, now: Duration, class: Option<ClassId>) -> Duration {
        match class.and_then(|id| self.classes.get(usize::from(id.0))) {
            Some(class) => class.service_time.mean_at(now),
            None => self.all.mean_at(now),
        }
    }

    /// Returns the expected remaining time of a call that has run for `elapsed`.
    pub(crate) fn remaining(&self, class: Option<ClassId>, elapsed: Duration) -> Duration {
        let estimate = self.service_time(class);
        let least = estimate.mean().mul_f64(MIN_REMAINING_FRACTION);
        let least = least.max(estimate.deviation());
        estimate.mean().saturating_sub(elapsed).max(least)
    }
}
