//! Starts the listeners and background tasks of a node, and drains it before the process exits.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hitch_admin::recorder::Subject;
use hitch_bound::connections::Origin;
use hitch_bound::progress::Expired;
use hitch_bound::progress::Timeouts;
use hitch_edge::bounds::Admitted;
use hitch_edge::bounds::Limit;
use hitch_edge::bounds::admit;
use hitch_edge::guarded::Guard;
use hitch_edge::guarded::Guarded;
use hitch_edge::watched::Watched;
use hitch_event::Kind;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use snafu::ResultExt;
use snafu::Snafu;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::admin;
use crate::arrival::BodyUnread;
use crate::bounds;
use crate::dial;
use crate::freshness;
use crate::mesh::InFlightGuard;
use crate::mesh::Mesh;
use crate::peer;
use crate::pipeline;
use crate::pipeline::EarlyRuns;
use crate::pipeline::Pipeline;
use crate::quota;
use crate::rollout;
use crate::sync;

/// Idle timeout of callers' connections while no configuration is in force.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Added to the configured idle timeout, so that a caller which reuses a connection just before the timeout is not cut
/// off.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Time for a request head and longest head while no configuration is in force.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Read buffer of a connection, in bytes, unless a longer head is allowed. The default of the HTTP library, 400 KiB, is
/// a multiple of what the limits allow for a connection, and bodies are as fast with this one.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Receive buffer of the kernel for a connection, in bytes. What it holds counts towards the memory of the machine, and
/// by default it grows to 6 MB. The kernel doubles the value; that is enough for 90 MB/s at a round trip of 1.4 ms.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Answer to a connection that is refused.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1.00\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";
/// Longest time during which a connection is read on and discarded after a request whose body was refused. Without it
/// the caller may lose the answer to a reset.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after `accept` failed, for example for lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Time after the signal to stop during which new connections are accepted: callers check the readiness every second
/// and go elsewhere after two negative answers.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(3_000);
/// Interval at which a draining node checks whether calls are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the end of the grace period that is reserved for the exit of the process. With 300 ms, processes on
/// instances with a tenth of a CPU core had not exited yet when they were killed.
const EXIT_MARGIN: Duration = Duration::from_millis(800);
/// Time before the exit margin begins at which calls that still wait for a backend server are cancelled, so that their
/// callers learn that they were not run. Calls that run by then are abandoned: the last sixth of a grace period of 6 s
/// has begun.
const CANCEL_MARGIN: Duration = Duration::from_millis(200);
/// Time before the end of the grace period at which the process exits even if callers still wait for their answers. The
/// exit was 270 ms late on an instance with a tenth of a CPU core, and callers whose connections it closed got no
/// answer.
const MIN_EXIT_MARGIN: Duration = Duration::from_millis(350);

/// Why a node cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listener cannot be bound to its address.
    #[snafu(display("listen for {step} on {address}: {source}"))]
    Listen {
        /// Whose connections the listener accepts.
        step: &'static str,
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Runs a node until `stop` resolves or an operator requests a stop, then drains it until its last call has ended or
/// the grace period is almost over.
///
/// ```no_run
/// # async fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>) -> Result<(), hitch_mesh::run::Error> {
/// hitch_mesh::run::until(mesh, std::future::pending()).await
/// # }
/// ```
pub async fn until(mesh: Arc<Mesh>, stop: impl Future<Output = ()>) -> Result<(), Error> {
    let requests = listen("requests", mesh.settings.requests).await?;
    if let Err(err) = SockRef::from(&requests).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        slog::warn!(mesh.reporter.log(), "arrival: cannot set the receive buffer"; "error" => %err);
    }
    let peers = listen("nodes", mesh.settings.peers).await?;
    let (close_tx, close_rx) = watch::channel(false);
    slog::info!(mesh.reporter.log(), "node: started"; "instance" => %mesh.settings.instance,
        "zone" => %mesh.settings.zone, "service" => %mesh.settings.service);
    let accepting = tokio::spawn(accept(mesh.clone(), requests, close_rx));
    for task in [
        tokio::spawn(peer::serve(mesh.clone(), peers)),
        tokio::spawn(peer::pass_on_introductions(mesh.clone())),
        tokio::spawn(dial::run(mesh.clone())),
        tokio::spawn(dial::detect_unresponsive(mesh.clone())),
        tokio::spawn(sync::follow_config(mesh.clone())),
        tokio::spawn(sync::register(mesh.clone())),
        tokio::spawn(sync::follow_era(mesh.clone())),
        tokio::spawn(freshness::run(mesh.clone())),
        tokio::spawn(rollout::run(mesh.clone())),
        tokio::spawn(admin::run(mesh.clone())),
        tokio::spawn(quota::run(mesh.clone())),
    ] {
        // The tasks run for as long as the process.
        drop(task);
    }
    mesh.reporter
        .recorder()
        .record_unlogged(Kind::Started, Subject::default(), "node: started");
    tokio::select! {
        () = stop => {}
        () = mesh.stop_requested.notified() => {}
    }
    let stopped_at = mesh.now();
    mesh.drain();
    mesh.reporter
        .recorder()
        .record_unlogged(Kind::Draining, Subject::default(), "node: draining");
    slog::info!(mesh.reporter.log(), "node: draining"; "in_flight" => mesh.in_flight());
    tokio::time::sleep(DRAIN_ACCEPT_TIME).await;
    // Idle connections are closed from here on. Requests that still arrive on one are refused.
    mesh.close();
    let _ = close_tx.send(true);
    let grace_end = stopped_at + mesh.runtime.load().grace;
    let drain_end = grace_end.saturating_sub(EXIT_MARGIN);
    let await_drained_until = async |time: Duration| {
        while mesh.in_flight() > 0 && mesh.now() < time {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    await_drained_until(drain_end.saturating_sub(CANCEL_MARGIN)).await;
    mesh.terminating.send_replace(true);
    await_drained_until(grace_end.saturating_sub(MIN_EXIT_MARGIN)).await;
    accepting.abort();
    slog::info!(mesh.reporter.log(), "node: stopped"; "in_flight" => mesh.in_flight());
    Ok(())
}

async fn listen(step: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { step, address })
}

async fn accept(mesh: Arc<Mesh>, listener: TcpListener, close: watch::Receiver<bool>) {
    let report = |limit| bounds::report(&mesh, limit, "");
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let origin = match peer.ip() == mesh.settings.requests.ip() {
                    true => Origin::Local,
                    false => Origin::Other,
                };
                let idle = idle_timeout(&mesh);
                match admit(&mesh.bounds, origin, idle, report).await {
                    Some(admitted) => {
                        tokio::spawn(connection(mesh.clone(), admitted, stream, close.clone()));
                    }
                    None => {
                        // A new connection has room for a short answer. Without it, the caller sees the connection end.
                        let _ = stream.try_write(TOO_MANY_CONNECTIONS);
                    }
                }
            }
            Err(err) => {
                if let Some(suppressed) = mesh.reporter.try_write("accept", mesh.now()) {
                    slog::warn!(mesh.reporter.log(), "arrival: accept failed"; "error" => %err,
                        "suppressed" => suppressed);
                }
                // The descriptors may be used up.
                mesh.bounds.evict_connection();
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn await_close(close: &mut watch::Receiver<bool>) {
    // A sender that is gone closes connections as well.
    let _ = close.wait_for(|close| *close).await;
}

fn idle_timeout(mesh: &Mesh) -> Duration {
    let table = mesh.table.load();
    table
        .as_ref()
        .map_or(IDLE_TIMEOUT, |table| table.config().limits.idle_timeout)
}

async fn connection(
    mesh: Arc<Mesh>,
    admitted: Admitted,
    stream: TcpStream,
    mut close: watch::Receiver<bool>,
) {
    if let Err(err) = stream.set_nodelay(true) {
        slog::debug!(mesh.reporter.log(), "arrival: cannot set socket options, connection closed"; "error" => %err);
        return;
    }
    let idle = idle_timeout(&mesh);
    let (head_timeout, max_head_bytes) =
        mesh.table
            .load()
            .as_ref()
            .map_or((HEAD_TIMEOUT, MAX_HEAD_BYTES), |table| {
                let limits = &table.config().limits;
                (limits.head_timeout, limits.max_head_bytes)
            });
    let timeouts = Timeouts {
        head: head_timeout,
        idle: idle + IDLE_MARGIN,
        answer: idle,
    };
    let guard = Arc::new(Guard::new(admitted, timeouts));
    let requests_in_flight = AtomicUsize::new(0);
    let has_unread_body = AtomicBool::new(false);
    let pipeline = Arc::new(Pipeline::default());
    let service = service_fn(|req| {
        let (mesh, counter, pipeline) = (&mesh, &requests_in_flight, &pipeline);
        let (guard, has_unread_body) = (&guard, &has_unread_body);
        async move {
            let _in_flight = InFlightGuard::new(counter);
            guard.request_began();
            let res = pipeline.handle(mesh, req).await;
            guard.request_ended();
            if res.extensions().get::<BodyUnread>().is_some() {
                has_unread_body.store(true, Ordering::Relaxed);
            }
            Ok::<_, Infallible>(res)
        }
    });
    let (stream, watcher) = Watched::new(stream);
    watcher.limit_head(max_head_bytes);
    let stream = Guarded::new(stream, guard.clone());
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_header_size(max_head_bytes)
        .max_buf_size(READ_BUFFER_BYTES.max(max_head_bytes))
        // This timeout also closes idle connections, so it must not be shorter than the idle timeout.
        .header_read_timeout(idle + IDLE_MARGIN)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let caller_left = async {
        watcher.closed().await;
        // Without a request in flight, the end of the connection is left to the HTTP library.
        if requests_in_flight.load(Ordering::Relaxed) == 0 {
            std::future::pending::<()>().await;
        }
    };
    tokio::pin!(caller_left);
    let expired = guard.expired();
    tokio::pin!(expired);
    let mut is_closing = false;
    let mut early_runs = EarlyRuns::new();
    let mut next_early = None;
    let ended = loop {
        tokio::select! {
            biased;
            ended = &mut serving => break Some(ended),
            // The requests in flight are dropped together with `serving` and `early_runs`.
            () = &mut caller_left => break None,
            expired = &mut expired => {
                match expired {
                    Expired::Head => bounds::report(&mesh, Limit::HeadTime, ""),
                    Expired::Answer => bounds::report(&mesh, Limit::AnswerStalled, ""),
                    Expired::Idle => {}
                }
                break None;
            }
            () = guard.evicted() => break None,
            () = await_close(&mut close), if !is_closing => {
                is_closing = true;
                serving.as_mut().graceful_shutdown();
                watcher.end_search();
                next_early = None;
                pipeline.cancel_early();
            }
            () = pipeline::run_early(&pipeline, &mesh, &watcher, &mut next_early, &mut early_runs) => {}
        }
    };
    pipeline.cancel_early();
    drop(early_runs);
    if has_unread_body.load(Ordering::Relaxed) && matches!(ended, Some(Ok(()))) {
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, watcher.discard()).await;
    }
    if let Some(Err(err)) = &ended
        && err.is_parse_too_large()
    {
        bounds::report(&mesh, Limit::HeadLength, "");
    }
    if let Some(Err(err)) = ended
        && let Some(suppressed) = mesh.reporter.try_write("connection", mesh.now())
    {
        slog::debug!(mesh.reporter.log(), "arrival: connection failed"; "error" => %err,
            "suppressed" => suppressed);
    }
}
