//! At-most-once execution of non-idempotent calls by their idempotency keys.

use std::sync::Arc;
use std::time::Duration;

use hitch_once::Decision;
use hitch_once::Key;
use hitch_once::Refusal;
use hitch_proto::peer::CallReply;
use hitch_proto::peer::CallRequest;
use hitch_retry::NotRun;
use hitch_retry::Outcome;
use hitch_retry::Unknown;
use prost::Message;
use tokio::sync::watch;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::execute;
use crate::keys::KeyState;
use crate::node::Node;
use crate::reply;
use crate::shards::lock;

/// Maximum time that a call waits for one ownership pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(150);

/// What to do with a call, according to the state of its key.
enum KeyClaim {
    /// Run the call and send its reply to the calls that join it.
    Run(watch::Sender<Option<CallReply>>),
    /// Wait for the reply to the call in flight with the same key.
    Join(watch::Receiver<Option<CallReply>>),
    /// Reply at once, with a stored answer or a refusal.
    Done(CallReply),
}

/// Runs a call, or returns the answer of the first run if its key was accepted before.
///
/// The call continues when its caller disconnects, so that a resend with the same key gets the
/// answer.
pub(crate) async fn run(node: &Arc<Node>, req: CallRequest, deadline: Instant) -> CallReply {
    let Ok(key) = Key::parse(&req.key) else {
        return reply::failure(Outcome::NotRun(NotRun::InvalidKey));
    };
    let mut claim = claim_key(node, key, &req);
    if let KeyClaim::Done(reply) = &claim
        && may_be_outdated(node, reply)
    {
        pull(node).await;
        claim = claim_key(node, key, &req);
    }
    let mut rx = match claim {
        KeyClaim::Done(reply) => return reply,
        KeyClaim::Join(rx) => rx,
        KeyClaim::Run(tx) => {
            let rx = tx.subscribe();
            tokio::spawn(run_claimed(node.clone(), key, req, deadline, tx));
            rx
        }
    };
    let late = || reply::failure(Outcome::Unknown(Unknown::Deadline));
    match tokio::time::timeout_at(deadline, rx.wait_for(Option::is_some)).await {
        Ok(Ok(reply)) => reply.clone().unwrap_or_else(late),
        Ok(Err(_)) => reply::failure(Outcome::Unknown(Unknown::ConnectionLost)),
        Err(_) => late(),
    }
}

/// Returns whether a refusal may be due to an ownership map that lacks the latest record: no node
/// owns the key, or its owner is draining or gone and may have released it.
fn may_be_outdated(node: &Node, reply: &CallReply) -> bool {
    match reply::outcome(reply) {
        Outcome::NotRun(NotRun::NoOwner) => true,
        Outcome::NotRun(NotRun::NotOwner) => {
            !node.knows_backend(&node.settings.backend.service, &reply.owner_instance)
        }
        _ => false,
    }
}

/// Waits for an ownership pull, because the record that gives the key an owner may have been
/// appended since the last one.
async fn pull(node: &Node) {
    let mut pulls = node.board.ownership_pulls.subscribe();
    // Two, because the first one may have started before this call.
    for _ in 0..2 {
        node.board.ownership_wake.notify_one();
        let _ = tokio::time::timeout(PULL_TIMEOUT, pulls.changed()).await;
    }
}

fn claim_key(node: &Node, key: Key, req: &CallRequest) -> KeyClaim {
    let mut keys = lock(&node.board.keys);
    let KeyState {
        ownership,
        table,
        running,
    } = &mut *keys;
    let failed = |outcome| KeyClaim::Done(reply::failure(outcome));
    match table.offer(ownership, key, hash(req)) {
        Decision::Run => {
            let (tx, rx) = watch::channel(None);
            running.insert(key, rx);
            KeyClaim::Run(tx)
        }
        Decision::Join => match running.get(&key) {
            Some(rx) => KeyClaim::Join(rx.clone()),
            None => failed(Outcome::Unknown(Unknown::ConnectionLost)),
        },
        Decision::Answer(reply) => KeyClaim::Done(reply),
        Decision::KeyReused => failed(Outcome::NotRun(NotRun::KeyReused)),
        Decision::Refused(Refusal::Unknown) => failed(Outcome::Unknown(Unknown::OwnerLost)),
        Decision::Refused(Refusal::NotRun { owner: None }) => {
            failed(Outcome::NotRun(NotRun::NoOwner))
        }
        Decision::Refused(Refusal::NotRun { owner: Some(owner) }) => {
            let mut reply = reply::failure(Outcome::NotRun(NotRun::NotOwner));
            reply.owner_instance = owner.instance.to_string();
            KeyClaim::Done(reply)
        }
    }
}

async fn run_claimed(
    node: Arc<Node>,
    key: Key,
    req: CallRequest,
    deadline: Instant,
    tx: watch::Sender<Option<CallReply>>,
) {
    let attempt = execute::attempt(&node, &req, deadline).await;
    let mut keys = lock(&node.board.keys);
    match reply::outcome(&attempt.reply) {
        Outcome::Answered => {
            let bytes = attempt.reply.encoded_len();
            keys.table.record_answer(key, attempt.reply.clone(), bytes);
        }
        Outcome::NotRun(_) if !attempt.dispatched => keys.table.remove_unsent(key),
        Outcome::NotRun(_) | Outcome::Unknown(_) => keys.table.mark_unknown(key),
    }
    keys.running.remove(&key);
    // Sending fails if no caller waits any more.
    let _ = tx.send(Some(attempt.reply));
}

/// Hashes the parts of a call that must be the same whenever its key is used.
fn hash(req: &CallRequest) -> u64 {
    let mut hash = 0;
    for part in [&req.customer, &req.method, &req.path_and_query] {
        hash = xxh3_64_with_seed(part.as_bytes(), hash);
    }
    xxh3_64_with_seed(&req.body, hash)
}
