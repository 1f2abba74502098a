//! The membership list of one node and its settings.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;

use crate::detect::Detector;
use crate::digest::Bucket;
use crate::digest::DetailCursor;
use crate::digest::bucket_of;
use crate::member::Member;
use crate::member::MemberKey;
use crate::member::State;
use crate::merge::Entry;
use crate::recent::Update;

/// Settings of gossip and failure detection.
#[derive(Debug, Clone)]
pub struct Options {
    /// Mean time between two gossip rounds that a node starts.
    pub period: Duration,
    /// Mean time between two gossip rounds during the startup phase.
    pub startup_period: Duration,
    /// Time after process start during which `startup_period` applies.
    pub startup_phase: Duration,
    /// Timeout of an exchange, which is also the direct probe of the peer.
    pub direct_timeout: Duration,
    /// Time within which at least one of the indirect probes must succeed.
    pub indirect_timeout: Duration,
    /// Number of peers that are asked to probe an unresponsive member.
    pub indirect_probes: usize,
    /// Minimum time from Suspect to Gone; the effective time also grows with the logarithm of the
    /// number of members.
    pub suspicion_timeout: Duration,
    /// Time for which a gone member is still gossiped, as a tombstone.
    pub gone_gossip_time: Duration,
    /// Time after which a gone member is removed; long enough to outlast a network partition of one
    /// hour between regions.
    pub prune_after: Duration,
    /// Every n-th gossip round selects a peer in another availability zone.
    pub other_zone_every: u64,
    /// Every n-th gossip round also contacts a gone member or a seed, so that the two sides of a
    /// healed network partition merge.
    pub rejoin_every: u64,
    /// Fan-out of the exchanges that start at once when a node drains or refutes a suspicion.
    pub urgent_fanout: usize,
    /// Minimum time between two bursts of urgent exchanges.
    pub urgent_interval: Duration,
    /// Maximum number of recent updates in one message.
    pub max_recent_updates: usize,
    /// Time after which an update spreads through digests only: after a mass restart, updates that
    /// every node already has would otherwise fill messages for minutes.
    pub recent_update_ttl: Duration,
    /// Maximum number of members in one message to a node whose digest differs.
    pub max_missing: usize,
    /// The same limit for a node whose digest has empty buckets, such as one that has just started.
    pub max_missing_new_node: usize,
    /// Time after process start during which a node that is not ready does not select itself as a
    /// reader of the log.
    pub reader_startup_delay: Duration,
    /// Gap between two ticks above which the process counts as frozen; timeouts then restart.
    pub freeze_threshold: Duration,
    /// Addresses of peers from the settings or from the log.
    pub seeds: Vec<Box<str>>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            period: Duration::from_secs(1),
            startup_period: Duration::from_millis(250),
            startup_phase: Duration::from_secs(5),
            direct_timeout: Duration::from_millis(500),
            indirect_timeout: Duration::from_secs(1),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(5),
            gone_gossip_time: Duration::from_secs(60),
            prune_after: Duration::from_secs(7200),
            other_zone_every: 4,
            rejoin_every: 10,
            urgent_fanout: 4,
            urgent_interval: Duration::from_millis(200),
            max_recent_updates: 32,
            recent_update_ttl: Duration::from_secs(15),
            max_missing: 256,
            max_missing_new_node: 2048,
            reader_startup_delay: Duration::from_secs(2),
            freeze_threshold: Duration::from_secs(3),
            seeds: Vec::new(),
        }
    }
}

/// A member that was added, changed or removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Key of the member.
    pub key: MemberKey,
    /// Previous entry; `None` for an added member.
    pub before: Option<Member>,
    /// Current entry; `None` for a removed member.
    pub after: Option<Member>,
}

/// The membership list of one node.
#[derive(Debug, Clone)]
pub struct Roster {
    pub(crate) options: Options,
    pub(crate) own: MemberKey,
    pub(crate) entries: SlotMap<MemberKey, Entry>,
    pub(crate) buckets: Vec<Bucket>,
    /// Keys of the members that are not gone, by availability zone and ordered by instance name;
    /// includes the node's own key.
    pub(crate) zones: BTreeMap<Box<str>, Vec<MemberKey>>,
    /// Time at which each Suspect or Gone member entered that state.
    pub(crate) down_since: BTreeMap<MemberKey, Duration>,
    /// Updates that are still piggybacked on messages.
    pub(crate) recent: BTreeMap<MemberKey, Update>,
    /// Changes that no method call has returned yet.
    pub(crate) changes: Vec<Change>,
    /// Number of changes so far, wrapping.
    pub(crate) change_count: u32,
    pub(crate) detail_cursor: DetailCursor,
    pub(crate) detector: Detector,
}

impl Roster {
    /// Creates a membership list that contains only this node.
    ///
    /// ```
    /// use hitch_roster::Contact;
    /// use hitch_roster::Incarnation;
    /// use hitch_roster::Member;
    /// use hitch_roster::Options;
    /// use hitch_roster::Roster;
    ///
    /// let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// assert_eq!(Roster::new(own.clone(), Options::default()).own(), own);
    /// ```
    pub fn new(own: Member, options: Options) -> Roster {
        let mut roster = Roster {
            options,
            own: MemberKey::default(),
            entries: SlotMap::with_key(),
            buckets: vec![Bucket::default(); crate::digest::BUCKETS],
            zones: BTreeMap::new(),
            down_since: BTreeMap::new(),
            recent: BTreeMap::new(),
            changes: Vec::new(),
            change_count: 0,
            detail_cursor: DetailCursor::default(),
            detector: Detector::default(),
        };
        roster.own = roster.insert(Duration::ZERO, own);
        roster.changes.clear();
        roster
    }

    /// Returns this node's own entry as peers receive it.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert_eq!(roster.own().state, State::Starting);
    /// ```
    pub fn own(&self) -> Member {
        self.entries[self.own].member()
    }

    /// Returns the key of this node's own entry.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert_eq!(roster.get(roster.own_key()), Some(roster.own()));
    /// ```
    pub fn own_key(&self) -> MemberKey {
        self.own
    }

    /// Returns the entry of a member, or `None` if it was removed.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert_eq!(roster.get(MemberKey::default()), None);
    /// ```
    pub fn get(&self, key: MemberKey) -> Option<Member> {
        self.entries.get(key).map(Entry::member)
    }

    /// Returns the key of the member on an instance, if it is listed.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert_eq!(roster.try_find(""), Some(roster.own_key()));
    /// assert_eq!(roster.try_find("n2"), None);
    /// ```
    pub fn try_find(&self, instance: &str) -> Option<MemberKey> {
        let bucket = &self.buckets[bucket_of(instance)];
        let at = bucket.position(&self.entries, instance).ok()?;
        Some(bucket.members[at])
    }

    /// Iterates over all members, including gone ones, in no particular order.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// assert_eq!(roster.members().count(), 1);
    /// ```
    pub fn members(&self) -> impl Iterator<Item = (MemberKey, Member)> {
        self.entries.iter().map(|(key, e)| (key, e.member()))
    }

    /// Returns the number of members that are not gone, including this node.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// assert_eq!(Roster::new(own, Options::default()).live_count(), 1);
    /// ```
    pub fn live_count(&self) -> usize {
        self.zones.values().map(Vec::len).sum()
    }

    /// Changes the state of this node and starts urgent exchanges at the next tick.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # use std::time::Duration;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let mut roster = Roster::new(own, Options::default());
    /// roster.set_state(Duration::from_secs(1), State::Ready);
    /// assert_eq!((roster.own().state, roster.own().sequence), (State::Ready, 2));
    /// ```
    pub fn set_state(&mut self, now: Duration, state: State) {
        let mut own = self.own();
        if own.state == state {
            return;
        }
        own.state = state;
        own.sequence += 1;
        self.replace(now, self.own, own);
        self.detector.urgent = true;
    }

    /// Returns and clears the changes that no earlier method call returned, such as those made by
    /// [`Roster::tick`].
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// assert_eq!(Roster::new(own, Options::default()).take_changes(), []);
    /// ```
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}
