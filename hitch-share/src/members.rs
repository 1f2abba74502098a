//! Nodes of the service, and the part of each limit that is this node's own.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::share::NodeId;
use crate::share::Options;
use crate::share::Share;

/// Another node of the service.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) instance: Box<str>,
    /// Time since which the node is not a member any more; it still counts until its share is released.
    pub(crate) gone_since: Option<Duration>,
    /// Whether the node has answered a request of this one since this one began to join.
    pub(crate) acknowledged: bool,
}

/// Whether this node may use its base share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Some members may not count this node yet.
    Joining {
        /// Time since which every member has acknowledged this node.
        since: Option<Duration>,
    },
    /// Every member counts this node.
    Settled,
}

impl Standing {
    pub(crate) fn has_base(self, now: Duration, options: &Options) -> bool {
        match self {
            Standing::Joining { since: None } => false,
            Standing::Joining { since: Some(since) } => now >= since + options.settle,
            Standing::Settled => true,
        }
    }
}

impl Share {
    /// Takes over the instances of the service's present nodes; this node's own may be among them.
    ///
    /// The base share falls at once when a node is new, and rises only after [`Options::hold`] when one is
    /// gone.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// share.set_members(Duration::ZERO, ["ledger-1", "ledger-2"]);
    /// assert!(share.node("ledger-2").is_some());
    /// assert!(share.node("ledger-1").is_none(), "only other nodes have a key");
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
        self.check_acknowledged(now);
    }

    /// Returns the key of another node.
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

    /// Returns the instance of another node, to which a message is to be sent.
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

    /// Number of nodes among which limits are divided.
    pub(crate) fn counted(&self) -> usize {
        self.peers.len() + 1
    }

    /// Part of each limit that is this node's own at `now`.
    pub(crate) fn base_part(&self, now: Duration) -> f64 {
        let paused = now.saturating_sub(self.last_tick) > self.options.pause;
        if paused || !self.standing.has_base(now, &self.options) {
            return 0.0;
        }
        1.0 / self.counted() as f64
    }

    /// Returns whether this node may use its base share, which a node that joins may not yet.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let share = hitch_share::Share::new(Duration::ZERO, "ledger-1", 1, Default::default());
    /// assert!(!share.has_base_share(Duration::ZERO));
    /// ```
    pub fn has_base_share(&self, now: Duration) -> bool {
        self.standing.has_base(now, &self.options)
    }

    /// Makes this node join anew if it did not tick for too long, because the others may have released its
    /// share.
    pub(crate) fn check_pause(&mut self, now: Duration) {
        if now.saturating_sub(self.last_tick) <= self.options.pause {
            return;
        }
        self.standing = Standing::Joining { since: None };
        for peer in self.peers.values_mut() {
            peer.acknowledged = false;
        }
    }

    /// Notes when every member has acknowledged this node, and when that was long enough ago.
    pub(crate) fn check_acknowledged(&mut self, now: Duration) {
        if self.standing.has_base(now, &self.options) {
            self.standing = Standing::Settled;
        }
        let Standing::Joining { since } = &mut self.standing else {
            return;
        };
        let mut present = self.peers.values().filter(|p| p.gone_since.is_none());
        *since = match present.all(|peer| peer.acknowledged) {
            true => since.or(Some(now)),
            false => None,
        };
    }

    /// Stops counting nodes that have been gone for long enough.
    pub(crate) fn release_gone(&mut self, now: Duration) {
        let hold = match self.is_majority() {
            true => self.options.hold,
            false => self.options.minority_hold,
        };
        self.peers
            .retain(|_, peer| peer.gone_since.is_none_or(|since| now < since + hold));
    }

    /// Whether the present nodes are more than half of the counted ones, or half of them with the first in
    /// the order of their names.
    fn is_majority(&self) -> bool {
        let mut present = 1;
        let mut first = (&*self.instance, true);
        for peer in self.peers.values() {
            let is_present = peer.gone_since.is_none();
            present += usize::from(is_present);
            first = first.min((&*peer.instance, is_present));
        }
        let counted = self.counted();
        2 * present > counted || (2 * present == counted && first.1)
    }
}
