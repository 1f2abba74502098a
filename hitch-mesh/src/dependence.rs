//! Admission by the room of the services that a request's run calls: the driver of [`hitch_dependence`].
//!
//! The node that runs requests learns from the nested calls of its backend server, and refuses new requests before it
//! hands them over; the node where requests enter follows its refusals.

use std::borrow::Cow;
use std::sync::Mutex;
use std::time::Duration;

use hitch_admission::retry_after;
use hitch_dependence::Control;
use hitch_dependence::Dependence;
use hitch_dependence::Learner;
use hitch_dependence::NestedEnd;
use hitch_dependence::Refusal;
use hitch_dependence::Throttle;
use hitch_gate::shards::lock;
use rand::RngExt;

use crate::arrival::RoutedRequest;
use crate::frame;
use crate::frame::Call;
use crate::mesh::Mesh;
use crate::metrics::NestedCall;
use crate::metrics::Service;
use crate::outcome::Cause;
use crate::outcome::Outcome;

/// Reason of a refusal, as shown to the caller.
const REASON: &str = "a service that the request needs has no room";
/// Fraction of its time limit from which a nested call whose caller has left counts as late. The caller's own limit may
/// end a little before the one that it sent.
const LATE_FRACTION: f64 = 0.9;
/// Unit of the numbers on the wire.
const MILLI: f64 = 1_000.0;

/// What a node knows of the services behind its own.
#[derive(Debug, Default)]
pub(crate) struct Behind {
    learner: Mutex<Learner>,
    control: Mutex<Control>,
    throttle: Mutex<Throttle>,
}

impl Behind {
    /// Discards what was learned from an earlier incarnation of the backend server.
    pub(crate) fn restart(&self) {
        *lock(&self.learner) = Learner::default();
        *lock(&self.control) = Control::default();
    }

    fn dependences(&self, now: Duration, route: &str) -> Vec<Dependence> {
        lock(&self.learner).dependences(now, route)
    }
}

/// Returns the name of the requests of a route that go to one of its services.
fn key(routed: &RoutedRequest) -> Cow<'_, str> {
    match routed.route.split.len() {
        0 | 1 => Cow::Borrowed(&*routed.route.name),
        _ => Cow::Owned(format!("{} {}", routed.route.name, routed.service)),
    }
}

fn refuse(
    mesh: &Mesh,
    refusal: &Refusal,
    place: &'static str,
    route: &str,
    priority: u32,
    target: Duration,
) -> Outcome {
    let retry_after =
        retry_after::spread(refusal.retry_after, priority, target, rand::rng().random());
    if let Some(suppressed) = mesh.reporter.try_write("no room behind", mesh.now()) {
        slog::info!(mesh.reporter.log(), "{}: refused, no room behind", place; "route" => route,
            "priority" => priority, "service" => &*refusal.service,
            "retry_after_ms" => retry_after.as_millis() as u64, "suppressed" => suppressed);
    }
    Outcome::NotRun {
        rejected: false,
        reason: REASON.into(),
        retry_after,
        cause: Cause::Behind(refusal.service.clone()),
    }
}

/// Refuses a request that enters here, or returns `None` to admit it. A nested call is always admitted: its refusal would
/// waste the run that makes it.
pub(crate) fn try_refuse_entry(mesh: &Mesh, routed: &RoutedRequest) -> Option<Outcome> {
    if routed.call.nested || !mesh.runtime.load().measured_admission {
        return None;
    }
    let (now, random) = (mesh.now(), rand::rng().random());
    let (name, priority) = (&routed.route.name, routed.call.priority);
    let admitted = lock(&mesh.behind.throttle).admit(now, &key(routed), priority, random);
    let refusal = admitted.err()?;
    let target = routed.route.target_latency;
    Some(refuse(mesh, &refusal, "arrival", name, priority, target))
}

/// Records how a request that was admitted here ended.
pub(crate) fn record_entry(mesh: &Mesh, routed: &RoutedRequest, outcome: &Outcome) {
    if routed.call.nested || !mesh.runtime.load().measured_admission {
        return;
    }
    let mut throttle = lock(&mesh.behind.throttle);
    match outcome {
        Outcome::NotRun {
            cause: Cause::Behind(service),
            ..
        } => throttle.refused(mesh.now(), &key(routed), service),
        // Refused for another reason, perhaps before the room behind was considered.
        Outcome::NotRun { .. } => {}
        Outcome::Answered(_) | Outcome::Unknown { .. } => {
            throttle.accepted(mesh.now(), &key(routed));
        }
    }
}

/// Refuses a new request that is to run here, or returns `None` to admit it.
pub(crate) fn try_refuse_run(
    mesh: &Mesh,
    call: &Call,
    route: &str,
    target: Duration,
) -> Option<Outcome> {
    if call.nested {
        return None;
    }
    let (now, random) = (mesh.now(), rand::rng().random());
    let admitted = lock(&mesh.behind.control).admit(now, route, call.priority, random);
    let refusal = admitted.err()?;
    Some(refuse(
        mesh,
        &refusal,
        "backend",
        route,
        call.priority,
        target,
    ))
}

/// A run of the local backend server, until it is dropped.
pub(crate) struct Run<'a> {
    mesh: &'a Mesh,
    route: &'a str,
}

impl<'a> Run<'a> {
    pub(crate) fn start(mesh: &'a Mesh, route: &'a str) -> Run<'a> {
        lock(&mesh.behind.learner).run_started(mesh.now(), route);
        Run { mesh, route }
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        let now = self.mesh.now();
        let behind = &self.mesh.behind;
        lock(&behind.learner).run_ended(self.route);
        let dependences = behind.dependences(now, self.route);
        let mut control = lock(&behind.control);
        control.ran(now, self.route, &dependences);
        for dependence in dependences {
            let admitted = control
                .bounded(now)
                .find(|(name, _)| *name == &*dependence.service);
            let admitted = admitted.map_or(1.0, |(_, admitted)| admitted);
            let service = Service::from(&*dependence.service);
            self.mesh
                .metrics
                .admitted_by_room
                .get_or_create(&service)
                .set(admitted);
        }
    }
}

/// Returns what the runs of a nested call's route depend on, for the answer to it.
pub(crate) fn report(mesh: &Mesh, call: &Call, route: Option<&str>) -> Vec<frame::Dependence> {
    let Some(route) = route.filter(|_| call.nested) else {
        return Vec::new();
    };
    let dependences = mesh.behind.dependences(mesh.now(), route);
    let to_frame = |dependence: Dependence| frame::Dependence {
        service: dependence.service.into(),
        calls_milli: (dependence.calls * MILLI) as u32,
        failed_milli: (dependence.failed * MILLI) as u32,
    };
    dependences.into_iter().map(to_frame).collect()
}

/// A nested call of the local backend server.
pub(crate) struct Nested<'a> {
    mesh: &'a Mesh,
    service: &'a str,
    started: Duration,
    deadline: Duration,
    has_ended: bool,
}

impl<'a> Nested<'a> {
    /// Records that the backend server makes a call; `None` if the request is not one.
    pub(crate) fn start(mesh: &'a Mesh, routed: &'a RoutedRequest) -> Option<Nested<'a>> {
        if !routed.call.nested {
            return None;
        }
        let started = mesh.now();
        lock(&mesh.behind.learner).nested_started(started, &routed.service);
        Some(Nested {
            mesh,
            service: &routed.service,
            started,
            deadline: routed.deadline,
            has_ended: false,
        })
    }

    /// Records the outcome, or that there was none in time.
    pub(crate) fn end(mut self, outcome: Option<&Outcome>) {
        let limit = self.deadline.saturating_sub(self.started);
        let end = match outcome {
            Some(Outcome::Answered(answer)) => {
                self.observe_behind(&answer.dependences);
                let waited = Duration::from_millis(answer.waited_ms.into());
                NestedEnd::Answered {
                    waited: waited.as_secs_f64() / limit.as_secs_f64().max(f64::MIN_POSITIVE),
                }
            }
            Some(Outcome::NotRun {
                cause: Cause::NoRoom,
                ..
            }) => NestedEnd::Refused,
            Some(Outcome::NotRun { .. }) => NestedEnd::Abandoned,
            Some(Outcome::Unknown { .. }) | None => self.end_by_time(),
        };
        self.record(end);
    }

    /// Takes in what the runs of the call's service depend on.
    fn observe_behind(&self, reported: &[frame::Dependence]) {
        let mut dependences = Vec::new();
        for dependence in reported {
            // The requests to this node's own service are admitted by themselves.
            if *dependence.service == *self.mesh.settings.service {
                continue;
            }
            dependences.push(Dependence {
                service: (*dependence.service).into(),
                calls: f64::from(dependence.calls_milli) / MILLI,
                failed: f64::from(dependence.failed_milli) / MILLI,
            });
        }
        let now = self.mesh.now();
        lock(&self.mesh.behind.learner).observe_behind(self.service, &dependences);
        let mut control = lock(&self.mesh.behind.control);
        for dependence in &dependences {
            control.nested_ended(now, &dependence.service, dependence.failed);
        }
    }

    fn end_by_time(&self) -> NestedEnd {
        let limit = self.deadline.saturating_sub(self.started);
        match self.mesh.now() >= self.started + limit.mul_f64(LATE_FRACTION) {
            true => NestedEnd::Late,
            false => NestedEnd::Abandoned,
        }
    }

    fn record(&mut self, end: NestedEnd) {
        self.has_ended = true;
        let now = self.mesh.now();
        lock(&self.mesh.behind.learner).nested_ended(now, self.service, end);
        if let Some(failed) = end.failed() {
            lock(&self.mesh.behind.control).nested_ended(now, self.service, failed);
        }
        let end = match end {
            NestedEnd::Answered { .. } => "answered",
            NestedEnd::Refused => "refused",
            NestedEnd::Late => "late",
            NestedEnd::Abandoned => "abandoned",
        };
        let labels = NestedCall {
            service: self.service.into(),
            end,
        };
        self.mesh.metrics.nested_calls.get_or_create(&labels).inc();
    }
}

impl Drop for Nested<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            // The backend server has left: its own time limit may have ended.
            let end = self.end_by_time();
            self.record(end);
        }
    }
}
