//! Selections that are equal on nodes with equal membership lists: rendezvous hashing over the live
//! members.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::MemberKey;
use crate::member::State;
use crate::roster::Roster;

impl Roster {
    /// Selects the `count` nodes of an availability zone that read the log, best first.
    ///
    /// Nodes with different membership lists can select different readers. More readers than
    /// `count` are harmless, and the lists converge after a few exchanges.
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
        let mut ranked = self.rank_by_hash("reader", members.iter().copied());
        ranked.truncate(count);
        ranked
    }

    /// Returns whether this node is one of the `count` readers of the log in its zone.
    ///
    /// A node that has just started lists few members and would often select itself; after a mass
    /// restart thousands of nodes would. Until it is ready, it therefore waits for
    /// [`Options::reader_startup_delay`](crate::Options::reader_startup_delay).
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
        let settled = own.state == State::Ready || now >= self.options.reader_startup_delay;
        settled && self.readers(&own.contact.zone, count).contains(&self.own)
    }

    /// Selects the node that writes snapshots to the log.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert_eq!(roster.snapshot_writer(), Some(roster.own_key()));
    /// ```
    pub fn snapshot_writer(&self) -> Option<MemberKey> {
        let ranked = self.rank_by_hash("snapshot", self.zones.values().flatten().copied());
        ranked.first().copied()
    }

    /// Selects one of the nodes whose local backend server belongs to a service.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert_eq!(roster.node_for_service("ledger"), None);
    /// ```
    pub fn node_for_service(&self, service: &str) -> Option<MemberKey> {
        let all = self.zones.values().flatten().copied();
        let of_service = all.filter(|key| *self.entries[*key].contact.service == *service);
        let ranked = self.rank_by_hash(service, of_service);
        ranked.first().copied()
    }

    /// Ranks ready members before starting ones, and by descending hash within each group.
    ///
    /// Starting members are included, because otherwise there would be no reader while all nodes
    /// start at the same time.
    fn rank_by_hash(
        &self,
        purpose: &str,
        members: impl Iterator<Item = MemberKey>,
    ) -> Vec<MemberKey> {
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
