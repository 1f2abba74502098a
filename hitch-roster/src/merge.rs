//! Merging of the entries that peers send.

use std::sync::Arc;
use std::time::Duration;

use crate::digest::bucket_of;
use crate::member::Contact;
use crate::member::Incarnation;
use crate::member::Member;
use crate::member::MemberKey;
use crate::member::State;
use crate::recent::Update;
use crate::roster::Change;
use crate::roster::Roster;

/// Stored form of a member: 40 bytes in addition to the shared contact.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) contact: Arc<Contact>,
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
    /// Number of the entry's last change in the order of all changes to this list.
    pub(crate) change_number: u32,
    pub(crate) state: State,
    /// Excluded from digests and messages.
    pub(crate) hidden: bool,
}

impl Entry {
    pub(crate) fn member(&self) -> Member {
        Member {
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: self.state,
            contact: self.contact.clone(),
        }
    }
}

impl Roster {
    /// Merges the entries that a peer sent and returns the changes.
    ///
    /// Of two entries of one instance, the one with the higher incarnation is kept, then the one
    /// with the higher sequence, then the one with the higher [`State`]. An entry of this node's
    /// own instance that wins against its own entry, such as one that lists it as suspect or gone
    /// or has a higher incarnation, is refuted.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # use std::time::Duration;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let mut roster = Roster::new(own.clone(), Options::default());
    /// let suspected = Member { state: State::Suspect, ..own };
    /// roster.merge(Duration::from_secs(1), [suspected]);
    /// assert_eq!((roster.own().state, roster.own().sequence), (State::Starting, 2));
    /// ```
    pub fn merge(
        &mut self,
        now: Duration,
        members: impl IntoIterator<Item = Member>,
    ) -> Vec<Change> {
        for member in members {
            self.merge_one(now, member);
        }
        self.take_changes()
    }

    /// Merges members from contact records of the log, which are not gossiped as recent updates.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # use std::time::Duration;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let mut roster = Roster::new(own, Options::default());
    /// let contact = Contact { instance: "n2".into(), ..Contact::default() };
    /// let found = Member::starting(Incarnation([1; 16]), contact);
    /// assert_eq!(roster.load(Duration::ZERO, [found]).len(), 1);
    /// assert_eq!(roster.take_recent_updates(None), [roster.own()]);
    /// ```
    pub fn load(
        &mut self,
        now: Duration,
        members: impl IntoIterator<Item = Member>,
    ) -> Vec<Change> {
        let changes = self.merge(now, members);
        for change in &changes {
            if change.key != self.own {
                self.recent.remove(&change.key);
            }
        }
        changes
    }

    fn merge_one(&mut self, now: Duration, member: Member) {
        let Some(key) = self.try_find(&member.contact.instance) else {
            self.insert(now, member);
            return;
        };
        let known = &self.entries[key];
        let order = (member.incarnation, member.sequence, member.state);
        if order < (known.incarnation, known.sequence, known.state) {
            return;
        }
        if member <= known.member() {
            return;
        }
        if key == self.own {
            self.refute(now, &member);
            return;
        }
        self.replace(now, key, member);
    }

    /// Raises this node's own entry above a conflicting one, keeping its state.
    fn refute(&mut self, now: Duration, conflicting: &Member) {
        let mut own = self.own();
        let sequence = own.sequence.max(conflicting.sequence);
        if conflicting.incarnation > own.incarnation || sequence == u64::MAX {
            own.incarnation = own.incarnation.max(conflicting.incarnation).next();
        }
        // At the maximum sequence, the incarnation was raised above and the sequence wraps to 0.
        own.sequence = sequence.wrapping_add(1);
        self.replace(now, self.own, own);
        self.detector.urgent = true;
    }

    pub(crate) fn insert(&mut self, now: Duration, member: Member) -> MemberKey {
        let instance = member.contact.instance.clone();
        let gone = member.state == State::Gone;
        self.change_count = self.change_count.wrapping_add(1);
        let key = self.entries.insert(Entry {
            contact: member.contact.clone(),
            incarnation: member.incarnation,
            sequence: member.sequence,
            change_number: self.change_count,
            state: member.state,
            // Gossiping members that were already gone when first received would let new nodes keep
            // them in circulation forever.
            hidden: gone,
        });
        let bucket = &mut self.buckets[bucket_of(&instance)];
        if let Err(at) = bucket.position(&self.entries, &instance) {
            bucket.members.insert(at, key);
        }
        self.toggle_hash(key);
        self.update_indexes(now, key, None);
        self.changes.push(Change {
            key,
            before: None,
            after: Some(member),
        });
        key
    }

    pub(crate) fn replace(&mut self, now: Duration, key: MemberKey, member: Member) {
        self.toggle_hash(key);
        self.change_count = self.change_count.wrapping_add(1);
        let entry = &mut self.entries[key];
        let before = entry.member();
        if *entry.contact != *member.contact {
            entry.contact = member.contact.clone();
        }
        entry.incarnation = member.incarnation;
        entry.sequence = member.sequence;
        entry.state = member.state;
        entry.change_number = self.change_count;
        entry.hidden = entry.hidden && member.state == State::Gone;
        self.toggle_hash(key);
        self.update_indexes(now, key, Some(&before));
        self.changes.push(Change {
            key,
            before: Some(before),
            after: Some(member),
        });
    }

    /// Updates the zone index, the timestamp of failed members and the recent updates after a
    /// change of an entry.
    fn update_indexes(&mut self, now: Duration, key: MemberKey, before: Option<&Member>) {
        let entry = &self.entries[key];
        let live = entry.state != State::Gone;
        let live_before = before.filter(|b| b.state != State::Gone);
        let moved = live_before.is_some_and(|b| b.contact.zone != entry.contact.zone);
        if let Some(was) = live_before.filter(|_| !live || moved)
            && let Some(zone) = self.zones.get_mut(&was.contact.zone)
        {
            zone.retain(|k| *k != key);
        }
        if live && (live_before.is_none() || moved) {
            let zone = self.zones.entry(entry.contact.zone.clone()).or_default();
            let instance = &entry.contact.instance;
            let at = zone.partition_point(|k| self.entries[*k].contact.instance < *instance);
            zone.insert(at, key);
        }
        self.zones.retain(|_, members| !members.is_empty());
        match entry.state {
            State::Suspect | State::Gone => self.down_since.insert(key, now),
            _ => self.down_since.remove(&key),
        };
        if entry.state == State::Draining {
            self.detector.urgent = true;
        }
        if !entry.hidden {
            let update = Update {
                learned_at: now,
                send_count: 0,
            };
            self.recent.insert(key, update);
        }
    }

    /// Stops gossiping a gone member while keeping its entry.
    pub(crate) fn hide(&mut self, key: MemberKey) {
        self.toggle_hash(key);
        self.entries[key].hidden = true;
        self.recent.remove(&key);
    }

    /// Removes a gone member.
    pub(crate) fn prune(&mut self, key: MemberKey) {
        self.toggle_hash(key);
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.down_since.remove(&key);
        self.recent.remove(&key);
        let bucket = &mut self.buckets[bucket_of(&entry.contact.instance)];
        bucket.members.retain(|k| *k != key);
        self.changes.push(Change {
            key,
            before: Some(entry.member()),
            after: None,
        });
    }
}
