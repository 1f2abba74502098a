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

/// A connection, as its handlers find it in the extensions of a request.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    closing: Arc<Notify>,
}

impl Connection {
    /// Closes the connection without an answer to the requests on it.
    pub(crate) fn close(&self) {
        self.closing.notify_one();
    }
}

/// Serves one connection until it ends or a handler closes it.
pub(crate) async fn run(stream: TcpStream, tree: Arc<Tree>, delay: Duration) {
    // Answers are small; without this they wait for the peer's delayed acknowledgement.
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
        // A connection that breaks is the caller's concern; its runs record that they stopped.
        _ = served => {}
        () = closing.notified() => {}
    }
}
