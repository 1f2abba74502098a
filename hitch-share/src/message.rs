//! What nodes of one service tell each other.

use std::time::Duration;

use crate::share::NodeId;

/// Demand for one limit, or the grant that answers it.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Customer of the limit.
    pub customer: Box<str>,
    /// Rank of the limit.
    pub rank: Box<str>,
    /// Calls per second offered at the sender that it cannot cover without the receiver.
    pub offered: f64,
    /// Share of the limit that the sender gives away, in calls per second. It replaces what the sender gave
    /// the receiver before.
    pub granted: f64,
    /// Chosen by the node that asks and repeated in the answer, so that a repeat counts once.
    pub grant_id: u64,
    /// How long the grant holds, counted by the receiver from the time when it asked.
    pub grant_lifetime: Duration,
}

/// A message between two nodes of one service.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Asks for parts of the receiver's share.
    Request(Vec<Demand>),
    /// Answers a request. It also states that the sender counts the receiver as a node of the service.
    Reply(Vec<Demand>),
}

/// What the caller of [`Share`](crate::Share) has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Deliver a message. It may be lost, repeated, delayed or reordered.
    Send {
        /// Node that gets the message.
        to: NodeId,
        /// The message.
        message: Message,
    },
}
