//! The share of one node, and the bounds on overshoot.
//!
//! # Bounds
//!
//! Let `L` be a limit in calls per second, `n` the number of nodes of the service and *the sum* the total of
//! [`Share::rate`] over all nodes that run. The bounds hold while clocks of any two nodes drift apart by
//! less than [`Options::margin`] / [`Options::grant`] (5 % by default). Messages may be lost, repeated,
//! delayed without bound and reordered: that only leaves share unused.
//!
//! - **Steady state:** the sum is at most `L`. A node grants only from its base share `L / n` and lowers its
//!   own rate before the grant leaves; the taker counts the grant from the time when it asked, the giver from
//!   the later time when it answered, plus the margin. All nodes together admit at most
//!   `L * (t + burst) + n` calls in any time `t`.
//! - **Join:** the sum is at most `L`, if a node learns of all others within [`Options::settle`] after the
//!   last node it knows has acknowledged it (or after its first tick, when it knows none). Each pair of nodes that do not know each other after that adds
//!   at most the base share of one, until membership reaches them.
//! - **Leave or crash:** the sum is at most `L`. The share of a node that is gone stays unused for
//!   [`Options::hold`].
//! - **Partition:** the sum is at most `L` until [`Options::hold`] has passed, then at most `1.5 * L` until
//!   [`Options::minority_hold`] has passed: only the side with the majority of the counted nodes takes over
//!   the others' share. If the larger side splits again before the first partition heals, each such split
//!   adds at most `0.5 * L`. After `minority_hold`, at most `L` for each side.
//!   A node that joins during the partition counts for the side that it can reach, so that both sides can
//!   have a majority; then the bound is `L` for each side.
//! - **Pause of a node:** the sum is at most `L`. A grant that expired during the pause is not used after
//!   it; a node that did not tick for longer than [`Options::pause`] joins anew. A call whose time was read
//!   before the pause can still be admitted after it.
//! - **Change of the limit:** while nodes apply different versions, the sum is at most the larger limit;
//!   grants made under it last [`Options::grant`] longer.

use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::limit::Limit;
use crate::members::Peer;
use crate::members::Standing;

new_key_type! {
    /// The limit of one customer's rank.
    pub struct LimitId;

    /// Another node of the service.
    pub struct NodeId;
}

/// Timing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Time between two calls of [`Share::tick`].
    pub tick: Duration,
    /// How long a grant holds.
    pub grant: Duration,
    /// Time after the end of a grant at which its giver uses that share again.
    pub margin: Duration,
    /// Time after the last acknowledgement at which a new node uses its base share. At least `grant` plus
    /// `margin`, so that grants made before the node was counted have ended.
    pub settle: Duration,
    /// Time for which the share of a node that is gone stays unused.
    pub hold: Duration,
    /// The same on the smaller side of a partition.
    pub minority_hold: Duration,
    /// Time without a tick after which the node joins anew. Less than `hold`.
    pub pause: Duration,
    /// Time whose tokens the bucket holds.
    pub burst: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            tick: Duration::from_millis(200),
            grant: Duration::from_secs(2),
            margin: Duration::from_millis(100),
            settle: Duration::from_secs(3),
            hold: Duration::from_secs(30),
            minority_hold: Duration::from_secs(2 * 60 * 60),
            pause: Duration::from_secs(10),
            burst: Duration::from_millis(100),
        }
    }
}

/// The share of one node in the limits of one service.
#[derive(Debug, Clone)]
pub struct Share {
    pub(crate) options: Options,
    pub(crate) instance: Box<str>,
    pub(crate) peers: SlotMap<NodeId, Peer>,
    pub(crate) limits: SlotMap<LimitId, Limit>,
    pub(crate) standing: Standing,
    pub(crate) last_tick: Duration,
    pub(crate) next_grant: u64,
}

impl Share {
    /// Makes the share of a node that starts at `now`; it is zero until the other nodes have acknowledged
    /// the node or granted it some.
    ///
    /// `incarnation` must differ from those that the instance had before, because grants are identified by
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
            standing: Standing::Joining { since: None },
            last_tick: now,
            next_grant: u64::from(incarnation) << 32,
        }
    }

    /// Sets a limit in calls per second over all nodes, and returns its key.
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

    /// Removes a limit; [`admit`](Share::admit) refuses its key from then on.
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

    /// Returns the key of a limit.
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

    /// Counts one offered call and returns whether it is admitted.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// let fees = share.set_limit(Duration::ZERO, "association", "fee", 200.0);
    /// assert!(!share.admit(Duration::ZERO, fees));
    /// ```
    pub fn admit(&mut self, now: Duration, limit: LimitId) -> bool {
        let standing = self.standing;
        let part = self.base_part(now);
        let Some(limit) = self.limits.get_mut(limit) else {
            return false;
        };
        limit.meter.count();
        let had_base = standing.has_base(limit.refilled_at, &self.options);
        let base = if had_base { part } else { 0.0 } * limit.per_second;
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
            Some(limit) => limit.rate(now, self.base_part(now) * limit.per_second),
            None => 0.0,
        }
    }

    /// Returns the rate that this node has given to others at `now`, in calls per second.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// let fees = share.set_limit(Duration::ZERO, "association", "fee", 200.0);
    /// assert_eq!(share.given(Duration::ZERO, fees), 0.0);
    /// ```
    pub fn given(&self, now: Duration, limit: LimitId) -> f64 {
        match self.limits.get(limit) {
            Some(limit) => limit.given_to(now, |_| true),
            None => 0.0,
        }
    }

    /// Returns the measured rate of offered calls, in calls per second.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// let fees = share.set_limit(Duration::ZERO, "association", "fee", 200.0);
    /// assert_eq!(share.offered(fees), 0.0);
    /// ```
    pub fn offered(&self, limit: LimitId) -> f64 {
        match self.limits.get(limit) {
            Some(limit) => limit.meter.rate(),
            None => 0.0,
        }
    }

    /// Brings every bucket up to `now`, before anything changes a rate.
    pub(crate) fn refill(&mut self, now: Duration) {
        let standing = self.standing;
        let part = self.base_part(now);
        for limit in self.limits.values_mut() {
            let had_base = standing.has_base(limit.refilled_at, &self.options);
            let base = if had_base { part } else { 0.0 } * limit.per_second;
            limit.refill(now, base, self.options.burst);
        }
    }
}
