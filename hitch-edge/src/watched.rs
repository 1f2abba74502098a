//! A connection of a caller that tells when the caller has closed it, even while the HTTP library does not read.
//!
//! An HTTP/1 server stops reading when it holds bytes beyond the request that it answers, such as a pipelined request. It
//! then notices the end of the connection only after that answer. The watcher reads ahead instead.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::pipeline::Scanned;
use crate::pipeline::Scanner;

/// Most bytes that are read ahead, in bytes. A caller that sends more is watched again once these have been read.
const MAX_AHEAD_BYTES: usize = 16 * 1024;
/// Bytes that are read ahead at a time.
const READ_BYTES: usize = 1024;

/// A connection that is watched; it is read and written like the one below it.
#[derive(Debug)]
pub struct Watched<S> {
    shared: Arc<Mutex<Shared<S>>>,
}

/// Tells when the other side has closed a [`Watched`] connection.
///
/// It has to be polled by the task that reads the connection, and after it.
#[derive(Debug)]
pub struct Watcher<S> {
    shared: Arc<Mutex<Shared<S>>>,
}

#[derive(Debug)]
struct Shared<S> {
    stream: S,
    ahead: BytesMut,
    scanner: Scanner,
    // The stream has ended or failed, which its reader learns after the bytes ahead.
    is_closed: bool,
}

impl<S> Watched<S> {
    /// Creates a watched connection and its watcher.
    ///
    /// ```
    /// # async fn accept(listener: tokio::net::TcpListener) -> std::io::Result<()> {
    /// let (stream, _) = listener.accept().await?;
    /// let (stream, watcher) = hitch_edge::watched::Watched::new(stream);
    /// watcher.closed().await;
    /// # Ok(()) }
    /// ```
    pub fn new(stream: S) -> (Watched<S>, Watcher<S>) {
        let shared = Arc::new(Mutex::new(Shared {
            stream,
            ahead: BytesMut::new(),
            scanner: Scanner::default(),
            is_closed: false,
        }));
        let watcher = Watcher {
            shared: shared.clone(),
        };
        (Watched { shared }, watcher)
    }

    fn lock(&self) -> MutexGuard<'_, Shared<S>> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S> Watcher<S> {
    /// Returns the next request that the other side has sent, in the order of the connection. Requests are found as the
    /// connection is read, by its reader or by [`Watcher::closed`].
    ///
    /// ```
    /// let (_stream, watcher) = hitch_edge::watched::Watched::new(tokio::io::empty());
    /// assert!(watcher.next_request().is_none());
    /// ```
    pub fn next_request(&self) -> Option<Scanned> {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        shared.scanner.pop()
    }

    /// Lowers the length of the longest request head that is searched for, in bytes.
    ///
    /// ```
    /// let (_stream, watcher) = hitch_edge::watched::Watched::new(tokio::io::empty());
    /// watcher.limit_head(8 * 1024);
    /// ```
    pub fn limit_head(&self, max_head_bytes: usize) {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        shared.scanner.limit_head(max_head_bytes);
    }

    /// Stops the search for requests in the bytes that are read.
    ///
    /// ```
    /// let (_stream, watcher) = hitch_edge::watched::Watched::new(tokio::io::empty());
    /// watcher.end_search();
    /// ```
    pub fn end_search(&self) {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        shared.scanner.end();
    }
}

impl<S: AsyncRead + Unpin> Watcher<S> {
    /// Resolves when the other side has closed the connection, or the connection has failed.
    ///
    /// ```
    /// # futures::executor::block_on(async {
    /// let (_stream, watcher) = hitch_edge::watched::Watched::new(tokio::io::empty());
    /// watcher.closed().await;
    /// # });
    /// ```
    pub async fn closed(&self) {
        std::future::poll_fn(|cx| self.poll_closed(cx)).await;
    }

    /// Discards what the other side still sends, and resolves when it has closed the connection or the connection has
    /// failed. A connection that is closed with unread bytes is reset, and the other side may then lose the answer.
    ///
    /// ```
    /// # futures::executor::block_on(async {
    /// let (_stream, watcher) = hitch_edge::watched::Watched::new(tokio::io::empty());
    /// watcher.discard().await;
    /// # });
    /// ```
    pub async fn discard(&self) {
        std::future::poll_fn(|cx| {
            loop {
                let is_closed = self.poll_closed(cx).is_ready();
                let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
                let is_full = shared.ahead.len() >= MAX_AHEAD_BYTES;
                shared.ahead.clear();
                if is_closed {
                    return Poll::Ready(());
                }
                if !is_full {
                    return Poll::Pending;
                }
            }
        })
        .await;
    }

    fn poll_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        let Shared {
            stream,
            ahead,
            scanner,
            is_closed,
        } = &mut *shared;
        while !*is_closed {
            if ahead.len() >= MAX_AHEAD_BYTES {
                return Poll::Pending;
            }
            let mut bytes = [0; READ_BYTES];
            let mut buf = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    ahead.extend_from_slice(buf.filled());
                    scanner.feed(buf.filled());
                    // The reader may have waited for these bytes.
                    cx.waker().wake_by_ref();
                }
                Poll::Ready(_) => *is_closed = true,
            }
        }
        Poll::Ready(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = self.lock();
        if shared.ahead.is_empty() {
            return match shared.is_closed {
                true => Poll::Ready(Ok(())),
                false => {
                    let before = buf.filled().len();
                    let polled = Pin::new(&mut shared.stream).poll_read(cx, buf);
                    shared.scanner.feed(&buf.filled()[before..]);
                    polled
                }
            };
        }
        let length = shared.ahead.len().min(buf.remaining());
        buf.put_slice(&shared.ahead[..length]);
        shared.ahead.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().stream.is_write_vectored()
    }
}
