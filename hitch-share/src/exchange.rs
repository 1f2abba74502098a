//! Requests for share, and grants.

use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::limit::Asked;
use crate::limit::Given;
use crate::limit::Taken;
use crate::message::Command;
use crate::message::Demand;
use crate::message::Message;
use crate::share::LimitId;
use crate::share::NodeId;
use crate::share::Share;

/// Share that a node wants, as a multiple of what it is offered, so that it notices when demand rises.
const HEADROOM: f64 = 1.2;

/// Part of its base share that a node never gives away, so that its own first calls are served.
const KEPT: f64 = 0.05;

/// Smallest grant, as a part of the giver's base share.
const SMALLEST: f64 = 0.01;

/// Ticks before the end of a grant at which it is asked for anew.
const RENEWAL_TICKS: u32 = 4;

impl Share {
    /// Does what is due at `now`; to be called every [`Options::tick`](crate::Options::tick).
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
    /// assert_eq!(commands.len(), 1, "a new node asks the others to acknowledge it");
    /// ```
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Command> {
        self.refill(now);
        self.check_pause(now);
        self.last_tick = self.last_tick.max(now);
        self.release_gone(now);
        self.check_acknowledged(now);
        for limit in self.limits.values_mut() {
            limit.expire(now, self.options.grant);
            limit.meter.roll(now);
        }
        let mut commands = self.ask_to_be_acknowledged(now);
        for id in self.limits.keys().collect::<Vec<_>>() {
            self.start_round(now, id, rng);
            let waiting = now < self.limits[id].round.last_asked + self.options.tick;
            if !waiting {
                commands.extend(self.ask_next(now, id));
            }
        }
        commands
    }

    /// Takes in a message of another node and returns the answer to it, if any.
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
                    commands.extend(self.take(now, from, &grant));
                }
                commands
            }
        }
    }

    /// Grants what can be spared to `from`, after lowering the own rate by it.
    fn grant(&mut self, now: Duration, from: NodeId, demand: Demand) -> Option<Demand> {
        let id = self.try_find(&demand.customer, &demand.rank)?;
        let base = self.base_part(now) * self.limits[id].per_second;
        let limit = &mut self.limits[id];
        if demand.offered > 0.0 {
            limit.takers.insert(from, now);
        }
        let key = (from, demand.grant_id);
        let granted = match limit.given.get(&key) {
            // The grant began earlier than a repeat of its request, so it is not granted again.
            Some(_) => return None,
            None => {
                let kept = (limit.meter.rate() * HEADROOM).max(base * KEPT);
                let spare = (base - kept).max(0.0);
                let part = spare / limit.takers.len().max(1) as f64;
                let free = spare - limit.given_to(now, |node| node != from);
                part.min(free).min(demand.offered)
            }
        };
        let granted = match granted >= base * SMALLEST && granted > 0.0 {
            true => granted,
            false => 0.0,
        };
        if granted > 0.0 {
            let returns_at = now + self.options.grant + self.options.margin;
            let rate = granted;
            limit.given.insert(key, Given { rate, returns_at });
        }
        Some(Demand {
            offered: limit.meter.rate(),
            granted,
            grant_lifetime: self.options.grant,
            ..demand
        })
    }

    /// Takes a grant and asks the next node if it is not enough.
    fn take(&mut self, now: Duration, from: NodeId, grant: &Demand) -> Option<Command> {
        let id = self.try_find(&grant.customer, &grant.rank)?;
        let limit = &mut self.limits[id];
        let asked = *limit.asked.get(&grant.grant_id)?;
        if asked.to != from {
            return None;
        }
        limit.asked.remove(&grant.grant_id);
        let expires_at = asked.at + grant.grant_lifetime;
        if grant.granted > 0.0 {
            limit.refusals.remove(&from);
        } else {
            let refusal = limit.refusals.entry(from).or_default();
            refusal.pause = (refusal.pause * 2).clamp(self.options.tick, self.options.grant);
            refusal.ask_again = now + refusal.pause;
        }
        let is_newer = limit.taken.get(&from).is_none_or(|t| t.asked_at < asked.at);
        let is_valid = grant.granted > 0.0 && grant.granted <= limit.per_second;
        if is_newer && is_valid && expires_at > now {
            let taken = Taken {
                rate: grant.granted,
                asked_at: asked.at,
                expires_at,
            };
            limit.taken.insert(from, taken);
        }
        self.peers[from].acknowledged = true;
        self.check_acknowledged(now);
        self.ask_next(now, id)
    }

    /// Asks every member that has not acknowledged this node yet.
    fn ask_to_be_acknowledged(&mut self, now: Duration) -> Vec<Command> {
        let peers = self.peers.iter();
        let missing: Vec<NodeId> = peers
            .filter(|(_, peer)| peer.gone_since.is_none() && !peer.acknowledged)
            .map(|(node, _)| node)
            .collect();
        let mut commands = Vec::new();
        for to in missing {
            let mut demands = Vec::new();
            for id in self.limits.keys().collect::<Vec<_>>() {
                let unmet = self.unmet(now, id, Some(to));
                demands.push(self.demand(now, id, to, unmet));
            }
            if demands.is_empty() {
                continue;
            }
            let message = Message::Request(demands);
            commands.push(Command::Send { to, message });
        }
        commands
    }

    /// Starts to ask the other nodes one after another, those whose grants end soon first.
    fn start_round(&mut self, now: Duration, id: LimitId, rng: &mut impl Rng) {
        if !self.is_short(now, id, None) {
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
        order.sort_by_key(|node| !limit.taken.contains_key(node));
        limit.round.remaining = order.into();
    }

    /// Asks the next node of the round that has not granted anything recently.
    fn ask_next(&mut self, now: Duration, id: LimitId) -> Option<Command> {
        while let Some(to) = self.limits[id].round.remaining.pop_front() {
            let is_present = self.peers.get(to).is_some_and(|p| p.gone_since.is_none());
            let is_due = !self.is_fresh(now, id, to) && !self.has_refused(now, id, to);
            if !is_present || !is_due || !self.is_short(now, id, Some(to)) {
                continue;
            }
            let unmet = self.unmet(now, id, Some(to));
            self.limits[id].round.last_asked = now;
            let message = Message::Request(vec![self.demand(now, id, to, unmet)]);
            return Some(Command::Send { to, message });
        }
        None
    }

    fn demand(&mut self, now: Duration, id: LimitId, to: NodeId, offered: f64) -> Demand {
        let grant_id = self.next_grant;
        self.next_grant += 1;
        let limit = &mut self.limits[id];
        limit.asked.insert(grant_id, Asked { to, at: now });
        Demand {
            customer: limit.customer.clone(),
            rank: limit.rank.clone(),
            offered,
            granted: 0.0,
            grant_id,
            grant_lifetime: Duration::ZERO,
        }
    }

    /// Whether `node` had nothing to spare a short time ago.
    fn has_refused(&self, now: Duration, id: LimitId, node: NodeId) -> bool {
        let refusal = self.limits[id].refusals.get(&node);
        refusal.is_some_and(|refusal| now < refusal.ask_again)
    }

    /// Whether the grant of `node` still holds after the next few ticks.
    fn is_fresh(&self, now: Duration, id: LimitId, node: NodeId) -> bool {
        let horizon = now + self.options.tick * RENEWAL_TICKS;
        let taken = self.limits[id].taken.get(&node);
        taken.is_some_and(|taken| taken.expires_at > horizon)
    }

    /// Wanted rate that the base share and the grants of nodes other than `without` do not cover after the
    /// next few ticks.
    fn unmet(&self, now: Duration, id: LimitId, without: Option<NodeId>) -> f64 {
        let limit = &self.limits[id];
        let horizon = now + self.options.tick * RENEWAL_TICKS;
        let base = self.base_part(now) * limit.per_second;
        let mut covered = (base - limit.given_to(now, |_| true)).max(0.0);
        for (node, taken) in &limit.taken {
            if taken.expires_at > horizon && Some(*node) != without {
                covered += taken.rate;
            }
        }
        let wanted = (limit.meter.rate() * HEADROOM).min(limit.per_second);
        (wanted - covered).max(0.0)
    }

    fn is_short(&self, now: Duration, id: LimitId, without: Option<NodeId>) -> bool {
        let smallest = self.limits[id].per_second / self.counted() as f64 * SMALLEST;
        self.unmet(now, id, without) > smallest
    }
}
