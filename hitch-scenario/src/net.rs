//! Simulated network between the nodes and to the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;

/// Minimum latency of a message.
const MIN_LATENCY_MS: u64 = 1;
/// Upper bound of the jitter of a message; jitter reorders messages.
const JITTER_US: u64 = 3_000;

/// Simulated network.
#[derive(Debug, Default)]
pub struct Network {
    /// Nodes whose outgoing messages are dropped.
    pub outbound_blocked: BTreeSet<usize>,
    /// Nodes whose incoming messages are dropped.
    pub inbound_blocked: BTreeSet<usize>,
    /// Delay added to messages to and from a node.
    pub extra_delay: BTreeMap<usize, Duration>,
}

impl Network {
    /// Returns the latency of a message, or none if it is dropped.
    ///
    /// ```
    /// let mut net = hitch_scenario::net::Network::default();
    /// net.outbound_blocked.insert(1);
    /// assert!(net.delay(&mut rand::rng(), 1, 2).is_none());
    /// assert!(net.delay(&mut rand::rng(), 2, 1).is_some());
    /// ```
    pub fn delay(&self, rng: &mut impl rand::Rng, from: usize, to: usize) -> Option<Duration> {
        if from == to {
            return Some(Duration::ZERO);
        }
        if !self.reaches(from, to) {
            return None;
        }
        let mut delay = Duration::from_millis(MIN_LATENCY_MS);
        delay += Duration::from_micros(rng.random_range(0..JITTER_US));
        for end in [from, to] {
            delay += self.extra_delay.get(&end).copied().unwrap_or_default();
        }
        Some(delay)
    }

    /// Returns whether messages from one node reach another.
    ///
    /// ```
    /// assert!(hitch_scenario::net::Network::default().reaches(0, 1));
    /// ```
    pub fn reaches(&self, from: usize, to: usize) -> bool {
        !self.outbound_blocked.contains(&from) && !self.inbound_blocked.contains(&to)
    }

    /// Returns whether a node can reach the log; this needs both directions.
    ///
    /// ```
    /// assert!(hitch_scenario::net::Network::default().reaches_log(0));
    /// ```
    pub fn reaches_log(&self, node: usize) -> bool {
        !self.outbound_blocked.contains(&node) && !self.inbound_blocked.contains(&node)
    }
}
