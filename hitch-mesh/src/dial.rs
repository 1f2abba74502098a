//! Connections that this node opens to the others, and the watch over silent ones.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hitch_admin::recorder::Subject;
use hitch_event::Kind as EventKind;
use hitch_gate::shards::lock;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::config;
use crate::frame::Frame;
use crate::frame::Kind;
use crate::frame::Member;
use crate::frame::Members;
use crate::frame::State;
use crate::link;
use crate::link::Link;
use crate::mesh::Mesh;
use crate::peer;
use crate::socket;

/// Longest time to open a connection to another node. It takes milliseconds between zones, and up to a second when
/// hundreds of nodes with a tenth of a core each start together.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time from the open connection to the first word of the node.
const STATE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Nodes that are asked for the list of nodes while the store has not given it. A list of 300 nodes has 18 KB, so asking
/// each node would choke narrow links.
const LISTS: u64 = 3;
/// Interval at which connections with calls are looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Silence on a connection with calls after which the node is asked for an echo.
const QUIET: Duration = Duration::from_millis(250);
/// Time that the echo may take before the node gets no new calls, and those that may be repeated are. It takes some
/// milliseconds between zones, and 100 ms more on a machine that has used up its part of the processor.
const ECHO_TIMEOUT: Duration = Duration::from_millis(300);

/// Connects to the nodes that are known, again and again, for as long as the process runs.
pub(crate) async fn run(mesh: Arc<Mesh>) {
    loop {
        let now = mesh.now();
        let (due, next) = {
            let mut members = lock(&mesh.members);
            let due = members.take_due(now);
            mesh.metrics.peers.set(members.connected_count() as i64);
            (due, members.next_attempt())
        };
        for member in due {
            tokio::spawn(connection(mesh.clone(), member));
        }
        let woken = mesh.members_wake.notified();
        match next {
            Some(at) => {
                let _ = tokio::time::timeout(at.saturating_sub(now), woken).await;
            }
            None => woken.await,
        }
    }
}

async fn connection(mesh: Arc<Mesh>, member: Member) {
    let address: Box<str> = (*member.address).into();
    let connect = TcpStream::connect(&*address);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Ok(stream)) => stream,
        _ => return failed(&mesh, &address),
    };
    if let Err(err) = socket::set_up_peer(&stream) {
        slog::warn!(mesh.reporter.log(), "dial: cannot set the options of a connection"; "error" => %err);
        return failed(&mesh, &address);
    }
    let (reader, writer) = stream.into_split();
    let (tx, rx) = mpsc::unbounded_channel();
    let taken = Arc::new(AtomicU64::new(0));
    let link = Arc::new(Link::new(tx, taken.clone(), mesh.now()));
    introduce(&mesh, &link);
    let (stated_tx, stated_rx) = tokio::sync::oneshot::channel();
    let mut stated_tx = Some(stated_tx);
    let read = link::read(reader, |frame| {
        link.heard(mesh.now());
        if let Some(Kind::State(_)) = &frame.kind
            && let Some(tx) = stated_tx.take()
        {
            // The receiver is dropped only with this future.
            let _ = tx.send(());
        }
        on_frame(&mesh, &address, &link, frame)
    });
    {
        let write = link::write(rx, writer, taken);
        tokio::pin!(read, write);
        let first = async {
            match tokio::time::timeout(STATE_TIMEOUT, stated_rx).await {
                Ok(Ok(())) => {}
                _ => return,
            }
            std::future::pending::<()>().await;
        };
        tokio::pin!(first);
        tokio::select! {
            ended = &mut read => mesh.connection_ended(ended),
            () = &mut write => {}
            () = &mut first => {}
        }
    }
    link.close();
    let was_connected = {
        let mut links = lock(&mesh.links);
        let is_own = links.get(&address).is_some_and(|l| Arc::ptr_eq(l, &link));
        is_own && links.remove(&address).is_some()
    };
    mesh.remove_from_pools(&address);
    match was_connected {
        true => {
            slog::info!(mesh.reporter.log(), "dial: lost a node"; "peer" => %address);
            mesh.reporter.recorder().record_unlogged(
                EventKind::Member,
                Subject::default(),
                format!("dial: lost {address}"),
            );
            lock(&mesh.members).lost(mesh.now(), &address);
            mesh.readers_changed.notify_one();
            mesh.members_wake.notify_one();
        }
        false => failed(&mesh, &address),
    }
}

fn failed(mesh: &Mesh, address: &str) {
    lock(&mesh.members).failed(mesh.now(), address);
    mesh.members_wake.notify_one();
}

/// Tells a node of this one, and asks it for others while the store has not named them.
fn introduce(mesh: &Mesh, link: &Link) {
    let own = mesh.state.borrow().member.clone();
    link.send(Kind::Members(Members {
        members: own.into_iter().collect(),
    }));
    let asked = || mesh.lists_asked.fetch_add(1, Ordering::Relaxed);
    if !mesh.is_listed.load(Ordering::Relaxed) && asked() < LISTS {
        link.send(Kind::Members(Members::default()));
    }
}

fn on_frame(mesh: &Arc<Mesh>, address: &str, link: &Arc<Link>, frame: Frame) -> bool {
    // A frame of a kind that this build does not know is ignored.
    let Some(kind) = frame.kind else { return true };
    match kind {
        Kind::Answer(answer) => {
            config::note_version(mesh, answer.version, link, config::HEAD_START);
            link.answered(answer);
        }
        Kind::State(state) => return on_state(mesh, address, link, &state),
        Kind::Config(raw) => config::apply_packed(mesh, &raw),
        Kind::Members(members) => peer::learn(mesh, members),
        _ => {}
    }
    true
}

fn on_state(mesh: &Arc<Mesh>, address: &str, link: &Arc<Link>, state: &State) -> bool {
    let Some(member) = &state.member else {
        return false;
    };
    if *member.address != *address {
        slog::warn!(mesh.reporter.log(), "dial: another node answers"; "peer" => address,
            "is" => &member.address);
        return false;
    }
    {
        let mut members = lock(&mesh.members);
        members.connected(address, member.clone());
        members.set_lacks_store(address, state.lacks_store);
    }
    mesh.readers_changed.notify_one();
    lock(&mesh.links).insert(address.into(), link.clone());
    link.set_state(state.clone());
    mesh.apply_state(state);
    config::note_version(mesh, state.version, link, config::HEAD_START);
    true
}

/// Watches connections with calls on them for as long as the process runs: a node that is frozen or cut off is found by
/// its silence long before the kernel gives the connection up.
pub(crate) async fn watch(mesh: Arc<Mesh>) {
    let mut last = mesh.now();
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        let now = mesh.now();
        let was_late = now.saturating_sub(last) > WATCH_INTERVAL * 2;
        last = now;
        if was_late {
            // This node itself stood still: what the others sent meanwhile has yet to be read.
            continue;
        }
        let links: Vec<(Box<str>, Arc<Link>)> = lock(&mesh.links)
            .iter()
            .map(|(address, link)| (address.clone(), link.clone()))
            .collect();
        for (address, link) in links {
            let quiet = now.saturating_sub(link.heard_at().max(link.busy_since(now)));
            let is_silent = link.owed(now) >= ECHO_TIMEOUT;
            if is_silent && link.suspect(true) {
                slog::info!(mesh.reporter.log(), "dial: a node is silent"; "peer" => %address,
                    "quiet_ms" => quiet.as_millis() as u64);
                let mut state = link.state();
                state.accepts = false;
                mesh.apply_state(&state);
            } else if !is_silent && link.suspect(false) {
                mesh.apply_state(&link.state());
            }
            if quiet >= QUIET {
                link.ask(now);
            }
        }
    }
}
