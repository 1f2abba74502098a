//! The life of a node: its listeners and controllers, and a stop that cuts nothing.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hitch_admin::recorder::Subject;
use hitch_event::Kind;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::admin;
use crate::arrival;
use crate::dial;
use crate::mesh::Mesh;
use crate::peer;
use crate::sync;

/// Idle time after which a caller's connection is closed while no configuration says otherwise.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Added to the configured idle time, so that a caller which uses a connection in its last moment is not cut off.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Pause after a connection could not be accepted, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time after the signal to stop for which new connections are accepted: callers ask for the readiness every second,
/// and go elsewhere after two answers that it is gone.
const STILL_ACCEPTING: Duration = Duration::from_millis(3_000);
/// Interval at which a stopping node looks whether its last call has ended.
const DRAIN_STEP: Duration = Duration::from_millis(50);
/// Time before the end of the grace period at which the process ends in any case. Within 300 ms, processes on machines
/// with a tenth of a core were still there when they were killed.
const BEFORE_KILL: Duration = Duration::from_millis(800);
/// Time before that at which calls are taken back that still wait for a backend server, so that their callers are told that
/// they have not run. What runs by then is given up: the last sixth of a grace period of 6 s has begun.
const LAST_ANSWERS: Duration = Duration::from_millis(200);
/// Time before the end of the grace period at which the process ends although callers are still to be answered. It was
/// 270 ms late on a machine with a tenth of a core, and callers whose connections it closed had no answer.
const LAST_CHANCE: Duration = Duration::from_millis(350);

/// Why a node cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address cannot be listened on.
    #[snafu(display("listen for {step} on {address}: {source}"))]
    Listen {
        /// What the address is for.
        step: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// Runs a node until `stop` resolves, and then until its last call ended or the grace period is over.
///
/// ```no_run
/// # async fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>) -> Result<(), hitch_mesh::run::Error> {
/// hitch_mesh::run::until(mesh, std::future::pending()).await
/// # }
/// ```
pub async fn until(mesh: Arc<Mesh>, stop: impl Future<Output = ()>) -> Result<(), Error> {
    let requests = listen("requests", mesh.settings.requests).await?;
    let peers = listen("nodes", mesh.settings.peers).await?;
    let (close_tx, close_rx) = watch::channel(false);
    slog::info!(mesh.reporter.log(), "node: started"; "instance" => %mesh.settings.instance,
        "zone" => %mesh.settings.zone, "service" => %mesh.settings.service);
    let accepting = tokio::spawn(accept(mesh.clone(), requests, close_rx));
    for task in [
        tokio::spawn(peer::serve(mesh.clone(), peers)),
        tokio::spawn(dial::run(mesh.clone())),
        tokio::spawn(dial::watch(mesh.clone())),
        tokio::spawn(sync::follow_config(mesh.clone())),
        tokio::spawn(sync::enter(mesh.clone())),
        tokio::spawn(admin::run(mesh.clone())),
    ] {
        // They run for as long as the process.
        drop(task);
    }
    mesh.reporter
        .recorder()
        .record_unlogged(Kind::Started, Subject::default(), "node: started");
    tokio::select! {
        () = stop => {}
        () = mesh.stop_asked.notified() => {}
    }
    let stopped_at = mesh.now();
    mesh.drain();
    mesh.reporter
        .recorder()
        .record_unlogged(Kind::Draining, Subject::default(), "node: stopping");
    slog::info!(mesh.reporter.log(), "node: stopping"; "under_way" => mesh.under_way());
    tokio::time::sleep(STILL_ACCEPTING).await;
    // Idle connections are closed from here on; requests that arrive on one meanwhile are refused.
    mesh.close();
    let _ = close_tx.send(true);
    let killed_at = stopped_at + mesh.runtime.load().grace;
    let end = killed_at.saturating_sub(BEFORE_KILL);
    let drained_by = async |time: Duration| {
        while mesh.under_way() > 0 && mesh.now() < time {
            tokio::time::sleep(DRAIN_STEP).await;
        }
    };
    tokio::time::sleep(DRAIN_STEP).await;
    drained_by(end.saturating_sub(LAST_ANSWERS)).await;
    mesh.ending.send_replace(true);
    drained_by(killed_at.saturating_sub(LAST_CHANCE)).await;
    accepting.abort();
    slog::info!(mesh.reporter.log(), "node: stopped"; "under_way" => mesh.under_way());
    Ok(())
}

async fn listen(step: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { step, address })
}

async fn accept(mesh: Arc<Mesh>, listener: TcpListener, close: watch::Receiver<bool>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(mesh.clone(), stream, close.clone()));
            }
            Err(err) => {
                slog::warn!(mesh.reporter.log(), "arrival: cannot accept a connection"; "error" => %err);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn closed(close: &mut watch::Receiver<bool>) {
    // A sender that is gone closes connections as well.
    let _ = close.wait_for(|close| *close).await;
}

async fn connection(mesh: Arc<Mesh>, stream: TcpStream, mut close: watch::Receiver<bool>) {
    if let Err(err) = stream.set_nodelay(true) {
        slog::debug!(mesh.reporter.log(), "arrival: a connection ended early"; "error" => %err);
        return;
    }
    let idle = mesh
        .table
        .load()
        .as_ref()
        .map_or(IDLE_TIMEOUT, |table| table.config().limits.idle_timeout);
    let service = service_fn(|req| {
        let mesh = &mesh;
        async move { Ok::<_, Infallible>(arrival::handle(mesh, req).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        // It also ends connections that stay idle, so it is no shorter than the time for which they may.
        .header_read_timeout(idle + IDLE_MARGIN)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let ended = tokio::select! {
        ended = &mut serving => ended,
        () = closed(&mut close) => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(err) = ended
        && let Some(left_out) = mesh.reporter.admit("connection", mesh.now())
    {
        slog::debug!(mesh.reporter.log(), "arrival: a connection failed"; "error" => %err,
            "left_out" => left_out);
    }
}
