//! Connections that a handler can close without an answer.

use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use viz::Responder;
use viz::Tree;

/// Handle to a connection, stored in the extensions of its requests.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    closing: Arc<Notify>,
}

impl Connection {
    /// Closes the connection without answering the requests on it.
    pub(crate) fn close(&self) {
        self.closing.notify_one();
    }
}

/// Serves one connection, after `delay`, until it ends or a handler closes it.
pub(crate) async fn run(stream: TcpStream, tree: Arc<Tree>, delay: Duration) {
    // With Nagle's algorithm, small answers would wait for the peer's delayed acknowledgement.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let connection = Connection {
        closing: Arc::new(Notify::new()),
    };
    let closing = connection.closing.clone();
    let responder = Responder::new(tree, Some(connection));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), responder);
    tokio::select! {
        // Connection errors need no handling here: the caller sees them, and dropping the handlers
        // records their runs as stopped.
        _ = served => {}
        () = closing.notified() => {}
    }
}
