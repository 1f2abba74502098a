//! Events and the ring buffer that holds the latest ones.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Stamp;

/// Kind of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A process started.
    Started,
    /// A process became ready to serve.
    Ready,
    /// A process started draining.
    Draining,
    /// A process stopped after its last call had ended.
    Stopped,
    /// A configuration change of an operator was appended to the log.
    Published,
    /// A record was read from the log.
    Read,
    /// Records were pulled from a peer.
    Pulled,
    /// A configuration change was accepted.
    Accepted,
    /// A configuration change was refused.
    Refused,
    /// A configuration version took effect on a node.
    InForce,
    /// A configuration snapshot was written or loaded.
    Snapshot,
    /// The state of a member changed.
    Member,
    /// A call arrived from a caller.
    Arrived,
    /// A call was sent to a node or backend server.
    HandedOver,
    /// A backend server started to run a call.
    Running,
    /// A call was answered.
    Answered,
    /// A call was refused without being run.
    NotRun,
    /// A call ended with an unknown outcome.
    Unknown,
    /// A call was retried.
    Retried,
    /// The ownership of idempotency keys changed.
    Ownership,
    /// The log became unreachable or reachable again.
    Log,
}

/// An event recorded by one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Timestamp from the hybrid logical clock of the process.
    pub stamp: Stamp,
    /// Name of the instance on which the event happened.
    pub instance: Box<str>,
    /// Kind of the event.
    pub kind: Kind,
    /// Configuration version to which the event relates, or 0.
    #[serde(default)]
    pub version: u64,
    /// Id of the call to which the event relates, or empty.
    #[serde(default)]
    pub call_id: Box<str>,
    /// Short description for operators.
    pub text: Box<str>,
}

/// Ring buffer with the latest events of one process.
#[derive(Debug, Clone)]
pub struct Ring {
    capacity: usize,
    events: VecDeque<Event>,
    dropped: u64,
}

impl Ring {
    /// Creates a ring buffer for `capacity` events, at least one.
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

    /// Adds an event, and drops the oldest one if the buffer is full.
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

    /// Iterates over the events from oldest to newest.
    ///
    /// ```
    /// assert_eq!(hitch_event::Ring::with_capacity(1).iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }

    /// Returns the number of events dropped so far.
    ///
    /// ```
    /// assert_eq!(hitch_event::Ring::with_capacity(1).dropped(), 0);
    /// ```
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
