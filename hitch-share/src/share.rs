//! The share of one node, and the bounds on how far all nodes together may exceed a limit.
//!
//! # Bounds
//!
//! Let `L` be a limit in calls per second, `n` the number of nodes of the service and *the sum* the total of
//! [`Share::rate`] over all nodes that run. The bounds hold while the clocks of any two nodes drift apart by
//! less than [`Options::reclaim_margin`] / [`Options::grant_lifetime`] (5 % by default). Messages may be
//! lost, duplicated, delayed without bound and reordered: this only leaves share unused.
//!
//! - **Steady state:** the sum is at most `L`. A node grants only from its base share `L / n` and lowers its
//!   own rate before it sends the grant. The grantee counts the lifetime of the grant from the time at which
//!   it sent the request, the grantor from the later time at which it answered, plus the margin. All nodes
//!   together admit at most `L * (t + burst) + n` calls in any time `t`.
//! - **Join:** the sum is at most `L` if a node learns of all others within [`Options::join_delay`] after the
//!   last node it knows has acknowledged it (or after its first tick, if it knows none). Each pair of nodes
//!   that do not know each other after that adds at most the base share of one of them, until membership
//!   information reaches them.
//! - **Shutdown or crash:** the sum is at most `L`. The share of a node that is gone stays unused for
//!   [`Options::reassign_delay`].
//! - **Partition:** the sum is at most `L` until [`Options::reassign_delay`] has passed, then at most
//!   `1.5 * L` until [`Options::minority_reassign_delay`] has passed: only the side with the majority of the
//!   counted nodes takes over the share of the others. If the larger side splits again before the first
//!   partition heals, each such split adds at most `0.5 * L`. After `minority_reassign_delay`, the sum is at
//!   most `L` for each side.
//!   A node that joins during the partition counts for the side that it can reach, so that both sides can
//!   have a majority; then the bound is `L` for each side.
//! - **Pause of a node:** the sum is at most `L`. A grant that expired during the pause is not used after
//!   it; a node that did not tick for longer than [`Options::max_tick_gap`] joins again. A call whose time
//!   was read before the pause can still be admitted after it.
//! - **Change of the limit:** while nodes apply different versions, the sum is at most the larger limit;
//!   grants made under it last up to [`Options::grant_lifetime`] longer.

use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::limit::Limit;
use crate::members::JoinState;
use crate::members::Peer;

new_key_type! {
    /// Id of the limit for one rank of a customer.
    pub struct LimitId;

    /// Id of another node of the service.
    pub struct NodeId;
}

/// Timing settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Time between two calls of [`Share::tick`].
    pub tick: Duration,
    /// How long a grant is valid.
    pub grant_lifetime: Duration,
    /// Time between the expiry of a grant and its grantor using that share again.
    pub reclaim_margin: Duration,
    /// Time between the last acknowledgement and a new node using its base share. Must be at least
    /// `grant_lifetime` plus `reclaim_margin`, so that grants made before the node was counted have expired.
    pub join_delay: Duration,
    /// Time for which the share of a node that is gone stays unused before it is divided among the others.
    pub reassign_delay: Duration,
    /// The same on the minority side of a partition.
    pub minority_reassign_delay: Duration,
    /// Time without a tick after which the node must join again. Must be less than `reassign_delay`.
    pub max_tick_gap: Duration,
    /// Capacity of the token bucket, as the time in which it fills at the current rate.
    pub burst: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            tick: Duration::from_millis(200),
            grant_lifetime: Duration::from_secs(2),
            reclaim_margin: Duration::from_millis(100),
            join_delay: Duration::from_secs(3),
            reassign_delay: Duration::from_secs(30),
            minority_reassign_delay: Duration::from_secs(2 * 60 * 60),
            max_tick_gap: Duration::from_secs(10),
            burst: Duration::from_millis(100),
        }
    }
}

/// The share of one node in the limits of its service.
#[derive(Debug, Clone)]
pub struct Share {
    pub(crate) options: Options,
    pub(crate) instance: Box<str>,
    pub(crate) peers: SlotMap<NodeId, Peer>,
    pub(crate) limits: SlotMap<LimitId, Limit>,
    pub(crate) join_state: JoinState,
    pub(crate) last_tick: Duration,
    pub(crate) next_grant_id: u64,
}

impl Share {
    /// Creates the share of a node that starts at `now`. It is zero until the other nodes have acknowledged
    /// the node or granted it a part of theirs.
    ///
    /// `incarnation` must differ from all earlier ones of the instance, because grant ids are derived from
    /// it.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// let fees = share.set_limit(Duration::ZERO, "association", "fee", 200.0);
    /// assert_eq!(share.rate(Duration::ZERO, fees), 0.0);
    /// ```
    pub fn new(now: Duration, instance: &str, incarnation: u32, options: Options) -> Self {
        Share {
            options,
            instance: instance.into(),
            peers: SlotMap::with_key(),
            limits: SlotMap::with_key(),
            join_state: JoinState::Joining {
                acknowledged_since: None,
            },
            last_tick: now,
            next_grant_id: u64::from(incarnation) << 32,
        }
    }

    /// Sets a limit in calls per second over all nodes, and returns its id.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// let fees = share.set_limit(Duration::ZERO, "association", "fee", 200.0);
    /// assert_eq!(share.set_limit(Duration::ZERO, "association", "fee", 300.0), fees);
    /// ```
    pub fn set_limit(
        &mut self,
        now: Duration,
        customer: &str,
        rank: &str,
        per_second: f64,
    ) -> LimitId {
        self.refill(now);
        let Some(id) = self.try_find(customer, rank) else {
            return self
                .limits
                .insert(Limit::new(now, customer, rank, per_second));
        };
        self.limits[id].per_second = per_second;
        id
    }

    /// Removes a limit; [`admit`](Share::admit) refuses all calls with its id from then on.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// let fees = share.set_limit(Duration::ZERO, "association", "fee", 200.0);
    /// share.remove_limit(fees);
    /// assert_eq!(share.try_find("association", "fee"), None);
    /// ```
    pub fn remove_limit(&mut self, limit: LimitId) {
        self.limits.remove(limit);
    }

    /// Returns the id of a limit, or `None` if it is not set.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// assert_eq!(share.try_find("association", "fee"), None);
    /// ```
    pub fn try_find(&self, customer: &str, rank: &str) -> Option<LimitId> {
        let mut limits = self.limits.iter();
        let found = limits.find(|(_, limit)| &*limit.customer == customer && &*limit.rank == rank);
        found.map(|(id, _)| id)
    }

    /// Counts one offered call and returns whether it is admitted. A call of an unknown limit is not.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// let fees = share.set_limit(Duration::ZERO, "association", "fee", 200.0);
    /// assert!(!share.admit(Duration::ZERO, fees));
    /// ```
    pub fn admit(&mut self, now: Duration, limit: LimitId) -> bool {
        let join_state = self.join_state;
        let fraction = self.base_fraction(now);
        let Some(limit) = self.limits.get_mut(limit) else {
            return false;
        };
        limit.meter.count_call();
        let had_base_share = join_state.has_base_share(limit.refilled_at, &self.options);
        let base = if had_base_share { fraction } else { 0.0 } * limit.per_second;
        limit.refill(now, base, self.options.burst);
        limit.bucket.try_take()
    }

    /// Returns the rate at which this node admits at `now`, in calls per second.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// let fees = share.set_limit(Duration::ZERO, "association", "fee", 200.0);
    /// assert_eq!(share.rate(Duration::ZERO, fees), 0.0);
    /// ```
    pub fn rate(&self, now: Duration, limit: LimitId) -> f64 {
        match self.limits.get(limit) {
            Some(limit) => limit.rate(now, self.base_fraction(now) * limit.per_second),
            None => 0.0,
        }
    }

    /// Returns the rate that this node has granted to others at `now`, in calls per second.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// let fees = share.set_limit(Duration::ZERO, "association", "fee", 200.0);
    /// assert_eq!(share.issued_rate(Duration::ZERO, fees), 0.0);
    /// ```
    pub fn issued_rate(&self, now: Duration, limit: LimitId) -> f64 {
        match self.limits.get(limit) {
            Some(limit) => limit.issued_rate(now, |_| true),
            None => 0.0,
        }
    }

    /// Returns the average rate of offered calls, in calls per second.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// let fees = share.set_limit(Duration::ZERO, "association", "fee", 200.0);
    /// assert_eq!(share.offered_rate(fees), 0.0);
    /// ```
    pub fn offered_rate(&self, limit: LimitId) -> f64 {
        match self.limits.get(limit) {
            Some(limit) => limit.meter.rate(),
            None => 0.0,
        }
    }

    /// Refills every bucket up to `now`. Must be called before a change of any rate.
    pub(crate) fn refill(&mut self, now: Duration) {
        let join_state = self.join_state;
        let fraction = self.base_fraction(now);
        for limit in self.limits.values_mut() {
            let had_base_share = join_state.has_base_share(limit.refilled_at, &self.options);
            let base = if had_base_share { fraction } else { 0.0 } * limit.per_second;
            limit.refill(now, base, self.options.burst);
        }
    }
}
