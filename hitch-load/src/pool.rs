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

/// Time within which a connection must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An answer with its whole body.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why there is no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection was free in time; nothing was sent.
    NoConnection,
    /// No connection could be opened; nothing was sent.
    Connect,
    /// The request is malformed; nothing was sent.
    Malformed,
    /// The connection failed after the request may have been sent.
    Broken,
}

/// Connections to one target; a call that is abandoned closes its connection.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) target: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
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

    fn pop(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    /// Waits for a free connection for at most `wait`, sends the request that `make` returns then,
    /// and reads the whole answer.
    pub(crate) async fn exchange(
        &self,
        wait: Duration,
        make: impl FnOnce() -> Option<Request<Full<Bytes>>>,
    ) -> Result<Answer, Failure> {
        let Ok(Ok(_permit)) = tokio::time::timeout(wait, self.permits.acquire()).await else {
            return Err(Failure::NoConnection);
        };
        let mut req = make().ok_or(Failure::Malformed)?;
        while let Some(mut sender) = self.pop() {
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(req).await {
                Ok(res) => return self.read(sender, res).await,
                Err(mut err) => match err.take_message() {
                    // The connection closed before the request was written.
                    Some(unsent) => req = unsent,
                    None => return Err(Failure::Broken),
                },
            }
        }
        let mut sender = self.connect().await?;
        match sender.try_send_request(req).await {
            Ok(res) => self.read(sender, res).await,
            Err(mut err) => match err.take_message() {
                Some(_) => Err(Failure::Connect),
                None => Err(Failure::Broken),
            },
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, Failure> {
        let connect = TcpStream::connect(self.target);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        let Ok(Ok(stream)) = connected else {
            return Err(Failure::Connect);
        };
        stream.set_nodelay(true).map_err(|_| Failure::Connect)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| Failure::Connect)?;
        // The task ends when the sender is dropped or the target closes the connection.
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn read(
        &self,
        sender: SendRequest<Full<Bytes>>,
        res: http::Response<hyper::body::Incoming>,
    ) -> Result<Answer, Failure> {
        let (parts, body) = res.into_parts();
        let body = Limited::new(body, self.max_answer_bytes).collect().await;
        let body = body.map_err(|_| Failure::Broken)?.to_bytes();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(sender);
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}
