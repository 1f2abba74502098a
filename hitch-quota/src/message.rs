//! Messages between nodes.

use std::time::Duration;

/// Request of a node to another one: for tokens, for its vote, or both.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Random number of the sender's process.
    pub session: u64,
    /// Number of the request, increasing.
    pub number: u64,
    /// Asks the receiver, a voter, for its vote.
    pub candidacy: Option<Candidacy>,
    /// Organisations whose tokens are requested or returned.
    pub items: Vec<Item>,
}

/// Asks a voter to support the sender as a home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidacy {
    /// Address of the sender.
    pub address: Box<str>,
    /// Hash of the homes and voters as the sender knows them.
    pub view: u64,
}

/// Tokens of an organisation that are requested and returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Name of the organisation.
    pub organisation: Box<str>,
    /// Tokens for requests that wait.
    pub waiting: u32,
    /// Tokens for requests that are expected.
    pub ahead: u32,
    /// Unused tokens that are returned.
    pub returned: u32,
}

/// Answer to a [`Request`].
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// Number of the request.
    pub number: u64,
    /// The vote, if it was asked for.
    pub vote: Option<Vote>,
    /// One entry for each organisation of the request.
    pub items: Vec<Granted>,
}

/// Opinion of a voter on the homes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Vote {
    /// Whether the voter supports the sender of the request as a home.
    pub supports: bool,
    /// Number that changes when the voter reports the sender of the request as down, or forgets what it reported.
    pub epoch: u64,
    /// Addresses of the homes that the voter does not support and did not support lately.
    pub down: Vec<Box<str>>,
}

/// Tokens of an organisation that were granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Granted {
    /// Name of the organisation.
    pub organisation: Box<str>,
    /// Granted tokens.
    pub granted: u32,
    /// Time after which a token may be available, if fewer were granted than requests wait.
    pub retry_after: Duration,
    /// If the answering node is not the home of the organisation: the node that it regards as the first one to ask, or an
    /// empty text if it knows none.
    pub elsewhere: Option<Box<str>>,
}
