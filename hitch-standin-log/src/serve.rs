//! HTTP server of the log.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use slog::warn;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use viz::Tree;

use crate::connection;
use crate::handle::Handle;
use crate::routes;

/// Delay before another attempt to accept a connection after an error, such as a lack of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves the log on `listener` until the future is dropped, which closes every connection.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// use hitch_standin_log::{Handle, Settings, serve};
///
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let log = Handle::new(Settings::default());
/// let logger = slog::Logger::root(slog::Discard, slog::o!());
/// let server = tokio::spawn(serve(listener, log.clone(), logger));
/// server.abort();
/// # }
/// ```
pub async fn serve(listener: TcpListener, handle: Handle, log: Logger) -> Infallible {
    let tree = Arc::new(Tree::from(routes::router(handle, log.clone())));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, peer)) => {
                connections.spawn(connection::run(stream, peer, tree.clone()));
            }
            Err(err) => {
                warn!(log, "serve: cannot accept a connection; retrying"; "error" => %err);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
