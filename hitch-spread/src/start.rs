//! The rule by which a node that starts empty becomes ready.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::spread::Options;
use crate::spread::Peer;
use crate::spread::Spread;

#[derive(Debug, Clone, Default)]
pub(crate) struct Start {
    began: Option<Duration>,
    peers: BTreeSet<Peer>,
    log: bool,
    /// Offset to reach; fixed once the node has learned, so that new changes do not move it.
    target: u64,
    ready: bool,
}

impl Start {
    pub(crate) fn heard_log(&mut self, now: Duration, next_offset: u64, options: &Options) {
        self.learn(now, next_offset, options);
        self.log = true;
    }

    /// Notes a peer's offset. Only an answer that is itself confirmed by the log counts as heard:
    /// two nodes that both start empty know nothing of each other.
    pub(crate) fn heard_peer(
        &mut self,
        now: Duration,
        peer: Option<Peer>,
        next_offset: u64,
        options: &Options,
    ) {
        self.learn(now, next_offset, options);
        if !self.ready {
            self.peers.extend(peer);
        }
    }

    fn learn(&mut self, now: Duration, next_offset: u64, options: &Options) {
        let began = *self.began.get_or_insert(now);
        let unheard = self.peers.is_empty() && !self.log;
        if unheard || now < began + options.learn_for {
            self.target = self.target.max(next_offset);
        }
    }

    fn has_learned(&self, now: Duration, options: &Options) -> bool {
        let over = self.began.is_some_and(|b| now >= b + options.learn_for);
        self.log || self.peers.len() >= options.start_peers || over && !self.peers.is_empty()
    }
}

impl Spread {
    /// Returns whether the node holds all that it learned of while it started, and may serve.
    ///
    /// It must have heard the log, or peers that know the log: [`Options::start_peers`] of them, or
    /// one within [`Options::learn_for`]. Once true it stays true.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let mut spread = Spread::new(Options::default());
    /// assert!(!spread.is_ready());
    /// spread.received_log_end(Duration::ZERO, Duration::ZERO, 0);
    /// assert!(spread.is_ready());
    /// ```
    pub fn is_ready(&self) -> bool {
        self.start.ready
    }

    pub(crate) fn update_ready(&mut self, now: Duration) {
        if self.start.ready || !self.start.has_learned(now, &self.options) {
            return;
        }
        if self.next_offset() >= self.start.target {
            self.start.ready = true;
            self.start.peers.clear();
        }
    }
}
