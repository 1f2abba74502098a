//! Choice of the voters and homes among the members, and of the home of an organisation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of voters, in fleets of that many nodes or more. Five of eight are a quorum: two quorums have a node in common
/// even if one voter differs, and the loss of one of three availability zones leaves a quorum.
const VOTERS: usize = 8;
/// Nodes beyond which there is a further home for each [`NODES_PER_HOME`].
const SMALL_FLEET: usize = 100;
const NODES_PER_HOME: usize = 100;

/// The voters and homes, as a node knows them.
#[derive(Debug)]
pub(crate) struct Council {
    /// Homes with their availability zones, in the order of their choice. The first ones are the voters.
    homes: Vec<(Box<str>, Box<str>)>,
    view: u64,
}

impl Council {
    pub(crate) fn new() -> Council {
        Council {
            homes: Vec::new(),
            view: 0,
        }
    }

    /// Updates the homes from a list of the members by address and availability zone, to which this node is added.
    /// Returns whether the voters or homes changed.
    ///
    /// A home that is not listed any more stays one unless `may_remove`.
    pub(crate) fn update<'a>(
        &mut self,
        listed: impl IntoIterator<Item = (&'a str, &'a str)>,
        own: (&str, &str),
        may_remove: bool,
    ) -> bool {
        let mut by_zone: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
        let mut members = 1;
        let mut seen = BTreeSet::from([own.0]);
        by_zone
            .entry(own.1)
            .or_default()
            .push((xxh3_64(own.0.as_bytes()), own.0));
        for (address, zone) in listed {
            if *address == *own.0 {
                continue;
            }
            let hash = xxh3_64(address.as_bytes());
            by_zone.entry(zone).or_default().push((hash, address));
            members += 1;
            seen.insert(address);
        }
        if !may_remove {
            for (address, zone) in &self.homes {
                if !seen.contains(&**address) {
                    let hash = xxh3_64(address.as_bytes());
                    by_zone.entry(zone).or_default().push((hash, address));
                    members += 1;
                }
            }
        }
        let further = members.max(SMALL_FLEET) - SMALL_FLEET;
        let homes = choose(by_zone, VOTERS + further.div_ceil(NODES_PER_HOME));
        let addresses: Vec<&str> = homes.iter().map(|(home, _)| &**home).collect();
        let view = xxh3_64(addresses.join("\n").as_bytes());
        let has_changed = view != self.view;
        self.view = view;
        self.homes = homes;
        has_changed
    }

    pub(crate) fn homes(&self) -> impl Iterator<Item = &Box<str>> {
        self.homes.iter().map(|(home, _)| home)
    }

    pub(crate) fn voters(&self) -> impl Iterator<Item = &Box<str>> {
        self.homes().take(VOTERS)
    }

    /// Returns the number of voters that decide.
    pub(crate) fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    pub(crate) fn view(&self) -> u64 {
        self.view
    }

    /// Returns the homes in the order in which they are the home of an organisation (rendezvous hashing).
    pub(crate) fn order(&self, organisation: &str) -> Vec<Box<str>> {
        let seed = xxh3_64(organisation.as_bytes());
        let mut homes: Vec<Box<str>> = self.homes().cloned().collect();
        homes.sort_by_cached_key(|home| xxh3_64_with_seed(home.as_bytes(), seed));
        homes
    }
}

/// Chooses nodes by the hash of the address, from each availability zone in turn.
fn choose(
    mut by_zone: BTreeMap<&str, Vec<(u64, &str)>>,
    count: usize,
) -> Vec<(Box<str>, Box<str>)> {
    let mut ranked: Vec<(usize, u64, &str, &str)> = Vec::new();
    for (zone, nodes) in &mut by_zone {
        if nodes.len() > count {
            nodes.select_nth_unstable(count);
            nodes.truncate(count);
        }
        nodes.sort_unstable();
        let nodes = nodes.iter().enumerate();
        ranked.extend(nodes.map(|(i, (hash, address))| (i, *hash, *address, *zone)));
    }
    ranked.sort_unstable();
    let homes = ranked.into_iter().take(count);
    homes
        .map(|(_, _, address, zone)| (address.into(), zone.into()))
        .collect()
}
