//! Start and graceful stop of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use hitch_admin::Recorder;
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

/// Time between the announcement that the node leaves and the close of its listeners, in which the
/// news reaches the nodes that send calls here.
pub const ANNOUNCE: Duration = Duration::from_secs(2);
/// Longest time that calls in flight get to end. It exceeds the longest deadline of a route.
pub const GRACE: Duration = Duration::from_secs(65);
/// Events that the node keeps for operators, about 1.5 MB of them.
const RING_EVENTS: usize = 8192;
/// Time between two looks at whether calls are still in flight.
const DRAIN_STEP: Duration = Duration::from_millis(20);

/// A node that cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listener cannot be opened.
    #[snafu(display("cannot open the {step} listener at {address}: {source}"))]
    Listen {
        /// Which listener.
        step: &'static str,
        /// Its address.
        address: SocketAddr,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The address of the log is not valid.
    #[snafu(display("cannot use the log: {source}"))]
    Log {
        /// What is wrong with it.
        source: hitch_log::client::Error,
    },
}

/// Makes a node that has not started yet.
///
/// ```no_run
/// # fn run(settings: hitch_settings::node::Settings) -> Result<(), hitch_node::run::Error> {
/// let log = slog::Logger::root(slog::Discard, slog::o!());
/// let node = hitch_node::run::node(settings, log)?;
/// # Ok(()) }
/// ```
pub fn node(settings: Settings, log: Logger) -> Result<Arc<Node>, Error> {
    // UUIDv7 orders incarnations by their start; its random bits keep them apart.
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
    let own = Member::starting(Incarnation(incarnation), contact);
    let seeds = settings
        .peers
        .iter()
        .map(|a| a.to_string().into())
        .collect();
    let options = hitch_roster::Options {
        seeds,
        ..Default::default()
    };
    let roster = Roster::new(own, options);
    let log_client = hitch_log::Client::at(&settings.log, Default::default()).context(LogSnafu)?;
    Ok(Arc::new(Node {
        board: Blackboard::new(roster, &settings.instance, incarnation, settings.shards),
        incarnation,
        time: ProcessClock::start(),
        recorder: Recorder::new(&settings.instance, log, RING_EVENTS),
        metrics: Metrics::default(),
        peers: Peers::default(),
        log: log_client,
        leave: Notify::new(),
        entered: AtomicU64::new(0),
        settings,
    }))
}

/// Runs a node until `stop` resolves or an operator drains it, and then until its last call ended.
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
    let caller = listener::caller::serve(node.clone(), caller, closed(close_rx.clone()));
    let caller = tokio::spawn(caller);
    let peer = tokio::spawn(listener::peer::serve(
        node.clone(),
        peer,
        closed(close_rx.clone()),
    ));
    let admin = tokio::spawn(listener::admin::serve(
        node.clone(),
        admin,
        closed(close_rx),
    ));
    let controllers = start_controllers(&node);
    node.recorder
        .record(Kind::Started, Default::default(), "node: started");
    tokio::select! {
        () = stop => node.drain(),
        () = node.leave.notified() => {}
    }
    node.recorder
        .record(Kind::Draining, Default::default(), "node: draining");
    tokio::time::sleep(ANNOUNCE).await;
    wait_for_calls(&node).await;
    let _ = close_tx.send(true);
    let listeners = async {
        let _ = caller.await;
        let _ = peer.await;
        let _ = admin.await;
    };
    // Connections that stay open without a call must not hold the process.
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
        tokio::spawn(controller::backend::run(node.clone())),
        tokio::spawn(controller::contact::run(node.clone())),
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
    let until = node.time.now() + GRACE;
    while node.time.now() < until {
        let load = node.load();
        if load.running == 0 && load.queued == 0 && node.entered() == 0 {
            return;
        }
        tokio::time::sleep(DRAIN_STEP).await;
    }
    slog::warn!(
        node.recorder.log(),
        "node: calls are still in flight after the grace period"
    );
}

async fn listen(step: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { step, address })
}

async fn closed(mut rx: watch::Receiver<bool>) {
    // A sender that is gone closes the listener as well.
    let _ = rx.wait_for(|closed| *closed).await;
}
