//! Messages between the nodes of one service.

use std::time::Duration;

use crate::share::NodeId;

/// Demand for a part of one limit, or the grant that answers it.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Customer of the limit.
    pub customer: Box<str>,
    /// Rank of the limit.
    pub rank: Box<str>,
    /// In a request: the rate that the sender wants and cannot cover without the receiver. In a reply:
    /// the rate offered at the sender. In calls per second.
    pub offered: f64,
    /// Rate that the sender grants to the receiver, in calls per second. It replaces earlier grants of
    /// the sender to the receiver.
    pub granted: f64,
    /// Chosen by the sender of the request and copied to the reply, so that duplicates of a message have
    /// no effect.
    pub grant_id: u64,
    /// How long the grant is valid, counted by its receiver from the time at which it sent the request.
    pub grant_lifetime: Duration,
}

/// A message between two nodes of one service.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Requests parts of the receiver's share.
    Request(Vec<Demand>),
    /// Answers a request. It also acknowledges that the sender counts the receiver as a node of the service.
    Reply(Vec<Demand>),
}

/// What the caller of [`Share`](crate::Share) must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send a message. It may be lost, duplicated, delayed or reordered.
    Send {
        /// Node to send the message to.
        to: NodeId,
        /// The message.
        message: Message,
    },
}
