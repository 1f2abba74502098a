//! The ring of the nodes of an availability zone: who passes news on to whom, and who reads the store.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::subset::Node;
use crate::subset::NodeKey;
use crate::subset::Reach;
use crate::subset::Subset;

impl Subset {
    /// Returns whether this node follows the store on behalf of the zone.
    ///
    /// The first of the ring that run and can read the store do, as far as this node knows: one if there are nodes in
    /// other zones, which tell each other what they read, and two otherwise. A node is connected to its predecessors. It
    /// looks at those further ahead only when nearer ones fail, so it finds out that all of them have failed within one
    /// connection attempt for each. Nodes that see different members at most add a reader.
    ///
    /// While the store answers nobody, only the first nodes of each ring keep asking. If it answers other nodes but none
    /// of these, the zone learns of new versions from the other zones.
    ///
    /// ```
    /// let subset = hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default());
    /// assert!(subset.is_reader());
    /// ```
    pub fn is_reader(&self) -> bool {
        let has_other_zones = self.nodes.values().any(|node| !self.is_in_zone(node));
        let readers = match has_other_zones {
            true => self.options.readers,
            false => self.options.readers_of_single_zone,
        };
        let mut may_read_ahead = 0;
        let mut may_run_ahead = 0;
        for node in self.nodes.values() {
            if !self.is_in_zone(node) || node.position >= self.own_position {
                continue;
            }
            may_read_ahead += usize::from(may_read(node));
            may_run_ahead += usize::from(may_run_now(node));
        }
        may_read_ahead < readers && may_run_ahead < self.options.reader_attempts
    }

    /// Returns the connected node of the own zone that is first in the ring, ahead of this node and able to read the
    /// store. In a zone where this node is connected to all, it is the zone's reader. Otherwise it is nearer to the
    /// reader than this node, so that nodes which follow these addresses never go in a circle.
    ///
    /// ```
    /// let subset = hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default());
    /// assert!(subset.reader().is_none());
    /// ```
    pub fn reader(&self) -> Option<Box<str>> {
        let nodes = self.nodes.values();
        let ahead = nodes.filter(|node| {
            self.is_in_zone(node)
                && node.position < self.own_position
                && node.is_connected()
                && may_read(node)
        });
        let first = ahead.min_by_key(|node| node.position);
        first.map(|node| node.address.clone())
    }

    /// Returns the position of this node among the nodes that follow the store on behalf of their zones, as far as it knows
    /// them, in an order that depends on `name` (rendezvous hashing).
    ///
    /// ```
    /// let subset = hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default());
    /// assert_eq!(subset.reader_rank("ledger"), 0);
    /// ```
    pub fn reader_rank(&self, name: &str) -> usize {
        let mut by_zone: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for node in self.nodes.values().filter(|node| may_read(node)) {
            by_zone.entry(&node.zone).or_default().push(node.position);
        }
        let readers = match by_zone.keys().any(|zone| **zone != *self.own_zone) {
            true => self.options.readers,
            false => self.options.readers_of_single_zone,
        };
        let score = |position: u64| xxh3_64_with_seed(name.as_bytes(), position);
        let own_score = score(self.own_position);
        let mut rank = 0;
        for (zone, mut positions) in by_zone {
            positions.sort_unstable();
            // This node is one of the readers of its own zone.
            let others = readers - usize::from(*zone == *self.own_zone);
            let others = positions.into_iter().take(others);
            rank += others
                .filter(|position| score(*position) < own_score)
                .count();
        }
        rank
    }

    /// Returns the connected nodes of the own zone that this node passes news on to: its successors in the ring, which
    /// make sure that every node is reached, and a few others, which make it fast.
    ///
    /// ```
    /// let subset = hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default());
    /// assert!(subset.news_targets().is_empty());
    /// ```
    pub fn news_targets(&self) -> Vec<Box<str>> {
        let ring = self.ring();
        let connected = |key: &NodeKey| self.nodes[*key].is_connected();
        let mut keys: Vec<NodeKey> = ring.iter().copied().filter(connected).collect();
        let successors = self.options.neighbours.min(keys.len());
        let mut others = keys.split_off(successors);
        others.sort_unstable_by_key(|key| self.nodes[*key].order);
        others.truncate(self.options.shortcuts);
        keys.extend(others);
        let addresses = keys.into_iter().map(|key| self.nodes[key].address.clone());
        addresses.collect()
    }

    /// Returns connected nodes of the other availability zones, at most `per_zone` of each. They pass news on in their
    /// zones.
    ///
    /// ```
    /// let subset = hitch_subset::Subset::new("10.0.0.1:7600", "a", Default::default());
    /// assert!(subset.far_targets(2).is_empty());
    /// ```
    pub fn far_targets(&self, per_zone: usize) -> Vec<Box<str>> {
        let mut by_zone: BTreeMap<&str, Vec<&Node>> = BTreeMap::new();
        for node in self.nodes.values() {
            if node.is_connected() && !self.is_in_zone(node) {
                by_zone.entry(&node.zone).or_default().push(node);
            }
        }
        let mut targets = Vec::new();
        for mut nodes in by_zone.into_values() {
            nodes.sort_unstable_by_key(|node| node.order);
            let first = nodes.iter().take(per_zone);
            targets.extend(first.map(|node| node.address.clone()));
        }
        targets
    }

    /// Returns the successors and predecessors in the ring to connect to. Nodes that do not run are included on the way,
    /// so that their return is noticed.
    pub(crate) fn neighbour_keys(&self) -> Vec<NodeKey> {
        let ring = self.ring();
        let mut keys = Vec::new();
        let mut running = 0;
        for key in &ring {
            if running == self.options.neighbours {
                break;
            }
            keys.push(*key);
            running += usize::from(self.nodes[*key].may_run());
        }
        let mut readers = 0;
        for key in ring.iter().rev() {
            let node = &self.nodes[*key];
            // The first node of the ring has no predecessors: nobody ahead of it reads the store.
            if readers == self.options.neighbours || node.position > self.own_position {
                break;
            }
            keys.push(*key);
            // A lost connection is tried again before anybody further ahead is.
            readers += usize::from(node.may_run() && !node.lacks_store);
        }
        keys
    }

    /// Returns the other nodes of the zone in the order of the ring, from this node's successor on.
    fn ring(&self) -> Vec<NodeKey> {
        let nodes = self.nodes.iter();
        let mut ring: Vec<(u64, NodeKey)> = nodes
            .filter(|(_, node)| self.is_in_zone(node))
            .map(|(key, node)| (node.position.wrapping_sub(self.own_position), key))
            .collect();
        ring.sort_unstable();
        ring.into_iter().map(|(_, key)| key).collect()
    }

    fn is_in_zone(&self, node: &Node) -> bool {
        node.zone == self.own_zone
    }
}

/// Returns whether a node may follow the store for its zone.
fn may_read(node: &Node) -> bool {
    may_run_now(node) && !node.lacks_store
}

/// Returns whether a node counts as running; one whose connection was lost does not until it is connected again.
fn may_run_now(node: &Node) -> bool {
    node.may_run() && node.reach != Reach::Lost
}
