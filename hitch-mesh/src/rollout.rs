//! Gradual replacement of the version of a service: applies the decisions of `hitch_rollout`.
//!
//! The readers of the store learn of an order and announce it to all nodes. One of them writes the status record by which
//! it becomes the controller, sends instructions to all nodes by gossip, and gets the evidence of the nodes next to the
//! backend servers of the service directly. Every node keeps to the latest instruction by itself.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hitch_edge::backend::Error as BackendError;
use hitch_gate::shards::lock;
use hitch_rollout::Controller;
use hitch_rollout::Instruction;
use hitch_rollout::ORIGIN;
use hitch_rollout::Order;
use hitch_rollout::Phase;
use hitch_rollout::State as RolloutState;
use hitch_rollout::Status;
use hitch_rollout::Traffic;
use hitch_rollout::controller::Decision;
use hitch_rollout::evidence;
use hitch_rollout::evidence::Counts;
use hitch_rollout::recorder::Ended;
use hitch_rollout::recorder::Recorder;
use hitch_rollout::recorder::WARM_UP;
use hitch_rollout::traffic::Choice;
use hitch_rollout::writer::Action;
use hitch_rollout::writer::Answer;
use hitch_rollout::writer::Goal;
use hitch_rollout::writer::Progress;
use hitch_rollout::writer::Writer;
use hitch_route::pool::Versions;
use rand::RngExt;
use tokio::sync::Notify;

use crate::execute;
use crate::frame::Call;
use crate::frame::Kind;
use crate::frame::Rollout;
use crate::frame::RolloutEvidence;
use crate::frame::RolloutPhase;
use crate::frame::RouteCounts;
use crate::link::FrameSender;
use crate::mesh::Mesh;
use crate::mesh::Server;
use crate::metrics::RolloutDecision;
use crate::metrics::RolloutRequest;
use crate::metrics::Service;
use crate::outcome::Outcome;
use crate::settings::RolloutBounds;
use crate::store;
use crate::store::OrderRecord;
use crate::store::Record;
use crate::store::Topic;

/// Interval at which a controller judges the evidence.
const CONTROLLER_TICK: Duration = Duration::from_millis(100);
/// Interval at which other nodes send their evidence and check whether the order has a controller.
const TICK: Duration = Duration::from_millis(250);
/// Time between two ticks from which this node counts as suspended: others have taken over, and its evidence is old.
const SUSPENDED_AFTER: Duration = Duration::from_millis(1_500);
/// Mean pause after the first failed operation of the store.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest mean pause. The store charges for each call, and an order lasts only some seconds.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Time for which a controller repeats the final instruction, for nodes that missed it.
const REPEAT_FINAL_FOR: Duration = Duration::from_secs(3);
/// Delay of a reader for each reader before it when all check the final statuses after the store was unavailable, so that
/// one of them restores a lost one.
const VERIFY_RANK_DELAY: Duration = Duration::from_millis(400);

/// The orders that a node knows of.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    /// Whether any order is known. While none is, requests take no lock for this module.
    is_active: AtomicBool,
    services: Mutex<BTreeMap<Box<str>, ServiceRollout>>,
    /// Counts of the local backend server while its service has an order.
    recorder: Mutex<Recorder>,
    /// Time at which the local backend server has warmed up by its latest report, in milliseconds since the start of the
    /// process.
    warm_at_ms: AtomicU64,
    /// Wakes the task of this module.
    wake: Notify,
    /// Whether the final statuses are to be compared with the store.
    must_verify: AtomicBool,
    /// Whether a task does so.
    is_verifying: AtomicBool,
}

#[derive(Debug)]
struct ServiceRollout {
    traffic: Traffic,
    /// Address of the controller, empty if unknown.
    controller: Box<str>,
    /// Whether the order is of a version whose earlier order ended.
    is_repeated: bool,
    is_withdrawn: bool,
    /// Whether a task writes the claim of this node.
    is_claiming: bool,
    /// Set while this node is the controller.
    controlled: Option<Controlled>,
}

impl ServiceRollout {
    fn new(traffic: Traffic) -> ServiceRollout {
        ServiceRollout {
            traffic,
            controller: "".into(),
            is_repeated: false,
            is_withdrawn: false,
            is_claiming: false,
            controlled: None,
        }
    }
}

#[derive(Debug)]
struct Controlled {
    controller: Controller,
    next_instruction: Duration,
    is_writing: bool,
    last_tick: Duration,
    /// End of the time for which the final instruction is repeated.
    repeat_until: Option<Duration>,
}

/// Returns the present time as `hitch_rollout` counts it.
fn now(mesh: &Mesh) -> Duration {
    mesh.now() + ORIGIN
}

fn bounds(mesh: &Mesh) -> Option<RolloutBounds> {
    mesh.runtime.load().rollout
}

fn is_active(mesh: &Mesh) -> bool {
    mesh.rollouts.is_active.load(Ordering::Relaxed)
}

/// Decides which version a request goes to, or returns `None` if the service has no order.
pub(crate) fn choose(mesh: &Mesh, service: &str) -> Option<Choice> {
    if !is_active(mesh) {
        return None;
    }
    let (choice, has_ended) = {
        let mut services = lock(&mesh.rollouts.services);
        let traffic = &mut services.get_mut(service)?.traffic;
        (traffic.choose(now(mesh)), traffic.phase().is_final())
    };
    if has_ended {
        return Some(choice);
    }
    let labels = RolloutRequest {
        service: service.into(),
        version: if choice.is_new { "new" } else { "old" },
    };
    mesh.metrics.rollout_requests.get_or_create(&labels).inc();
    Some(choice)
}

/// Returns the backend servers among which a request's next attempt chooses, in the order of preference. Only the first
/// attempt goes to an unproved version.
pub(crate) fn candidates(choice: Option<&Choice>, is_first: bool) -> [Option<Versions<'_>>; 5] {
    let Some(choice) = choice else {
        return [Some(Versions::Any), None, None, None, None];
    };
    let is_new = choice.is_whole || choice.is_new && is_first;
    let only = |instances| Versions::Only {
        version: &choice.target_version,
        instances,
    };
    let except = |unknown| Versions::Except {
        versions: &choice.excluded,
        unknown,
    };
    [
        (is_new && !choice.canaries.is_empty()).then(|| only(&*choice.canaries)),
        is_new.then(|| only(&[])),
        Some(except(true)),
        // Backend servers whose first report has not arrived.
        Some(except(false)),
        choice.may_fall_back.then_some(Versions::Any),
    ]
}

/// Returns whether the node refuses calls for its backend server, whose version is not released, was rolled back or is
/// bad.
pub(crate) fn is_refused(mesh: &Mesh) -> bool {
    if !is_active(mesh) {
        return false;
    }
    let version = own_version(mesh);
    let services = lock(&mesh.rollouts.services);
    let Some(rollout) = services.get(&mesh.settings.service) else {
        return false;
    };
    let traffic = &rollout.traffic;
    !traffic.admits(now(mesh), &version)
        || is_unproved(traffic, &version) && lock(&mesh.rollouts.recorder).has_stopped()
}

fn is_unproved(traffic: &Traffic, version: &str) -> bool {
    *traffic.target_version() == *version && traffic.phase() != Phase::Completed
}

fn own_version(mesh: &Mesh) -> Box<str> {
    let state = mesh.state.borrow();
    let member = state.member.as_ref();
    member.map_or("".into(), |member| (*member.software_version).into())
}

/// Records for how long the local backend server will be warming up, as it reported.
pub(crate) fn on_report(mesh: &Mesh, cold_remaining: Duration) {
    if cold_remaining > Duration::ZERO {
        let warm_at = mesh.now().saturating_add(cold_remaining);
        let warm_at_ms = warm_at.as_millis() as u64;
        let rollouts = &mesh.rollouts;
        rollouts.warm_at_ms.store(warm_at_ms, Ordering::Relaxed);
    }
}

/// Records an answer of the local backend server.
pub(crate) fn record_outcome(
    mesh: &Mesh,
    server: &Server,
    call: &Call,
    outcome: &Outcome,
    latency: Duration,
) {
    let ended = match outcome {
        Outcome::NotRun { .. } => return,
        outcome if execute::is_failure(outcome) => Ended::Failed,
        _ => Ended::Answered,
    };
    record(mesh, server, call, ended, latency);
}

/// Records a call that the local backend server did not answer.
pub(crate) fn record_error(
    mesh: &Mesh,
    server: &Server,
    call: &Call,
    err: &BackendError,
    latency: Duration,
) {
    let ended = match err {
        err if err.is_not_run() => return,
        BackendError::DeadlineExceeded { .. } => Ended::TimedOut,
        _ => Ended::Failed,
    };
    record(mesh, server, call, ended, latency);
}

fn record(mesh: &Mesh, server: &Server, call: &Call, ended: Ended, latency: Duration) {
    if !is_active(mesh) {
        return;
    }
    let version = own_version(mesh);
    let is_unguided = {
        let services = lock(&mesh.rollouts.services);
        let Some(rollout) = services.get(&mesh.settings.service) else {
            return;
        };
        if rollout.traffic.phase().is_final() {
            return;
        }
        is_unproved(&rollout.traffic, &version) && !rollout.traffic.is_guided(now(mesh))
    };
    let table = mesh.table.load();
    let path = call.path.split('?').next().unwrap_or_default();
    let route = table.as_ref().and_then(|t| t.try_find(&call.host, path));
    let route = route.map_or("", |route| &route.name);
    let sent = mesh.now().saturating_sub(latency);
    let is_cold = is_cold(mesh, server, sent);
    let mut recorder = lock(&mesh.rollouts.recorder);
    recorder.record(&server.id, route, ended, latency, is_cold);
    let is_bad = ended != Ended::Answered;
    if is_bad && is_unguided && recorder.record_unguided_failure() {
        drop(recorder);
        if let Some(suppressed) = mesh.reporter.try_write("rollout stopped", mesh.now()) {
            slog::warn!(mesh.reporter.log(), "rollout: calls refused, the unproved version fails without a controller";
                "version" => %version, "suppressed" => suppressed);
        }
    }
}

/// Returns whether the local backend server was warming up at a time.
fn is_cold(mesh: &Mesh, server: &Server, time: Duration) -> bool {
    let warm_at = Duration::from_millis(mesh.rollouts.warm_at_ms.load(Ordering::Relaxed));
    time < warm_at.max(server.opened + WARM_UP)
}

/// Takes in the orders among records of the store. `is_live` states that the records are new.
pub(crate) fn learn_orders(mesh: &Arc<Mesh>, records: &[Record], is_live: bool) {
    if bounds(mesh).is_none() {
        return;
    }
    for record in records {
        match (mesh.store.rollouts.decode_order)(record) {
            None => {}
            Some(Ok(OrderRecord::Ordered(order))) => learn_order(mesh, &order, is_live),
            Some(Ok(OrderRecord::Withdrawn { service })) => {
                if let Some(rollout) = lock(&mesh.rollouts.services).get_mut(&service) {
                    rollout.is_withdrawn = true;
                }
            }
            Some(Err(reason)) => {
                slog::warn!(mesh.reporter.log(), "rollout: order cannot be decoded, ignored";
                    "key" => %record.key, "reason" => %reason);
            }
        }
    }
    if !is_live && is_active(mesh) {
        // The store was unavailable, and may have come back without the latest statuses.
        mesh.rollouts.must_verify.store(true, Ordering::Relaxed);
    }
    mesh.rollouts.wake.notify_one();
}

fn learn_order(mesh: &Arc<Mesh>, order: &Order, is_live: bool) {
    if is_live && is_in_use(mesh, &order.service, &order.target_version) {
        slog::warn!(mesh.reporter.log(), "rollout: order ignored, all backend servers have the version";
            "service" => %order.service, "version" => %order.target_version);
        return;
    }
    let now = now(mesh);
    let (version, duration) = (&order.target_version, order.duration);
    let is_new = {
        let mut services = lock(&mesh.rollouts.services);
        match services.get_mut(&order.service) {
            Some(rollout) => {
                let is_repeated = *rollout.traffic.target_version() == **version;
                let is_new = rollout.traffic.order(now, version, duration, is_live);
                if is_new {
                    rollout.is_repeated = is_repeated;
                    rollout.is_withdrawn = false;
                    rollout.controlled = None;
                    rollout.controller = "".into();
                }
                is_new
            }
            None => {
                let traffic = Traffic::ordered(now, version, duration, is_live, credit());
                services.insert(order.service.clone(), ServiceRollout::new(traffic));
                true
            }
        }
    };
    if !is_new {
        return;
    }
    on_new_order(mesh, &order.service);
    slog::info!(mesh.reporter.log(), "rollout: ordered"; "service" => %order.service,
        "version" => %version, "duration_ms" => duration.as_millis() as u64, "live" => is_live);
    let announcement = frame(mesh, &order.service);
    if let Some(announcement) = announcement.filter(|_| is_live) {
        mesh.spread(&announcement);
        mesh.spread_to_other_zones(&announcement);
    }
}

/// Returns whether all backend servers of a service have a version: they would get no requests for an order of it.
fn is_in_use(mesh: &Mesh, service: &str, version: &str) -> bool {
    let mut pools = mesh.pools.lock(service);
    let pool = pools.get_mut(service);
    pool.is_some_and(|pool| pool.has_only(version))
}

/// Starts new counts if the order is for the local backend server's service.
fn on_new_order(mesh: &Mesh, service: &str) {
    if *service == *mesh.settings.service {
        *lock(&mesh.rollouts.recorder) = Recorder::default();
    }
    mesh.rollouts.is_active.store(true, Ordering::Relaxed);
}

fn credit() -> f64 {
    rand::rng().random_range(0.0..1.0)
}

/// Sends what this node knows of all orders to a peer.
pub(crate) fn introduce(mesh: &Mesh, tx: &FrameSender) {
    if !is_active(mesh) {
        return;
    }
    let services: Vec<Box<str>> = lock(&mesh.rollouts.services).keys().cloned().collect();
    for service in services {
        if let Some(frame) = frame(mesh, &service) {
            // Sending fails only if the connection has ended; then the peer needs nothing.
            let _ = tx.send(frame);
        }
    }
}

/// Returns the frame by which a peer learns what this node knows of a service's order.
fn frame(mesh: &Mesh, service: &str) -> Option<Kind> {
    let services = lock(&mesh.rollouts.services);
    let rollout = services.get(service)?;
    let instruction = rollout.traffic.instruction(now(mesh));
    Some(to_frame(service, &instruction, &rollout.controller))
}

fn to_frame(service: &str, instruction: &Instruction, controller: &str) -> Kind {
    let phase = match instruction.phase {
        Phase::Ordered => RolloutPhase::Ordered,
        Phase::Running => RolloutPhase::Running,
        Phase::Completed => RolloutPhase::Completed,
        Phase::RolledBack => RolloutPhase::RolledBack,
    };
    let canaries = instruction.canaries.iter();
    Kind::Rollout(Rollout {
        service: service.into(),
        target_version: instruction.target_version.to_string(),
        phase: phase.into(),
        term: instruction.term,
        sequence: instruction.sequence,
        share: instruction.share,
        canaries: canaries.map(|canary| canary.to_string()).collect(),
        duration_ms: instruction.duration.as_millis() as u64,
        age_ms: instruction.age.as_millis() as u64,
        issued_ms: instruction.issued.as_millis() as u64,
        controller: controller.into(),
    })
}

fn from_frame(frame: &Rollout) -> Instruction {
    let canaries = frame.canaries.iter();
    Instruction {
        target_version: (*frame.target_version).into(),
        phase: match frame.phase() {
            RolloutPhase::Ordered => Phase::Ordered,
            RolloutPhase::Running => Phase::Running,
            RolloutPhase::Completed => Phase::Completed,
            RolloutPhase::RolledBack => Phase::RolledBack,
        },
        term: frame.term,
        sequence: frame.sequence,
        share: frame.share.clamp(0.0, 1.0),
        canaries: canaries.map(|canary| (**canary).into()).collect(),
        duration: Duration::from_millis(frame.duration_ms),
        age: Duration::from_millis(frame.age_ms),
        issued: Duration::from_millis(frame.issued_ms),
    }
}

/// Takes in what a peer sent of an order, and passes it on if it is new.
pub(crate) fn on_instruction(mesh: &Arc<Mesh>, received: Rollout) {
    if bounds(mesh).is_none() || received.target_version.is_empty() {
        return;
    }
    if apply(
        mesh,
        &received.service,
        &from_frame(&received),
        &received.controller,
    ) && let Some(frame) = frame(mesh, &received.service)
    {
        mesh.spread(&frame);
    }
}

/// Applies an instruction, and returns whether it was new.
fn apply(mesh: &Mesh, service: &str, instruction: &Instruction, controller: &str) -> bool {
    let now = now(mesh);
    let (is_new_order, before, after) = {
        let mut services = lock(&mesh.rollouts.services);
        let before: Option<(Box<str>, Phase)> = services.get(service).map(|rollout| {
            let traffic = &rollout.traffic;
            (traffic.target_version().into(), traffic.phase())
        });
        let rollout = match services.get_mut(service) {
            Some(rollout) => {
                if !rollout.traffic.apply(now, instruction) {
                    return false;
                }
                rollout
            }
            None => {
                let traffic = Traffic::from_instruction(now, instruction, credit());
                let rollout = ServiceRollout::new(traffic);
                services.entry(service.into()).or_insert(rollout)
            }
        };
        rollout.controller = controller.into();
        rollout.is_repeated &= instruction.phase == Phase::Ordered;
        if let Some(controlled) = &rollout.controlled
            && controller != &*mesh.own_address()
        {
            let term = controlled.controller.term();
            rollout.controlled = None;
            count(mesh, service, "superseded");
            slog::info!(mesh.reporter.log(), "rollout: another node is the controller";
                "service" => service, "term" => term, "new_term" => instruction.term);
        }
        let after: (Box<str>, Phase) = (
            rollout.traffic.target_version().into(),
            rollout.traffic.phase(),
        );
        let was_ended = before.as_ref().is_some_and(|(_, phase)| phase.is_final());
        let is_same = before
            .as_ref()
            .is_some_and(|(version, _)| *version == after.0);
        let is_new_order = !is_same || was_ended && !after.1.is_final();
        (is_new_order, before, after)
    };
    if is_new_order {
        on_new_order(mesh, service);
    }
    let label = Service::from(service);
    let share = mesh.metrics.rollout_share.get_or_create(&label);
    share.set(instruction.share);
    if before.as_ref() != Some(&after) {
        slog::info!(mesh.reporter.log(), "rollout: {:?}", after.1; "service" => service,
            "version" => %after.0, "term" => instruction.term, "controller" => controller);
        mesh.rollouts.wake.notify_one();
    }
    true
}

/// Takes in the evidence of a node.
pub(crate) fn on_evidence(mesh: &Mesh, frame: RolloutEvidence) {
    let now = now(mesh);
    let mut services = lock(&mesh.rollouts.services);
    let Some(rollout) = services.get_mut(&*frame.service) else {
        return;
    };
    let Some(controlled) = &mut rollout.controlled else {
        return;
    };
    if *controlled.controller.target_version() != *frame.target_version {
        return;
    }
    let routes = frame.routes.into_iter().map(|route| {
        let mut buckets = route.buckets;
        buckets.truncate(evidence::BUCKETS);
        let counts = Counts {
            answers: route.answers,
            failures: route.failures,
            cold_answers: route.cold_answers,
            cold_failures: route.cold_failures,
            buckets,
        };
        (route.route.into(), counts)
    });
    let report = evidence::Report {
        address: frame.address.into(),
        version: frame.version.into(),
        incarnation: frame.incarnation.into(),
        number: frame.number,
        in_flight: frame.in_flight,
        accepts: frame.accepts,
        is_cold: frame.is_cold,
        routes: routes.collect(),
    };
    controlled.controller.add(now, report);
}

/// Sends evidence, takes over orders without a controller and runs the controllers of this node, for as long as the
/// process runs.
pub(crate) async fn run(mesh: Arc<Mesh>) {
    let mut next_evidence = Duration::ZERO;
    loop {
        let woken = mesh.rollouts.wake.notified();
        let pause = match bounds(&mesh) {
            Some(bounds) if is_active(&mesh) => tick(&mesh, bounds, &mut next_evidence),
            _ => None,
        };
        match pause {
            Some(pause) => {
                let _ = tokio::time::timeout(pause, woken).await;
            }
            None => woken.await,
        }
    }
}

/// Does what is due, and returns the time until the next tick, or `None` if all orders have ended.
fn tick(mesh: &Arc<Mesh>, bounds: RolloutBounds, next_evidence: &mut Duration) -> Option<Duration> {
    let services: Vec<Box<str>> = lock(&mesh.rollouts.services).keys().cloned().collect();
    let mut pause = None;
    for service in &services {
        let next = tick_service(mesh, bounds, service);
        pause = pause.into_iter().chain(next).min();
    }
    let now = mesh.now();
    // Without another tick, the connection to the controller is given up now.
    if now >= *next_evidence || pause.is_none() {
        *next_evidence = now + TICK;
        send_evidence(mesh);
    }
    let rollouts = &mesh.rollouts;
    if rollouts.must_verify.load(Ordering::Relaxed)
        && !rollouts.is_verifying.swap(true, Ordering::Relaxed)
    {
        rollouts.must_verify.store(false, Ordering::Relaxed);
        let mesh = mesh.clone();
        tokio::spawn(async move {
            verify(&mesh).await;
            mesh.rollouts.is_verifying.store(false, Ordering::Relaxed);
            mesh.rollouts.wake.notify_one();
        });
    }
    pause
}

/// What the controller of a service does next.
#[derive(Default)]
struct Due {
    decision: Option<Decision>,
    instruction: Option<Instruction>,
    must_write: bool,
    must_claim: bool,
}

fn tick_service(mesh: &Arc<Mesh>, bounds: RolloutBounds, service: &str) -> Option<Duration> {
    let now = now(mesh);
    let (is_reader, rank) = {
        let members = lock(&mesh.members);
        (members.is_reader(), members.reader_rank(service))
    };
    let mut due = Due::default();
    let pause = {
        let mut services = lock(&mesh.rollouts.services);
        let rollout = services.get_mut(service)?;
        let controlled = rollout.controlled.as_ref();
        let was_suspended = controlled.is_some_and(|c| now > c.last_tick + SUSPENDED_AFTER);
        if was_suspended {
            rollout.controlled = None;
        }
        let is_withdrawn = rollout.is_withdrawn;
        match &mut rollout.controlled {
            Some(controlled) => {
                due = tick_controller(controlled, is_withdrawn, now);
                let is_over = controlled.repeat_until.is_some_and(|until| now >= until);
                if is_over {
                    rollout.controlled = None;
                }
                (!is_over).then_some(CONTROLLER_TICK)
            }
            None => {
                let is_due = now >= rollout.traffic.takeover_at(rank);
                let has_ended = rollout.traffic.phase().is_final();
                due.must_claim = is_reader && is_due && !has_ended && !rollout.is_claiming;
                rollout.is_claiming |= due.must_claim;
                (!has_ended).then_some(TICK)
            }
        }
    };
    if let Some(decision) = &due.decision {
        report(mesh, service, decision);
    }
    if let Some(instruction) = &due.instruction {
        send_instruction(mesh, service, instruction);
    }
    if due.must_write {
        tokio::spawn(write_end(mesh.clone(), service.into()));
    }
    if due.must_claim {
        tokio::spawn(claim(mesh.clone(), service.into(), bounds));
    }
    pause
}

fn tick_controller(controlled: &mut Controlled, is_withdrawn: bool, now: Duration) -> Due {
    controlled.last_tick = now;
    let controller = &mut controlled.controller;
    let decision = match is_withdrawn {
        true => controller.withdraw(now),
        false => controller.tick(now),
    };
    if decision.is_some() {
        controlled.next_instruction = now;
    }
    let must_write = controller.ending().is_some() && !controlled.is_writing;
    controlled.is_writing |= must_write;
    if controller.confirmed().is_some() && controlled.repeat_until.is_none() {
        controlled.repeat_until = Some(now + REPEAT_FINAL_FOR);
        controlled.next_instruction = now;
    }
    let instruction = (now >= controlled.next_instruction).then(|| {
        controlled.next_instruction = now + controller.interval();
        controller.instruction(now)
    });
    Due {
        decision,
        instruction,
        must_write,
        must_claim: false,
    }
}

fn send_instruction(mesh: &Mesh, service: &str, instruction: &Instruction) {
    let own = mesh.own_address();
    apply(mesh, service, instruction, &own);
    let frame = to_frame(service, instruction, &own);
    mesh.spread(&frame);
    mesh.spread_to_other_zones(&frame);
}

/// Reports a decision to operators.
fn report(mesh: &Mesh, service: &str, decision: &Decision) {
    let (label, text) = match decision {
        Decision::Step {
            share,
            canaries,
            answers,
            age,
        } => {
            let age = age.as_secs_f64();
            let text = format!(
                "share {share} on {canaries} servers (0: all), {answers} answers, {age:.1} s"
            );
            ("step", text)
        }
        Decision::End {
            state,
            reason,
            answers,
            age,
        } => {
            let age = age.as_secs_f64();
            let text = format!("{reason}; {answers} answers, {age:.1} s");
            match state {
                RolloutState::Completed => ("completed", text),
                _ => ("rolled back", text),
            }
        }
    };
    count(mesh, service, label);
    if let Some(suppressed) = mesh.reporter.try_write("rollout decision", mesh.now()) {
        slog::info!(mesh.reporter.log(), "rollout: {}", label; "service" => service, "why" => &text,
            "suppressed" => suppressed);
    }
    let text = format!("rollout of {service}: {label}, {text}");
    let recorder = mesh.reporter.recorder();
    recorder.record_unlogged(hitch_event::Kind::Log, Default::default(), text);
}

fn count(mesh: &Mesh, service: &str, decision: &'static str) {
    let labels = RolloutDecision {
        service: service.into(),
        decision,
    };
    mesh.metrics.rollout_decisions.get_or_create(&labels).inc();
}

/// Sends the counts of the local backend server to the controller of its service's order, and connects to it if need be.
fn send_evidence(mesh: &Mesh) {
    let service = &*mesh.settings.service;
    let (target_version, controller) = {
        let services = lock(&mesh.rollouts.services);
        let rollout = services.get(service);
        match rollout.filter(|rollout| !rollout.traffic.phase().is_final()) {
            Some(rollout) => {
                let target_version = rollout.traffic.target_version().to_owned();
                (target_version, rollout.controller.clone())
            }
            None => (String::new(), "".into()),
        }
    };
    let own = mesh.own_address();
    let mut required = BTreeSet::new();
    if !controller.is_empty() && controller != own {
        required.insert(controller.clone());
    }
    if lock(&mesh.members).set_required("rollouts", required) {
        mesh.dial_wake.notify_one();
    }
    let server = mesh.server.load_full();
    let Some(server) = server.filter(|_| !controller.is_empty()) else {
        return;
    };
    let (has_stopped, (number, routes)) = {
        let mut recorder = lock(&mesh.rollouts.recorder);
        (recorder.has_stopped(), recorder.take(&server.id))
    };
    let routes = routes.into_iter().map(|(route, counts)| RouteCounts {
        route: route.into(),
        answers: counts.answers,
        failures: counts.failures,
        cold_answers: counts.cold_answers,
        cold_failures: counts.cold_failures,
        buckets: counts.buckets,
    });
    let evidence = RolloutEvidence {
        service: service.into(),
        target_version,
        address: own.to_string(),
        version: own_version(mesh).into(),
        incarnation: server.id.to_string(),
        number,
        in_flight: mesh.calls_in_flight.load(Ordering::Relaxed) as u32,
        accepts: mesh.state.borrow().accepts && !has_stopped,
        routes: routes.collect(),
        is_cold: is_cold(mesh, &server, mesh.now()),
    };
    match controller == own {
        true => on_evidence(mesh, evidence),
        false => {
            if let Some(link) = mesh.try_link(&controller) {
                link.send(Kind::RolloutEvidence(evidence));
            }
        }
    }
}

/// Runs an operation on the status record of a service.
async fn perform(mesh: &Mesh, service: &str, action: Action) -> Answer {
    match action {
        Action::Read => {
            let result = (mesh.store.newest)(Topic::Status).await;
            mesh.metrics.store_call("newest", result.is_ok());
            let Ok(page) = result else {
                // A read has no effect.
                return Answer::Refused;
            };
            let statuses = page.records.iter().rev();
            let mut statuses = statuses.filter_map(|r| (mesh.store.rollouts.decode_status)(r));
            let status = statuses.find(|(name, _)| **name == *service);
            Answer::Read {
                end: page.end,
                status: status.map(|(_, status)| status),
            }
        }
        Action::Append { status, at } => {
            let record = (mesh.store.rollouts.encode_status)(service, &status);
            let result = (mesh.store.append_at)(Topic::Status, record, at).await;
            mesh.metrics.store_call("append", result.is_ok());
            match result {
                Ok(_) => Answer::Appended,
                Err(store::Error::Conflict { .. }) => Answer::Conflict,
                Err(store::Error::Refused { .. }) => Answer::Refused,
                Err(_) => Answer::NoAnswer,
            }
        }
    }
}

/// Waits after the given number of failed operations in a row.
async fn pause(failures: u32) {
    let pause = RETRY_PAUSE * 2u32.saturating_pow(failures.saturating_sub(1).min(8));
    let jitter = rand::rng().random_range(0.7..1.3);
    tokio::time::sleep(pause.min(MAX_RETRY_PAUSE).mul_f64(jitter)).await;
}

/// Writes the status record by which this node becomes the controller of an order, unless another one does.
async fn claim(mesh: Arc<Mesh>, service: Box<str>, bounds: RolloutBounds) {
    let goal = Goal::Claim;
    let mut writer: Option<Writer> = None;
    let mut failures = 0;
    loop {
        let rank = lock(&mesh.members).reader_rank(&service);
        let action = {
            let mut services = lock(&mesh.rollouts.services);
            let Some(rollout) = services.get_mut(&service) else {
                return;
            };
            let traffic = &rollout.traffic;
            let is_due = now(&mesh) >= traffic.takeover_at(rank) && !traffic.phase().is_final();
            if !is_due {
                rollout.is_claiming = false;
                return;
            }
            let version = traffic.target_version();
            // Another order may have come meanwhile.
            writer.take_if(|writer| *writer.target_version() != *version);
            let new = || Writer::new(version, rollout.is_repeated, None);
            writer.get_or_insert_with(new).next(goal)
        };
        let answer = perform(&mesh, &service, action).await;
        let Some(progress) = writer.as_mut().map(|writer| writer.answered(goal, answer)) else {
            continue;
        };
        match progress {
            Progress::Continue => continue,
            Progress::Retry => {
                failures += 1;
                pause(failures).await;
                continue;
            }
            _ => {}
        }
        let target = writer
            .as_ref()
            .map(|writer| Box::from(writer.target_version()));
        let mut services = lock(&mesh.rollouts.services);
        let Some(rollout) = services.get_mut(&service) else {
            return;
        };
        if target.as_deref() != Some(rollout.traffic.target_version()) {
            drop(services);
            continue;
        }
        rollout.is_claiming = false;
        let now = now(&mesh);
        match progress {
            Progress::Written { term, was_running } => {
                let mut controller = Controller::new(now, &rollout.traffic, term, bounds.exposure);
                if was_running && rollout.traffic.ordered_at().is_none() {
                    controller.expire(now);
                }
                rollout.is_repeated = false;
                rollout.controlled = Some(Controlled {
                    controller,
                    next_instruction: now,
                    is_writing: false,
                    last_tick: now,
                    repeat_until: None,
                });
                drop(services);
                count(&mesh, &service, "claimed");
                slog::info!(mesh.reporter.log(), "rollout: this node is the controller"; "service" => %service,
                    "term" => term, "rank" => rank);
            }
            Progress::Ended { state, term } => {
                rollout.traffic.end(now, Phase::from(state), term);
                drop(services);
                if let Some(frame) = frame(&mesh, &service) {
                    mesh.spread(&frame);
                    mesh.spread_to_other_zones(&frame);
                }
            }
            Progress::Continue | Progress::Retry => {}
        }
        mesh.rollouts.wake.notify_one();
        return;
    }
}

/// Writes the final status of an order that this node controls.
async fn write_end(mesh: Arc<Mesh>, service: Box<str>) {
    let mut writer: Option<Writer> = None;
    let mut failures = 0;
    loop {
        let (goal, action) = {
            let services = lock(&mesh.rollouts.services);
            let rollout = services.get(&service);
            let Some(controlled) = rollout.and_then(|rollout| rollout.controlled.as_ref()) else {
                return;
            };
            let controller = &controlled.controller;
            // The controller may have changed its mind while the store was unavailable.
            let Some(state) = controller.ending() else {
                return;
            };
            let version = controller.target_version();
            let new = || Writer::new(version, false, Some(controller.term()));
            let goal = Goal::End(state);
            (goal, writer.get_or_insert_with(new).next(goal))
        };
        let is_append = matches!(action, Action::Append { .. });
        let answer = perform(&mesh, &service, action).await;
        let is_ambiguous = is_append && answer == Answer::NoAnswer;
        let Some(writer) = &mut writer else { return };
        let progress = writer.answered(goal, answer);
        let is_done = {
            let mut services = lock(&mesh.rollouts.services);
            let rollout = services.get_mut(&service);
            let Some(controlled) = rollout.and_then(|rollout| rollout.controlled.as_mut()) else {
                return;
            };
            let controller = &mut controlled.controller;
            if *controller.target_version() != *writer.target_version() {
                return;
            }
            if is_ambiguous {
                controller.set_may_be_written();
            }
            match (progress, goal) {
                (Progress::Written { term, .. }, Goal::End(state))
                | (Progress::Ended { state, term }, _) => {
                    controller.confirm(state, term);
                    true
                }
                _ => false,
            }
        };
        if is_done {
            slog::info!(mesh.reporter.log(), "rollout: final status written"; "service" => %service,
                "progress" => ?progress);
            mesh.rollouts.wake.notify_one();
            return;
        }
        if progress == Progress::Retry {
            if let Some(suppressed) = mesh.reporter.try_write("rollout status", mesh.now()) {
                slog::warn!(mesh.reporter.log(), "rollout: status not written yet"; "service" => %service,
                    "suppressed" => suppressed);
            }
            failures += 1;
            pause(failures).await;
        }
    }
}

/// Writes final statuses that the store has lost again.
async fn verify(mesh: &Mesh) {
    let finals: Vec<(Box<str>, Status)> = {
        let services = lock(&mesh.rollouts.services);
        let finals = services.iter().filter_map(|(service, rollout)| {
            let state = match rollout.traffic.phase() {
                Phase::Completed => RolloutState::Completed,
                Phase::RolledBack => RolloutState::RolledBack,
                Phase::Ordered | Phase::Running => return None,
            };
            let target_version = rollout.traffic.target_version().into();
            let status = Status {
                state,
                target_version,
            };
            Some((service.clone(), status))
        });
        finals.collect()
    };
    for (service, status) in finals {
        let (is_reader, rank) = {
            let members = lock(&mesh.members);
            (members.is_reader(), members.reader_rank(&service))
        };
        if !is_reader {
            return;
        }
        tokio::time::sleep(VERIFY_RANK_DELAY * rank as u32).await;
        let mut failures = 0;
        loop {
            let answer = perform(mesh, &service, Action::Read).await;
            let Answer::Read {
                end: at,
                status: found,
            } = answer
            else {
                failures += 1;
                pause(failures).await;
                continue;
            };
            // The record of another version belongs to a later order.
            let is_lost = found.is_none_or(|found| {
                found.target_version == status.target_version
                    && found.state == RolloutState::Running
            });
            if !is_lost {
                break;
            }
            let status = status.clone();
            if perform(mesh, &service, Action::Append { status, at }).await == Answer::Appended {
                slog::warn!(mesh.reporter.log(), "rollout: the store had lost the final status, written again";
                    "service" => %service);
                break;
            }
            failures += 1;
            pause(failures).await;
        }
    }
}
