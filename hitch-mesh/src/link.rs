//! Connection to a peer, with the calls that were sent on it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use hitch_bound::Account;
use hitch_gate::shards::lock;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::frame;
use crate::frame::Answer;
use crate::frame::Call;
use crate::frame::Cancel;
use crate::frame::Frame;
use crate::frame::Kind;
use crate::frame::Ping;
use crate::frame::State;
use crate::header_table;
use crate::long_frame;
use crate::outcome::Outcome;

/// Least free space in the buffer before a read, in bytes.
const MIN_READ_BYTES: usize = 8 * 1024;
/// Size at which a batch of frames is written even if more frames wait, in bytes.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Largest buffer that is kept between frames, in bytes. A larger one is freed, since memory is charged at its peak.
const MAX_IDLE_BUFFER_BYTES: usize = 32 * 1024;

/// Interval at which a retired connection is checked for calls in flight.
const RETIREMENT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Channel to the writer of a connection.
pub(crate) type FrameSender = mpsc::UnboundedSender<Kind>;

/// The sending side of a connection that this node opened.
#[derive(Debug)]
pub(crate) struct Link {
    tx: FrameSender,
    calls: Mutex<Calls>,
    closed: AtomicBool,
    // Time of the last receipt of a frame, in microseconds since the start of the process.
    last_received_us: AtomicU64,
    // Latest state that the peer sent.
    state: Mutex<State>,
    unresponsive: AtomicBool,
    // Wakes the calls on the connection when the peer becomes unresponsive.
    became_unresponsive: Notify,
    // Set when the connection is not needed any more: it ends together with its last call.
    retired: watch::Sender<bool>,
    // Time of the oldest unanswered ping, in microseconds since the start of the process; 0 if none is unanswered.
    ping_sent_us: AtomicU64,
}

#[derive(Debug, Default)]
struct Calls {
    last_number: u64,
    // Number of the last call that the writer took from the channel; later ones were not sent.
    last_written: u64,
    waiting: BTreeMap<u64, WaitingCall>,
}

#[derive(Debug)]
struct WaitingCall {
    tx: oneshot::Sender<Outcome>,
    sent_at: Duration,
}

/// A call on a link. Dropping it before it has ended cancels the call at the peer.
#[derive(Debug)]
pub(crate) struct PendingCall {
    link: Arc<Link>,
    number: u64,
    rx: oneshot::Receiver<Outcome>,
    has_ended: bool,
}

impl Link {
    pub(crate) fn new(tx: FrameSender, now: Duration) -> Link {
        Link {
            tx,
            calls: Mutex::new(Calls::default()),
            closed: AtomicBool::new(false),
            last_received_us: AtomicU64::new(now.as_micros() as u64),
            state: Mutex::new(State::default()),
            unresponsive: AtomicBool::new(false),
            became_unresponsive: Notify::new(),
            retired: watch::Sender::new(false),
            ping_sent_us: AtomicU64::new(0),
        }
    }

    /// Sends a call to the peer, or returns `None` if the connection has ended.
    pub(crate) fn try_call(self: &Arc<Link>, mut call: Call, now: Duration) -> Option<PendingCall> {
        let (tx, rx) = oneshot::channel();
        let mut calls = lock(&self.calls);
        if self.is_closed() {
            return None;
        }
        calls.last_number += 1;
        let number = calls.last_number;
        call.number = number;
        let waiting = WaitingCall { tx, sent_at: now };
        calls.waiting.insert(number, waiting);
        // Under the lock, so that calls are sent in the order of their numbers.
        if self.tx.send(Kind::Call(call)).is_err() {
            calls.waiting.remove(&number);
            return None;
        }
        drop(calls);
        Some(PendingCall {
            link: self.clone(),
            number,
            rx,
            has_ended: false,
        })
    }

    pub(crate) fn send(&self, kind: Kind) {
        // Sending fails only if the connection has ended; then the frame is not needed.
        let _ = self.tx.send(kind);
    }

    /// Returns the channel to the peer.
    pub(crate) fn sender(&self) -> &FrameSender {
        &self.tx
    }

    /// Lets the connection end as soon as it has no calls in flight.
    pub(crate) fn retire(&self) {
        self.retired.send_replace(true);
    }

    pub(crate) fn is_retired(&self) -> bool {
        *self.retired.borrow()
    }

    /// Resolves when the connection was retired and its last call has ended.
    pub(crate) async fn await_retirement(&self) {
        // The sender lives as long as this link.
        let _ = self.retired.subscribe().wait_for(|retired| *retired).await;
        while !lock(&self.calls).waiting.is_empty() {
            tokio::time::sleep(RETIREMENT_POLL_INTERVAL).await;
        }
    }

    /// Returns whether the connection has neither calls in flight nor an unanswered ping.
    pub(crate) fn is_quiet(&self) -> bool {
        self.ping_sent_us.load(Ordering::Relaxed) == 0
            && !self.unresponsive.load(Ordering::Relaxed)
            && lock(&self.calls).waiting.is_empty()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    pub(crate) fn record_receipt(&self, now: Duration) {
        self.last_received_us
            .store(now.as_micros() as u64, Ordering::Relaxed);
        self.ping_sent_us.store(0, Ordering::Relaxed);
    }

    pub(crate) fn last_received(&self) -> Duration {
        Duration::from_micros(self.last_received_us.load(Ordering::Relaxed))
    }

    /// Returns when the oldest call in flight was sent, or `now` if none is in flight.
    pub(crate) fn oldest_call_sent_at(&self, now: Duration) -> Duration {
        let calls = lock(&self.calls);
        let first = calls.waiting.values().next();
        first.map_or(now, |waiting| waiting.sent_at)
    }

    /// Sets whether the peer counts as unresponsive (frozen or cut off), and returns whether that changed.
    pub(crate) fn set_unresponsive(&self, unresponsive: bool) -> bool {
        let changed = self.unresponsive.swap(unresponsive, Ordering::Relaxed) != unresponsive;
        if changed && unresponsive {
            self.became_unresponsive.notify_waiters();
        }
        changed
    }

    /// Resolves when the peer counts as unresponsive (frozen or cut off).
    pub(crate) async fn await_unresponsive(&self) {
        let became_unresponsive = self.became_unresponsive.notified();
        if self.unresponsive.load(Ordering::Relaxed) {
            return;
        }
        became_unresponsive.await;
    }

    /// Sends a ping to the peer and records its time if no earlier ping is unanswered.
    pub(crate) fn ping(&self, now: Duration) {
        let now_us = now.as_micros() as u64;
        // The oldest unanswered ping counts; any frame of the peer clears it.
        let sent = &self.ping_sent_us;
        let _ = sent.compare_exchange(0, now_us, Ordering::Relaxed, Ordering::Relaxed);
        self.send(Kind::Ping(Ping { number: now_us }));
    }

    /// Returns the age of the oldest unanswered ping, or zero if none is unanswered.
    pub(crate) fn ping_age(&self, now: Duration) -> Duration {
        match self.ping_sent_us.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            sent => now.saturating_sub(Duration::from_micros(sent)),
        }
    }

    pub(crate) fn set_state(&self, state: State) {
        *lock(&self.state) = state;
    }

    pub(crate) fn state(&self) -> State {
        lock(&self.state).clone()
    }

    pub(crate) fn complete(&self, answer: Answer) {
        let waiting = lock(&self.calls).waiting.remove(&answer.number);
        // The receiver is gone if the caller has left; then nobody waits for the answer.
        if let Some(waiting) = waiting {
            let _ = waiting.tx.send(Outcome::from_answer(answer));
        }
    }

    /// Returns whether a call is still to be written: its caller may have left while it waited for the writer. From then on
    /// the call may run.
    pub(crate) fn begin_writing(&self, call: &Call) -> bool {
        let mut calls = lock(&self.calls);
        if !calls.waiting.contains_key(&call.number) {
            return false;
        }
        calls.last_written = call.number;
        true
    }

    /// Ends all calls on the link. Those that the writer has not taken were not run.
    pub(crate) fn close(&self) {
        let mut calls = lock(&self.calls);
        self.closed.store(true, Ordering::Relaxed);
        let last_written = calls.last_written;
        for (number, waiting) in std::mem::take(&mut calls.waiting) {
            let outcome = match number > last_written {
                true => Outcome::not_run("the connection to the node ended", Duration::ZERO),
                false => Outcome::unknown("the connection to the node ended"),
            };
            let _ = waiting.tx.send(outcome);
        }
    }
}

impl PendingCall {
    /// Requests that the peer drop the call if its backend server has not received it, and return its outcome.
    pub(crate) fn cancel(&self) {
        self.link.send(Kind::Cancel(Cancel {
            number: self.number,
        }));
    }

    pub(crate) async fn outcome(&mut self) -> Outcome {
        let outcome = (&mut self.rx).await;
        self.has_ended = true;
        // The link was dropped without an answer, so the call may have been executed.
        outcome.unwrap_or_else(|_| Outcome::unknown("the connection to the node ended"))
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        lock(&self.link.calls).waiting.remove(&self.number);
        self.cancel();
    }
}

/// Writes the frames that are sent to `rx` until all senders are gone or the connection fails.
///
/// `begin_writing` is asked before any byte of a call is written; a call for which it returns false is left out.
pub(crate) async fn write(
    mut rx: mpsc::UnboundedReceiver<Kind>,
    mut stream: OwnedWriteHalf,
    begin_writing: impl Fn(&Call) -> bool,
) {
    let mut buf = BytesMut::new();
    let mut headers = header_table::Encoder::default();
    while let Some(first) = rx.recv().await {
        let mut next = Some(first);
        while let Some(mut kind) = next {
            let is_withdrawn = matches!(&kind, Kind::Call(call) if !begin_writing(call));
            if !is_withdrawn {
                headers.encode(&mut kind);
                let body = frame::encode_but_body(kind, &mut buf);
                if !body.is_empty() {
                    // The bytes of the body are charged to the account, so they must not be copied.
                    if stream.write_all(&buf).await.is_err()
                        || stream.write_all(&body).await.is_err()
                    {
                        return;
                    }
                    buf.clear();
                }
            }
            next = match buf.len() < MAX_BATCH_BYTES {
                true => rx.try_recv().ok(),
                false => None,
            };
        }
        if stream.write_all(&buf).await.is_err() {
            // The reader of the connection notices the failure as well and ends the calls.
            return;
        }
        buf.clear();
        if buf.capacity() > MAX_IDLE_BUFFER_BYTES {
            buf = BytesMut::new();
        }
    }
}

/// A frame that was received.
pub(crate) enum Received {
    /// A whole frame.
    Whole(Frame),
    /// A frame without the body of its call or answer, for which there was no memory.
    WithoutBody(Frame),
}

impl Received {
    fn frame_mut(&mut self) -> &mut Frame {
        match self {
            Received::Whole(frame) | Received::WithoutBody(frame) => frame,
        }
    }
}

/// Reads frames and passes them to `on_frame`, until the connection ends or `on_frame` returns false. Long frames are
/// charged to the account until the last copy of their body is dropped.
pub(crate) async fn read(
    mut stream: OwnedReadHalf,
    account: &Account,
    now: impl Fn() -> Duration,
    mut on_frame: impl FnMut(Received) -> bool,
) -> Result<(), Box<str>> {
    let mut buf = BytesMut::new();
    let mut headers = header_table::Decoder::default();
    loop {
        loop {
            let long = long_frame::read(&mut stream, &mut buf, account, now()).await?;
            let mut received = match long {
                Some(received) => received,
                None => match frame::try_decode(&mut buf).map_err(|err| err.to_string())? {
                    Some(frame) => Received::Whole(frame),
                    None => break,
                },
            };
            if let Some(kind) = &mut received.frame_mut().kind
                && !headers.decode(kind)
            {
                return Err("a header refers to none that was sent".into());
            }
            if !on_frame(received) {
                return Ok(());
            }
        }
        if buf.is_empty() && buf.capacity() > MAX_IDLE_BUFFER_BYTES {
            buf = BytesMut::new();
        }
        buf.reserve(MIN_READ_BYTES);
        match stream.read_buf(&mut buf).await {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(err) => return Err(err.to_string().into()),
        }
    }
}

#[cfg(test)]
mod tests;
