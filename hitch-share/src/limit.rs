//! One limit as one node sees it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::bucket::Bucket;
use crate::meter::Meter;
use crate::share::NodeId;

/// Share that this node gave away.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Given {
    pub(crate) rate: f64,
    pub(crate) returns_at: Duration,
}

/// Share that this node was given.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Taken {
    pub(crate) rate: f64,
    pub(crate) asked_at: Duration,
    pub(crate) expires_at: Duration,
}

/// A request whose answer is outstanding.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Asked {
    pub(crate) to: NodeId,
    pub(crate) at: Duration,
}

/// A node that had nothing to spare is asked again only after a pause.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Refusal {
    pub(crate) ask_again: Duration,
    pub(crate) pause: Duration,
}

/// Requests to the other nodes, one after another, until the demand is covered.
#[derive(Debug, Clone, Default)]
pub(crate) struct Round {
    pub(crate) remaining: VecDeque<NodeId>,
    pub(crate) last_asked: Duration,
}

#[derive(Debug, Clone)]
pub(crate) struct Limit {
    pub(crate) customer: Box<str>,
    pub(crate) rank: Box<str>,
    /// Calls per second over all nodes.
    pub(crate) per_second: f64,
    /// Grants to each node by id. Only one grant of a node is in use at its taker, so the largest counts.
    pub(crate) given: BTreeMap<(NodeId, u64), Given>,
    pub(crate) taken: BTreeMap<NodeId, Taken>,
    pub(crate) asked: BTreeMap<u64, Asked>,
    /// Nodes that asked, with the time of their last request.
    pub(crate) takers: BTreeMap<NodeId, Duration>,
    pub(crate) round: Round,
    pub(crate) refusals: BTreeMap<NodeId, Refusal>,
    pub(crate) meter: Meter,
    pub(crate) bucket: Bucket,
    pub(crate) refilled_at: Duration,
}

impl Limit {
    pub(crate) fn new(now: Duration, customer: &str, rank: &str, per_second: f64) -> Self {
        Limit {
            customer: customer.into(),
            rank: rank.into(),
            per_second,
            given: BTreeMap::new(),
            taken: BTreeMap::new(),
            asked: BTreeMap::new(),
            takers: BTreeMap::new(),
            round: Round::default(),
            refusals: BTreeMap::new(),
            meter: Meter::new(now),
            bucket: Bucket::default(),
            refilled_at: now,
        }
    }

    /// Rate given away at `now` to nodes for which `counts` holds.
    pub(crate) fn given_to(&self, now: Duration, counts: impl Fn(NodeId) -> bool) -> f64 {
        let mut largest: BTreeMap<NodeId, f64> = BTreeMap::new();
        for ((node, _), given) in &self.given {
            if given.returns_at <= now || !counts(*node) {
                continue;
            }
            let rate = largest.entry(*node).or_default();
            *rate = rate.max(given.rate);
        }
        largest.values().sum()
    }

    /// Rate of the grants that are in force at `at`.
    pub(crate) fn taken_at(&self, at: Duration) -> f64 {
        let in_force = self.taken.values().filter(|taken| taken.expires_at > at);
        in_force.map(|taken| taken.rate).sum()
    }

    /// Rate at which this node may admit, given its base share at `now`.
    pub(crate) fn rate(&self, now: Duration, base: f64) -> f64 {
        (base - self.given_to(now, |_| true)).max(0.0) + self.taken_at(now)
    }

    /// Moves the bucket on to `now`; `base` is the smaller of the base shares before and now.
    ///
    /// What was given away at the start of the interval counts for all of it, so that a grant that returns in
    /// between is not counted too early.
    pub(crate) fn refill(&mut self, now: Duration, base: f64, burst: Duration) {
        let from = self.refilled_at;
        let elapsed = now.saturating_sub(from).as_secs_f64();
        let own = (base - self.given_to(from, |_| true)).max(0.0);
        let mut tokens = own * elapsed;
        for taken in self.taken.values() {
            let used = taken.expires_at.min(now).saturating_sub(from);
            tokens += taken.rate * used.as_secs_f64();
        }
        self.refilled_at = self.refilled_at.max(now);
        let rate = self.rate(now, base);
        self.bucket.refill(tokens, rate, burst.as_secs_f64());
    }

    /// Drops what is over at `now`; `ask_lives` is the time for which an answer is worth waiting.
    pub(crate) fn expire(&mut self, now: Duration, ask_lives: Duration) {
        self.given.retain(|_, given| given.returns_at > now);
        self.taken.retain(|_, taken| taken.expires_at > now);
        self.asked
            .retain(|_, asked| asked.at.saturating_add(ask_lives) > now);
        self.takers
            .retain(|_, heard| heard.saturating_add(ask_lives) > now);
        self.refusals
            .retain(|_, refusal| refusal.ask_again.saturating_add(ask_lives) > now);
    }
}
