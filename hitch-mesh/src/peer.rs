//! Connections that other nodes open to this one: their calls are run, and they are told of its state.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use hitch_gate::shards::lock;
use hitch_retry::suspicion::CrashedBackend;
use hitch_retry::suspicion::Evidence;
use hitch_retry::suspicion::Fingerprint;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::config;
use crate::execute;
use crate::frame::Call;
use crate::frame::Crashes;
use crate::frame::Kind;
use crate::frame::Members;
use crate::link;
use crate::link::FrameSender;
use crate::mesh::Mesh;
use crate::socket;
use crate::transit::Transit;

/// Pause after a connection could not be accepted, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Calls of a connection that have not ended, with what tells them that the caller has left.
type Running = Arc<Mutex<BTreeMap<u64, Arc<Notify>>>>;

/// Accepts connections for as long as the process runs.
pub(crate) async fn serve(mesh: Arc<Mesh>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(mesh.clone(), stream));
            }
            Err(err) => {
                slog::warn!(mesh.reporter.log(), "peer: cannot accept a connection"; "error" => %err);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(mesh: Arc<Mesh>, stream: TcpStream) {
    if let Err(err) = socket::set_up_peer(&stream) {
        slog::warn!(mesh.reporter.log(), "peer: cannot set the options of a connection"; "error" => %err);
        return;
    }
    let (reader, writer) = stream.into_split();
    let (tx, rx) = mpsc::unbounded_channel();
    let mut state = mesh.state.subscribe();
    let running = Running::default();
    let mut transit = Transit::default();
    send_state(&mesh, &mut state, &tx);
    let read = link::read(reader, |frame| {
        on_frame(&mesh, frame.kind, &tx, &running, &mut transit);
        true
    });
    let write = link::write(rx, writer, Arc::new(AtomicU64::new(0)));
    tokio::pin!(read, write);
    loop {
        tokio::select! {
            ended = &mut read => {
                mesh.connection_ended(ended);
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
    // Nobody can be answered any more. Calls that may run only once go on, the others stop.
    for left in lock(&running).values() {
        left.notify_one();
    }
}

fn send_state(
    mesh: &Mesh,
    state: &mut tokio::sync::watch::Receiver<crate::frame::State>,
    tx: &FrameSender,
) {
    let mut state = state.borrow_and_update().clone();
    state.version = mesh.version();
    // A connection that has ended needs no state.
    let _ = tx.send(Kind::State(state));
}

fn on_frame(
    mesh: &Arc<Mesh>,
    kind: Option<Kind>,
    tx: &FrameSender,
    running: &Running,
    transit: &mut Transit,
) {
    // A frame of a kind that this build does not know is ignored.
    let Some(kind) = kind else { return };
    let reply = match kind {
        Kind::Call(call) => {
            let now = mesh.now();
            let held_up = transit.held_up(Duration::from_millis(call.sent_ms), now);
            // Its time ran while it was on its way.
            start(mesh, call, now.saturating_sub(held_up), tx, running);
            None
        }
        Kind::Cancel(cancel) => {
            if let Some(left) = lock(running).get(&cancel.number) {
                left.notify_one();
            }
            None
        }
        Kind::Ping(ping) => Some(Kind::Pong(ping)),
        Kind::PullConfig(pull) => config::packed_newer_than(mesh, pull.have).map(Kind::Config),
        Kind::Members(members) => {
            let is_question = members.members.is_empty();
            learn(mesh, members);
            is_question.then(|| {
                Kind::Members(Members {
                    members: lock(&mesh.members).list(),
                })
            })
        }
        Kind::Crashes(crashes) => {
            note_crashes(mesh, crashes);
            None
        }
        Kind::Notice(notice) => {
            // Without a connection to the node, its version is learned from the next answer.
            if let Some(link) = mesh.try_link(&notice.address) {
                // Another zone only speaks up in case the store is silent to this one.
                let is_near = lock(&mesh.members).is_in(&notice.address, &mesh.settings.zone);
                let head_start = match is_near {
                    true => Duration::ZERO,
                    false => config::HEAD_START,
                };
                config::note_version(mesh, notice.version, &link, head_start);
            }
            None
        }
        Kind::Answer(_) | Kind::State(_) | Kind::Pong(_) | Kind::Config(_) => None,
    };
    if let Some(reply) = reply {
        // The connection may have ended meanwhile; the peer asks again on the next one.
        let _ = tx.send(reply);
    }
}

fn start(mesh: &Arc<Mesh>, call: Call, arrived: Duration, tx: &FrameSender, running: &Running) {
    let left = Arc::new(Notify::new());
    lock(running).insert(call.number, left.clone());
    let (mesh, tx, running) = (mesh.clone(), tx.clone(), running.clone());
    tokio::spawn(async move {
        let answer = execute::run(&mesh, &call, arrived, left.notified()).await;
        lock(&running).remove(&call.number);
        // A caller that is gone needs no answer.
        let _ = tx.send(Kind::Answer(answer));
    });
}

/// Takes in nodes that a peer named.
pub(crate) fn learn(mesh: &Mesh, members: Members) {
    let own = mesh.own_address();
    let now = mesh.now();
    let mut news = false;
    {
        let mut known = lock(&mesh.members);
        for member in members.members {
            if *member.address != *own {
                news |= known.learn(now, member);
            }
        }
    }
    if news {
        mesh.members_wake.notify_one();
    }
}

/// Takes in what a peer knows of requests that crash backend servers.
fn note_crashes(mesh: &Mesh, crashes: Crashes) {
    let now = mesh.now();
    let mut suspicion = lock(&mesh.suspicion);
    for crash in crashes.evidence {
        let evidence = Evidence {
            fingerprint: Fingerprint(crash.fingerprint),
            backend: CrashedBackend {
                instance: crash.instance.into(),
                incarnation: [0; 16],
            },
            cleared: crash.cleared,
            ttl: Duration::from_millis(crash.left_ms.into()),
        };
        suspicion.merge(&evidence, now);
    }
}
