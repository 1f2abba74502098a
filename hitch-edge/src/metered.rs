//! A connection that counts the bytes received while an answer's head is awaited.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Value of an allowance without a limit.
const UNLIMITED: usize = usize::MAX;

/// Number of bytes that a connection may still receive; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    pub(crate) fn unlimited() -> Allowance {
        Allowance(Arc::new(AtomicUsize::new(UNLIMITED)))
    }

    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    pub(crate) fn lift(&self) {
        self.set(UNLIMITED);
    }

    /// Deducts received bytes, and returns whether they were allowed.
    fn try_spend(&self, bytes: usize) -> bool {
        let spend = |left| match left {
            UNLIMITED => Some(UNLIMITED),
            left => usize::checked_sub(left, bytes),
        };
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        self.0.fetch_update(set, fetch, spend).is_ok()
    }
}

/// A TCP connection that fails once it has received more than its allowance.
#[derive(Debug)]
pub(crate) struct Metered {
    stream: TcpStream,
    allowance: Allowance,
}

impl Metered {
    pub(crate) fn new(stream: TcpStream, allowance: Allowance) -> Metered {
        Metered { stream, allowance }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        if !self.allowance.try_spend(buf.filled().len() - filled) {
            let reason = "the head of the answer and what precedes it are too long";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        poll
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
