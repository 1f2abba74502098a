//! The connections of callers, and the choice of the one to close when there are too many.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time that a connection has to send its first byte before it may be closed in favour of a new one. Callers send their
/// first request as soon as the connection is open.
const FIRST_BYTE_GRACE: Duration = Duration::from_millis(250);
/// Part of the idle timeout until which callers may reuse a connection.
const REUSE_FRACTION: f64 = 0.8;

/// Part of the connections that only the local backend server may open: the calls that it makes belong to requests that
/// run already.
const LOCAL_RESERVE_SHARE: usize = 8;

/// Who opened a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The instance itself, whose backend server makes calls of its own.
    Local,
    /// Any other machine.
    Other,
}

/// Number of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(u64);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// It has not sent a request yet.
    Silent,
    /// It sends a request, or waits for an answer, or receives it.
    Busy,
    /// It was answered and has not begun another request.
    Idle,
}

/// The open connections, each with what the caller needs to close it.
#[derive(Debug)]
pub struct Connections<T> {
    max: usize,
    last: u64,
    open: BTreeMap<Id, Open<T>>,
}

#[derive(Debug)]
struct Open<T> {
    activity: Activity,
    since: Duration,
    idle_timeout: Duration,
    closer: Option<T>,
}

impl<T> Connections<T> {
    /// Creates an empty set of at most `max` connections.
    ///
    /// ```
    /// assert_eq!(hitch_bound::Connections::<()>::new(5).len(), 0);
    /// ```
    pub fn new(max: usize) -> Connections<T> {
        Connections {
            max,
            last: 0,
            open: BTreeMap::new(),
        }
    }

    /// Returns the number of open connections.
    ///
    /// ```
    /// # let connections = hitch_bound::Connections::<()>::new(5);
    /// assert_eq!(connections.len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no connection is open.
    ///
    /// ```
    /// assert!(hitch_bound::Connections::<()>::new(5).is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns whether there is no room for a connection.
    ///
    /// ```
    /// use hitch_bound::connections::Origin;
    /// assert!(hitch_bound::Connections::<()>::new(0).is_full(Origin::Local));
    /// ```
    pub fn is_full(&self, origin: Origin) -> bool {
        let reserve = match origin {
            Origin::Local => 0,
            Origin::Other => self.max / LOCAL_RESERVE_SHARE,
        };
        self.open.len() + reserve >= self.max
    }

    /// Adds a connection, or returns `None` if there is no room.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut connections = hitch_bound::Connections::new(1);
    /// use hitch_bound::connections::Origin::Other;
    /// assert!(connections.try_open("first", Other, Duration::from_secs(15), Duration::ZERO).is_some());
    /// assert!(connections.try_open("second", Other, Duration::from_secs(15), Duration::ZERO).is_none());
    /// ```
    pub fn try_open(
        &mut self,
        closer: T,
        origin: Origin,
        idle_timeout: Duration,
        now: Duration,
    ) -> Option<Id> {
        if self.is_full(origin) {
            return None;
        }
        self.last += 1;
        let id = Id(self.last);
        let open = Open {
            activity: Activity::Silent,
            since: now,
            idle_timeout,
            closer: Some(closer),
        };
        self.open.insert(id, open);
        Some(id)
    }

    /// Records what a connection does from now on.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_bound::connections::Activity;
    /// # use hitch_bound::connections::Origin;
    /// # let mut connections = hitch_bound::Connections::new(1);
    /// let id = connections.try_open((), Origin::Other, Duration::from_secs(15), Duration::ZERO).unwrap();
    /// connections.set_activity(id, Activity::Busy, Duration::ZERO);
    /// assert!(connections.evict(Duration::from_secs(60)).is_none());
    /// ```
    pub fn set_activity(&mut self, id: Id, activity: Activity, now: Duration) {
        if let Some(open) = self.open.get_mut(&id) {
            open.activity = activity;
            open.since = now;
        }
    }

    /// Removes a connection that was closed.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_bound::connections::Origin;
    /// # let mut connections = hitch_bound::Connections::new(1);
    /// let id = connections.try_open((), Origin::Other, Duration::from_secs(15), Duration::ZERO).unwrap();
    /// connections.closed(id);
    /// assert!(connections.is_empty());
    /// ```
    pub fn closed(&mut self, id: Id) {
        self.open.remove(&id);
    }

    /// Chooses the least useful connection, which the caller then closes: the one that has sent nothing for the longest
    /// time, otherwise the one that has been idle for the longest time beyond the time in which it may be reused. A
    /// connection with a request is never chosen, and none is chosen twice.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_bound::connections::Origin;
    /// # let mut connections = hitch_bound::Connections::new(1);
    /// connections.try_open("silent", Origin::Other, Duration::from_secs(15), Duration::ZERO);
    /// assert_eq!(connections.evict(Duration::from_secs(1)), Some("silent"));
    /// assert_eq!(connections.evict(Duration::from_secs(1)), None);
    /// ```
    pub fn evict(&mut self, now: Duration) -> Option<T> {
        let useless_for = |open: &Open<T>| {
            let keep = match open.activity {
                Activity::Silent => FIRST_BYTE_GRACE,
                Activity::Idle => open.idle_timeout.mul_f64(REUSE_FRACTION),
                Activity::Busy => return None,
            };
            let age = now.saturating_sub(open.since);
            (open.closer.is_some() && age >= keep).then_some(age)
        };
        let silent_first = |open: &Open<T>| open.activity == Activity::Silent;
        let (_, victim) = self
            .open
            .iter_mut()
            .filter_map(|(_, open)| {
                let age = useless_for(open)?;
                Some(((silent_first(open), age), open))
            })
            .max_by_key(|(rank, _)| *rank)?;
        victim.closer.take()
    }
}
