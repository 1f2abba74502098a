//! Connections that a handler can close without an answer.

use std::net::SocketAddr;
use std::sync::Arc;

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
    pub(crate) peer: SocketAddr,
    closing: Arc<Notify>,
}

impl Connection {
    /// Closes the connection without answering the requests on it.
    pub(crate) fn close(&self) {
        self.closing.notify_one();
    }
}

/// Serves one connection until it ends or a handler closes it.
pub(crate) async fn run(stream: TcpStream, peer: SocketAddr, tree: Arc<Tree>) {
    // With Nagle's algorithm, small answers would wait for the peer's delayed acknowledgement.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let connection = Connection {
        peer,
        closing: Arc::new(Notify::new()),
    };
    let closing = connection.closing.clone();
    let responder = Responder::new(tree, Some(connection));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), responder);
    tokio::select! {
        // Connection errors need no handling here: the caller sees them, and the server keeps no
        // state for a connection.
        _ = served => {}
        () = closing.notified() => {}
    }
}
