//! Connections that other nodes opened to this one. The node runs the calls that it receives on them and sends its own
//! state to the peer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hitch_edge::bounds::Limit;
use hitch_gate::shards::lock;
use hitch_retry::suspicion::CrashedBackend;
use hitch_retry::suspicion::Evidence;
use hitch_retry::suspicion::Fingerprint;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::arrival::RETRY_AFTER_NO_MEMORY;
use crate::bounds;
use crate::cancel::CancelSignal;
use crate::config;
use crate::delay::DelayEstimator;
use crate::execute;
use crate::frame::Answer;
use crate::frame::Call;
use crate::frame::Crashes;
use crate::frame::Kind;
use crate::frame::Member;
use crate::frame::Members;
use crate::freshness;
use crate::link;
use crate::link::FrameSender;
use crate::link::Received;
use crate::members;
use crate::mesh::Mesh;
use crate::nested;
use crate::outcome::Outcome;
use crate::quota;
use crate::rollout;
use crate::socket;

/// Pause after `accept` failed, for example for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Time for which introductions are collected before they are passed on.
const INTRODUCTION_DELAY: Duration = Duration::from_millis(200);

/// Calls of a connection that have not ended, by number.
type RunningCalls = Arc<Mutex<BTreeMap<u64, Arc<CancelSignal>>>>;

/// Accepts connections for as long as the process runs.
pub(crate) async fn serve(mesh: Arc<Mesh>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(mesh.clone(), stream));
            }
            Err(err) => {
                slog::warn!(mesh.reporter.log(), "peer: accept failed"; "error" => %err);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn connection(mesh: Arc<Mesh>, stream: TcpStream) {
    if let Err(err) = socket::configure_peer_socket(&stream) {
        slog::warn!(mesh.reporter.log(), "peer: cannot set socket options, connection closed"; "error" => %err);
        return;
    }
    let (reader, writer) = stream.into_split();
    let (tx, rx) = mpsc::unbounded_channel();
    let mut state = mesh.state.subscribe();
    let running = RunningCalls::default();
    let mut delays = DelayEstimator::default();
    // Before the state, so that the peer sends no call by a version that it does not know to be unproved.
    rollout::introduce(&mesh, &tx);
    send_state(&mesh, &mut state, &tx);
    let now = || mesh.now();
    let read = link::read(reader, &mesh.bounds.account, now, |received| {
        match received {
            Received::Whole(frame) => on_frame(&mesh, frame.kind, &tx, &running, &mut delays),
            Received::WithoutBody(frame) => refuse_call(&mesh, frame.kind, &tx),
        }
        true
    });
    let write = link::write(rx, writer, |_| true);
    tokio::pin!(read, write);
    loop {
        tokio::select! {
            ended = &mut read => {
                mesh.log_connection_end(ended);
                break;
            }
            () = &mut write => break,
            changed = state.changed() => {
                if changed.is_err() {
                    break;
                }
                send_state(&mesh, &mut state, &tx);
            }
        }
    }
    // No answer can reach the peer any more. Calls that may run only once continue, the others are cancelled.
    for cancel in lock(&running).values() {
        cancel.cancel(mesh.now());
    }
}

fn send_state(
    mesh: &Mesh,
    state: &mut tokio::sync::watch::Receiver<crate::frame::State>,
    tx: &FrameSender,
) {
    let mut state = state.borrow_and_update().clone();
    state.version = mesh.version();
    // Sending fails only if the connection has ended; then the peer needs no state.
    let _ = tx.send(Kind::State(state));
}

fn on_frame(
    mesh: &Arc<Mesh>,
    kind: Option<Kind>,
    tx: &FrameSender,
    running: &RunningCalls,
    delays: &mut DelayEstimator,
) {
    // The kind is unknown to this build if a newer one sent the frame; such frames are ignored.
    let Some(kind) = kind else { return };
    let reply = match kind {
        Kind::Call(call) => {
            let now = mesh.now();
            let delay = delays.excess_delay(Duration::from_millis(call.sent_ms), now);
            // The call's remaining time was counted from the moment of sending.
            spawn_call(mesh, call, now.saturating_sub(delay), tx, running);
            None
        }
        Kind::Cancel(cancel) => {
            if let Some(signal) = lock(running).get(&cancel.number) {
                signal.cancel(mesh.now());
            }
            None
        }
        Kind::Ping(ping) => Some(Kind::Pong(ping)),
        Kind::PullConfig(pull) => config::compressed_newer_than(mesh, pull.have).map(Kind::Config),
        Kind::Members(members) => {
            let is_request = members.members.is_empty();
            learn_introductions(mesh, members);
            is_request.then(|| {
                Kind::Members(Members {
                    members: lock(&mesh.members).list(),
                })
            })
        }
        Kind::Crashes(crashes) => {
            merge_crashes(mesh, crashes);
            None
        }
        Kind::Notice(notice) => {
            // A node of another zone sends a notice in case the store does not answer the readers of this zone.
            let is_same_zone = lock(&mesh.members).is_in_zone(&notice.address, &mesh.settings.zone);
            let delay = match is_same_zone {
                true => Duration::ZERO,
                false => config::PULL_DELAY,
            };
            config::on_peer_version(mesh, notice.version, tx, delay);
            None
        }
        Kind::Config(raw) => {
            config::apply_compressed(mesh, &raw);
            None
        }
        Kind::FreshnessRequest(request) => Some(freshness::answer(mesh, request, tx)),
        Kind::Freshness(answer) => {
            freshness::on_answer(mesh, answer, tx);
            None
        }
        Kind::QuotaRequest(request) => quota::on_request(mesh, request),
        Kind::Rollout(rollout) => {
            rollout::on_instruction(mesh, rollout);
            None
        }
        Kind::RolloutEvidence(evidence) => {
            rollout::on_evidence(mesh, evidence);
            None
        }
        Kind::Answer(_) | Kind::State(_) | Kind::Pong(_) | Kind::QuotaGrant(_) => None,
    };
    if let Some(reply) = reply {
        // The connection may have ended meanwhile; the peer asks again on the next one.
        let _ = tx.send(reply);
    }
}

/// Answers a call for whose body there was no memory.
fn refuse_call(mesh: &Mesh, kind: Option<Kind>, tx: &FrameSender) {
    let Some(Kind::Call(call)) = kind else { return };
    bounds::report(mesh, Limit::CallMemory, &call.request_id);
    let outcome = Outcome::not_run("no memory is free for the body", RETRY_AFTER_NO_MEMORY);
    let answer = Answer {
        number: call.number,
        version: mesh.version(),
        ..outcome.into_answer()
    };
    // Sending fails only if the connection has ended; then nobody waits for the answer.
    let _ = tx.send(Kind::Answer(answer));
}

fn spawn_call(
    mesh: &Arc<Mesh>,
    mut call: Call,
    arrived: Duration,
    tx: &FrameSender,
    running: &RunningCalls,
) {
    nested::classify(mesh, &mut call, true);
    let cancel = Arc::new(CancelSignal::default());
    lock(running).insert(call.number, cancel.clone());
    let (mesh, tx, running) = (mesh.clone(), tx.clone(), running.clone());
    tokio::spawn(async move {
        let answer = execute::run(&mesh, &call, arrived, &cancel).await;
        lock(&running).remove(&call.number);
        // Sending fails only if the connection has ended; then nobody waits for the answer.
        let _ = tx.send(Kind::Answer(answer));
    });
}

/// Adds members that a peer or the store listed.
pub(crate) fn learn(mesh: &Mesh, members: Members) {
    let now = mesh.now();
    add_members(mesh, members, |known, member| {
        known.learn(now, member);
    });
}

/// Adds members that introduced themselves on a connection to this node or to one that passed the introduction on. Those
/// that were not known are passed on, so that every node of the zone learns of them.
fn learn_introductions(mesh: &Mesh, members: Members) {
    let now = mesh.now();
    let mut new = Vec::new();
    add_members(mesh, members, |known, member| {
        if known.introduced(now, member.clone()) {
            new.push(member);
        }
    });
    if !new.is_empty() {
        lock(&mesh.introductions).append(&mut new);
        mesh.introduced.notify_one();
    }
}

/// Calls `add` for each member but this node itself, and lets the connections be chosen anew.
fn add_members(mesh: &Mesh, members: Members, mut add: impl FnMut(&mut members::Members, Member)) {
    let own = mesh.own_address();
    {
        let mut known = lock(&mesh.members);
        for member in members.members {
            if !member.has_usable_address() {
                slog::warn!(mesh.reporter.log(), "members: entry without a usable address, ignored"; "address" => &member.address);
                continue;
            }
            if *member.address != *own {
                add(&mut known, member);
            }
        }
    }
    mesh.dial_wake.notify_one();
}

/// Passes introductions on for as long as the process runs. Those that arrive together, as after a start of all nodes,
/// are sent together.
pub(crate) async fn pass_on_introductions(mesh: Arc<Mesh>) {
    loop {
        mesh.introduced.notified().await;
        tokio::time::sleep(INTRODUCTION_DELAY).await;
        let members = std::mem::take(&mut *lock(&mesh.introductions));
        mesh.spread(&Kind::Members(Members { members }));
    }
}

/// Merges what a peer knows of requests that crash backend servers, and passes on what is new.
fn merge_crashes(mesh: &Mesh, crashes: Crashes) {
    let now = mesh.now();
    let mut new = Vec::new();
    {
        let mut suspicion = lock(&mesh.suspicion);
        for crash in crashes.evidence {
            let evidence = Evidence {
                fingerprint: Fingerprint(crash.fingerprint),
                backend: CrashedBackend {
                    instance: (*crash.instance).into(),
                    incarnation: [0; 16],
                },
                cleared: crash.cleared,
                ttl: Duration::from_millis(crash.left_ms.into()),
            };
            if suspicion.merge(&evidence, now) {
                new.push(crash);
            }
        }
    }
    if !new.is_empty() {
        mesh.spread(&Kind::Crashes(Crashes { evidence: new }));
    }
}
