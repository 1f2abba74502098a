//! The condition under which a node that starts without records becomes ready.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::spread::Options;
use crate::spread::Peer;
use crate::spread::Spread;

#[derive(Debug, Clone, Default)]
pub(crate) struct Startup {
    /// When the first offset was learned, which starts the learning period.
    learning_since: Option<Duration>,
    /// Peers that sent a confirmed digest.
    confirmed_peers: BTreeSet<Peer>,
    /// Whether the log itself reported its end.
    log_confirmed: bool,
    /// Offset to reach; fixed at the end of the learning period, so that new changes do not move
    /// it.
    target: u64,
    ready: bool,
}

impl Startup {
    /// Records the end of the log.
    pub(crate) fn learn_from_log(&mut self, now: Duration, next_offset: u64, options: &Options) {
        self.raise_target(now, next_offset, options);
        self.log_confirmed = true;
    }

    /// Records the offset of a peer, which is `None` unless the peer's answer is itself confirmed
    /// by the log. An unconfirmed answer does not count, as two nodes that both start without
    /// records cannot tell each other where the log ends.
    pub(crate) fn learn_from_peer(
        &mut self,
        now: Duration,
        confirmed_peer: Option<Peer>,
        next_offset: u64,
        options: &Options,
    ) {
        self.raise_target(now, next_offset, options);
        if !self.ready {
            self.confirmed_peers.extend(confirmed_peer);
        }
    }

    fn raise_target(&mut self, now: Duration, next_offset: u64, options: &Options) {
        let since = *self.learning_since.get_or_insert(now);
        let unconfirmed = self.confirmed_peers.is_empty() && !self.log_confirmed;
        if unconfirmed || now < since + options.learning_period {
            self.target = self.target.max(next_offset);
        }
    }

    fn has_learned(&self, now: Duration, options: &Options) -> bool {
        let period_over = self
            .learning_since
            .is_some_and(|since| now >= since + options.learning_period);
        self.log_confirmed
            || self.confirmed_peers.len() >= options.start_quorum
            || period_over && !self.confirmed_peers.is_empty()
    }
}

impl Spread {
    /// Returns whether the node holds every record that it learned of while starting, and may
    /// serve.
    ///
    /// It must have learned the end of the log from the log itself or from peers that have it
    /// confirmed: from [`Options::start_quorum`] peers, or from at least one when
    /// [`Options::learning_period`] is over. Once true, it stays true.
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
        self.startup.ready
    }

    pub(crate) fn update_ready(&mut self, now: Duration) {
        if self.startup.ready || !self.startup.has_learned(now, &self.options) {
            return;
        }
        if self.next_offset() >= self.startup.target {
            self.startup.ready = true;
            self.startup.confirmed_peers.clear();
        }
    }
}
