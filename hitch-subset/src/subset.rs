//! The known nodes, what is known of the connection to each, and the services that are called.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use slotmap::SlotMap;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

slotmap::new_key_type! {
    /// Identifies a node in a subset.
    pub(crate) struct NodeKey;
}

/// Bounds of the choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Nodes of the own availability zone for each service. With 12, the least loaded of them is as good as the least
    /// loaded of all.
    pub near: usize,
    /// Nodes of all other availability zones for each service, and as many more as the own zone lacks of `near`.
    pub far: usize,
    /// Unreachable nodes of another zone that are retried for a service, so that a zone that is lost as a whole does not
    /// cost a connection attempt for each of its nodes.
    pub far_retries: usize,
    /// Nodes of a zone that follow the store, if there are nodes in other zones.
    pub readers: usize,
    /// Nodes that follow the store if all are in one zone. The second one covers the loss of the first.
    pub readers_of_single_zone: usize,
    /// Most nodes of a zone that try to follow the store while it answers none of them: it charges for such calls, too.
    pub reader_attempts: usize,
    /// Successors and predecessors in the ring of the zone. Two keep the ring whole when one node fails.
    pub neighbours: usize,
    /// Nodes of the zone that get news beside the successors, so that the number of hops grows with the logarithm of
    /// the zone's size.
    pub shortcuts: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            near: 12,
            far: 12,
            far_retries: 4,
            readers: 1,
            readers_of_single_zone: 2,
            reader_attempts: 6,
            neighbours: 2,
            shortcuts: 4,
        }
    }
}

/// What is known of the connection to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// No attempt to connect has ended yet.
    Untried,
    /// Connected, and its backend server accepts calls.
    Serving,
    /// Connected, but its backend server accepts no calls: another node is selected in its place.
    Idle,
    /// The connection ended, and the next attempt has not ended yet. No other node is selected in its place, since
    /// most connections come back at once.
    Lost,
    /// The last attempt to connect failed: another node is selected in its place.
    Unreachable,
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) address: Box<str>,
    pub(crate) zone: Box<str>,
    pub(crate) service: Box<str>,
    pub(crate) reach: Reach,
    pub(crate) lacks_store: bool,
    // Rank of the node among those of its service, as this node orders them.
    pub(crate) order: u64,
    // Position in the ring of its zone, the same for all nodes.
    pub(crate) position: u64,
}

impl Node {
    /// Returns whether the node counts towards the number of nodes of a service.
    pub(crate) fn may_serve(&self) -> bool {
        matches!(self.reach, Reach::Untried | Reach::Serving | Reach::Lost)
    }

    /// Returns whether the node counts as running.
    pub(crate) fn may_run(&self) -> bool {
        self.reach != Reach::Unreachable
    }

    pub(crate) fn is_connected(&self) -> bool {
        matches!(self.reach, Reach::Serving | Reach::Idle)
    }
}

/// The known nodes, and the choice of those to connect to.
#[derive(Debug)]
pub struct Subset {
    pub(crate) own_zone: Box<str>,
    pub(crate) own_position: u64,
    own_seed: u64,
    pub(crate) options: Options,
    pub(crate) nodes: SlotMap<NodeKey, Node>,
    by_address: BTreeMap<Box<str>, NodeKey>,
    pub(crate) wanted: BTreeSet<Box<str>>,
}

impl Subset {
    /// Creates the subset of the node at the address `own`, which knows no other node yet.
    ///
    /// ```
    /// let subset = hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default());
    /// assert!(subset.selected().is_empty());
    /// ```
    pub fn new(own: &str, zone: &str, options: Options) -> Subset {
        let own_hash = xxh3_64(own.as_bytes());
        Subset {
            own_zone: zone.into(),
            own_position: own_hash,
            own_seed: own_hash,
            options,
            nodes: SlotMap::with_key(),
            by_address: BTreeMap::new(),
            wanted: BTreeSet::new(),
        }
    }

    /// Adds a node, or updates its zone and service. Returns whether the selection may have changed.
    ///
    /// ```
    /// let mut subset = hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default());
    /// subset.insert("10.0.0.2:7600", "a", "ledger");
    /// assert_eq!(subset.selected().len(), 1);
    /// ```
    pub fn insert(&mut self, address: &str, zone: &str, service: &str) -> bool {
        if let Some(key) = self.by_address.get(address) {
            let node = &mut self.nodes[*key];
            if *node.zone == *zone && *node.service == *service {
                return false;
            }
            node.zone = zone.into();
            node.service = service.into();
            return true;
        }
        let key = self.nodes.insert(Node {
            address: address.into(),
            zone: zone.into(),
            service: service.into(),
            reach: Reach::Untried,
            lacks_store: false,
            order: xxh3_64_with_seed(address.as_bytes(), self.own_seed),
            position: xxh3_64(address.as_bytes()),
        });
        self.by_address.insert(address.into(), key);
        true
    }

    /// Removes a node.
    ///
    /// ```
    /// hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default()).remove("10.0.0.2:7600");
    /// ```
    pub fn remove(&mut self, address: &str) {
        if let Some(key) = self.by_address.remove(address) {
            self.nodes.remove(key);
        }
    }

    /// Records what is known of the connection to a node. Returns whether the selection may have changed.
    ///
    /// ```
    /// use hitch_subset::Reach;
    /// let mut subset = hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default());
    /// subset.set_reach("10.0.0.2:7600", Reach::Serving);
    /// ```
    pub fn set_reach(&mut self, address: &str, reach: Reach) -> bool {
        let Some(key) = self.by_address.get(address) else {
            return false;
        };
        let node = &mut self.nodes[*key];
        let before = (node.may_serve(), node.may_run());
        node.reach = reach;
        before != (node.may_serve(), node.may_run())
    }

    /// Records whether a node is unable to read the store. Returns whether the selection may have changed.
    ///
    /// ```
    /// hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default()).set_lacks_store("10.0.0.2:7600", true);
    /// ```
    pub fn set_lacks_store(&mut self, address: &str, lacks_store: bool) -> bool {
        let Some(key) = self.by_address.get(address) else {
            return false;
        };
        let before = std::mem::replace(&mut self.nodes[*key].lacks_store, lacks_store);
        before != lacks_store
    }

    /// Adds a service that this node calls, and returns whether it was not known before.
    ///
    /// ```
    /// let mut subset = hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default());
    /// assert!(subset.want("ledger"));
    /// assert!(!subset.want("ledger"));
    /// ```
    pub fn want(&mut self, service: &str) -> bool {
        !self.wanted.contains(service) && self.wanted.insert(service.into())
    }

    /// Returns whether a service is one that this node calls.
    ///
    /// ```
    /// let subset = hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default());
    /// assert!(!subset.is_wanted("ledger"));
    /// ```
    pub fn is_wanted(&self, service: &str) -> bool {
        self.wanted.contains(service)
    }

    /// Keeps only the services for which `is_called` returns true.
    ///
    /// ```
    /// let mut subset = hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default());
    /// subset.want("ledger");
    /// subset.retain_wanted(|service| service != "ledger");
    /// assert!(!subset.is_wanted("ledger"));
    /// ```
    pub fn retain_wanted(&mut self, mut is_called: impl FnMut(&str) -> bool) {
        self.wanted.retain(|service| is_called(service));
    }

    /// Returns the addresses of the nodes to keep connections to.
    ///
    /// The result changes only with what the subset was told, and the change of one node changes few others.
    ///
    /// ```
    /// let subset = hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default());
    /// assert!(subset.selected().is_empty());
    /// ```
    pub fn selected(&self) -> BTreeSet<Box<str>> {
        let mut keys = self.serving_keys();
        keys.extend(self.neighbour_keys());
        let addresses = keys.into_iter().map(|key| self.nodes[key].address.clone());
        addresses.collect()
    }

    /// Estimates the number of running nodes, this one included: those known, without those found unreachable.
    ///
    /// ```
    /// let subset = hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default());
    /// assert_eq!(subset.running(), 1);
    /// ```
    pub fn running(&self) -> usize {
        1 + self.nodes.values().filter(|node| node.may_run()).count()
    }
}
