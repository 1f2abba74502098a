//! The roster itself.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;

use crate::detect::Detector;
use crate::digest::Bucket;
use crate::digest::DetailTurns;
use crate::digest::bucket_of;
use crate::member::Member;
use crate::member::MemberKey;
use crate::member::State;
use crate::merge::Entry;
use crate::recent::Update;

/// Settings of a roster.
#[derive(Debug, Clone)]
pub struct Options {
    /// Mean time between two exchanges that a node starts.
    pub period: Duration,
    /// The same for as long as `hurry_for` after process start.
    pub starting_period: Duration,
    /// Time after process start in which a node exchanges more often.
    pub hurry_for: Duration,
    /// Time within which a peer must answer an exchange.
    pub direct_timeout: Duration,
    /// Time within which one of the indirect probes must succeed.
    pub indirect_timeout: Duration,
    /// Number of peers that are asked to probe a member that did not answer.
    pub indirect_probes: usize,
    /// Least time from Suspect to Gone; the time used also grows with the logarithm of members.
    pub suspicion_timeout: Duration,
    /// Time for which a gone member is passed on to others.
    pub gone_spread: Duration,
    /// Time after which a gone member is forgotten; outlasts a partition of regions of an hour.
    pub prune_after: Duration,
    /// One in so many periods goes to another availability zone.
    pub other_zone_every: u64,
    /// One in so many periods goes to a gone member or a seed, so that healed partitions meet.
    pub rejoin_every: u64,
    /// Number of exchanges started at once when a node leaves or refutes a suspicion.
    pub urgent_fanout: usize,
    /// Least time between two bursts of urgent exchanges.
    pub urgent_interval: Duration,
    /// Number of recent updates in one message.
    pub max_recent: usize,
    /// Time after which an update is left to the digests: after a mass restart, updates that all
    /// know would go on filling messages for minutes.
    pub recent_for: Duration,
    /// Number of missing members in one message.
    pub max_missing: usize,
    /// The same in a message to a node that lacks whole buckets, as one that has just started.
    pub max_missing_new: usize,
    /// Time after start during which a node that is not ready does not pick itself as a reader.
    pub settle_for: Duration,
    /// Time between two ticks after which the process counts as frozen; timeouts then start over.
    pub frozen_after: Duration,
    /// Addresses of peers known from settings or from the log.
    pub seeds: Vec<Box<str>>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            period: Duration::from_secs(1),
            starting_period: Duration::from_millis(250),
            hurry_for: Duration::from_secs(5),
            direct_timeout: Duration::from_millis(500),
            indirect_timeout: Duration::from_secs(1),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(5),
            gone_spread: Duration::from_secs(60),
            prune_after: Duration::from_secs(7200),
            other_zone_every: 4,
            rejoin_every: 10,
            urgent_fanout: 4,
            urgent_interval: Duration::from_millis(200),
            max_recent: 32,
            recent_for: Duration::from_secs(15),
            max_missing: 256,
            max_missing_new: 2048,
            settle_for: Duration::from_secs(2),
            frozen_after: Duration::from_secs(3),
            seeds: Vec::new(),
        }
    }
}

/// A member that came, changed or was forgotten.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The member.
    pub key: MemberKey,
    /// What was known before; none for a new member.
    pub before: Option<Member>,
    /// What is known now; none for a member that was forgotten.
    pub after: Option<Member>,
}

/// The members as one node knows them.
#[derive(Debug, Clone)]
pub struct Roster {
    pub(crate) options: Options,
    pub(crate) own: MemberKey,
    pub(crate) entries: SlotMap<MemberKey, Entry>,
    pub(crate) buckets: Vec<Bucket>,
    /// Members that are not gone, the own one included, in the order of instances.
    pub(crate) zones: BTreeMap<Box<str>, Vec<MemberKey>>,
    /// When a member became Suspect or Gone.
    pub(crate) since: BTreeMap<MemberKey, Duration>,
    pub(crate) recent: BTreeMap<MemberKey, Update>,
    pub(crate) changes: Vec<Change>,
    pub(crate) change_count: u32,
    pub(crate) detail_turns: DetailTurns,
    pub(crate) detector: Detector,
}

impl Roster {
    /// Makes a roster that holds the own member only.
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
            since: BTreeMap::new(),
            recent: BTreeMap::new(),
            changes: Vec::new(),
            change_count: 0,
            detail_turns: DetailTurns::default(),
            detector: Detector::default(),
        };
        roster.own = roster.insert(Duration::ZERO, own);
        roster.changes.clear();
        roster
    }

    /// Returns the own entry, as it is announced.
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

    /// Returns the key of the own entry.
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

    /// Returns a member, unless it was forgotten.
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

    /// Finds the key of an instance.
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

    /// Iterates over all members, gone ones included.
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

    /// Returns the number of members that are not gone, the own one included.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// assert_eq!(Roster::new(own, Options::default()).live_count(), 1);
    /// ```
    pub fn live_count(&self) -> usize {
        self.zones.values().map(Vec::len).sum()
    }

    /// Announces another state of the own member at once.
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

    /// Returns the changes that no call returned yet, such as those that a tick made.
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
