//! Nodes of the service, and this node's base share of each limit.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::share::NodeId;
use crate::share::Options;
use crate::share::Share;

/// Another node of the service.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) instance: Box<str>,
    /// Time at which the node stopped being a member. It still counts as a node until its share is
    /// reassigned.
    pub(crate) gone_since: Option<Duration>,
    /// Whether the node has answered a request of this node since this node began to join.
    pub(crate) acknowledged: bool,
}

/// Whether this node may use its base share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JoinState {
    /// Some members may not count this node when they compute their base share.
    Joining {
        /// Time since which every member has acknowledged this node.
        acknowledged_since: Option<Duration>,
    },
    /// Every member counts this node.
    Joined,
}

impl JoinState {
    pub(crate) fn has_base_share(self, now: Duration, options: &Options) -> bool {
        match self {
            JoinState::Joining {
                acknowledged_since: None,
            } => false,
            JoinState::Joining {
                acknowledged_since: Some(since),
            } => now >= since + options.join_delay,
            JoinState::Joined => true,
        }
    }
}

impl Share {
    /// Sets the instances of the nodes that are members of the service; that of this node may be among them.
    ///
    /// The base share falls at once when a node joins, and rises only after [`Options::reassign_delay`] when
    /// one is gone.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// share.set_members(Duration::ZERO, ["ledger-1", "ledger-2"]);
    /// assert!(share.node("ledger-2").is_some());
    /// assert!(share.node("ledger-1").is_none(), "only other nodes have an id");
    /// ```
    pub fn set_members<'a>(&mut self, now: Duration, instances: impl IntoIterator<Item = &'a str>) {
        self.refill(now);
        let mut present: BTreeSet<&str> = instances.into_iter().collect();
        present.remove(&*self.instance);
        for peer in self.peers.values_mut() {
            match present.remove(&*peer.instance) {
                true => peer.gone_since = None,
                false => peer.gone_since = peer.gone_since.or(Some(now)),
            }
        }
        for instance in present {
            self.peers.insert(Peer {
                instance: instance.into(),
                gone_since: None,
                acknowledged: false,
            });
        }
        self.update_join_state(now);
    }

    /// Returns the id of another node by its instance, or `None` if it is unknown.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// assert_eq!(share.node("ledger-2"), None);
    /// ```
    pub fn node(&self, instance: &str) -> Option<NodeId> {
        let mut peers = self.peers.iter();
        let found = peers.find(|(_, peer)| &*peer.instance == instance);
        found.map(|(id, _)| id)
    }

    /// Returns the instance of another node, for example that of the receiver of a message.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// share.set_members(Duration::ZERO, ["ledger-2"]);
    /// let node = share.node("ledger-2").unwrap();
    /// assert_eq!(share.instance(node), Some("ledger-2"));
    /// ```
    pub fn instance(&self, node: NodeId) -> Option<&str> {
        self.peers.get(node).map(|peer| &*peer.instance)
    }

    /// Returns the number of nodes among which limits are divided.
    pub(crate) fn node_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the base share of this node at `now`, as a fraction of each limit.
    pub(crate) fn base_fraction(&self, now: Duration) -> f64 {
        let tick_overdue = now.saturating_sub(self.last_tick) > self.options.max_tick_gap;
        if tick_overdue || !self.join_state.has_base_share(now, &self.options) {
            return 0.0;
        }
        1.0 / self.node_count() as f64
    }

    /// Returns whether this node may use its base share. A node may not while it joins.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// assert!(!share.has_base_share(Duration::ZERO));
    /// ```
    pub fn has_base_share(&self, now: Duration) -> bool {
        self.join_state.has_base_share(now, &self.options)
    }

    /// Returns whether this node has joined: it has used its base share since its latest tick at least. A call that is
    /// offered between the begin of the base share and that tick finds no token yet.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// assert!(!share.has_joined());
    /// ```
    pub fn has_joined(&self) -> bool {
        self.join_state == JoinState::Joined
    }

    /// Makes this node join again if it did not tick for longer than [`Options::max_tick_gap`], because the
    /// others may have reassigned its share.
    pub(crate) fn check_tick_gap(&mut self, now: Duration) {
        if now.saturating_sub(self.last_tick) <= self.options.max_tick_gap {
            return;
        }
        self.join_state = JoinState::Joining {
            acknowledged_since: None,
        };
        for peer in self.peers.values_mut() {
            peer.acknowledged = false;
        }
    }

    /// Notes when every member has acknowledged this node. The node has joined when that was
    /// [`Options::join_delay`] ago.
    pub(crate) fn update_join_state(&mut self, now: Duration) {
        if self.join_state.has_base_share(now, &self.options) {
            self.join_state = JoinState::Joined;
        }
        let JoinState::Joining { acknowledged_since } = &mut self.join_state else {
            return;
        };
        let mut present = self.peers.values().filter(|p| p.gone_since.is_none());
        *acknowledged_since = match present.all(|peer| peer.acknowledged) {
            true => acknowledged_since.or(Some(now)),
            false => None,
        };
    }

    /// Removes nodes that have been gone for the reassign delay, so that their share is divided among the
    /// others.
    pub(crate) fn remove_gone_nodes(&mut self, now: Duration) {
        let delay = match self.is_majority() {
            true => self.options.reassign_delay,
            false => self.options.minority_reassign_delay,
        };
        self.peers
            .retain(|_, peer| peer.gone_since.is_none_or(|since| now < since + delay));
    }

    /// Returns whether the present nodes are more than half of the counted ones, or exactly half of them
    /// including the one with the first name in sort order.
    fn is_majority(&self) -> bool {
        let mut present = 1;
        let mut first = (&*self.instance, true);
        for peer in self.peers.values() {
            let is_present = peer.gone_since.is_none();
            present += usize::from(is_present);
            first = first.min((&*peer.instance, is_present));
        }
        let node_count = self.node_count();
        2 * present > node_count || (2 * present == node_count && first.1)
    }
}
