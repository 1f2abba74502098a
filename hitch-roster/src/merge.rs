//! Merging of what peers know.

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

/// A member as it is kept: 40 bytes beside the shared contact.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) contact: Arc<Contact>,
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
    /// Position among all changes that this roster saw.
    pub(crate) changed: u32,
    pub(crate) state: State,
    /// Left out of digests and messages.
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
    /// Merges members that a peer sent, and returns what changed.
    ///
    /// Of two entries of one instance the one with the higher incarnation, then the higher sequence,
    /// then the worse state is kept. An entry that calls the own member suspected or gone, or that
    /// has a higher incarnation of the own instance, is refuted.
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

    /// Takes in members from contact records of the log, which need not be passed on.
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

    fn refute(&mut self, now: Duration, seen: &Member) {
        let mut own = self.own();
        let sequence = own.sequence.max(seen.sequence);
        if seen.incarnation > own.incarnation || sequence == u64::MAX {
            own.incarnation = own.incarnation.max(seen.incarnation).next();
        }
        // After the last sequence a higher incarnation begins anew.
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
            changed: self.change_count,
            state: member.state,
            // Passing on members that were learned as gone would keep them alive through newcomers.
            hidden: gone,
        });
        let bucket = &mut self.buckets[bucket_of(&instance)];
        if let Err(at) = bucket.position(&self.entries, &instance) {
            bucket.members.insert(at, key);
        }
        self.toggle_hash(key);
        self.track(now, key, None);
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
        entry.changed = self.change_count;
        entry.hidden = entry.hidden && member.state == State::Gone;
        self.toggle_hash(key);
        self.track(now, key, Some(&before));
        self.changes.push(Change {
            key,
            before: Some(before),
            after: Some(member),
        });
    }

    /// Updates the lists that follow from an entry's state.
    fn track(&mut self, now: Duration, key: MemberKey, before: Option<&Member>) {
        let entry = &self.entries[key];
        let live = entry.state != State::Gone;
        let was_live = before.filter(|b| b.state != State::Gone);
        let moved = was_live.is_some_and(|b| b.contact.zone != entry.contact.zone);
        if let Some(was) = was_live.filter(|_| !live || moved)
            && let Some(zone) = self.zones.get_mut(&was.contact.zone)
        {
            zone.retain(|k| *k != key);
        }
        if live && (was_live.is_none() || moved) {
            let zone = self.zones.entry(entry.contact.zone.clone()).or_default();
            let instance = &entry.contact.instance;
            let at = zone.partition_point(|k| self.entries[*k].contact.instance < *instance);
            zone.insert(at, key);
        }
        self.zones.retain(|_, members| !members.is_empty());
        match entry.state {
            State::Suspect | State::Gone => self.since.insert(key, now),
            _ => self.since.remove(&key),
        };
        if entry.state == State::Draining {
            self.detector.urgent = true;
        }
        if !entry.hidden {
            let update = Update {
                since: now,
                sent: 0,
            };
            self.recent.insert(key, update);
        }
    }

    pub(crate) fn hide(&mut self, key: MemberKey) {
        self.toggle_hash(key);
        self.entries[key].hidden = true;
        self.recent.remove(&key);
    }

    pub(crate) fn prune(&mut self, key: MemberKey) {
        self.toggle_hash(key);
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.since.remove(&key);
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
