//! The checked contract.

use std::time::Duration;

/// What one customer was promised.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contract {
    /// Name of the customer.
    pub customer: Box<str>,
    /// Time within which a change must be in force on every node.
    pub lands_within: Duration,
    /// Time out of touch with the log after which `when_stale` applies.
    pub stale_after: Duration,
    /// What a node does with non-idempotent calls once it is stale.
    pub when_stale: WhenStale,
    /// Length of the ownership intervals of idempotency keys.
    pub key_interval: Duration,
    /// Ranks of work, the most urgent first.
    pub ranks: Vec<Rank>,
    /// Services that the customer's backend servers offer.
    pub services: Vec<Service>,
    /// Routes from a method and path to a service.
    pub routes: Vec<Route>,
}

/// Behaviour of a node that lost touch with the log for longer than `stale_after`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WhenStale {
    /// Go on serving by the last accepted version.
    Serve,
    /// Refuse non-idempotent calls as not run.
    Refuse,
}

/// One rank of work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rank {
    /// Name of the rank, unique in its contract.
    pub name: Box<str>,
    /// Latency that calls of this rank should meet.
    pub target_latency: Duration,
    /// Worth of one answered call, against the other ranks.
    pub worth: u32,
    /// Guaranteed share of the slots of each service, in percent.
    pub share_percent: u8,
    /// Calls admitted over the whole fleet, per second.
    pub admit_per_second: u32,
}

/// One service of the customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service, unique over all customers.
    pub name: Box<str>,
    /// Calls that one backend server runs at once.
    pub slots: u32,
    /// Connections that one backend server accepts.
    pub connections: u32,
}

/// One route of the customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Method that the route matches, in upper case.
    pub method: Box<str>,
    /// Path prefix that the route matches, on whole segments.
    pub path: Box<str>,
    /// Service that runs the calls.
    pub service: Box<str>,
    /// Whether a call may be run more than once.
    pub idempotent: bool,
    /// Longest time that a call may take.
    pub deadline: Duration,
}
