//! A connection of a caller that records its progress, and tells when it has taken too long.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hitch_bound::Progress;
use hitch_bound::connections::Activity;
use hitch_bound::progress::Expired;
use hitch_bound::progress::Timeouts;
use hitch_gate::shards::lock;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;

use crate::bounds::Admitted;

/// Least wait of a timer: the clock of the process and that of the timers may differ by less than this.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Records the progress of a connection.
#[derive(Debug)]
pub struct Guard {
    admitted: Admitted,
    progress: Mutex<Progress>,
}

impl Guard {
    /// Creates the record of a connection that was just admitted.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # fn run(admitted: hitch_edge::bounds::Admitted) {
    /// let second = Duration::from_secs(1);
    /// let timeouts = hitch_bound::progress::Timeouts { head: second, idle: second, answer: second };
    /// let guard = hitch_edge::guarded::Guard::new(admitted, timeouts);
    /// # }
    /// ```
    pub fn new(admitted: Admitted, timeouts: Timeouts) -> Guard {
        let progress = Mutex::new(Progress::new(timeouts, admitted.bounds.clock.now()));
        Guard { admitted, progress }
    }

    /// Records that the head of a request is whole.
    ///
    /// ```
    /// # fn run(guard: &hitch_edge::guarded::Guard) {
    /// guard.request_began();
    /// # }
    /// ```
    pub fn request_began(&self) {
        lock(&self.progress).request_began();
        // A pipelined request begins without a byte that is received for it.
        self.admitted.set_activity(Activity::Busy);
    }

    /// Records that the answer to a request is ready to be sent.
    ///
    /// ```
    /// # fn run(guard: &hitch_edge::guarded::Guard) {
    /// guard.request_ended();
    /// # }
    /// ```
    pub fn request_ended(&self) {
        lock(&self.progress).request_ended(self.admitted.bounds.clock.now());
        self.admitted.set_activity(Activity::Idle);
    }

    /// Resolves when the connection is to be closed in favour of a new one. A request that has begun since it was chosen
    /// keeps it open.
    ///
    /// ```
    /// # async fn run(guard: &hitch_edge::guarded::Guard) {
    /// guard.evicted().await;
    /// # }
    /// ```
    pub async fn evicted(&self) {
        loop {
            self.admitted.evicted().await;
            if lock(&self.progress).is_waiting() {
                return;
            }
        }
    }

    /// Resolves when the connection has taken too long. It has to be polled by the task that serves the connection, and
    /// after it: only then it notices that a head has begun or an answer has stalled.
    ///
    /// ```
    /// # async fn run(guard: &hitch_edge::guarded::Guard) {
    /// let expired = guard.expired().await;
    /// # }
    /// ```
    pub async fn expired(&self) -> Expired {
        let bounds = &self.admitted.bounds;
        let mut sleep = std::pin::pin!(tokio::time::sleep(Duration::ZERO));
        let mut armed_at = None;
        std::future::poll_fn(|cx| {
            loop {
                let now = bounds.clock.now();
                let progress = *lock(&self.progress);
                if let Some(expired) = progress.expired(now, bounds.account.is_short(now)) {
                    return Poll::Ready(expired);
                }
                let Some(check_at) = progress.next_check(now) else {
                    return Poll::Pending;
                };
                // A timer that is due earlier remains: the time is then checked again.
                if armed_at.is_none_or(|armed_at| armed_at > check_at) {
                    let wait = check_at.saturating_sub(now).max(TIMER_RESOLUTION);
                    sleep.as_mut().reset(Instant::now() + wait);
                    armed_at = Some(check_at);
                }
                if sleep.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                armed_at = None;
            }
        })
        .await
    }

    fn received(&self, bytes: &[u8]) {
        let begins = lock(&self.progress).received(bytes, self.admitted.bounds.clock.now());
        if begins {
            self.admitted.set_activity(Activity::Busy);
        }
    }

    fn wrote(&self, poll: &Poll<io::Result<usize>>) {
        let has_progress = match poll {
            Poll::Pending => false,
            Poll::Ready(Ok(bytes)) => *bytes > 0,
            Poll::Ready(Err(_)) => return,
        };
        lock(&self.progress).wrote(has_progress, self.admitted.bounds.clock.now());
    }
}

/// A connection whose progress is recorded; it is read and written like the one below it.
#[derive(Debug)]
pub struct Guarded<S> {
    stream: S,
    guard: Arc<Guard>,
}

impl<S> Guarded<S> {
    /// Creates a connection that records its progress.
    ///
    /// ```
    /// # fn run(stream: tokio::net::TcpStream, guard: std::sync::Arc<hitch_edge::guarded::Guard>) {
    /// let stream = hitch_edge::guarded::Guarded::new(stream, guard);
    /// # }
    /// ```
    pub fn new(stream: S, guard: Arc<Guard>) -> Guarded<S> {
        Guarded { stream, guard }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Guarded<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = &buf.filled()[filled..];
        if !received.is_empty() {
            self.guard.received(received);
        }
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Guarded<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.guard.wrote(&poll);
        poll
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
        self.guard.wrote(&poll);
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
