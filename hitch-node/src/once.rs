//! Execution of non-idempotent calls, each key at most once.

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
use crate::keys::Section;
use crate::node::Node;
use crate::reply;
use crate::shards::lock;

/// Longest time that a call waits for one pull of ownership.
const PULL_WAIT: Duration = Duration::from_millis(150);

enum Entered {
    Run(watch::Sender<Option<CallReply>>),
    Join(watch::Receiver<Option<CallReply>>),
    Done(CallReply),
}

/// Runs a call unless its key was taken before; then returns the answer of the first run.
///
/// The call goes on when its caller leaves, so that a resend with the same key gets its answer.
pub(crate) async fn run(node: &Arc<Node>, req: CallRequest, deadline: Instant) -> CallReply {
    let Ok(key) = Key::parse(&req.key) else {
        return reply::refusal(Outcome::NotRun(NotRun::InvalidKey));
    };
    let mut entered = enter(node, key, &req);
    if let Entered::Done(reply) = &entered
        && may_be_behind(node, reply)
    {
        pull(node).await;
        entered = enter(node, key, &req);
    }
    let mut rx = match entered {
        Entered::Done(reply) => return reply,
        Entered::Join(rx) => rx,
        Entered::Run(tx) => {
            let rx = tx.subscribe();
            tokio::spawn(run_owned(node.clone(), key, req, deadline, tx));
            rx
        }
    };
    let late = || reply::refusal(Outcome::Unknown(Unknown::Deadline));
    match tokio::time::timeout_at(deadline, rx.wait_for(Option::is_some)).await {
        Ok(Ok(reply)) => reply.clone().unwrap_or_else(late),
        Ok(Err(_)) => reply::refusal(Outcome::Unknown(Unknown::ConnectionLost)),
        Err(_) => late(),
    }
}

/// Returns whether a refusal may come from a map that lacks the latest record: nobody owns the key, or its
/// owner is leaving or gone and may have released it.
fn may_be_behind(node: &Node, reply: &CallReply) -> bool {
    match reply::outcome(reply) {
        Outcome::NotRun(NotRun::NoOwner) => true,
        Outcome::NotRun(NotRun::NotOwner) => {
            !node.knows_backend(&node.settings.backend.service, &reply.owner_instance)
        }
        _ => false,
    }
}

/// Waits for a pull of ownership: the record that gives the key an owner may have come since the last.
async fn pull(node: &Node) {
    let mut pulls = node.board.ownership_pulls.subscribe();
    // Two, because the first one may have begun before this call.
    for _ in 0..2 {
        node.board.ownership_wake.notify_one();
        let _ = tokio::time::timeout(PULL_WAIT, pulls.changed()).await;
    }
}

fn enter(node: &Node, key: Key, req: &CallRequest) -> Entered {
    let mut section = lock(&node.board.once);
    let Section {
        map,
        table,
        running,
    } = &mut *section;
    let refused = |outcome| Entered::Done(reply::refusal(outcome));
    match table.offer(map, key, hash(req)) {
        Decision::Run => {
            let (tx, rx) = watch::channel(None);
            running.insert(key, rx);
            Entered::Run(tx)
        }
        Decision::Join => match running.get(&key) {
            Some(rx) => Entered::Join(rx.clone()),
            None => refused(Outcome::Unknown(Unknown::ConnectionLost)),
        },
        Decision::Answer(reply) => Entered::Done(reply),
        Decision::KeyReused => refused(Outcome::NotRun(NotRun::KeyReused)),
        Decision::Refused(Refusal::Unknown) => refused(Outcome::Unknown(Unknown::OwnerLost)),
        Decision::Refused(Refusal::NotRun { owner: None }) => {
            refused(Outcome::NotRun(NotRun::NoOwner))
        }
        Decision::Refused(Refusal::NotRun { owner: Some(owner) }) => {
            let mut reply = reply::refusal(Outcome::NotRun(NotRun::NotOwner));
            reply.owner_instance = owner.instance.to_string();
            Entered::Done(reply)
        }
    }
}

async fn run_owned(
    node: Arc<Node>,
    key: Key,
    req: CallRequest,
    deadline: Instant,
    tx: watch::Sender<Option<CallReply>>,
) {
    let attempt = execute::attempt(&node, &req, deadline).await;
    let mut section = lock(&node.board.once);
    match reply::outcome(&attempt.reply) {
        Outcome::Answered => {
            let bytes = attempt.reply.encoded_len();
            section
                .table
                .record_answer(key, attempt.reply.clone(), bytes);
        }
        Outcome::NotRun(_) if !attempt.handed_over => section.table.remove_unsent(key),
        Outcome::NotRun(_) | Outcome::Unknown(_) => section.table.mark_unknown(key),
    }
    section.running.remove(&key);
    // Nobody may be waiting any more.
    let _ = tx.send(Some(attempt.reply));
}

/// Hashes what must be the same when a key comes again.
fn hash(req: &CallRequest) -> u64 {
    let mut hash = 0;
    for part in [&req.customer, &req.method, &req.path_and_query] {
        hash = xxh3_64_with_seed(part.as_bytes(), hash);
    }
    xxh3_64_with_seed(&req.body, hash)
}
