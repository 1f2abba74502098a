//! The attempts at a request: which backend server gets it, how often, and what they say together.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hitch_event::Kind;
use hitch_gate::shards::lock;
use hitch_retry::budget;
use hitch_retry::budget::Bucket;
use hitch_route::BackendKey;
use hitch_route::pool;
use hitch_route::pool::Finished;
use hitch_route::pool::Pick;
use tokio::sync::Notify;
use tokio::task::JoinError;
use tokio::task::JoinHandle;

use crate::arrival::Admitted;
use crate::arrival::RETRY_AFTER_NO_BACKEND;
use crate::execute;
use crate::frame::Answer;
use crate::frame::Call;
use crate::link::Pending;
use crate::mesh::Mesh;
use crate::outcome::Outcome;

/// Time that a call which is taken back at the end of the process has to say what became of it.
const LAST_WORD: Duration = Duration::from_millis(150);
/// Most nodes that are asked in turn when none of them hands the call over.
const MAX_HOPS: usize = 3;
/// Least time left that is worth asking another node.
const LEAST_TIME: Duration = Duration::from_millis(20);
/// Part of the target latency for which a call waits in its own zone before it goes to another one. Bytes between zones
/// are dear, and a call that waits this long is still answered in time.
const PATIENCE_PART: f64 = 0.2;
/// Part of the repeats that the nodes allow themselves; the rest is for calls that repeated calls make in turn.
const REPEATS_PART: f64 = 0.5;
/// Thousandths of a repeat.
const MILLI: f64 = 1_000.0;

/// Sends the call to one backend server after the other, as far as the route and the budget allow.
///
/// An attempt at a node that fell silent goes on beside the later ones: the node may only have stood still, and its
/// answer counts like any other. The call is only said not to have run if that holds for every attempt.
pub(crate) async fn run(mesh: &Arc<Mesh>, admitted: &Admitted) -> Outcome {
    earn(mesh, &admitted.service);
    let mut tried = Vec::new();
    let mut silent = FuturesUnordered::new();
    let mut arrivals = 0;
    let mut unknown = None;
    let mut last = Outcome::not_run("no backend server is known", RETRY_AFTER_NO_BACKEND);
    while tried.len() < MAX_HOPS.max(admitted.route.max_attempts as usize) {
        if admitted.deadline < mesh.now() + LEAST_TIME {
            break;
        }
        let Some(pick) = pick(mesh, admitted, &tried) else {
            break;
        };
        tried.push(pick.key);
        let may_repeat = admitted.route.idempotent && arrivals + 1 < admitted.route.max_attempts;
        let mut paid = false;
        // A silent node may still answer, so a call only leaves it when it can go elsewhere.
        let leave = || {
            paid = may_repeat && try_spend(mesh, &admitted.service);
            paid
        };
        let ended = tokio::select! {
            ended = attempt(mesh, admitted, &pick, leave) => ended,
            Some(answer) = next_answer(&mut silent) => return Outcome::Answered(answer),
        };
        let may_repeat = match ended {
            Ended::With(Outcome::Answered(answer)) => return Outcome::Answered(answer),
            Ended::With(outcome @ Outcome::NotRun { arrived, .. }) => {
                last = outcome;
                if !arrived {
                    continue;
                }
                true
            }
            Ended::With(outcome @ Outcome::Unknown { .. }) => {
                unknown = Some(outcome);
                admitted.route.idempotent
            }
            Ended::Silent(mut pending) => {
                silent.push(async move { pending.ended().await });
                unknown = Some(Outcome::unknown("the node is silent"));
                true
            }
        };
        arrivals += 1;
        if !may_repeat
            || arrivals >= admitted.route.max_attempts
            || !(paid || try_spend(mesh, &admitted.service))
        {
            break;
        }
        mesh.metrics.repeats.inc();
        if let Some(left_out) = mesh.reporter.admit("repeat", mesh.now()) {
            slog::info!(mesh.reporter.log(), "arrival: sent once more";
                "request" => %admitted.call.request_id, "service" => %admitted.service,
                "arrivals" => arrivals, "last" => ?unknown.as_ref().unwrap_or(&last),
                "left_out" => left_out);
            let text = format!("arrival: sent once more, {arrivals} arrivals");
            mesh.reporter.call(
                Kind::Retried,
                &admitted.call.request_id,
                admitted.call.version,
                text,
            );
        }
    }
    if let Some(answer) = next_answer(&mut silent).await {
        return Outcome::Answered(answer);
    }
    unknown.unwrap_or(last)
}

/// Returns the next answer of a node that was silent, or nothing when none is awaited any more.
async fn next_answer(
    silent: &mut FuturesUnordered<impl Future<Output = Outcome>>,
) -> Option<Answer> {
    while let Some(outcome) = silent.next().await {
        if let Outcome::Answered(answer) = outcome {
            return Some(answer);
        }
    }
    None
}

/// How an attempt ended for the request.
enum Ended {
    /// With an outcome.
    With(Outcome),
    /// The node is silent, and the request goes on without it.
    Silent(Pending),
}

/// A call that its pool counts as under way, until it ends or is dropped.
struct UnderWay<'a> {
    mesh: &'a Mesh,
    service: &'a str,
    key: BackendKey,
    started: Duration,
    deadline: Duration,
    is_over: bool,
}

impl UnderWay<'_> {
    fn end(mut self, outcome: &Outcome) {
        let (finished, load) = match outcome {
            Outcome::Answered(answer) => {
                let load = pool::Load {
                    running: answer.running,
                    queued: answer.queued,
                    limit: answer.limit,
                };
                let latency = self.mesh.now().saturating_sub(self.started);
                // The backend server's own failure is its answer, and a sign that it does badly.
                let finished = match answer.status >= 500 {
                    true => Finished::Failed,
                    false => Finished::Answered { latency },
                };
                (finished, Some(load))
            }
            Outcome::NotRun { arrived: false, .. } => (Finished::Refused, None),
            Outcome::NotRun { .. } | Outcome::Unknown { .. } => (Finished::Failed, None),
        };
        self.finish(finished, load);
    }

    fn finish(&mut self, finished: Finished, load: Option<pool::Load>) {
        self.is_over = true;
        let now = self.mesh.now();
        let mut shard = self.mesh.pools.lock(self.service);
        if let Some(pool) = shard.get_mut(self.service) {
            pool.finished(now, self.key, finished, load);
        }
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        // Without this the call would count as under way for good, and keep others from the backend server.
        let finished = match self.mesh.now() >= self.deadline {
            true => Finished::Failed,
            false => Finished::Abandoned,
        };
        self.finish(finished, None);
    }
}

async fn attempt(
    mesh: &Arc<Mesh>,
    admitted: &Admitted,
    pick: &Pick,
    mut leave: impl FnMut() -> bool,
) -> Ended {
    let started = mesh.now();
    let under_way = UnderWay {
        mesh,
        service: &admitted.service,
        key: pick.key,
        started,
        deadline: admitted.deadline,
        is_over: false,
    };
    let outcome = if pick.address == mesh.own_address() {
        run_here(mesh, admitted, started).await
    } else {
        let link = mesh.try_link(&pick.address);
        let call = to_call(admitted, started);
        match link.and_then(|link| Some((link.try_call(call, started)?, link))) {
            Some((mut pending, link)) => {
                let outcome = tokio::select! {
                    outcome = pending.ended() => Some(outcome),
                    () = link.silent() => None,
                    () = mesh.ends() => {
                        pending.take_back();
                        Some(before_the_end(pending.ended()).await)
                    }
                };
                match outcome {
                    Some(outcome) => outcome,
                    None if leave() => {
                        under_way.end(&Outcome::unknown("the node is silent"));
                        return Ended::Silent(pending);
                    }
                    None => pending.ended().await,
                }
            }
            None => Outcome::not_run("the node is not connected", RETRY_AFTER_NO_BACKEND),
        }
    };
    under_way.end(&outcome);
    Ended::With(outcome)
}

fn to_call(admitted: &Admitted, now: Duration) -> Call {
    let mut call = admitted.call.clone();
    call.sent_ms = now.as_millis() as u64;
    call.left_ms = admitted.deadline.saturating_sub(now).as_millis() as u32;
    call
}

/// Awaits a call that was taken back, for the short time before the process ends.
async fn before_the_end(outcome: impl Future<Output = Outcome>) -> Outcome {
    let outcome = tokio::time::timeout(LAST_WORD, outcome).await;
    outcome.unwrap_or_else(|_| Outcome::unknown("the node is stopping"))
}

/// A call on the backend server beside the node. Dropping it tells the call that the caller has left.
struct Local {
    task: JoinHandle<Answer>,
    left: Arc<Notify>,
}

impl Drop for Local {
    fn drop(&mut self) {
        self.left.notify_one();
    }
}

async fn run_here(mesh: &Arc<Mesh>, admitted: &Admitted, now: Duration) -> Outcome {
    let call = to_call(admitted, now);
    let left = Arc::new(Notify::new());
    let ending = mesh.clone();
    let (mesh, notified) = (mesh.clone(), left.clone());
    let task =
        tokio::spawn(async move { execute::run(&mesh, &call, now, notified.notified()).await });
    let mut local = Local { task, left };
    let to_outcome = |ended: Result<Answer, JoinError>| match ended {
        Ok(answer) => Outcome::from_answer(answer),
        Err(err) => Outcome::unknown(&format!("the call stopped: {err}")),
    };
    tokio::select! {
        ended = &mut local.task => to_outcome(ended),
        () = ending.ends() => {
            local.left.notify_one();
            before_the_end((&mut local.task).map(to_outcome)).await
        }
    }
}

fn pick(mesh: &Mesh, admitted: &Admitted, tried: &[BackendKey]) -> Option<Pick> {
    let now = mesh.now();
    let service = &*admitted.service;
    let patience = admitted.route.target_latency.mul_f64(PATIENCE_PART);
    let mut shard = mesh.pools.lock(service);
    let pool = shard.get_mut(service)?;
    let pick = pool.pick_by_wait(now, &mut rand::rng(), tried, patience)?;
    pool.started(pick.key);
    Some(pick)
}

/// Adds what the first arrival of a request earns to the budget for repeats.
fn earn(mesh: &Mesh, service: &str) {
    let budget = mesh.runtime.load().retry_budget;
    let mut shard = mesh.buckets.lock(service);
    if !shard.contains_key(service) {
        // Each node holds its part of what all may send in a window beyond the ratio.
        let nodes = lock(&mesh.members).connected_count() as f64 + 1.0;
        let part = (budget.slack * REPEATS_PART / nodes).max(1.0);
        let options = budget::Options {
            earned_milli: (budget.ratio * REPEATS_PART * MILLI) as u32,
            capacity_milli: (part * MILLI) as u32,
            reserve_milli: 0,
        };
        shard.insert(service.into(), Bucket::new(options));
    }
    if let Some(bucket) = shard.get_mut(service) {
        bucket.earn();
    }
}

fn try_spend(mesh: &Mesh, service: &str) -> bool {
    let mut shard = mesh.buckets.lock(service);
    shard.get_mut(service).is_some_and(Bucket::try_spend)
}
