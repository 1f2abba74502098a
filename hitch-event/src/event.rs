//! Events and the ring that keeps the latest of them.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Stamp;

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A process started.
    Started,
    /// A process is ready to serve.
    Ready,
    /// A process begins to drain.
    Draining,
    /// A process stopped after its last call.
    Stopped,
    /// An operator's change was appended to the log.
    Published,
    /// A record was read from the log.
    Read,
    /// Records were pulled from a peer.
    Pulled,
    /// A change was accepted.
    Accepted,
    /// A change was refused.
    Refused,
    /// A version came into force on a node.
    InForce,
    /// A snapshot was written or taken over.
    Snapshot,
    /// The state of a member changed.
    Member,
    /// A call arrived from a caller.
    Arrived,
    /// A call was handed over to a node or backend server.
    HandedOver,
    /// A backend server runs a call.
    Running,
    /// A call was answered.
    Answered,
    /// A call was refused as not run.
    NotRun,
    /// A call ended without a known outcome.
    Unknown,
    /// A call is tried again.
    Retried,
    /// Ownership of keys changed.
    Ownership,
    /// The log could not be reached, or could be again.
    Log,
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Position in the merged order.
    pub stamp: Stamp,
    /// Instance on which it happened.
    pub instance: Box<str>,
    /// What happened.
    pub kind: Kind,
    /// Configuration version that it concerns, or 0.
    #[serde(default)]
    pub version: u64,
    /// Call that it concerns, or empty.
    #[serde(default)]
    pub call_id: Box<str>,
    /// One short sentence.
    pub text: Box<str>,
}

/// The latest events of one process.
#[derive(Debug, Clone)]
pub struct Ring {
    capacity: usize,
    events: VecDeque<Event>,
    dropped: u64,
}

impl Ring {
    /// Makes a ring that keeps `capacity` events.
    ///
    /// ```
    /// assert_eq!(hitch_event::Ring::with_capacity(8).dropped(), 0);
    /// ```
    pub fn with_capacity(capacity: usize) -> Ring {
        Ring {
            capacity: capacity.max(1),
            events: VecDeque::new(),
            dropped: 0,
        }
    }

    /// Adds an event, and drops the oldest one when the ring is full.
    ///
    /// ```
    /// # use hitch_event::*;
    /// # let event = Event { stamp: Stamp::default(), instance: "i-1".into(), kind: Kind::Ready,
    /// #     version: 0, call_id: "".into(), text: "ready".into() };
    /// let mut ring = Ring::with_capacity(1);
    /// ring.push(event.clone());
    /// ring.push(event);
    /// assert_eq!((ring.iter().count(), ring.dropped()), (1, 1));
    /// ```
    pub fn push(&mut self, event: Event) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Iterates over the events, oldest first.
    ///
    /// ```
    /// assert_eq!(hitch_event::Ring::with_capacity(1).iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    /// Returns how many events were dropped.
    ///
    /// ```
    /// assert_eq!(hitch_event::Ring::with_capacity(1).dropped(), 0);
    /// ```
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
