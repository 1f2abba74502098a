//! Hand-over of a call to the node beside a backend server, and its retries.

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

/// Time that a node waits for another one beyond the deadline, so that the other one can say what
/// became of the call.
const GRACE: Duration = Duration::from_millis(20);
/// Backend servers that could not be connected to before a call gives up. Trying another one costs no
/// retry budget, since nothing was loaded.
const MAX_UNREACHABLE: usize = 8;
/// Latency that the next attempt is expected to have.
const EXPECTED_LATENCY: Duration = Duration::from_millis(5);

/// Where the retries of a call are paid from.
#[derive(Debug)]
enum Purse {
    /// The bucket of this node, at which the call entered the mesh.
    First,
    /// The budget that the call carries.
    Carried(Budget),
}

impl Purse {
    fn milli(&self, node: &Node) -> u32 {
        match self {
            Purse::First => lock(&node.board.bucket).milli(),
            Purse::Carried(budget) => budget.milli(),
        }
    }

    fn spend(&mut self, node: &Node) -> bool {
        match self {
            Purse::First => lock(&node.board.bucket).try_spend(),
            Purse::Carried(budget) => budget.try_spend(),
        }
    }

    fn hand_down(&mut self, node: &Node) -> u32 {
        match self {
            Purse::First => lock(&node.board.bucket).grant().milli(),
            Purse::Carried(budget) => budget.hand_down().milli(),
        }
    }

    fn take_back(&mut self, node: &Node, left: u32) {
        match self {
            Purse::First => lock(&node.board.bucket).put_back(Budget::from_milli(left)),
            Purse::Carried(budget) => budget.take_back(Some(left)),
        }
    }
}

/// Hands a call over, tries again where that is allowed, and returns the last reply.
///
/// `retry_budget` is what the call carries, in thousandths of a call, or `None` at the node at which
/// it entered the mesh.
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
    let purse = match retry_budget {
        Some(milli) => Purse::Carried(Budget::from_milli(milli)),
        None => {
            lock(&node.board.bucket).earn();
            Purse::First
        }
    };
    let owner = node.try_owner_hint(&req.service, &req.key);
    let tried = Vec::new();
    let forward = Forward {
        node,
        req,
        class,
        deadline,
        purse,
        owner,
        tried,
        last_address: None,
        unreachable: 0,
        may_have_run: None,
    };
    forward.run().await
}

struct Forward<'a> {
    node: &'a Arc<Node>,
    req: CallRequest,
    class: Class,
    deadline: Instant,
    purse: Purse,
    /// Instance that owns the key, as far as known.
    owner: Option<Box<str>>,
    /// Backend servers tried already.
    tried: Vec<BackendKey>,
    /// Address of the node that was tried last.
    last_address: Option<Box<str>>,
    /// How many could not be connected to.
    unreachable: usize,
    /// Reply to the last attempt that may have run.
    may_have_run: Option<CallReply>,
}

impl Forward<'_> {
    async fn run(mut self) -> CallReply {
        let mut attempt = 1;
        loop {
            let began = Instant::now();
            self.req.attempt = attempt;
            let reply = self.attempt().await;
            let mut outcome = self.judge(&reply);
            if outcome == Outcome::NotRun(NotRun::NotOwner) && !self.redirect(&reply).await {
                // Another attempt at once would be told the same.
                outcome = Outcome::NotRun(NotRun::NoOwner);
            }
            if self.is_unreachable(outcome) {
                continue;
            }
            if let Outcome::Unknown(_) = outcome {
                self.may_have_run = Some(reply.clone());
            }
            let situation = RetryContext {
                attempt,
                outcome: Some(outcome),
                idempotent: self.req.idempotent,
                elapsed: began.elapsed(),
                remaining_time: self.deadline.saturating_duration_since(Instant::now()),
                budget_milli: self.purse.milli(self.node),
                expected_latency: EXPECTED_LATENCY,
            };
            let decision = decide::next(&Options::default(), &situation, &mut rand::rng());
            let Decision::Retry { after, cost_milli } = decision else {
                return self.seal(reply);
            };
            if cost_milli > 0 && !self.purse.spend(self.node) {
                return self.seal(reply);
            }
            attempt += 1;
            self.note_retry(attempt, outcome);
            tokio::time::sleep(after).await;
        }
    }

    /// Returns whether nothing could be connected to and another backend server is worth a try at once.
    fn is_unreachable(&mut self, outcome: Outcome) -> bool {
        if outcome != Outcome::NotRun(NotRun::BackendRefused) {
            return false;
        }
        self.unreachable += 1;
        let untried = self.pick().is_some_and(|p| !self.tried.contains(&p.key));
        untried && self.unreachable < MAX_UNREACHABLE && Instant::now() < self.deadline
    }

    fn note_retry(&self, attempt: u32, outcome: Outcome) {
        self.node.metrics.retries.inc();
        let subject = Subject {
            version: self.req.version,
            call_id: &self.req.call_id,
        };
        let text = format!("forward: attempt {attempt} after {}", outcome.reason());
        self.node.recorder.record(Kind::Retried, subject, text);
    }

    /// Adds to the reply what the node above needs of this one.
    ///
    /// A refusal as not run would be false after an attempt that may have run; the reply to that attempt
    /// takes its place.
    fn seal(&mut self, mut reply: CallReply) -> CallReply {
        if let Outcome::NotRun(_) = reply::outcome(&reply)
            && let Some(earlier) = self.may_have_run.take()
        {
            reply = earlier;
        }
        if let Purse::Carried(budget) = &self.purse {
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
            return reply::refusal(Outcome::NotRun(NotRun::NoBackendServer));
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(1) {
            return reply::refusal(Outcome::NotRun(NotRun::Deadline));
        }
        self.req.deadline_ms = left.as_millis() as u32;
        self.req.retry_budget_milli = self.purse.hand_down(self.node);
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
        in_flight.finish(&reply, self.judge(&reply));
        self.purse.take_back(self.node, reply.retry_budget_milli);
        catch_up::note_version(self.node, reply.version, &pick.instance);
        reply
    }

    /// Reads the outcome that counts for a retry: an idempotent call may be tried again after a server
    /// error that the backend server answered with.
    fn judge(&self, reply: &CallReply) -> Outcome {
        let outcome = reply::outcome(reply);
        let failed = outcome == Outcome::Answered && is_server_error(reply.status);
        match failed && self.req.idempotent {
            true => Outcome::Unknown(Unknown::BackendFailed),
            false => outcome,
        }
    }

    /// Turns to the owner that a node named, and returns whether it can be reached.
    ///
    /// An owner that is not known here yet is learned from the node that named it.
    async fn redirect(&mut self, reply: &CallReply) -> bool {
        if reply.owner_instance.is_empty() {
            return false;
        }
        let owner: Box<str> = reply.owner_instance.as_str().into();
        self.node
            .note_owner(&self.req.service, &self.req.key, owner.clone());
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

/// Sends one attempt to the node beside a backend server, which may be this one.
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
        format!("forward: to {}", pick.instance),
    );
    if pick.instance == node.settings.instance {
        return call::run(node, req, deadline).await;
    }
    let mut client = match node.peers.client(&pick.address, class).await {
        Ok(client) => client,
        Err(err) => {
            slog::debug!(node.recorder.log(), "forward: {}", err);
            return reply::refusal(Outcome::NotRun(NotRun::BackendRefused));
        }
    };
    req.stamp = wire::stamp(&node.recorder);
    match tokio::time::timeout_at(deadline + GRACE, client.call(req)).await {
        Ok(Ok(res)) => {
            let reply = res.into_inner();
            wire::observe(&node.recorder, reply.stamp);
            reply
        }
        Ok(Err(status)) => {
            slog::debug!(node.recorder.log(), "forward: {}", status; "peer" => &*pick.address);
            node.peers.forget(&pick.address);
            reply::refusal(Outcome::Unknown(Unknown::ConnectionLost))
        }
        Err(_) => reply::refusal(Outcome::Unknown(Unknown::Deadline)),
    }
}

/// One attempt in flight, which counts in the pool until it ends or is dropped.
struct InFlight<'a> {
    node: &'a Node,
    service: Box<str>,
    key: Option<BackendKey>,
    began: Instant,
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
            began: Instant::now(),
        }
    }

    fn finish(&mut self, reply: &CallReply, outcome: Outcome) {
        let finished = match outcome {
            Outcome::Answered => Finished::Answered {
                latency: self.began.elapsed(),
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
