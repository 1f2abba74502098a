//! State of one limit on one node.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::bucket::TokenBucket;
use crate::meter::RateMeter;
use crate::share::NodeId;

/// Grant that this node issued to another one. Rates are in calls per second.
#[derive(Debug, Clone, Copy)]
pub(crate) struct IssuedGrant {
    pub(crate) rate: f64,
    /// Time from which on this node uses the granted rate itself again.
    pub(crate) reclaim_at: Duration,
}

/// Grant that this node received from another one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReceivedGrant {
    pub(crate) rate: f64,
    pub(crate) requested_at: Duration,
    pub(crate) expires_at: Duration,
}

/// A request that has not been answered yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingRequest {
    pub(crate) to: NodeId,
    pub(crate) sent_at: Duration,
}

/// Backoff for requests to a node that granted nothing.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Refusal {
    pub(crate) retry_at: Duration,
    pub(crate) backoff: Duration,
}

/// Round of requests to the other nodes, one at a time, until the demand is covered.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestRound {
    pub(crate) remaining: VecDeque<NodeId>,
    pub(crate) last_request_at: Duration,
}

#[derive(Debug, Clone)]
pub(crate) struct Limit {
    pub(crate) customer: Box<str>,
    pub(crate) rank: Box<str>,
    /// Limit over all nodes, in calls per second.
    pub(crate) per_second: f64,
    /// Issued grants by grantee and grant id. A grantee uses only one grant of this node at a time, so
    /// only the largest counts.
    pub(crate) issued: BTreeMap<(NodeId, u64), IssuedGrant>,
    /// Received grants by grantor.
    pub(crate) received: BTreeMap<NodeId, ReceivedGrant>,
    /// Pending requests by grant id.
    pub(crate) pending: BTreeMap<u64, PendingRequest>,
    /// Nodes that requested a grant, with the time of their last request.
    pub(crate) requesters: BTreeMap<NodeId, Duration>,
    pub(crate) round: RequestRound,
    pub(crate) refusals: BTreeMap<NodeId, Refusal>,
    pub(crate) meter: RateMeter,
    pub(crate) bucket: TokenBucket,
    /// Time up to which the bucket was refilled.
    pub(crate) refilled_at: Duration,
}

impl Limit {
    pub(crate) fn new(now: Duration, customer: &str, rank: &str, per_second: f64) -> Self {
        Limit {
            customer: customer.into(),
            rank: rank.into(),
            per_second,
            issued: BTreeMap::new(),
            received: BTreeMap::new(),
            pending: BTreeMap::new(),
            requesters: BTreeMap::new(),
            round: RequestRound::default(),
            refusals: BTreeMap::new(),
            meter: RateMeter::new(now),
            bucket: TokenBucket::default(),
            refilled_at: now,
        }
    }

    /// Returns the rate of the issued grants that count at `now`, over the grantees for which `includes`
    /// returns true.
    pub(crate) fn issued_rate(&self, now: Duration, includes: impl Fn(NodeId) -> bool) -> f64 {
        let mut largest: BTreeMap<NodeId, f64> = BTreeMap::new();
        for ((node, _), issued) in &self.issued {
            if issued.reclaim_at <= now || !includes(*node) {
                continue;
            }
            let rate = largest.entry(*node).or_default();
            *rate = rate.max(issued.rate);
        }
        largest.values().sum()
    }

    /// Returns the rate of the received grants that are valid at `at`.
    pub(crate) fn received_rate(&self, at: Duration) -> f64 {
        let in_force = self
            .received
            .values()
            .filter(|received| received.expires_at > at);
        in_force.map(|received| received.rate).sum()
    }

    /// Returns the rate at which this node may admit calls at `now`; `base` is its base share.
    pub(crate) fn rate(&self, now: Duration, base: f64) -> f64 {
        (base - self.issued_rate(now, |_| true)).max(0.0) + self.received_rate(now)
    }

    /// Refills the bucket up to `now`; `base` is the smaller of the base shares before and now.
    ///
    /// Grants that count at the start of the interval count for all of it, so that a grant that this node
    /// reclaims in between does not count as its own too early.
    pub(crate) fn refill(&mut self, now: Duration, base: f64, burst: Duration) {
        let from = self.refilled_at;
        let elapsed = now.saturating_sub(from).as_secs_f64();
        let own = (base - self.issued_rate(from, |_| true)).max(0.0);
        let mut tokens = own * elapsed;
        for received in self.received.values() {
            let used = received.expires_at.min(now).saturating_sub(from);
            tokens += received.rate * used.as_secs_f64();
        }
        self.refilled_at = self.refilled_at.max(now);
        let rate = self.rate(now, base);
        self.bucket.refill(tokens, rate, burst.as_secs_f64());
    }

    /// Removes what has expired at `now`. A request expires after `request_lifetime`; an answer that arrives
    /// later is ignored.
    pub(crate) fn expire(&mut self, now: Duration, request_lifetime: Duration) {
        self.issued.retain(|_, issued| issued.reclaim_at > now);
        self.received
            .retain(|_, received| received.expires_at > now);
        self.pending
            .retain(|_, pending| pending.sent_at.saturating_add(request_lifetime) > now);
        self.requesters
            .retain(|_, requested_at| requested_at.saturating_add(request_lifetime) > now);
        self.refusals
            .retain(|_, refusal| refusal.retry_at.saturating_add(request_lifetime) > now);
    }
}
