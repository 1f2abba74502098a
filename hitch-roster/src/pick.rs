//! Selections that every node makes alike: rendezvous hashing over the live members.

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
        ranked.into_iter().map(|(_, key)| key).collect()
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
        ranked.first().map(|(_, key)| *key)
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
        self.ranked(service, of_service)
            .first()
            .map(|(_, key)| *key)
    }

    /// Ranks the members that serve or are about to, the best first.
    ///
    /// A starting member counts, or a fleet that starts as a whole would have no reader.
    fn ranked(
        &self,
        purpose: &str,
        members: impl Iterator<Item = MemberKey>,
    ) -> Vec<(u64, MemberKey)> {
        let seed = xxh3_64(purpose.as_bytes());
        let mut ranked = Vec::new();
        for key in members {
            let entry = &self.entries[key];
            if !matches!(entry.state, State::Starting | State::Ready) {
                continue;
            }
            let score = xxh3_64_with_seed(entry.contact.instance.as_bytes(), seed);
            ranked.push((score, key));
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked
    }
}
