//! Attempts of a call: the choice of a backend server for each, the retries, and the outcome of the call.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::FutureExt;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hitch_event::Kind;
use hitch_gate::shards::lock;
use hitch_retry::budget;
use hitch_retry::budget::Bucket;
use hitch_rollout::traffic::Choice;
use hitch_route::BackendKey;
use hitch_route::pool;
use hitch_route::pool::Finished;
use hitch_route::pool::Pick;
use tokio::task::JoinError;
use tokio::task::JoinHandle;

use crate::arrival::RETRY_AFTER_NO_BACKEND;
use crate::arrival::RoutedRequest;
use crate::cancel::CancelSignal;
use crate::execute;
use crate::frame::Answer;
use crate::frame::Call;
use crate::link::PendingCall;
use crate::mesh::Mesh;
use crate::nested;
use crate::outcome::Outcome;
use crate::rollout;

/// Time that a call cancelled at the end of the process has to return its outcome.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(150);
/// Most nodes that are tried in turn while none of them passes the call to its backend server. A node that has no room
/// refuses at once, so the tries take milliseconds.
const MAX_NODES: usize = 6;
/// Least remaining time for which another node is tried.
const MIN_REMAINING: Duration = Duration::from_millis(20);
/// Fraction of the target latency that a call may wait in its own zone before it goes to another one. Traffic between
/// zones is expensive, and a call that waits this long is still answered in time.
const ZONE_WAIT_FRACTION: f64 = 0.2;
/// Fraction of the retry budget that the nodes use. The rest is left for the calls that backend servers make when they
/// run a retry.
const OWN_BUDGET_FRACTION: f64 = 0.5;
/// Credit of one retry, in the unit of the bucket.
const MILLI_PER_RETRY: f64 = 1_000.0;

/// Sends the call to one backend server after the other, as far as the route and the retry budget allow.
///
/// An attempt at a node that became unresponsive stays open alongside the later ones: the node may only have been
/// suspended, and its answer counts like any other. The call ends as not run only if that is certain for every attempt.
pub(crate) async fn run(mesh: &Arc<Mesh>, routed: &RoutedRequest) -> Outcome {
    earn_retry_credit(mesh, &routed.service);
    if lock(&mesh.members).called(mesh.now(), &routed.service) {
        mesh.dial_wake.notify_one();
    }
    let choice = rollout::choose(mesh, &routed.service);
    let mut tried = Tried::default();
    let mut unresponsive = FuturesUnordered::new();
    let mut attempts_made = 0;
    let mut unknown = None;
    let mut last_not_run = Outcome::not_run("no backend server is known", RETRY_AFTER_NO_BACKEND);
    while tried.addresses.len() < MAX_NODES.max(routed.route.max_attempts as usize) {
        if routed.deadline < mesh.now() + MIN_REMAINING {
            break;
        }
        let Some(pick) = pick(mesh, routed, choice.as_ref(), &mut tried) else {
            break;
        };
        let may_retry = routed.route.idempotent && attempts_made + 1 < routed.route.max_attempts;
        let mut credit_spent = false;
        // An unresponsive node may still answer, so the call goes on to another node only if it can be retried.
        let try_fail_over = || {
            credit_spent = may_retry && try_spend_retry_credit(mesh, &routed.service);
            credit_spent
        };
        let end = tokio::select! {
            end = attempt(mesh, routed, &pick, try_fail_over) => end,
            Some(answer) = next_answer(&mut unresponsive) => return Outcome::Answered(answer),
        };
        let may_retry = match end {
            AttemptEnd::Outcome(Outcome::Answered(answer)) => return Outcome::Answered(answer),
            AttemptEnd::Outcome(outcome @ Outcome::NotRun { rejected, .. }) => {
                let is_final = outcome.is_no_room_behind();
                last_not_run = outcome.or_earlier_room(last_not_run);
                if is_final {
                    break;
                }
                if !rejected {
                    continue;
                }
                true
            }
            AttemptEnd::Outcome(outcome @ Outcome::Unknown { .. }) => {
                unknown = Some(outcome);
                routed.route.idempotent
            }
            AttemptEnd::Unresponsive(mut pending) => {
                unresponsive.push(async move { pending.outcome().await });
                unknown = Some(Outcome::unknown("the node is silent"));
                true
            }
        };
        attempts_made += 1;
        if !may_retry
            || attempts_made >= routed.route.max_attempts
            || !(credit_spent || try_spend_retry_credit(mesh, &routed.service))
        {
            break;
        }
        mesh.metrics.retries.inc();
        if let Some(suppressed) = mesh.reporter.try_write("retry", mesh.now()) {
            slog::info!(mesh.reporter.log(), "arrival: sent once more";
                "request" => %routed.call.request_id, "service" => %routed.service,
                "attempts" => attempts_made, "last" => ?unknown.as_ref().unwrap_or(&last_not_run),
                "suppressed" => suppressed);
            let text = format!("arrival: sent once more, {attempts_made} attempts");
            mesh.reporter.record_call(
                Kind::Retried,
                &routed.call.request_id,
                routed.call.version,
                text,
            );
        }
    }
    if let Some(answer) = next_answer(&mut unresponsive).await {
        return Outcome::Answered(answer);
    }
    unknown.unwrap_or(last_not_run)
}

/// Returns the next answer from an unresponsive node, or `None` when no such attempt is open any more.
async fn next_answer(
    unresponsive: &mut FuturesUnordered<impl Future<Output = Outcome>>,
) -> Option<Answer> {
    while let Some(outcome) = unresponsive.next().await {
        if let Outcome::Answered(answer) = outcome {
            return Some(answer);
        }
    }
    None
}

/// How an attempt ended.
enum AttemptEnd {
    /// The attempt has an outcome.
    Outcome(Outcome),
    /// The node is unresponsive; the call goes on with another attempt while this one stays open.
    Unresponsive(PendingCall),
}

/// A call that its pool counts as in flight until it ends or is dropped.
struct InFlightCall<'a> {
    mesh: &'a Mesh,
    service: &'a str,
    key: BackendKey,
    started: Duration,
    deadline: Duration,
    is_finished: bool,
}

impl InFlightCall<'_> {
    fn end(mut self, outcome: &Outcome) {
        let (finished, load) = match outcome {
            Outcome::Answered(answer) => {
                let load = pool::Load {
                    running: answer.running,
                    queued: answer.queued,
                    limit: answer.limit,
                };
                let latency = self.mesh.now().saturating_sub(self.started);
                // An error status is the backend server's answer, and counts as a failure of it.
                let finished = match answer.status >= 500 {
                    true => Finished::Failed,
                    false => Finished::Answered { latency },
                };
                (finished, Some(load))
            }
            Outcome::NotRun {
                rejected: false, ..
            } => (Finished::Refused, None),
            Outcome::NotRun { .. } | Outcome::Unknown { .. } => (Finished::Failed, None),
        };
        self.finish(finished, load);
    }

    fn finish(&mut self, finished: Finished, load: Option<pool::Load>) {
        self.is_finished = true;
        let now = self.mesh.now();
        let mut shard = self.mesh.pools.lock(self.service);
        if let Some(pool) = shard.get_mut(self.service) {
            pool.finished(now, self.key, finished, load);
        }
    }
}

impl Drop for InFlightCall<'_> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        // Otherwise the pool would count the call as in flight for good and send fewer calls to the backend server.
        let finished = match self.mesh.now() >= self.deadline {
            true => Finished::Failed,
            false => Finished::Abandoned,
        };
        self.finish(finished, None);
    }
}

async fn attempt(
    mesh: &Arc<Mesh>,
    routed: &RoutedRequest,
    pick: &Pick,
    mut try_fail_over: impl FnMut() -> bool,
) -> AttemptEnd {
    let started = mesh.now();
    let in_flight = InFlightCall {
        mesh,
        service: &routed.service,
        key: pick.key,
        started,
        deadline: routed.deadline,
        is_finished: false,
    };
    let outcome = if pick.address == mesh.own_address() {
        run_locally(mesh, routed, started).await
    } else {
        let link = mesh.try_link(&pick.address);
        let call = to_call(routed, started);
        match link.and_then(|link| Some((link.try_call(call, started)?, link))) {
            Some((mut pending, link)) => {
                let outcome = tokio::select! {
                    outcome = pending.outcome() => Some(outcome),
                    () = link.await_unresponsive() => None,
                    () = mesh.await_termination() => {
                        pending.cancel();
                        Some(await_cancelled(pending.outcome()).await)
                    }
                };
                match outcome {
                    Some(outcome) => outcome,
                    None if try_fail_over() => {
                        in_flight.end(&Outcome::unknown("the node is silent"));
                        return AttemptEnd::Unresponsive(pending);
                    }
                    None => pending.outcome().await,
                }
            }
            None => Outcome::not_run("the node is not connected", RETRY_AFTER_NO_BACKEND),
        }
    };
    in_flight.end(&outcome);
    AttemptEnd::Outcome(outcome)
}

fn to_call(routed: &RoutedRequest, now: Duration) -> Call {
    let mut call = routed.call.clone();
    call.sent_ms = now.as_millis() as u64;
    call.left_ms = routed.deadline.saturating_sub(now).as_millis() as u32;
    call
}

/// Awaits the outcome of a cancelled call for the short time before the process exits.
async fn await_cancelled(outcome: impl Future<Output = Outcome>) -> Outcome {
    let outcome = tokio::time::timeout(CANCEL_TIMEOUT, outcome).await;
    outcome.unwrap_or_else(|_| Outcome::unknown("the node is stopping"))
}

/// A call to the local backend server. Dropping it cancels the call.
struct LocalCall<'a> {
    mesh: &'a Mesh,
    task: JoinHandle<Answer>,
    cancel: Arc<CancelSignal>,
}

impl Drop for LocalCall<'_> {
    fn drop(&mut self) {
        self.cancel.cancel(self.mesh.now());
    }
}

async fn run_locally(mesh: &Arc<Mesh>, routed: &RoutedRequest, now: Duration) -> Outcome {
    let mut call = to_call(routed, now);
    nested::classify(mesh, &mut call, false);
    let cancel = Arc::new(CancelSignal::default());
    let (process, signal) = (mesh.clone(), cancel.clone());
    let task = tokio::spawn(async move { execute::run(&process, &call, now, &signal).await });
    let mut local = LocalCall { mesh, task, cancel };
    let to_outcome = |end: Result<Answer, JoinError>| match end {
        Ok(answer) => Outcome::from_answer(answer),
        Err(err) => Outcome::unknown(&format!("the call stopped: {err}")),
    };
    tokio::select! {
        end = &mut local.task => to_outcome(end),
        () = mesh.await_termination() => {
            local.cancel.cancel(mesh.now());
            await_cancelled((&mut local.task).map(to_outcome)).await
        }
    }
}

/// The nodes that a call was sent to. A node that connects again gets another key in its pool, but not the call again: its
/// backend server may repeat the refusal of the first attempt, which has the same id.
#[derive(Debug, Default)]
struct Tried {
    keys: Vec<BackendKey>,
    addresses: Vec<Box<str>>,
}

/// Chooses a node that the call was not sent to yet, and adds it to `tried`.
fn pick(
    mesh: &Mesh,
    routed: &RoutedRequest,
    choice: Option<&Choice>,
    tried: &mut Tried,
) -> Option<Pick> {
    let now = mesh.now();
    let service = &*routed.service;
    let max_zone_wait = routed.route.target_latency.mul_f64(ZONE_WAIT_FRACTION);
    let mut shard = mesh.pools.lock(service);
    let pool = shard.get_mut(service)?;
    let is_first = tried.addresses.is_empty();
    for versions in rollout::candidates(choice, is_first).into_iter().flatten() {
        let mut rng = rand::rng();
        while let Some(pick) =
            pool.pick_by_wait_among(now, &mut rng, &tried.keys, max_zone_wait, versions)
        {
            tried.keys.push(pick.key);
            if tried.addresses.contains(&pick.address) {
                continue;
            }
            tried.addresses.push(pick.address.clone());
            pool.started(pick.key);
            return Some(pick);
        }
    }
    None
}

/// Adds the retry credit of a new call to the service's bucket.
fn earn_retry_credit(mesh: &Mesh, service: &str) {
    let options = retry_options(mesh);
    let mut shard = mesh.retry_buckets.lock(service);
    if !shard.contains_key(service) {
        shard.insert(service.into(), Bucket::new(options));
    }
    if let Some(bucket) = shard.get_mut(service) {
        bucket.set_options(options);
        bucket.earn();
    }
}

/// Returns the bounds of this node's retries by the settings and the number of nodes at present.
fn retry_options(mesh: &Mesh) -> budget::Options {
    let budget = mesh.runtime.load().retry_budget;
    // Each node gets an equal part of the retries that all nodes may send in a window on top of the ratio. While the
    // number of nodes is not known, that is the least part.
    let share = match mesh.is_registered.load(Ordering::Relaxed) {
        true => {
            let nodes = mesh.running_nodes.load(Ordering::Relaxed).max(1);
            budget.slack * OWN_BUDGET_FRACTION / nodes as f64
        }
        false => 0.0,
    };
    budget::Options {
        earned_milli: (budget.ratio * OWN_BUDGET_FRACTION * MILLI_PER_RETRY) as u32,
        capacity_milli: (share.max(1.0) * MILLI_PER_RETRY) as u32,
        reserve_milli: 0,
    }
}

fn try_spend_retry_credit(mesh: &Mesh, service: &str) -> bool {
    let mut shard = mesh.retry_buckets.lock(service);
    shard.get_mut(service).is_some_and(Bucket::try_spend)
}
