//! Startup and graceful shutdown of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use hitch_admin::Recorder;
use hitch_edge::bounds::Bounds;
use hitch_event::Kind;
use hitch_roster::Contact;
use hitch_roster::Incarnation;
use hitch_roster::Member;
use hitch_roster::Roster;
use hitch_settings::node::Settings;
use slog::Logger;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::watch;
use uuid::Uuid;

use crate::blackboard::Blackboard;
use crate::controller;
use crate::listener;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::peers::Peers;
use crate::time::ProcessClock;

/// Delay between announcing the draining state and closing the listeners, so that the nodes that
/// send calls here learn of it first.
pub const ANNOUNCE_DELAY: Duration = Duration::from_secs(2);
/// Maximum time that shutdown waits for calls in flight. It exceeds the longest deadline of a
/// route.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(65);
/// Number of events kept for operators, about 1.5 MB.
const EVENT_RING_CAPACITY: usize = 8192;
/// Interval at which shutdown checks for calls in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Startup error of a node.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listener cannot be opened.
    #[snafu(display("cannot open the {listener} listener at {address}: {source}"))]
    Listen {
        /// Name of the listener: `caller`, `peer` or `admin`.
        listener: &'static str,
        /// Address that the listener binds.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The address of the log is not valid.
    #[snafu(display("cannot use the address of the log: {source}"))]
    Log {
        /// Error of the log client.
        source: hitch_log::client::Error,
    },
}

/// Creates a node from its settings without starting it. Fails if the address of the log is not
/// valid.
///
/// ```no_run
/// # fn run(settings: hitch_settings::node::Settings) -> Result<(), hitch_node::run::Error> {
/// let log = slog::Logger::root(slog::Discard, slog::o!());
/// let node = hitch_node::run::new_node(settings, log)?;
/// # Ok(()) }
/// ```
pub fn new_node(settings: Settings, log: Logger) -> Result<Arc<Node>, Error> {
    // UUIDv7 orders incarnations by start time; its random bits make them unique.
    let incarnation = *Uuid::now_v7().as_bytes();
    let contact = Contact {
        instance: settings.instance.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        address: settings.peer.to_string().into(),
        admin: settings.admin.to_string().into(),
        service: settings.backend.service.clone(),
        customer: settings.backend.customer.clone(),
    };
    let local_member = Member::starting(Incarnation(incarnation), contact);
    let seeds = settings
        .peers
        .iter()
        .map(|a| a.to_string().into())
        .collect();
    let options = hitch_roster::Options {
        seeds,
        ..Default::default()
    };
    let roster = Roster::new(local_member, options);
    let log_client = hitch_log::Client::at(&settings.log, Default::default()).context(LogSnafu)?;
    let time = ProcessClock::start();
    let memory_bytes = settings.memory_mb.map(|mb| u64::from(mb) * 1024 * 1024);
    Ok(Arc::new(Node {
        board: Blackboard::new(roster, &settings.instance, incarnation, settings.shards),
        incarnation,
        time,
        bounds: Bounds::new(time, memory_bytes, None),
        limit_log: Mutex::default(),
        recorder: Recorder::new(&settings.instance, log, EVENT_RING_CAPACITY),
        metrics: Metrics::default(),
        peers: Peers::default(),
        log: log_client,
        drain_started: Notify::new(),
        ingress_in_flight: AtomicU64::new(0),
        settings,
    }))
}

/// Runs a node until `stop` resolves or an operator drains it, then shuts it down.
///
/// Shutdown waits for the calls in flight, at most [`DRAIN_TIMEOUT`]. Fails if a listener cannot be
/// opened.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) -> Result<(), hitch_node::run::Error> {
/// hitch_node::run::until(node, std::future::pending()).await
/// # }
/// ```
pub async fn until(node: Arc<Node>, stop: impl Future<Output = ()>) -> Result<(), Error> {
    let (close_tx, close_rx) = watch::channel(false);
    let caller = listen("caller", node.settings.caller).await?;
    let peer = listen("peer", node.settings.peer).await?;
    let admin = listen("admin", node.settings.admin).await?;
    let caller = listener::caller::serve(node.clone(), caller, wait_for_close(close_rx.clone()));
    let caller = tokio::spawn(caller);
    let peer = tokio::spawn(listener::peer::serve(
        node.clone(),
        peer,
        wait_for_close(close_rx.clone()),
    ));
    let admin = tokio::spawn(listener::admin::serve(
        node.clone(),
        admin,
        wait_for_close(close_rx),
    ));
    let controllers = start_controllers(&node);
    node.recorder
        .record(Kind::Started, Default::default(), "node: started");
    tokio::select! {
        () = stop => node.drain(),
        () = node.drain_started.notified() => {}
    }
    node.recorder
        .record(Kind::Draining, Default::default(), "node: draining");
    tokio::time::sleep(ANNOUNCE_DELAY).await;
    wait_for_calls(&node).await;
    let _ = close_tx.send(true);
    let listeners = async {
        let _ = caller.await;
        let _ = peer.await;
        let _ = admin.await;
    };
    // Idle connections must not keep the process alive.
    let _ = tokio::time::timeout(Duration::from_secs(1), listeners).await;
    for controller in controllers {
        controller.abort();
    }
    node.recorder
        .record(Kind::Stopped, Default::default(), "node: stopped");
    Ok(())
}

fn start_controllers(node: &Arc<Node>) -> Vec<tokio::task::JoinHandle<()>> {
    vec![
        tokio::spawn(controller::apply::run(node.clone())),
        tokio::spawn(controller::health::run(node.clone())),
        tokio::spawn(controller::bootstrap::run(node.clone())),
        tokio::spawn(controller::exchange::run(node.clone())),
        tokio::spawn(controller::membership::run(node.clone())),
        tokio::spawn(controller::ownership::run(node.clone())),
        tokio::spawn(controller::ownership::tail(node.clone())),
        tokio::spawn(controller::reader::run(node.clone())),
        tokio::spawn(controller::share::run(node.clone())),
        tokio::spawn(controller::snapshot::run(node.clone())),
    ]
}

async fn wait_for_calls(node: &Node) {
    let give_up_at = node.time.now() + DRAIN_TIMEOUT;
    while node.time.now() < give_up_at {
        let load = node.load();
        if load.running == 0 && load.queued == 0 && node.ingress_in_flight() == 0 {
            return;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    slog::warn!(
        node.recorder.log(),
        "node: calls are still in flight after the drain timeout"
    );
}

async fn listen(listener: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { listener, address })
}

async fn wait_for_close(mut rx: watch::Receiver<bool>) {
    // A dropped sender closes the listener as well.
    let _ = rx.wait_for(|closed| *closed).await;
}
