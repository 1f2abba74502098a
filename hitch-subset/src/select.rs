//! The nodes of the called services to connect to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::subset::NodeKey;
use crate::subset::Subset;

/// The nodes of one service in one availability zone, in the order in which this node prefers them.
struct Candidates {
    keys: Vec<NodeKey>,
    next: usize,
    unreachable: usize,
}

impl Subset {
    /// Returns the nodes to connect to, over all called services.
    pub(crate) fn serving_keys(&self) -> BTreeSet<NodeKey> {
        let mut by_service: BTreeMap<&str, Vec<NodeKey>> = BTreeMap::new();
        for (key, node) in &self.nodes {
            if self.wanted.contains(&node.service) {
                by_service.entry(&node.service).or_default().push(key);
            }
        }
        let mut selected = BTreeSet::new();
        for keys in by_service.into_values() {
            self.select_service(keys, &mut selected);
        }
        selected
    }

    /// Selects nodes of one service. Nodes that cannot serve at present are selected on the way, so that their return is
    /// noticed, but do not count.
    fn select_service(&self, mut keys: Vec<NodeKey>, selected: &mut BTreeSet<NodeKey>) {
        keys.sort_unstable_by_key(|key| self.nodes[*key].order);
        let mut by_zone: BTreeMap<&str, Candidates> = BTreeMap::new();
        for key in keys {
            let zone = by_zone.entry(&self.nodes[key].zone);
            let candidates = zone.or_insert_with(Candidates::new);
            candidates.keys.push(key);
        }
        let mut near = 0;
        if let Some(mut own_zone) = by_zone.remove(&*self.own_zone) {
            while near < self.options.near && self.select_next(&mut own_zone, usize::MAX, selected)
            {
                near += 1;
            }
        }
        let wanted = self.options.far + self.options.near - near;
        let mut far = 0;
        // One node of each zone in turn, so that the loss of a zone leaves the others.
        while far < wanted && !by_zone.is_empty() {
            by_zone.retain(|_, zone| {
                if far == wanted {
                    return true;
                }
                let found = self.select_next(zone, self.options.far_retries, selected);
                far += usize::from(found);
                found
            });
        }
    }

    /// Selects nodes up to the next one that may serve, and returns whether there is one.
    fn select_next(
        &self,
        candidates: &mut Candidates,
        max_unreachable: usize,
        selected: &mut BTreeSet<NodeKey>,
    ) -> bool {
        while let Some(key) = candidates.keys.get(candidates.next) {
            candidates.next += 1;
            let node = &self.nodes[*key];
            if !node.may_run() {
                candidates.unreachable += 1;
                if candidates.unreachable > max_unreachable {
                    continue;
                }
            }
            selected.insert(*key);
            if node.may_serve() {
                return true;
            }
        }
        false
    }
}

impl Candidates {
    fn new() -> Candidates {
        Candidates {
            keys: Vec::new(),
            next: 0,
            unreachable: 0,
        }
    }
}
