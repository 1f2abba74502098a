//! A listener for callers that limits their connections, and closes those that take too long.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use hitch_bound::connections::Origin;
use hitch_bound::progress::Expired;
use hitch_bound::progress::Timeouts;
use hitch_edge::bounds::Limit;
use hitch_edge::bounds::admit;
use hitch_edge::guarded::Guard;
use hitch_edge::guarded::Guarded;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::node::Node;

/// Longest time from the first byte of a request head to its end. Callers send a head at once.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time between requests. It exceeds the keep-alive time of common HTTP clients.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest time in which a client takes nothing of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Receive buffer of the kernel for a connection, in bytes, which the kernel doubles. By default it grows to 6 MB.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Pause after `accept` failed, for example for lack of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Answer to a connection that is refused.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// A listener whose connections are limited in number and in time.
pub(super) struct BoundedListener {
    node: Arc<Node>,
    listener: TcpListener,
}

/// A connection of a caller, as the handler of its requests sees it.
#[derive(Debug, Clone)]
pub(super) struct Caller(pub(super) Arc<Guard>);

impl BoundedListener {
    pub(super) fn new(node: Arc<Node>, listener: TcpListener) -> io::Result<BoundedListener> {
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        Ok(BoundedListener { node, listener })
    }
}

impl viz::Listener for BoundedListener {
    type Io = CallerStream;
    type Addr = Caller;

    /// Accepts the next connection for which there is room. It does not fail: the server would stop accepting for a
    /// second.
    async fn accept(&self) -> io::Result<(CallerStream, Caller)> {
        let bounds = &self.node.bounds;
        let report = |limit| self.node.report_limit(limit);
        loop {
            let (stream, peer) = match self.listener.accept().await {
                Ok(accepted) => accepted,
                Err(err) => {
                    slog::debug!(self.node.recorder.log(), "caller: accept failed"; "error" => %err);
                    // The descriptors may be used up.
                    bounds.evict_connection();
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                    continue;
                }
            };
            let origin = match peer.ip() == self.node.settings.caller.ip() {
                true => Origin::Local,
                false => Origin::Other,
            };
            let Some(admitted) = admit(bounds, origin, IDLE_TIMEOUT, report).await else {
                // A new connection has room for a short answer. Without it, the caller sees the connection end.
                let _ = stream.try_write(TOO_MANY_CONNECTIONS);
                continue;
            };
            let timeouts = Timeouts {
                head: HEAD_TIMEOUT,
                idle: IDLE_TIMEOUT,
                answer: ANSWER_TIMEOUT,
            };
            let guard = Arc::new(Guard::new(admitted, timeouts));
            let stream = CallerStream {
                stream: Guarded::new(stream, guard.clone()),
                ended: await_end(self.node.clone(), guard.clone()).boxed(),
                is_ended: false,
            };
            return Ok((stream, Caller(guard)));
        }
    }

    fn local_addr(&self) -> io::Result<Caller> {
        let address: SocketAddr = self.listener.local_addr()?;
        Err(io::Error::other(format!(
            "the listener on {address} has no caller"
        )))
    }
}

/// Resolves when a connection is to be closed.
async fn await_end(node: Arc<Node>, guard: Arc<Guard>) {
    tokio::select! {
        expired = guard.expired() => match expired {
            Expired::Head => node.report_limit(Limit::HeadTime),
            Expired::Answer => node.report_limit(Limit::AnswerStalled),
            Expired::Idle => {}
        },
        () = guard.evicted() => {}
    }
}

/// A connection of a caller that fails when it is to be closed.
pub(super) struct CallerStream {
    stream: Guarded<TcpStream>,
    ended: BoxFuture<'static, ()>,
    is_ended: bool,
}

impl CallerStream {
    /// Returns `Pending` as it is, unless the connection is to be closed. The times of the connection are checked whenever
    /// its server waits for it.
    fn unless_ended<T>(
        &mut self,
        cx: &mut Context<'_>,
        poll: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            return poll;
        }
        self.is_ended = self.is_ended || self.ended.poll_unpin(cx).is_ready();
        match self.is_ended {
            true => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            false => Poll::Pending,
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.unless_ended(cx, poll)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.unless_ended(cx, poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.unless_ended(cx, poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
