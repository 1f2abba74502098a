//! Exchange of requests and grants, by which share moves between nodes.

use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::limit::IssuedGrant;
use crate::limit::PendingRequest;
use crate::limit::ReceivedGrant;
use crate::message::Command;
use crate::message::Demand;
use crate::message::Message;
use crate::share::LimitId;
use crate::share::NodeId;
use crate::share::Share;

/// Share that a node wants, as a multiple of its offered rate, so that it requests more before a rising
/// demand exceeds its share.
const HEADROOM: f64 = 1.2;

/// Fraction of its base share that a node never grants to others, so that it can admit its own first calls.
const RETAINED_FRACTION: f64 = 0.05;

/// Smallest grant, as a fraction of the grantor's base share.
const MIN_GRANT_FRACTION: f64 = 0.01;

/// Number of ticks before the expiry of a grant at which the grantee requests a new one.
const RENEWAL_TICKS: u32 = 4;

impl Share {
    /// Expires grants, updates the measured rates and starts due requests at `now`. Must be called every
    /// [`Options::tick`](crate::Options::tick).
    ///
    /// ```
    /// use std::time::Duration;
    /// use rand::SeedableRng;
    ///
    /// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// share.set_limit(Duration::ZERO, "association", "fee", 200.0);
    /// share.set_members(Duration::ZERO, ["ledger-2"]);
    /// let commands = share.tick(Duration::ZERO, &mut rng);
    /// assert_eq!(commands.len(), 1, "a new node requests an acknowledgement from the others");
    /// ```
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Command> {
        self.refill(now);
        self.check_tick_gap(now);
        self.last_tick = self.last_tick.max(now);
        self.remove_gone_nodes(now);
        self.update_join_state(now);
        for limit in self.limits.values_mut() {
            limit.expire(now, self.options.grant_lifetime);
            limit.meter.end_period(now);
        }
        let mut commands = self.request_acknowledgements(now);
        for id in self.limits.keys().collect::<Vec<_>>() {
            self.start_request_round(now, id, rng);
            let awaiting_reply = now < self.limits[id].round.last_request_at + self.options.tick;
            if !awaiting_reply {
                commands.extend(self.request_next(now, id));
            }
        }
        commands
    }

    /// Handles a message from another node and returns the messages to send: the reply to a request, or the
    /// next request after a reply. Ignores messages from unknown nodes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_share::Message;
    ///
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// let commands = share.receive(Duration::ZERO, "unknown", Message::Request(Vec::new()));
    /// assert!(commands.is_empty(), "a node that is not counted is not acknowledged");
    /// ```
    pub fn receive(&mut self, now: Duration, from: &str, message: Message) -> Vec<Command> {
        let Some(from) = self.node(from) else {
            return Vec::new();
        };
        self.refill(now);
        match message {
            Message::Request(demands) => {
                let grants: Vec<Demand> = demands
                    .into_iter()
                    .filter_map(|demand| self.grant(now, from, demand))
                    .collect();
                if grants.is_empty() {
                    return Vec::new();
                }
                vec![Command::Send {
                    to: from,
                    message: Message::Reply(grants),
                }]
            }
            Message::Reply(grants) => {
                let mut commands = Vec::new();
                for grant in grants {
                    commands.extend(self.receive_grant(now, from, &grant));
                }
                commands
            }
        }
    }

    /// Returns the reply to a demand of `from`, which may grant nothing. The rate of this node falls by
    /// the granted rate before the reply is sent.
    fn grant(&mut self, now: Duration, from: NodeId, demand: Demand) -> Option<Demand> {
        let id = self.try_find(&demand.customer, &demand.rank)?;
        let base = self.base_fraction(now) * self.limits[id].per_second;
        let limit = &mut self.limits[id];
        if demand.offered > 0.0 {
            limit.requesters.insert(from, now);
        }
        let key = (from, demand.grant_id);
        let granted = match limit.issued.get(&key) {
            // A duplicate of a request is not answered: its grant already began with the first one.
            Some(_) => return None,
            None => {
                let retained = (limit.meter.rate() * HEADROOM).max(base * RETAINED_FRACTION);
                let spare = (base - retained).max(0.0);
                let equal_part = spare / limit.requesters.len().max(1) as f64;
                let available = spare - limit.issued_rate(now, |node| node != from);
                equal_part.min(available).min(demand.offered)
            }
        };
        let granted = match granted >= base * MIN_GRANT_FRACTION && granted > 0.0 {
            true => granted,
            false => 0.0,
        };
        if granted > 0.0 {
            let reclaim_at = now + self.options.grant_lifetime + self.options.reclaim_margin;
            let rate = granted;
            limit.issued.insert(key, IssuedGrant { rate, reclaim_at });
        }
        Some(Demand {
            offered: limit.meter.rate(),
            granted,
            grant_lifetime: self.options.grant_lifetime,
            ..demand
        })
    }

    /// Records a received grant, and requests one from the next node if the demand is not covered yet.
    fn receive_grant(&mut self, now: Duration, from: NodeId, grant: &Demand) -> Option<Command> {
        let id = self.try_find(&grant.customer, &grant.rank)?;
        let limit = &mut self.limits[id];
        let request = *limit.pending.get(&grant.grant_id)?;
        if request.to != from {
            return None;
        }
        limit.pending.remove(&grant.grant_id);
        let expires_at = request.sent_at + grant.grant_lifetime;
        if grant.granted > 0.0 {
            limit.refusals.remove(&from);
        } else {
            let refusal = limit.refusals.entry(from).or_default();
            refusal.backoff =
                (refusal.backoff * 2).clamp(self.options.tick, self.options.grant_lifetime);
            refusal.retry_at = now + refusal.backoff;
        }
        let is_newer = limit
            .received
            .get(&from)
            .is_none_or(|t| t.requested_at < request.sent_at);
        let is_valid = grant.granted > 0.0 && grant.granted <= limit.per_second;
        if is_newer && is_valid && expires_at > now {
            let received = ReceivedGrant {
                rate: grant.granted,
                requested_at: request.sent_at,
                expires_at,
            };
            limit.received.insert(from, received);
        }
        self.peers[from].acknowledged = true;
        self.update_join_state(now);
        self.request_next(now, id)
    }

    /// Returns a request to every member that has not acknowledged this node yet.
    fn request_acknowledgements(&mut self, now: Duration) -> Vec<Command> {
        let peers = self.peers.iter();
        let unacknowledged: Vec<NodeId> = peers
            .filter(|(_, peer)| peer.gone_since.is_none() && !peer.acknowledged)
            .map(|(node, _)| node)
            .collect();
        let mut commands = Vec::new();
        for to in unacknowledged {
            let mut demands = Vec::new();
            for id in self.limits.keys().collect::<Vec<_>>() {
                let unmet = self.unmet_rate(now, id, Some(to));
                demands.push(self.new_demand(now, id, to, unmet));
            }
            if demands.is_empty() {
                continue;
            }
            let message = Message::Request(demands);
            commands.push(Command::Send { to, message });
        }
        commands
    }

    /// Starts a round of requests if the demand is not covered, and ends the current one if it is. Nodes
    /// that already issued a grant to this one come first, so that their grants are renewed.
    fn start_request_round(&mut self, now: Duration, id: LimitId, rng: &mut impl Rng) {
        if !self.needs_more(now, id, None) {
            self.limits[id].round.remaining.clear();
            return;
        }
        if !self.limits[id].round.remaining.is_empty() {
            return;
        }
        let present = self.peers.iter().filter(|(_, p)| p.gone_since.is_none());
        let mut order: Vec<NodeId> = present.map(|(node, _)| node).collect();
        order.shuffle(rng);
        let limit = &mut self.limits[id];
        order.sort_by_key(|node| !limit.received.contains_key(node));
        limit.round.remaining = order.into();
    }

    /// Returns the request to the next node of the round, skipping nodes whose grant lasts long enough
    /// and nodes that recently granted nothing.
    fn request_next(&mut self, now: Duration, id: LimitId) -> Option<Command> {
        while let Some(to) = self.limits[id].round.remaining.pop_front() {
            let is_present = self.peers.get(to).is_some_and(|p| p.gone_since.is_none());
            let is_due = !self.has_lasting_grant(now, id, to) && !self.is_backing_off(now, id, to);
            if !is_present || !is_due || !self.needs_more(now, id, Some(to)) {
                continue;
            }
            let unmet = self.unmet_rate(now, id, Some(to));
            self.limits[id].round.last_request_at = now;
            let message = Message::Request(vec![self.new_demand(now, id, to, unmet)]);
            return Some(Command::Send { to, message });
        }
        None
    }

    fn new_demand(&mut self, now: Duration, id: LimitId, to: NodeId, offered: f64) -> Demand {
        let grant_id = self.next_grant_id;
        self.next_grant_id += 1;
        let limit = &mut self.limits[id];
        limit
            .pending
            .insert(grant_id, PendingRequest { to, sent_at: now });
        Demand {
            customer: limit.customer.clone(),
            rank: limit.rank.clone(),
            offered,
            granted: 0.0,
            grant_id,
            grant_lifetime: Duration::ZERO,
        }
    }

    /// Returns whether `node` recently granted nothing and must not be sent a request yet.
    fn is_backing_off(&self, now: Duration, id: LimitId, node: NodeId) -> bool {
        let refusal = self.limits[id].refusals.get(&node);
        refusal.is_some_and(|refusal| now < refusal.retry_at)
    }

    /// Returns whether the grant of `node` is still valid after [`RENEWAL_TICKS`].
    fn has_lasting_grant(&self, now: Duration, id: LimitId, node: NodeId) -> bool {
        let horizon = now + self.options.tick * RENEWAL_TICKS;
        let received = self.limits[id].received.get(&node);
        received.is_some_and(|grant| grant.expires_at > horizon)
    }

    /// Returns the wanted rate that the base share and the grants of nodes other than `excluded` do not cover
    /// after [`RENEWAL_TICKS`], in calls per second.
    fn unmet_rate(&self, now: Duration, id: LimitId, excluded: Option<NodeId>) -> f64 {
        let limit = &self.limits[id];
        let horizon = now + self.options.tick * RENEWAL_TICKS;
        let base = self.base_fraction(now) * limit.per_second;
        let mut covered = (base - limit.issued_rate(now, |_| true)).max(0.0);
        for (node, grant) in &limit.received {
            if grant.expires_at > horizon && Some(*node) != excluded {
                covered += grant.rate;
            }
        }
        let wanted = (limit.meter.rate() * HEADROOM).min(limit.per_second);
        (wanted - covered).max(0.0)
    }

    /// Returns whether the unmet rate is large enough for a grant.
    fn needs_more(&self, now: Duration, id: LimitId, excluded: Option<NodeId>) -> bool {
        let min_rate = self.limits[id].per_second / self.node_count() as f64 * MIN_GRANT_FRACTION;
        self.unmet_rate(now, id, excluded) > min_rate
    }
}
