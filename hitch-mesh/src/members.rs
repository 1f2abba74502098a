//! The membership list, and which members to connect to.
//!
//! Records of the store and lists of peers only supply addresses to try. What a node sends about itself on a connection
//! takes precedence over both, so a stale record costs one failed connection attempt and has no other effect.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::frame::Member;

/// Time after which a member that cannot be reached is removed. A node that returns at the same address within this
/// time is found without the store.
const EXPIRE_AFTER: Duration = Duration::from_secs(60);
/// Backoff after the first failed attempt to connect.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff between attempts to connect. While the store is down, a node that returns is found within this time.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The membership list, by address.
#[derive(Debug, Default)]
pub struct Members {
    by_address: BTreeMap<Box<str>, Entry>,
}

#[derive(Debug)]
struct Entry {
    member: Member,
    connected: bool,
    lacks_store: bool,
    dialing: bool,
    failures: u32,
    next_attempt: Duration,
    disconnected_at: Duration,
}

impl Members {
    /// Adds or updates a member and returns whether the entry is new or of a later incarnation.
    ///
    /// ```
    /// use hitch_mesh::frame::Member;
    /// let mut members = hitch_mesh::members::Members::default();
    /// let member = Member { address: "10.0.0.1:7600".into(), ..Member::default() };
    /// assert!(members.learn(Default::default(), member.clone()));
    /// assert!(!members.learn(Default::default(), member));
    /// ```
    pub fn learn(&mut self, now: Duration, member: Member) -> bool {
        if member.address.is_empty() {
            return false;
        }
        match self.by_address.get_mut(&*member.address) {
            Some(entry) => {
                if entry.member.incarnation >= member.incarnation {
                    return false;
                }
                if !entry.connected {
                    entry.failures = 0;
                    entry.next_attempt = now;
                    entry.disconnected_at = now;
                    entry.member = member;
                }
                true
            }
            None => {
                let entry = Entry {
                    member: member.clone(),
                    connected: false,
                    lacks_store: false,
                    dialing: false,
                    failures: 0,
                    next_attempt: now,
                    disconnected_at: now,
                };
                self.by_address.insert(member.address.into(), entry);
                true
            }
        }
    }

    /// Returns the members to connect to now and marks them as being dialled. Expired members are removed.
    ///
    /// ```
    /// let mut members = hitch_mesh::members::Members::default();
    /// assert!(members.take_due(Default::default()).is_empty());
    /// ```
    pub fn take_due(&mut self, now: Duration) -> Vec<Member> {
        self.by_address
            .retain(|_, e| e.connected || e.dialing || now < e.disconnected_at + EXPIRE_AFTER);
        let mut due = Vec::new();
        for entry in self.by_address.values_mut() {
            if entry.connected || entry.dialing || now < entry.next_attempt {
                continue;
            }
            entry.dialing = true;
            due.push(entry.member.clone());
        }
        due
    }

    /// Returns the time of the next connection attempt, or `None` if no member waits for one.
    ///
    /// ```
    /// let members = hitch_mesh::members::Members::default();
    /// assert!(members.next_attempt().is_none());
    /// ```
    pub fn next_attempt(&self) -> Option<Duration> {
        let waiting = self
            .by_address
            .values()
            .filter(|e| !e.connected && !e.dialing);
        waiting.map(|e| e.next_attempt).min()
    }

    /// Iterates over the members, each with whether a connection to it is open.
    ///
    /// ```
    /// assert_eq!(hitch_mesh::members::Members::default().all().count(), 0);
    /// ```
    pub fn all(&self) -> impl Iterator<Item = (Member, bool)> {
        let entries = self.by_address.values();
        entries.map(|entry| (entry.member.clone(), entry.connected))
    }

    /// Records that an attempt to connect to a member failed, and sets the backoff until the next one.
    ///
    /// ```
    /// let mut members = hitch_mesh::members::Members::default();
    /// members.connect_failed(Default::default(), "10.0.0.1:7600");
    /// ```
    pub fn connect_failed(&mut self, now: Duration, address: &str) {
        let Some(entry) = self.by_address.get_mut(address) else {
            return;
        };
        entry.dialing = false;
        entry.connected = false;
        let backoff = INITIAL_BACKOFF * 2u32.saturating_pow(entry.failures.min(8));
        entry.next_attempt = now + backoff.min(MAX_BACKOFF);
        entry.failures += 1;
    }

    /// Records that a connection to a member is open, with the entry that the member sent about itself.
    ///
    /// ```
    /// let mut members = hitch_mesh::members::Members::default();
    /// members.connected("10.0.0.1:7600", Default::default());
    /// ```
    pub fn connected(&mut self, address: &str, member: Member) {
        if let Some(entry) = self.by_address.get_mut(address) {
            entry.dialing = false;
            entry.connected = true;
            entry.failures = 0;
            entry.member = member;
        }
    }

    /// Records that the connection to a member ended. The next attempt is due at once.
    ///
    /// ```
    /// let mut members = hitch_mesh::members::Members::default();
    /// members.disconnected(Default::default(), "10.0.0.1:7600");
    /// ```
    pub fn disconnected(&mut self, now: Duration, address: &str) {
        if let Some(entry) = self.by_address.get_mut(address) {
            entry.dialing = false;
            entry.connected = false;
            entry.next_attempt = now;
            entry.disconnected_at = now;
        }
    }

    /// Returns the entries of all members.
    ///
    /// ```
    /// assert!(hitch_mesh::members::Members::default().list().is_empty());
    /// ```
    pub fn list(&self) -> Vec<Member> {
        self.by_address.values().map(|e| e.member.clone()).collect()
    }

    /// Sets whether a connected member is unable to read the store.
    ///
    /// ```
    /// let mut members = hitch_mesh::members::Members::default();
    /// members.set_lacks_store("10.0.0.1:7600", true);
    /// ```
    pub fn set_lacks_store(&mut self, address: &str, lacks_store: bool) {
        if let Some(entry) = self.by_address.get_mut(address) {
            entry.lacks_store = lacks_store;
        }
    }

    /// Returns whether the node at the address `own` is one of the `readers` nodes that follow the store on behalf of
    /// their availability zone.
    ///
    /// The readers are chosen by rendezvous hashing over the connected members of the zone that can read the store.
    /// Each node decides by itself; nodes that see different members at most add a reader. A node without peers always
    /// reads the store.
    ///
    /// ```
    /// let members = hitch_mesh::members::Members::default();
    /// assert!(members.is_reader("10.0.0.1:7600", "a", 2));
    /// ```
    pub fn is_reader(&self, own: &str, zone: &str, readers: usize) -> bool {
        let own_hash = xxh3_64(own.as_bytes());
        let ranked_before = self.by_address.iter().filter(|(address, entry)| {
            entry.connected
                && !entry.lacks_store
                && *entry.member.zone == *zone
                && xxh3_64(address.as_bytes()) < own_hash
        });
        ranked_before.count() < readers
    }

    /// Returns the members that the node at the address `own` notifies of a new configuration.
    ///
    /// The connected members of the zone form a tree in the order of their hashes, with a fan-out of `fan_out`: a
    /// notice reaches all of them in a number of steps that grows with the logarithm of their number, and no node sends
    /// it to more than `fan_out` others. If nodes see different members, some are left out; those learn of the version
    /// from the answers to their calls.
    ///
    /// ```
    /// let members = hitch_mesh::members::Members::default();
    /// assert!(members.children("10.0.0.1:7600", "a", 4).is_empty());
    /// ```
    pub fn children(&self, own: &str, zone: &str, fan_out: usize) -> Vec<Box<str>> {
        let members = self.by_address.iter();
        let mut order: Vec<(u64, &str)> = members
            .filter(|(_, e)| e.connected && *e.member.zone == *zone)
            .map(|(address, _)| (xxh3_64(address.as_bytes()), &**address))
            .collect();
        let own = (xxh3_64(own.as_bytes()), own);
        order.push(own);
        order.sort_unstable();
        let Some(rank) = order.iter().position(|entry| *entry == own) else {
            return Vec::new();
        };
        let children = order.iter().skip(rank * fan_out + 1).take(fan_out);
        children.map(|(_, address)| (*address).into()).collect()
    }

    /// Returns the members that read the store for the other zones, `readers` of each zone, as far as this node knows.
    ///
    /// ```
    /// let members = hitch_mesh::members::Members::default();
    /// assert!(members.readers_of_other_zones("a", 2).is_empty());
    /// ```
    pub fn readers_of_other_zones(&self, zone: &str, readers: usize) -> Vec<Box<str>> {
        let mut by_zone: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
        for (address, entry) in &self.by_address {
            if !entry.connected || *entry.member.zone == *zone {
                continue;
            }
            let hashed = (xxh3_64(address.as_bytes()), &**address);
            by_zone.entry(&entry.member.zone).or_default().push(hashed);
        }
        let mut found = Vec::new();
        for mut members in by_zone.into_values() {
            members.sort_unstable();
            let first = members.into_iter().take(readers);
            found.extend(first.map(|(_, address)| address.into()));
        }
        found
    }

    /// Returns whether a member is known to be in a zone.
    ///
    /// ```
    /// assert!(!hitch_mesh::members::Members::default().is_in_zone("10.0.0.1:7600", "a"));
    /// ```
    pub fn is_in_zone(&self, address: &str, zone: &str) -> bool {
        let entry = self.by_address.get(address);
        entry.is_some_and(|entry| *entry.member.zone == *zone)
    }

    /// Returns the number of members that this node is connected to.
    ///
    /// ```
    /// assert_eq!(hitch_mesh::members::Members::default().connected_count(), 0);
    /// ```
    pub fn connected_count(&self) -> usize {
        self.by_address.values().filter(|e| e.connected).count()
    }
}
