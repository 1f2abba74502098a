//! Exchanges with other nodes: digests, membership updates, and records of the log.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hitch_admin::recorder::Subject;
use hitch_config::State;
use hitch_event::Kind;
use hitch_proto::peer;
use hitch_proto::peer::ExchangeReply;
use hitch_proto::peer::ExchangeRequest;
use hitch_proto::peer::FetchReply;
use hitch_proto::peer::FetchRequest;
use hitch_proto::peer::NotifyRequest;
use hitch_roster::Member;
use hitch_roster::MemberKey;
use hitch_spread::Command;
use hitch_spread::Digest;
use hitch_spread::FetchResponse;
use hitch_spread::Outcome;
use hitch_spread::Peer;
use hitch_spread::Record;
use hitch_spread::Spread;
use prost::Message;
use slotmap::Key;
use slotmap::KeyData;

use crate::controller::apply;
use crate::controller::changes::apply_changes;
use crate::node::Node;
use crate::peers::Class;
use crate::shards::lock;
use crate::wire;

/// Timeout for an exchange with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a fetch from a peer, which may transfer a snapshot.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of the records in the reply to an exchange, in bytes.
const MAX_PIGGYBACK_BYTES: usize = 8 * 1024;
/// Maximum size of the records that a fetch requests, in bytes.
const MAX_FETCH_BYTES: u32 = 256 * 1024;
/// Number of peers that are tried after this node was disconnected.
const MAX_PEERS_TRIED: usize = 3;
/// Tick interval of the dissemination of records.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the dissemination of records for as long as the node runs.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::exchange::run(node).await
/// # }
/// ```
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let commands = lock(&node.board.spread).tick(node.time.now(), &mut rand::rng());
        execute_commands(&node, commands);
    }
}

/// Exchanges with random live peers until one answers, and returns whether one did.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// let in_touch = hitch_node::controller::exchange::with_any_peer(&node).await;
/// # }
/// ```
pub async fn with_any_peer(node: &Arc<Node>) -> bool {
    let mut members = Vec::new();
    {
        let roster = lock(&node.board.roster);
        for key in roster.random_peers(MAX_PEERS_TRIED, &mut rand::rng()) {
            members.extend(roster.get(key));
        }
    }
    for member in members {
        if with_address(node, &member.contact.address).await {
            return true;
        }
    }
    false
}

/// Exchanges with the node at `address`, and returns whether it answered.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// let answered = hitch_node::controller::exchange::with_address(&node, "127.0.0.1:7102").await;
/// # }
/// ```
pub async fn with_address(node: &Arc<Node>, address: &str) -> bool {
    let requested_at = node.time.now();
    let exchange = async {
        let mut client = node.peers.client(address, Class::Control).await.ok()?;
        let req = request(node);
        node.metrics
            .count_control_message("exchange", "sent", req.encoded_len());
        match client.exchange(req).await {
            Ok(res) => Some(res.into_inner()),
            Err(status) => {
                slog::debug!(node.recorder.log(),
                    "spread: exchange failed: {}", status; "peer" => address);
                None
            }
        }
    };
    match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
        Ok(Some(reply)) => {
            node.metrics
                .count_control_message("exchange", "received", reply.encoded_len());
            receive_reply(node, reply, requested_at);
            true
        }
        _ => {
            node.peers.disconnect(address);
            false
        }
    }
}

fn request(node: &Node) -> ExchangeRequest {
    let config = digest(node);
    let mut roster = lock(&node.board.roster);
    let members = roster.take_recent_updates(None);
    let details = roster.bucket_details();
    ExchangeRequest {
        stamp: wire::stamp(&node.recorder),
        sender: Some(wire::from_member(&roster.own())),
        config: Some(config),
        roster: Some(wire::from_digest(&roster.digest(), &details)),
        members: members.iter().map(wire::from_member).collect(),
    }
}

fn digest(node: &Node) -> peer::ConfigDigest {
    let (version, hash) = {
        let config = lock(&node.board.config);
        (config.state.version(), config.state.hash())
    };
    let digest = lock(&node.board.spread).digest(node.time.now(), version, hash);
    peer::ConfigDigest {
        next_offset: digest.next_offset,
        version: digest.version,
        state_hash: digest.state_hash,
        confirmed_age_ms: digest.confirmed_age.map(|age| age.as_millis() as u64),
    }
}

fn to_digest(wire: peer::ConfigDigest) -> Digest {
    // The sender rounds the age down; it must not be under-reported.
    let age = wire
        .confirmed_age_ms
        .map(|ms| Duration::from_millis(ms + 1));
    Digest {
        next_offset: wire.next_offset,
        version: wire.version,
        state_hash: wire.state_hash,
        confirmed_age: age,
    }
}

/// Answers an exchange that a peer started.
///
/// ```no_run
/// # fn run(node: std::sync::Arc<hitch_node::Node>) {
/// let reply = hitch_node::controller::exchange::answer(&node, Default::default());
/// # }
/// ```
pub fn answer(node: &Arc<Node>, req: ExchangeRequest) -> ExchangeReply {
    node.metrics
        .count_control_message("exchange", "received", req.encoded_len());
    let sender = req.sender.and_then(wire::to_member);
    let mut members = wire::to_members(req.members);
    members.extend(sender.clone());
    merge(node, members);
    let remote = req.roster.and_then(wire::to_digest);
    let (own, members, roster_digest) = {
        let mut roster = lock(&node.board.roster);
        let sender = sender
            .as_ref()
            .and_then(|s| roster.try_find(&s.contact.instance));
        let mut out = roster.take_recent_updates(sender);
        out.extend(match remote {
            Some((digest, details)) if details.is_empty() => roster.missing(&digest),
            Some((digest, details)) => roster.missing_by_details(&digest, &details),
            None => Vec::new(),
        });
        let members = out.iter().map(wire::from_member).collect();
        (
            roster.own(),
            members,
            wire::from_digest(&roster.digest(), &[]),
        )
    };
    let records = match req.config {
        Some(remote) => {
            receive_digest(node, sender.as_ref(), remote, None);
            lock(&node.board.spread).missing_records(remote.next_offset, MAX_PIGGYBACK_BYTES)
        }
        None => Vec::new(),
    };
    let reply = ExchangeReply {
        stamp: wire::stamp(&node.recorder),
        sender: Some(wire::from_member(&own)),
        config: Some(digest(node)),
        members,
        records: to_wire(records),
        roster: Some(roster_digest),
    };
    node.metrics
        .count_control_message("exchange", "sent", reply.encoded_len());
    reply
}

fn receive_reply(node: &Arc<Node>, reply: ExchangeReply, requested_at: Duration) {
    wire::observe(&node.recorder, reply.stamp);
    let sender = reply.sender.and_then(wire::to_member);
    let mut members = wire::to_members(reply.members);
    members.extend(sender.clone());
    merge(node, members);
    let Some(peer) = sender
        .as_ref()
        .and_then(|s| peer_of_instance(node, &s.contact.instance))
    else {
        return;
    };
    if !reply.records.is_empty() {
        let records = from_wire(reply.records);
        update_spread(node, |spread, now| {
            spread.received_records(now, peer, records)
        });
    }
    if let Some(remote) = reply.config {
        receive_digest(node, sender.as_ref(), remote, Some(requested_at));
    }
}

fn merge(node: &Node, members: Vec<Member>) {
    let changes = lock(&node.board.roster).merge(node.time.now(), members);
    apply_changes(node, changes);
}

fn receive_digest(
    node: &Arc<Node>,
    sender: Option<&Member>,
    digest: peer::ConfigDigest,
    requested_at: Option<Duration>,
) {
    let Some(sender) = sender else { return };
    let Some(peer) = peer_of_instance(node, &sender.contact.instance) else {
        return;
    };
    let now = node.time.now();
    let rng = &mut rand::rng();
    let commands =
        lock(&node.board.spread).received_digest(now, peer, to_digest(digest), requested_at, rng);
    execute_commands(node, commands);
}

/// Handles the notice of a peer that it has new records.
///
/// ```no_run
/// # fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::exchange::receive_notice(&node, Default::default());
/// # }
/// ```
pub fn receive_notice(node: &Arc<Node>, req: NotifyRequest) {
    node.metrics
        .count_control_message("exchange", "received", req.encoded_len());
    let Some(digest) = req.config else { return };
    let member = node.try_member(&req.from_instance);
    receive_digest(node, member.as_ref(), digest, None);
}

/// Answers a fetch with records, with a snapshot, or as busy.
///
/// ```no_run
/// # fn run(node: std::sync::Arc<hitch_node::Node>) {
/// let reply = hitch_node::controller::exchange::serve_fetch(&node, &Default::default());
/// # }
/// ```
pub fn serve_fetch(node: &Node, req: &FetchRequest) -> FetchReply {
    node.metrics
        .count_control_message("fetch", "received", req.encoded_len());
    let now = node.time.now();
    let max_bytes = req.max_bytes.min(MAX_FETCH_BYTES) as usize;
    let served = lock(&node.board.spread).serve_fetch(now, req.next_offset, max_bytes);
    let mut reply = FetchReply {
        stamp: wire::stamp(&node.recorder),
        ..Default::default()
    };
    match served {
        FetchResponse::Records(records) => reply.records = to_wire(records),
        FetchResponse::Busy => reply.busy = true,
        // The ticket expires by itself, since the end of the transfer is not observed here.
        FetchResponse::Snapshot(_ticket) => {
            reply.snapshot = lock(&node.board.config).state.snapshot();
        }
    }
    node.metrics
        .count_control_message("fetch", "sent", reply.encoded_len());
    reply
}

/// Updates the dissemination state with `f` and applies the records that `f` returns, in their
/// order.
///
/// The lock on the configuration is held throughout, so that two tasks cannot apply their records
/// in the wrong order.
pub(crate) fn update_spread(node: &Arc<Node>, f: impl FnOnce(&mut Spread, Duration) -> Outcome) {
    let now = node.time.now();
    let applied = {
        let mut config = lock(&node.board.config);
        let outcome = f(&mut lock(&node.board.spread), now);
        let verdicts = apply::records(node, &mut config, &outcome.apply);
        (outcome.commands, verdicts)
    };
    let (commands, verdicts) = applied;
    apply::record_and_activate(node, verdicts);
    execute_commands(node, commands);
}

/// Installs a snapshot from a peer, or from the log for `None`, if it is newer than the local
/// state.
pub(crate) fn install_snapshot(node: &Arc<Node>, from: Option<Peer>, state: State) {
    let now = node.time.now();
    let version = state.version();
    let next_offset = state.next_offset();
    let (outcome, verdicts) = {
        let mut config = lock(&node.board.config);
        let outcome = lock(&node.board.spread).received_snapshot(now, from, next_offset);
        if outcome.adopt {
            apply::adopt_snapshot(node, &mut config, state);
        }
        let verdicts = apply::records(node, &mut config, &outcome.apply);
        (outcome, verdicts)
    };
    if outcome.adopt {
        let subject = Subject {
            version,
            call_id: "",
        };
        node.recorder
            .record(Kind::Snapshot, subject, "spread: installed a snapshot");
    }
    apply::record_and_activate(node, verdicts);
    execute_commands(node, outcome.commands);
}

pub(crate) fn execute_commands(node: &Arc<Node>, commands: Vec<Command>) {
    for command in commands {
        let node = node.clone();
        match command {
            Command::Fetch { from, next_offset } => {
                tokio::spawn(async move { fetch(&node, from, next_offset).await });
            }
            Command::Announce { peers } => announce(&node, peers),
        }
    }
}

async fn fetch(node: &Arc<Node>, from: Peer, next_offset: u64) {
    let reply = match member(node, from) {
        Some(member) => {
            let fetch = try_fetch(node, &member.contact.address, next_offset);
            tokio::time::timeout(FETCH_TIMEOUT, fetch)
                .await
                .ok()
                .flatten()
        }
        None => None,
    };
    let Some(reply) = reply.filter(|reply| !reply.busy) else {
        lock(&node.board.spread).fetch_failed(node.time.now(), from, &mut rand::rng());
        return;
    };
    if reply.snapshot.is_empty() {
        let records = from_wire(reply.records);
        let text = format!("spread: pulled {} records", records.len());
        node.recorder.record(Kind::Pulled, Default::default(), text);
        update_spread(node, |spread, now| {
            spread.received_records(now, from, records)
        });
        return;
    }
    match State::from_snapshot(&reply.snapshot) {
        Ok(state) => install_snapshot(node, Some(from), state),
        Err(err) => {
            slog::warn!(
                node.recorder.log(),
                "spread: cannot decode a snapshot: {}",
                err
            );
            lock(&node.board.spread).fetch_failed(node.time.now(), from, &mut rand::rng());
        }
    }
}

async fn try_fetch(node: &Node, address: &str, next_offset: u64) -> Option<FetchReply> {
    let mut client = node.peers.client(address, Class::Control).await.ok()?;
    let req = FetchRequest {
        stamp: wire::stamp(&node.recorder),
        from_instance: node.settings.instance.to_string(),
        next_offset,
        max_bytes: MAX_FETCH_BYTES,
    };
    node.metrics
        .count_control_message("fetch", "sent", req.encoded_len());
    let reply = client.fetch(req).await.ok()?.into_inner();
    node.metrics
        .count_control_message("fetch", "received", reply.encoded_len());
    wire::observe(&node.recorder, reply.stamp);
    Some(reply)
}

fn announce(node: &Arc<Node>, peers: usize) {
    let req = NotifyRequest {
        stamp: wire::stamp(&node.recorder),
        from_instance: node.settings.instance.to_string(),
        config: Some(digest(node)),
    };
    let mut members = Vec::new();
    {
        let roster = lock(&node.board.roster);
        for key in roster.announce_peers(peers, &mut rand::rng()) {
            members.extend(roster.get(key));
        }
    }
    for member in members {
        let (node, req) = (node.clone(), req.clone());
        tokio::spawn(async move {
            let notify = notify(&node, &member.contact.address, req);
            let _ = tokio::time::timeout(EXCHANGE_TIMEOUT, notify).await;
        });
    }
}

async fn notify(node: &Node, address: &str, req: NotifyRequest) {
    let Ok(mut client) = node.peers.client(address, Class::Control).await else {
        return;
    };
    node.metrics
        .count_control_message("exchange", "sent", req.encoded_len());
    if client.notify(req).await.is_err() {
        node.peers.disconnect(address);
    }
}

fn member(node: &Node, peer: Peer) -> Option<Member> {
    lock(&node.board.roster).get(MemberKey::from(KeyData::from_ffi(peer.0)))
}

fn peer_of_instance(node: &Node, instance: &str) -> Option<Peer> {
    let key = lock(&node.board.roster).try_find(instance)?;
    Some(Peer(key.data().as_ffi()))
}

fn to_wire(records: Vec<Record>) -> Vec<peer::Record> {
    let mut out = Vec::new();
    for record in records {
        out.push(peer::Record {
            offset: record.offset,
            data: Bytes::from_owner(record.data),
        });
    }
    out
}

fn from_wire(records: Vec<peer::Record>) -> Vec<Record> {
    let mut out = Vec::new();
    for record in records {
        out.push(Record {
            offset: record.offset,
            data: record.data.as_ref().into(),
        });
    }
    out
}
