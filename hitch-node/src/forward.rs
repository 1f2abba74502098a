//! Forwarding of calls to the nodes of backend servers, with retries.

use std::sync::Arc;
use std::time::Duration;

use hitch_admin::recorder::Subject;
use hitch_event::Kind;
use hitch_proto::peer::CallReply;
use hitch_proto::peer::CallRequest;
use hitch_retry::Budget;
use hitch_retry::Decision;
use hitch_retry::NotRun;
use hitch_retry::Options;
use hitch_retry::Outcome;
use hitch_retry::RetryContext;
use hitch_retry::Unknown;
use hitch_retry::decide;
use hitch_route::BackendKey;
use hitch_route::pool::Finished;
use hitch_route::pool::Load;
use hitch_route::pool::Pick;
use tokio::time::Instant;

use crate::call;
use crate::catch_up;
use crate::controller::exchange;
use crate::node::Node;
use crate::peers::Class;
use crate::reply;
use crate::shards::lock;
use crate::wire;

/// Time to wait for a reply beyond the deadline, so that the peer can report the outcome of the
/// call.
const REPLY_GRACE: Duration = Duration::from_millis(20);
/// Unreachable backend servers after which a call fails. Trying the next one costs no retry budget,
/// because a failed connection puts no load on a backend server.
const MAX_UNREACHABLE: usize = 8;
/// Expected latency of the next attempt.
const EXPECTED_LATENCY: Duration = Duration::from_millis(5);

/// Retry budget from which the retries of a call are taken.
#[derive(Debug)]
enum BudgetSource {
    /// The bucket of this node, where the call entered the mesh.
    LocalBucket,
    /// The budget that the call carries.
    Carried(Budget),
}

impl BudgetSource {
    fn milli(&self, node: &Node) -> u32 {
        match self {
            BudgetSource::LocalBucket => lock(&node.board.retry_bucket).milli(),
            BudgetSource::Carried(budget) => budget.milli(),
        }
    }

    fn spend(&mut self, node: &Node) -> bool {
        match self {
            BudgetSource::LocalBucket => lock(&node.board.retry_bucket).try_spend(),
            BudgetSource::Carried(budget) => budget.try_spend(),
        }
    }

    fn delegate(&mut self, node: &Node) -> u32 {
        match self {
            BudgetSource::LocalBucket => lock(&node.board.retry_bucket).grant().milli(),
            BudgetSource::Carried(budget) => budget.hand_down().milli(),
        }
    }

    fn reclaim(&mut self, node: &Node, remaining: u32) {
        match self {
            BudgetSource::LocalBucket => {
                lock(&node.board.retry_bucket).put_back(Budget::from_milli(remaining))
            }
            BudgetSource::Carried(budget) => budget.take_back(Some(remaining)),
        }
    }
}

/// Forwards a call and retries it where that is allowed.
///
/// Returns the reply to the last attempt or, if that one was not run, to an earlier attempt that
/// may have run. `retry_budget` is the budget that the call carries, in thousandths of a call, or
/// `None` at the node where the call entered the mesh.
///
/// ```no_run
/// # use hitch_node::peers::Class;
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// let req = hitch_proto::peer::CallRequest::default();
/// let deadline = tokio::time::Instant::now() + std::time::Duration::from_secs(1);
/// let reply = hitch_node::forward::run(&node, req, Class::Urgent, deadline, None).await;
/// # }
/// ```
pub async fn run(
    node: &Arc<Node>,
    req: CallRequest,
    class: Class,
    deadline: Instant,
    retry_budget: Option<u32>,
) -> CallReply {
    let budget = match retry_budget {
        Some(milli) => BudgetSource::Carried(Budget::from_milli(milli)),
        None => {
            lock(&node.board.retry_bucket).earn();
            BudgetSource::LocalBucket
        }
    };
    let owner = node.try_owner_hint(&req.service, &req.key);
    let tried = Vec::new();
    let forward = Forward {
        node,
        req,
        class,
        deadline,
        budget,
        owner,
        tried,
        last_address: None,
        unreachable_count: 0,
        may_have_run: None,
    };
    forward.run().await
}

struct Forward<'a> {
    node: &'a Arc<Node>,
    req: CallRequest,
    class: Class,
    deadline: Instant,
    budget: BudgetSource,
    /// Instance that owns the idempotency key, if known.
    owner: Option<Box<str>>,
    /// Backend servers of the attempts so far.
    tried: Vec<BackendKey>,
    /// Address of the node of the last attempt.
    last_address: Option<Box<str>>,
    /// Number of attempts without a connection.
    unreachable_count: usize,
    /// Reply to the last attempt that may have run.
    may_have_run: Option<CallReply>,
}

impl Forward<'_> {
    async fn run(mut self) -> CallReply {
        let mut attempt = 1;
        loop {
            let started_at = Instant::now();
            self.req.attempt = attempt;
            let reply = self.attempt().await;
            let mut outcome = self.retry_outcome(&reply);
            if outcome == Outcome::NotRun(NotRun::NotOwner) && !self.redirect(&reply).await {
                // An immediate retry would be refused for the same reason.
                outcome = Outcome::NotRun(NotRun::NoOwner);
            }
            if self.should_try_another_backend(outcome) {
                continue;
            }
            if let Outcome::Unknown(_) = outcome {
                self.may_have_run = Some(reply.clone());
            }
            let context = RetryContext {
                attempt,
                outcome: Some(outcome),
                idempotent: self.req.idempotent,
                elapsed: started_at.elapsed(),
                remaining_time: self.deadline.saturating_duration_since(Instant::now()),
                budget_milli: self.budget.milli(self.node),
                expected_latency: EXPECTED_LATENCY,
            };
            let decision = decide::next(&Options::default(), &context, &mut rand::rng());
            let Decision::Retry { after, cost_milli } = decision else {
                return self.final_reply(reply);
            };
            if cost_milli > 0 && !self.budget.spend(self.node) {
                return self.final_reply(reply);
            }
            attempt += 1;
            self.record_retry(attempt, outcome);
            tokio::time::sleep(after).await;
        }
    }

    /// Returns whether the attempt got no connection and another backend server is to be tried at
    /// once.
    fn should_try_another_backend(&mut self, outcome: Outcome) -> bool {
        if outcome != Outcome::NotRun(NotRun::BackendRefused) {
            return false;
        }
        self.unreachable_count += 1;
        let untried = self.pick().is_some_and(|p| !self.tried.contains(&p.key));
        untried && self.unreachable_count < MAX_UNREACHABLE && Instant::now() < self.deadline
    }

    fn record_retry(&self, attempt: u32, outcome: Outcome) {
        self.node.metrics.retries.inc();
        let subject = Subject {
            version: self.req.version,
            call_id: &self.req.call_id,
        };
        let text = format!("forward: attempt {attempt} after {}", outcome.reason());
        self.node.recorder.record(Kind::Retried, subject, text);
    }

    /// Returns the reply for the sender, with the retry budget that remains.
    ///
    /// The outcome "not run" would be false after an attempt that may have run, so the reply to
    /// that attempt is returned in its place.
    fn final_reply(&mut self, mut reply: CallReply) -> CallReply {
        if let Outcome::NotRun(_) = reply::outcome(&reply)
            && let Some(earlier) = self.may_have_run.take()
        {
            reply = earlier;
        }
        if let BudgetSource::Carried(budget) = &self.budget {
            reply.retry_budget_milli = budget.milli();
        }
        reply
    }

    fn pick(&self) -> Option<Pick> {
        let shard = self.node.board.pools.lock(&self.req.service);
        let pool = shard.get(&*self.req.service)?;
        if let Some(owner) = &self.owner
            && let Some(pick) = pool.try_find(owner)
        {
            return Some(pick);
        }
        let now = self.node.time.now();
        let untried = pool.pick(now, &mut rand::rng(), &self.tried);
        untried.or_else(|| pool.pick(now, &mut rand::rng(), &[]))
    }

    async fn attempt(&mut self) -> CallReply {
        let Some(pick) = self.pick() else {
            return reply::failure(Outcome::NotRun(NotRun::NoBackendServer));
        };
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining < Duration::from_millis(1) {
            return reply::failure(Outcome::NotRun(NotRun::Deadline));
        }
        self.req.deadline_ms = remaining.as_millis() as u32;
        self.req.retry_budget_milli = self.budget.delegate(self.node);
        self.tried.push(pick.key);
        self.last_address = Some(pick.address.clone());
        let mut in_flight = InFlight::start(self.node, &self.req.service, pick.key);
        let reply = send(
            self.node,
            &pick,
            self.req.clone(),
            self.class,
            self.deadline,
        )
        .await;
        in_flight.finish(&reply, self.retry_outcome(&reply));
        self.budget.reclaim(self.node, reply.retry_budget_milli);
        catch_up::observe_version(self.node, reply.version, &pick.instance);
        reply
    }

    /// Returns the outcome that decides about a retry: an idempotent call may be retried after the
    /// backend server answered with a server error.
    fn retry_outcome(&self, reply: &CallReply) -> Outcome {
        let outcome = reply::outcome(reply);
        let failed = outcome == Outcome::Answered && is_server_error(reply.status);
        match failed && self.req.idempotent {
            true => Outcome::Unknown(Unknown::BackendFailed),
            false => outcome,
        }
    }

    /// Redirects the call to the owner that the reply names, and returns whether this node knows
    /// the backend server of the owner.
    ///
    /// An unknown owner is looked up by an exchange with the node that named it.
    async fn redirect(&mut self, reply: &CallReply) -> bool {
        if reply.owner_instance.is_empty() {
            return false;
        }
        let owner: Box<str> = reply.owner_instance.as_str().into();
        self.node
            .set_owner_hint(&self.req.service, &self.req.key, owner.clone());
        self.owner = Some(owner);
        if self.knows_owner() {
            return true;
        }
        if let Some(address) = self.last_address.take() {
            let exchange = exchange::with_address(self.node, &address);
            let _ = tokio::time::timeout_at(self.deadline, exchange).await;
        }
        self.knows_owner()
    }

    fn knows_owner(&self) -> bool {
        let owner = self.owner.as_ref();
        owner.is_some_and(|owner| self.node.knows_backend(&self.req.service, owner))
    }
}

fn is_server_error(status: u32) -> bool {
    matches!(status, 500 | 502..=504)
}

/// Sends one attempt to the node of a backend server, which may be this node.
async fn send(
    node: &Arc<Node>,
    pick: &Pick,
    mut req: CallRequest,
    class: Class,
    deadline: Instant,
) -> CallReply {
    let subject = Subject {
        version: req.version,
        call_id: &req.call_id,
    };
    node.recorder.record(
        Kind::HandedOver,
        subject,
        format!("forward: sent to {}", pick.instance),
    );
    if pick.instance == node.settings.instance {
        return call::run(node, req, deadline).await;
    }
    let mut client = match node.peers.client(&pick.address, class).await {
        Ok(client) => client,
        Err(err) => {
            slog::debug!(node.recorder.log(), "forward: no attempt sent: {}", err);
            return reply::failure(Outcome::NotRun(NotRun::BackendRefused));
        }
    };
    req.stamp = wire::stamp(&node.recorder);
    match tokio::time::timeout_at(deadline + REPLY_GRACE, client.call(req)).await {
        Ok(Ok(res)) => {
            let reply = res.into_inner();
            wire::observe(&node.recorder, reply.stamp);
            reply
        }
        Ok(Err(status)) => {
            slog::debug!(node.recorder.log(),
                "forward: attempt failed: {}", status; "peer" => &*pick.address);
            node.peers.disconnect(&pick.address);
            reply::failure(Outcome::Unknown(Unknown::ConnectionLost))
        }
        Err(_) => reply::failure(Outcome::Unknown(Unknown::Deadline)),
    }
}

/// Counts one attempt as in flight in the pool until it ends or is dropped.
struct InFlight<'a> {
    node: &'a Node,
    service: Box<str>,
    key: Option<BackendKey>,
    started_at: Instant,
}

impl<'a> InFlight<'a> {
    fn start(node: &'a Node, service: &str, key: BackendKey) -> InFlight<'a> {
        if let Some(pool) = node.board.pools.lock(service).get_mut(service) {
            pool.started(key);
        }
        InFlight {
            node,
            service: service.into(),
            key: Some(key),
            started_at: Instant::now(),
        }
    }

    fn finish(&mut self, reply: &CallReply, outcome: Outcome) {
        let finished = match outcome {
            Outcome::Answered => Finished::Answered {
                latency: self.started_at.elapsed(),
            },
            Outcome::NotRun(NotRun::BackendRefused) => Finished::Failed,
            Outcome::NotRun(_) => Finished::Refused,
            Outcome::Unknown(Unknown::Deadline | Unknown::CallerLeft) => Finished::Abandoned,
            Outcome::Unknown(Unknown::OwnerLost | Unknown::KeyExpired) => Finished::Refused,
            Outcome::Unknown(_) => Finished::Failed,
        };
        let load = reply.load.map(|l| Load {
            running: l.running,
            queued: l.queued,
            limit: l.limit,
        });
        self.end(finished, load);
    }

    fn end(&mut self, finished: Finished, load: Option<Load>) {
        let Some(key) = self.key.take() else { return };
        let now = self.node.time.now();
        if let Some(pool) = self
            .node
            .board
            .pools
            .lock(&self.service)
            .get_mut(&self.service)
        {
            pool.finished(now, key, finished, load);
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.end(Finished::Abandoned, None);
    }
}
