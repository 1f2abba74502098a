//! Connections that this node opens to the other members, and the detection of unresponsive peers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hitch_admin::recorder::Subject;
use hitch_edge::bounds::Limit;
use hitch_event::Kind as EventKind;
use hitch_gate::shards::lock;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::bounds;
use crate::config;
use crate::frame::Answer;
use crate::frame::Frame;
use crate::frame::Kind;
use crate::frame::Member;
use crate::frame::Members;
use crate::frame::State;
use crate::freshness;
use crate::link;
use crate::link::Link;
use crate::link::Received;
use crate::mesh::Mesh;
use crate::outcome::Outcome;
use crate::peer;
use crate::quota;
use crate::rollout;
use crate::socket;

/// Longest time to open a connection to another node. It takes milliseconds between zones, and up to a second when
/// hundreds of nodes with a tenth of a CPU core each start together.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time from opening a connection to the peer's first state message.
const STATE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Number of peers that are asked for their list of members while the store has not delivered one. The list of 300
/// nodes has 18 KB, so asking every peer would saturate narrow links.
const MAX_MEMBER_REQUESTS: u64 = 3;
/// Least time between two choices of the members to connect to.
const ROUND_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which connections with calls in flight are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without data on a connection with calls in flight after which the peer gets a ping.
const PING_AFTER_IDLE: Duration = Duration::from_millis(250);
/// Time to answer a ping. After it, the peer gets no new calls, and its idempotent calls are retried at other nodes as
/// far as the retry budget allows. An answer takes some milliseconds between zones, and 100 ms more on an instance that
/// has used up its CPU quota.
const PONG_TIMEOUT: Duration = Duration::from_millis(300);

/// Connects to all known members, and reconnects after failures, for as long as the process runs.
pub(crate) async fn run(mesh: Arc<Mesh>) {
    loop {
        let now = mesh.now();
        let (due, next) = {
            let mut members = lock(&mesh.members);
            let due = members.take_due(now);
            mesh.metrics.peers.set(members.connected_count() as i64);
            mesh.running_nodes
                .store(members.running(), Ordering::Relaxed);
            (due, members.next_due())
        };
        // A member that was found unreachable may leave this node to read the store.
        mesh.readers_changed.notify_one();
        for member in due.connect {
            tokio::spawn(connection(mesh.clone(), member));
        }
        for address in due.disconnect {
            retire(&mesh, &address);
        }
        // Members that change together, as after a start of all nodes, are handled together.
        tokio::time::sleep(ROUND_INTERVAL).await;
        let woken = mesh.dial_wake.notified();
        match next {
            Some(at) => {
                let wait = at.saturating_sub(mesh.now());
                let _ = tokio::time::timeout(wait, woken).await;
            }
            None => woken.await,
        }
    }
}

/// Ends the connection to a member that is not selected any more, after its calls.
fn retire(mesh: &Mesh, address: &str) {
    let link = lock(&mesh.links).get(address).cloned();
    if let Some(link) = link {
        link.retire();
        mesh.remove_from_pools(address);
    }
}

async fn connection(mesh: Arc<Mesh>, member: Member) {
    let address: Box<str> = (*member.address).into();
    let connect = TcpStream::connect(&*address);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(stream)) => stream,
        _ => return connect_failed(&mesh, &address),
    };
    if let Err(err) = socket::configure_peer_socket(&stream) {
        slog::warn!(mesh.reporter.log(), "dial: cannot set socket options, connection closed"; "error" => %err);
        return connect_failed(&mesh, &address);
    }
    let (reader, writer) = stream.into_split();
    let (tx, rx) = mpsc::unbounded_channel();
    let link = Arc::new(Link::new(tx, mesh.now()));
    announce(&mesh, &link);
    let (first_state_tx, first_state_rx) = tokio::sync::oneshot::channel();
    let mut first_state_tx = Some(first_state_tx);
    let now = || mesh.now();
    let read = link::read(reader, &mesh.bounds.account, now, |received| {
        link.record_receipt(mesh.now());
        let frame = match received {
            Received::Whole(frame) => frame,
            Received::WithoutBody(frame) => drop_answer(&mesh, frame),
        };
        if let Some(Kind::State(_)) = &frame.kind
            && let Some(tx) = first_state_tx.take()
        {
            // The receiver is dropped only together with this future.
            let _ = tx.send(());
        }
        on_frame(&mesh, &address, &link, frame)
    });
    {
        let write = link::write(rx, writer, |call| link.begin_writing(call));
        tokio::pin!(read, write);
        let state_timeout = async {
            match tokio::time::timeout(STATE_TIMEOUT, first_state_rx).await {
                Ok(Ok(())) => {}
                _ => return,
            }
            std::future::pending::<()>().await;
        };
        tokio::pin!(state_timeout);
        tokio::select! {
            ended = &mut read => mesh.log_connection_end(ended),
            () = &mut write => {}
            () = &mut state_timeout => {}
            () = link.await_retirement() => {}
        }
    }
    link.close();
    let was_connected = {
        let mut links = lock(&mesh.links);
        let is_current = links.get(&address).is_some_and(|l| Arc::ptr_eq(l, &link));
        is_current && links.remove(&address).is_some()
    };
    mesh.remove_from_pools(&address);
    match was_connected {
        true => {
            slog::info!(mesh.reporter.log(), "dial: disconnected from a node"; "peer" => %address);
            mesh.reporter.recorder().record_unlogged(
                EventKind::Member,
                Subject::default(),
                format!("dial: disconnected from {address}"),
            );
            lock(&mesh.members).disconnected(mesh.now(), &address);
            mesh.readers_changed.notify_one();
            mesh.dial_wake.notify_one();
        }
        false => connect_failed(&mesh, &address),
    }
}

fn connect_failed(mesh: &Mesh, address: &str) {
    lock(&mesh.members).connect_failed(mesh.now(), address);
    mesh.dial_wake.notify_one();
}

/// Sends this node's own member entry to a peer, and asks for the peer's list while the store has not delivered one.
fn announce(mesh: &Mesh, link: &Link) {
    let own = mesh.state.borrow().member.clone();
    link.send(Kind::Members(Members {
        members: own.into_iter().collect(),
    }));
    rollout::introduce(mesh, link.sender());
    let requests = || mesh.member_requests.fetch_add(1, Ordering::Relaxed);
    if !mesh.is_registered.load(Ordering::Relaxed) && requests() < MAX_MEMBER_REQUESTS {
        link.send(Kind::Members(Members::default()));
    }
}

fn on_frame(mesh: &Arc<Mesh>, address: &str, link: &Arc<Link>, frame: Frame) -> bool {
    // The kind is unknown to this build if a newer one sent the frame; such frames are ignored.
    let Some(kind) = frame.kind else { return true };
    match kind {
        Kind::Answer(answer) => {
            config::on_peer_version(mesh, answer.version, link.sender(), config::PULL_DELAY);
            link.complete(answer);
        }
        Kind::State(state) => return on_state(mesh, address, link, &state),
        Kind::Config(raw) => config::apply_compressed(mesh, &raw),
        Kind::PullConfig(pull) => {
            if let Some(config) = config::compressed_newer_than(mesh, pull.have) {
                link.send(Kind::Config(config));
            }
        }
        Kind::Members(members) => peer::learn(mesh, members),
        Kind::FreshnessRequest(request) => {
            link.send(freshness::answer(mesh, request, link.sender()));
        }
        Kind::Freshness(answer) => freshness::on_answer(mesh, answer, link.sender()),
        Kind::QuotaGrant(grant) => quota::on_grant(mesh, grant),
        Kind::Rollout(rollout) => rollout::on_instruction(mesh, rollout),
        _ => {}
    }
    true
}

/// Makes an answer for whose body there was no memory one without an outcome: the call has run.
fn drop_answer(mesh: &Mesh, frame: Frame) -> Frame {
    let Some(Kind::Answer(answer)) = frame.kind else {
        return frame;
    };
    bounds::report(mesh, Limit::AnswerMemory, "");
    let unknown = Outcome::unknown("no memory was free for the answer").into_answer();
    let answer = Answer {
        number: answer.number,
        version: answer.version,
        ..unknown
    };
    Frame {
        kind: Some(Kind::Answer(answer)),
    }
}

fn on_state(mesh: &Arc<Mesh>, address: &str, link: &Arc<Link>, state: &State) -> bool {
    let Some(member) = &state.member else {
        return false;
    };
    if *member.address != *address {
        slog::warn!(mesh.reporter.log(), "dial: another node has the address"; "peer" => address,
            "actual" => &member.address);
        return false;
    }
    {
        let mut members = lock(&mesh.members);
        members.connected(mesh.now(), address, member.clone(), state.accepts);
        members.set_lacks_store(address, state.lacks_store);
    }
    mesh.readers_changed.notify_one();
    lock(&mesh.links).insert(address.into(), link.clone());
    link.set_state(state.clone());
    apply_state(mesh, link, state);
    // The choice of the members to connect to may have changed.
    mesh.dial_wake.notify_one();
    config::on_peer_version(mesh, state.version, link.sender(), config::PULL_DELAY);
    freshness::wake(mesh);
    true
}

/// Updates the pool of a peer's service. A connection that is being closed gets no new calls.
fn apply_state(mesh: &Mesh, link: &Link, state: &State) {
    if !link.is_retired() {
        mesh.apply_state(state);
    }
}

/// Checks connections with calls in flight for as long as the process runs. A peer that is frozen or cut off is
/// detected by its unanswered pings, long before the kernel closes the connection.
pub(crate) async fn detect_unresponsive(mesh: Arc<Mesh>) {
    let mut last = mesh.now();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = mesh.now();
        let was_suspended = now.saturating_sub(last) > CHECK_INTERVAL * 2;
        last = now;
        if was_suspended {
            // This process itself was suspended or starved; data that the peers sent meanwhile has yet to be read.
            continue;
        }
        let links: Vec<(Box<str>, Arc<Link>)> = lock(&mesh.links)
            .iter()
            .filter(|(_, link)| !link.is_quiet())
            .map(|(address, link)| (address.clone(), link.clone()))
            .collect();
        for (address, link) in links {
            let idle = now.saturating_sub(link.last_received().max(link.oldest_call_sent_at(now)));
            let is_unresponsive = link.ping_age(now) >= PONG_TIMEOUT;
            if is_unresponsive && link.set_unresponsive(true) {
                slog::info!(mesh.reporter.log(), "dial: a node is unresponsive"; "peer" => %address,
                    "idle_ms" => idle.as_millis() as u64);
                let mut state = link.state();
                state.accepts = false;
                apply_state(&mesh, &link, &state);
            } else if !is_unresponsive && link.set_unresponsive(false) {
                apply_state(&mesh, &link, &link.state());
            }
            if idle >= PING_AFTER_IDLE {
                link.ping(now);
            }
        }
    }
}
