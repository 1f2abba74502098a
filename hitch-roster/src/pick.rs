//! Selections that every node makes alike: rendezvous hashing over the live members.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::MemberKey;
use crate::member::State;
use crate::roster::Roster;

impl Roster {
    /// Picks the readers of the log in an availability zone.
    ///
    /// Nodes with different rosters can pick different readers; more readers than wanted are
    /// harmless, and the views agree again after a few exchanges.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert_eq!(roster.readers("", 2), [roster.own_key()]);
    /// assert_eq!(roster.readers("elsewhere", 2), []);
    /// ```
    pub fn readers(&self, zone: &str, count: usize) -> Vec<MemberKey> {
        let members = self.zones.get(zone).map_or(&[][..], |m| &m[..]);
        let mut ranked = self.ranked("reader", members.iter().copied());
        ranked.truncate(count);
        ranked
    }

    /// Returns whether the own member is to read the log for its zone.
    ///
    /// A node that has just started knows few members and would often pick itself; after a mass
    /// restart thousands would. It waits for [`Options::settle_for`](crate::Options::settle_for)
    /// unless it is ready before.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # use std::time::Duration;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert!(!roster.is_reader(Duration::from_secs(1), 2));
    /// assert!(roster.is_reader(Duration::from_secs(2), 2));
    /// ```
    pub fn is_reader(&self, now: Duration, count: usize) -> bool {
        let own = &self.entries[self.own];
        let settled = own.state == State::Ready || now >= self.options.settle_for;
        settled && self.readers(&own.contact.zone, count).contains(&self.own)
    }

    /// Picks the node that writes snapshots to the log.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert_eq!(roster.snapshot_writer(), Some(roster.own_key()));
    /// ```
    pub fn snapshot_writer(&self) -> Option<MemberKey> {
        let ranked = self.ranked("snapshot", self.zones.values().flatten().copied());
        ranked.first().copied()
    }

    /// Picks one node among those of a service.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert_eq!(roster.picked_for("ledger"), None);
    /// ```
    pub fn picked_for(&self, service: &str) -> Option<MemberKey> {
        let all = self.zones.values().flatten().copied();
        let of_service = all.filter(|key| *self.entries[*key].contact.service == *service);
        let ranked = self.ranked(service, of_service);
        ranked.first().copied()
    }

    /// Ranks the members that serve, then those that are about to, each the best first.
    ///
    /// A starting member counts, or a fleet that starts as a whole would have no reader.
    fn ranked(&self, purpose: &str, members: impl Iterator<Item = MemberKey>) -> Vec<MemberKey> {
        let seed = xxh3_64(purpose.as_bytes());
        let mut ranked = Vec::new();
        for key in members {
            let entry = &self.entries[key];
            if !matches!(entry.state, State::Starting | State::Ready) {
                continue;
            }
            let instance = &entry.contact.instance;
            let score = xxh3_64_with_seed(instance.as_bytes(), seed);
            ranked.push((entry.state == State::Ready, score, key));
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, _, key)| key).collect()
    }
}
