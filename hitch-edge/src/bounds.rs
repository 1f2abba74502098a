//! Limits on what a node holds for callers: the account of memory and the connections.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hitch_bound::Account;
use hitch_bound::Charge;
use hitch_bound::Connections;
use hitch_bound::Limits;
use hitch_bound::connections::Activity;
use hitch_bound::connections::Id;
use hitch_bound::connections::Origin;
use hitch_bound::memory::Purpose;
use hitch_gate::shards::lock;
use hitch_gate::time::ProcessClock;
use tokio::sync::Notify;

/// Descriptors that are kept for files on a process without a stated number of sockets.
const FILE_DESCRIPTORS: u64 = 200;
/// Part of the descriptors that is kept for files on a process with few of them.
const FILE_DESCRIPTOR_SHARE: u64 = 3;
/// Bodies that wait for room in the account at the same time. The bytes that the kernel has received for a waiting body
/// count towards the memory of the machine; further bodies are refused at once.
const MAX_WAITING_BODIES: usize = 8;
/// Longest wait of a body for room. Bodies without progress give their memory back within 750 ms of a shortage.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a body that waits for room tries again.
const ROOM_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for the end of a connection that was chosen to make room for a new one.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(50);

/// A limit that acted, by the label of its metric and of its log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// A connection was refused because there are too many.
    Connections,
    /// A connection that was of no use was closed in favour of a new one.
    ConnectionEvicted,
    /// A request head, or the empty lines before it, exceeded the configured length.
    HeadLength,
    /// A request head was not whole in time.
    HeadTime,
    /// A client did not read its answer.
    AnswerStalled,
    /// A request body was refused because no memory was free.
    BodyMemory,
    /// A request body without progress gave its memory back.
    BodyStalled,
    /// A request body was not whole before the deadline of the request.
    BodyTime,
    /// A request body came in too many small chunks.
    BodyChunks,
    /// A call of another node was refused because no memory was free for its body.
    CallMemory,
    /// The answer of another node was dropped because no memory was free for its body.
    AnswerMemory,
}

impl Limit {
    /// Returns the name of the limit in metrics and log lines.
    ///
    /// ```
    /// assert_eq!(hitch_edge::bounds::Limit::HeadTime.label(), "head time");
    /// ```
    pub fn label(self) -> &'static str {
        match self {
            Limit::Connections => "connections",
            Limit::ConnectionEvicted => "connection evicted",
            Limit::HeadLength => "head length",
            Limit::HeadTime => "head time",
            Limit::AnswerStalled => "answer stalled",
            Limit::BodyMemory => "body memory",
            Limit::BodyStalled => "body stalled",
            Limit::BodyTime => "body time",
            Limit::BodyChunks => "body chunks",
            Limit::CallMemory => "call memory",
            Limit::AnswerMemory => "answer memory",
        }
    }
}

/// What a node holds for callers.
#[derive(Debug)]
pub struct Bounds {
    /// Account of the memory that is held for others.
    pub account: Account,
    /// Clock of the process.
    pub clock: ProcessClock,
    connections: Mutex<Connections<Arc<Notify>>>,
    connection_closed: Notify,
    waiting_bodies: AtomicUsize,
}

impl Bounds {
    /// Creates the bounds of a process by the memory and the sockets that it may use, where they are limited. Without a
    /// stated number of sockets, the limit on open descriptors of the process counts.
    ///
    /// ```
    /// let clock = hitch_gate::time::ProcessClock::start();
    /// let bounds = hitch_edge::bounds::Bounds::new(clock, Some(160 << 20), Some(3_900));
    /// assert_eq!(bounds.connection_count(), 0);
    /// ```
    pub fn new(
        clock: ProcessClock,
        max_memory_bytes: Option<u64>,
        max_sockets: Option<u64>,
    ) -> Arc<Bounds> {
        // The limit of the process says nothing on a platform that counts sockets by itself: a soft limit far below the
        // stated number was seen there, and ordinary callers were refused.
        let sockets = max_sockets.or_else(sockets_of_process);
        let limits = Limits::derive(max_memory_bytes, sockets);
        Arc::new(Bounds {
            clock,
            account: Account::new(limits.account_bytes, limits.reserve_bytes),
            connections: Mutex::new(Connections::new(limits.connections)),
            connection_closed: Notify::new(),
            waiting_bodies: AtomicUsize::new(0),
        })
    }

    /// Returns the number of open connections of callers.
    ///
    /// ```
    /// # let clock = hitch_gate::time::ProcessClock::start();
    /// assert_eq!(hitch_edge::bounds::Bounds::new(clock, None, None).connection_count(), 0);
    /// ```
    pub fn connection_count(&self) -> usize {
        lock(&self.connections).len()
    }

    /// Closes the least useful connection, if there is one that may be closed, and returns whether there was.
    ///
    /// ```
    /// # let clock = hitch_gate::time::ProcessClock::start();
    /// assert!(!hitch_edge::bounds::Bounds::new(clock, None, None).evict_connection());
    /// ```
    pub fn evict_connection(&self) -> bool {
        let closer = lock(&self.connections).evict(self.clock.now());
        if let Some(closer) = &closer {
            closer.notify_one();
        }
        closer.is_some()
    }
}

/// Returns the sockets that the limit on open descriptors of this process allows, or `None` if it cannot be read.
fn sockets_of_process() -> Option<u64> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    let descriptors: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(descriptors - FILE_DESCRIPTORS.min(descriptors / FILE_DESCRIPTOR_SHARE))
}

/// A connection of a caller in the set of all connections, until it is dropped.
#[derive(Debug)]
pub struct Admitted {
    /// Bounds of the process.
    pub bounds: Arc<Bounds>,
    evicted: Arc<Notify>,
    id: Id,
}

impl Admitted {
    /// Records what the connection does from now on.
    ///
    /// ```
    /// # fn run(admitted: &hitch_edge::bounds::Admitted) {
    /// admitted.set_activity(hitch_bound::connections::Activity::Busy);
    /// # }
    /// ```
    pub fn set_activity(&self, activity: Activity) {
        let now = self.bounds.clock.now();
        lock(&self.bounds.connections).set_activity(self.id, activity, now);
    }

    /// Resolves when the connection is to be closed in favour of a new one.
    ///
    /// ```
    /// # async fn run(admitted: &hitch_edge::bounds::Admitted) {
    /// admitted.evicted().await;
    /// # }
    /// ```
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        lock(&self.bounds.connections).closed(self.id);
        self.bounds.connection_closed.notify_one();
    }
}

/// Admits a new connection, in favour of which another one may be closed. Returns `None` if there is no room. `report` is
/// called for each limit that acts.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let clock = hitch_gate::time::ProcessClock::start();
/// let bounds = hitch_edge::bounds::Bounds::new(clock, None, None);
/// let idle = std::time::Duration::from_secs(15);
/// let origin = hitch_bound::connections::Origin::Other;
/// let admitted = hitch_edge::bounds::admit(&bounds, origin, idle, |_| ()).await;
/// assert_eq!((admitted.is_some(), bounds.connection_count()), (true, 1));
/// # });
/// ```
pub async fn admit(
    bounds: &Arc<Bounds>,
    origin: Origin,
    idle_timeout: Duration,
    report: impl Fn(Limit),
) -> Option<Admitted> {
    loop {
        let now = bounds.clock.now();
        let evicted = Arc::new(Notify::new());
        let id = lock(&bounds.connections).try_open(evicted.clone(), origin, idle_timeout, now);
        if let Some(id) = id {
            return Some(Admitted {
                bounds: bounds.clone(),
                evicted,
                id,
            });
        }
        if !bounds.evict_connection() {
            report(Limit::Connections);
            return None;
        }
        report(Limit::ConnectionEvicted);
        let closed = bounds.connection_closed.notified();
        // Without the end of that connection, the next one is chosen.
        let _ = tokio::time::timeout(EVICTION_TIMEOUT, closed).await;
    }
}

/// Charges a body to the account, and waits a while for room, but not beyond `until`.
pub(crate) async fn charge(
    bounds: &Bounds,
    charge: &mut Option<Charge>,
    bytes: usize,
    purpose: Purpose,
    until: Duration,
) -> bool {
    if !bounds.account.could_hold(bytes, purpose) {
        return false;
    }
    let until = until.min(bounds.clock.now() + ROOM_TIMEOUT);
    let mut waiting = None;
    loop {
        let now = bounds.clock.now();
        let has_grown = match charge {
            Some(charge) => charge.try_grow_to(bytes, purpose, now),
            None => {
                *charge = bounds.account.try_charge(bytes, purpose, now);
                charge.is_some()
            }
        };
        if has_grown {
            return true;
        }
        if waiting.is_none() {
            waiting = WaitingBody::try_new(&bounds.waiting_bodies);
        }
        if waiting.is_none() || now >= until {
            return false;
        }
        tokio::time::sleep(ROOM_RETRY_INTERVAL).await;
    }
}

/// One of the bodies that wait for room, until it is dropped.
struct WaitingBody<'a>(&'a AtomicUsize);

impl<'a> WaitingBody<'a> {
    fn try_new(waiting: &'a AtomicUsize) -> Option<WaitingBody<'a>> {
        let before = waiting.fetch_add(1, Ordering::Relaxed);
        let entry = WaitingBody(waiting);
        (before < MAX_WAITING_BODIES).then_some(entry)
    }
}

impl Drop for WaitingBody<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
