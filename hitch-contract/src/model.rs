//! Model of a valid contract.

use std::time::Duration;

/// The contract of one customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contract {
    /// Name of the customer.
    pub customer: Box<str>,
    /// Time within which a change of the contract must be in force on every node.
    pub lands_within: Duration,
    /// Age of a node's last confirmation by the log above which the node is stale and `when_stale`
    /// applies.
    pub stale_after: Duration,
    /// What a node does with non-idempotent calls once it is stale.
    pub when_stale: WhenStale,
    /// Length of the ownership intervals of idempotency keys.
    pub key_interval: Duration,
    /// Ranks, which are the priority classes of calls, the most urgent first.
    pub ranks: Vec<Rank>,
    /// Services that the customer's backend servers offer.
    pub services: Vec<Service>,
    /// Routes from a method and path to a service.
    pub routes: Vec<Route>,
}

/// Behaviour of a node whose last confirmation by the log is older than `stale_after`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WhenStale {
    /// Keep serving with the last accepted version.
    Serve,
    /// Refuse non-idempotent calls as not run.
    Refuse,
}

/// One rank: a priority class of calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rank {
    /// Name of the rank, unique in its contract.
    pub name: Box<str>,
    /// Latency target of the calls of this rank.
    pub target_latency: Duration,
    /// Weight of one answered call under overload, relative to those of the other ranks.
    pub worth: u32,
    /// Guaranteed share of the slots of each service, in percent.
    pub share_percent: u8,
    /// Admission rate over all nodes together, in calls per second.
    pub admit_per_second: u32,
}

/// One service of the customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service, unique over all customers.
    pub name: Box<str>,
    /// Maximum number of calls that one backend server runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that one backend server accepts.
    pub connections: u32,
}

/// One route of the customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// HTTP method that the route matches, in upper case.
    pub method: Box<str>,
    /// Path prefix that the route matches, by whole segments.
    pub path: Box<str>,
    /// Name of the service that runs the calls.
    pub service: Box<str>,
    /// Whether a call may be run more than once.
    pub idempotent: bool,
    /// Maximum time that a call may take.
    pub deadline: Duration,
}
