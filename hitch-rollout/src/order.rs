//! Orders, statuses and instructions.

use std::time::Duration;

/// Order of an operator to replace the version of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Service whose version is replaced.
    pub service: Box<str>,
    /// The new version.
    pub target_version: Box<str>,
    /// Time from the order until it must have ended.
    pub duration: Duration,
}

/// State of a rollout, as its status record states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The new version is being tried.
    Running,
    /// The new version replaced the old one. This state is final.
    Completed,
    /// The new version gets no requests any more. This state is final.
    RolledBack,
}

/// Status record of a service's rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// State of the rollout.
    pub state: State,
    /// Version that was ordered.
    pub target_version: Box<str>,
}

/// What a node knows of the progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The order is known, and no controller has sent an instruction yet.
    Ordered,
    /// A controller divides the requests.
    Running,
    /// The order ended: the new version gets all requests.
    Completed,
    /// The order ended: the new version gets no requests.
    RolledBack,
}

impl Phase {
    /// Returns whether the order has ended.
    ///
    /// ```
    /// assert!(hitch_rollout::Phase::Completed.is_final());
    /// ```
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::RolledBack)
    }
}

impl From<State> for Phase {
    fn from(state: State) -> Phase {
        match state {
            State::Running => Phase::Running,
            State::Completed => Phase::Completed,
            State::RolledBack => Phase::RolledBack,
        }
    }
}

/// Instruction of a controller to all nodes, or the announcement of an order that has no controller yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Instruction {
    /// The new version.
    pub target_version: Box<str>,
    /// Progress of the order.
    pub phase: Phase,
    /// Term of the controller: one more than the offset of the status record by which it took over. A greater term
    /// replaces a smaller one. 0 for the announcement of an order.
    pub term: u64,
    /// Number of the instruction within its term, increasing.
    pub sequence: u64,
    /// Share of the service's requests that goes to the new version, 0 to 1.
    pub share: f64,
    /// Backend servers of the new version that are to get these requests; empty for all of them.
    pub canaries: Vec<Box<str>>,
    /// Time from the order until it must have ended.
    pub duration: Duration,
    /// Time since the order.
    pub age: Duration,
    /// Time from the order until the controller sent the instruction. Nodes that pass it on do not change it.
    pub issued: Duration,
}
