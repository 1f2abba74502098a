//! A bounded pool of connections to one target.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header::HeaderMap;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An answer whose body was received completely.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why no complete answer was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection became free within the wait; nothing was sent.
    NoFreeConnection,
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// The request is malformed; nothing was sent.
    MalformedRequest,
    /// The connection was lost or the answer was too large; the request may have been sent.
    ConnectionLost,
}

/// Connections to one target. Dropping a call before its answer is read closes its connection.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) target: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    /// One permit for each connection that may be in use.
    permits: Semaphore,
    max_answer_bytes: usize,
}

impl Pool {
    pub(crate) fn new(target: SocketAddr, connections: usize, max_answer_bytes: usize) -> Pool {
        Pool {
            target,
            idle: Mutex::new(Vec::new()),
            permits: Semaphore::new(connections),
            max_answer_bytes,
        }
    }

    /// Takes an idle connection that is still open.
    fn pop_open(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    /// Waits at most `wait` for a free connection, then sends the request that `build` returns and
    /// reads the complete answer.
    pub(crate) async fn exchange(
        &self,
        wait: Duration,
        build: impl FnOnce() -> Option<Request<Full<Bytes>>>,
    ) -> Result<Answer, Failure> {
        let Ok(Ok(_permit)) = tokio::time::timeout(wait, self.permits.acquire()).await else {
            return Err(Failure::NoFreeConnection);
        };
        let mut req = build().ok_or(Failure::MalformedRequest)?;
        while let Some(mut sender) = self.pop_open() {
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(req).await {
                Ok(res) => return self.read_answer(sender, res).await,
                Err(mut err) => match err.take_message() {
                    // The connection was closed before the request was written, so it can be sent
                    // on another one.
                    Some(unsent) => req = unsent,
                    None => return Err(Failure::ConnectionLost),
                },
            }
        }
        let mut sender = self.connect().await?;
        match sender.try_send_request(req).await {
            Ok(res) => self.read_answer(sender, res).await,
            Err(mut err) => match err.take_message() {
                Some(_) => Err(Failure::ConnectFailed),
                None => Err(Failure::ConnectionLost),
            },
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, Failure> {
        let connect = TcpStream::connect(self.target);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        let Ok(Ok(stream)) = connected else {
            return Err(Failure::ConnectFailed);
        };
        stream
            .set_nodelay(true)
            .map_err(|_| Failure::ConnectFailed)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| Failure::ConnectFailed)?;
        // The task ends when the sender is dropped or the target closes the connection.
        tokio::spawn(connection);
        Ok(sender)
    }

    /// Reads the complete answer and returns the connection to the pool.
    async fn read_answer(
        &self,
        sender: SendRequest<Full<Bytes>>,
        res: http::Response<hyper::body::Incoming>,
    ) -> Result<Answer, Failure> {
        let (parts, body) = res.into_parts();
        let body = Limited::new(body, self.max_answer_bytes).collect().await;
        let body = body.map_err(|_| Failure::ConnectionLost)?.to_bytes();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(sender);
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}
