//! HTTP server with simulated crashes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use viz::Tree;

use crate::connection;
use crate::handle::Handle;
use crate::routes;

/// Delay before another attempt to accept a connection or bind the address after an error.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves the backend server on `listener` until the future is dropped, which closes every
/// connection.
///
/// A crash closes the listener and every connection; after [`crash_ms`] the same address is bound
/// again.
///
/// [`crash_ms`]: crate::control::Faults::crash_ms
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// use hitch_standin_backend::{Handle, Settings, serve};
///
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let backend = Handle::new(Settings::default());
/// let logger = slog::Logger::root(slog::Discard, slog::o!());
/// let server = tokio::spawn(serve(listener, backend.clone(), logger));
/// server.abort();
/// # }
/// ```
pub async fn serve(listener: TcpListener, handle: Handle, log: Logger) -> Infallible {
    let address = listener.local_addr();
    let tree = Arc::new(Tree::from(routes::router(handle.clone(), log.clone())));
    let mut crashed = handle.subscribe_crashes();
    let mut listener = listener;
    loop {
        let mut connections = JoinSet::new();
        tokio::select! {
            biased;
            // `handle` keeps the sender alive, so waiting for a change never fails.
            _ = crashed.changed() => {}
            never = accept_all(&listener, &handle, &tree, &mut connections, &log) => match never {},
        }
        drop(listener);
        connections.shutdown().await;
        let crash_ms = handle.state().faults.crash_ms;
        info!(log, "serve: crashed; restarting after crash_ms"; "crash_ms" => crash_ms);
        tokio::time::sleep(Duration::from_millis(crash_ms)).await;
        listener = match &address {
            Ok(address) => rebind(*address, &log).await,
            // Without the address of the listener, the backend server cannot restart.
            Err(_) => std::future::pending().await,
        };
        crashed.mark_unchanged();
        let now = handle.now();
        handle.state().restart(now);
        info!(log, "serve: restarted after a crash"; "crash_ms" => crash_ms);
    }
}

/// Accepts and serves connections; those above the limit are closed.
async fn accept_all(
    listener: &TcpListener,
    handle: &Handle,
    tree: &Arc<Tree>,
    connections: &mut JoinSet<()>,
    log: &Logger,
) -> Infallible {
    let (max_connections, delay) = {
        let settings = &handle.state().settings;
        let delay = Duration::from_millis(settings.connect_ms);
        (settings.connections, delay)
    };
    loop {
        let accepted = listener.accept().await;
        while connections.try_join_next().is_some() {}
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!(log, "serve: cannot accept a connection; retrying"; "error" => %err);
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        if connections.len() >= max_connections {
            handle.state().counters.connections_refused += 1;
            continue;
        }
        handle.state().counters.connections += 1;
        connections.spawn(connection::run(stream, tree.clone(), delay));
    }
}

/// Binds the address again after a crash, as often as needed.
async fn rebind(address: SocketAddr, log: &Logger) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(err) => {
                warn!(
                    log, "serve: cannot bind the address after a crash; retrying";
                    "address" => %address, "error" => %err
                );
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
