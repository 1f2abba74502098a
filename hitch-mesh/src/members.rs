//! The membership list, and when to connect to which member.
//!
//! Records of the store and lists of peers only supply addresses to try. What a node sends about itself on a connection
//! takes precedence over both, so a stale record costs one failed connection attempt and has no other effect. Which
//! members to connect to is the choice of [`hitch_subset`]; this module adds the times of the attempts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hitch_subset::Options;
use hitch_subset::Reach;
use hitch_subset::Subset;

use crate::frame::Member;

/// Time after which a member that cannot be reached is removed. A node that returns at the same address within this
/// time is found without the store.
const EXPIRE_AFTER: Duration = Duration::from_secs(60);
/// Backoff after the first failed attempt to connect.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff between attempts to connect. While the store is down, a node that returns is found within this time.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Time after which a member that this process never reached counts as absent. Nodes that start together reach each other
/// within 2 s.
const ABSENT_AFTER: Duration = Duration::from_secs(3);
/// Time for which a connection is kept after it is no longer selected. The members that changed the choice often change
/// it back within seconds, and a connection costs more than to keep it.
const LINGER: Duration = Duration::from_secs(5);
/// Most connections that are kept although they are not selected. After a start of all nodes the choice changes with
/// each member that becomes known, and hundreds of connections would be kept otherwise.
const MAX_LINGERING: usize = 16;
/// Time for which a member may be unreachable before another one is selected in its place. Nodes that restart together
/// are back within 0.3 s of each other; without this time each of them would connect to nearly all others.
const SUBSTITUTE_AFTER: Duration = Duration::from_millis(400);
/// Time for which a connected member may accept no calls before another one is selected in its place. After a start of
/// all nodes the backend servers accept calls within 2 s; until then each node would connect to all others.
const REPLACE_IDLE_AFTER: Duration = Duration::from_secs(3);
/// Time for which a service counts as called after its last call. Calls to most services come more often.
const CALLED_WITHIN: Duration = Duration::from_secs(300);
/// Most services of a configuration whose nodes are connected to before the first call.
const MAX_EAGER_SERVICES: usize = 16;

/// The membership list, by address.
#[derive(Debug)]
pub struct Members {
    by_address: BTreeMap<Box<str>, Entry>,
    subset: Subset,
    /// Services that are connected to before the first call.
    eager: BTreeSet<Box<str>>,
    /// Time of the latest call to each other service.
    called_at: BTreeMap<Box<str>, Duration>,
    /// Members that are connected to whatever their services are, by what needs them.
    required: BTreeMap<&'static str, BTreeSet<Box<str>>>,
    /// Whether something changed that the selection depends on.
    is_stale: bool,
}

#[derive(Debug)]
struct Entry {
    member: Member,
    selected: bool,
    connected: bool,
    dialing: bool,
    failures: u32,
    next_attempt: Duration,
    unreachable_since: Option<Duration>,
    /// Since when the backend server of a connected member accepts no calls.
    idle_since: Option<Duration>,
    /// Whether another member was selected in its place since then.
    is_replaced: bool,
    /// Since when a connected member is not selected.
    unselected_since: Option<Duration>,
    /// Whether this process was ever connected to it.
    was_connected: bool,
    /// Whether the connection is being closed because the member is not selected.
    retiring: bool,
}

/// Whether a member can be reached, as far as this node knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// A connection to it is open.
    Connected,
    /// It is listed, and this node needs no connection to it or has not tried one yet.
    Listed,
    /// It could not be reached.
    Unreachable,
}

/// What the owner of the list does next.
#[derive(Debug, Default, PartialEq)]
pub struct Due {
    /// Members to connect to. They are marked as being dialled.
    pub connect: Vec<Member>,
    /// Members whose connections are to be closed once their calls have ended.
    pub disconnect: Vec<Box<str>>,
}

impl Members {
    /// Returns the number of listed members, whether or not they can be reached.
    ///
    /// ```
    /// assert_eq!(hitch_mesh::members::Members::new("10.0.0.1:7600", "a").listed(), 0);
    /// ```
    pub fn listed(&self) -> usize {
        self.by_address.len()
    }

    /// Returns the fraction of the listed members whose backend servers are of each service.
    ///
    /// ```
    /// let members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// assert!(members.service_shares().is_empty());
    /// ```
    pub fn service_shares(&self) -> BTreeMap<Box<str>, f64> {
        let each = 1.0 / self.by_address.len().max(1) as f64;
        let mut shares = BTreeMap::new();
        for entry in self.by_address.values() {
            let share: &mut f64 = shares.entry((*entry.member.service).into()).or_default();
            *share += each;
        }
        shares
    }

    /// Creates the list of the node at the address `own`, which knows no other node yet.
    ///
    /// ```
    /// assert!(hitch_mesh::members::Members::new("10.0.0.1:7600", "a").list().is_empty());
    /// ```
    pub fn new(own: &str, zone: &str) -> Members {
        Members {
            by_address: BTreeMap::new(),
            subset: Subset::new(own, zone, Options::default()),
            eager: BTreeSet::new(),
            called_at: BTreeMap::new(),
            required: BTreeMap::new(),
            is_stale: false,
        }
    }

    /// Adds a member that the store or another node listed, and returns whether its address was not known. A later
    /// incarnation of a member that could not be reached is tried at once.
    ///
    /// ```
    /// use hitch_mesh::frame::Member;
    /// let mut members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// let member = Member { address: "10.0.0.2:7600".into(), ..Member::default() };
    /// assert!(members.learn(Default::default(), member.clone()));
    /// assert!(!members.learn(Default::default(), member));
    /// ```
    pub fn learn(&mut self, now: Duration, member: Member) -> bool {
        let known = self.by_address.get(&*member.address);
        if known.is_some_and(|entry| entry.member.incarnation >= member.incarnation) {
            return false;
        }
        self.update(now, member)
    }

    /// Adds a member that introduced itself, and returns whether its address was not known. A member that could not be
    /// reached is tried at once, whatever its clock says of its start.
    ///
    /// ```
    /// use hitch_mesh::frame::Member;
    /// let mut members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// let member = Member { address: "10.0.0.2:7600".into(), ..Member::default() };
    /// assert!(members.introduced(Default::default(), member));
    /// ```
    pub fn introduced(&mut self, now: Duration, member: Member) -> bool {
        self.update(now, member)
    }

    fn update(&mut self, now: Duration, member: Member) -> bool {
        if member.address.is_empty() {
            return false;
        }
        let is_new = !self.by_address.contains_key(&*member.address);
        let entry = self
            .by_address
            .entry((*member.address).into())
            .or_insert_with(|| Entry::new(member.clone(), now));
        if entry.connected {
            return false;
        }
        self.is_stale |= self
            .subset
            .insert(&member.address, &member.zone, &member.service);
        if !entry.dialing && entry.failures > 0 {
            self.is_stale |= self.subset.set_reach(&member.address, Reach::Untried);
            entry.failures = 0;
            entry.next_attempt = now;
        }
        entry.unreachable_since = None;
        entry.member = member;
        is_new
    }

    /// Returns the members to connect to now, and those whose connections are not needed any more. Expired members are
    /// removed.
    ///
    /// ```
    /// let mut members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// assert!(members.take_due(Default::default()).connect.is_empty());
    /// ```
    pub fn take_due(&mut self, now: Duration) -> Due {
        self.remove_expired(now);
        for (address, entry) in &mut self.by_address {
            if entry.replace_at().is_some_and(|at| now >= at) {
                entry.is_replaced = true;
                self.is_stale |= self.subset.set_reach(address, Reach::Idle);
            }
        }
        if self.is_stale {
            self.is_stale = false;
            let selected = self.subset.selected();
            for (address, entry) in &mut self.by_address {
                let is_required = self.required.values().any(|set| set.contains(address));
                let is_selected = selected.contains(address) || is_required;
                entry.set_selected(is_selected, now);
            }
        }
        let mut due = Due::default();
        let lingering = self.by_address.values();
        let lingering = lingering.filter(|entry| entry.disconnect_at().is_some());
        let mut excess = lingering.count().saturating_sub(MAX_LINGERING);
        for (address, entry) in &mut self.by_address {
            let disconnect_at = entry.disconnect_at();
            if disconnect_at.is_some_and(|at| now >= at || excess > 0) {
                excess = excess.saturating_sub(1);
                entry.retiring = true;
                due.disconnect.push(address.clone());
            }
            if entry.connected {
                continue;
            }
            if !entry.selected || entry.dialing || now < entry.next_attempt {
                continue;
            }
            entry.dialing = true;
            due.connect.push(entry.member.clone());
        }
        due
    }

    fn remove_expired(&mut self, now: Duration) {
        let is_expired = |entry: &Entry| {
            let since = entry.unreachable_since;
            !entry.dialing && since.is_some_and(|since| now >= since + EXPIRE_AFTER)
        };
        let expired: Vec<Box<str>> = self
            .by_address
            .iter()
            .filter(|(_, entry)| is_expired(entry))
            .map(|(address, _)| address.clone())
            .collect();
        for address in expired {
            self.by_address.remove(&address);
            self.subset.remove(&address);
            self.is_stale = true;
        }
        let services = self.called_at.len();
        self.called_at.retain(|_, at| now < *at + CALLED_WITHIN);
        if self.called_at.len() < services {
            self.drop_services();
        }
    }

    /// Drops the services that are neither connected to before the first call nor were called lately.
    fn drop_services(&mut self) {
        let is_called =
            |service: &str| self.eager.contains(service) || self.called_at.contains_key(service);
        self.subset.retain_wanted(is_called);
        self.is_stale = true;
    }

    /// Returns the time of the next connection attempt or disconnection, or `None` if no member waits for one.
    ///
    /// ```
    /// let members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// assert!(members.next_due().is_none());
    /// ```
    pub fn next_due(&self) -> Option<Duration> {
        let entries = self.by_address.values();
        let times = entries.filter_map(|entry| match entry.connected {
            true => {
                let times = [entry.disconnect_at(), entry.replace_at()];
                times.into_iter().flatten().min()
            }
            false if entry.selected && !entry.dialing => Some(entry.next_attempt),
            false => None,
        });
        times.min()
    }

    /// Replaces the services of the configuration in force. If they are few, their nodes are connected to before the
    /// first call.
    ///
    /// ```
    /// let mut members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// members.set_services(["ledger"]);
    /// ```
    pub fn set_services<'a>(&mut self, services: impl IntoIterator<Item = &'a str>) {
        let services: BTreeSet<&str> = services.into_iter().collect();
        self.eager.clear();
        if services.len() <= MAX_EAGER_SERVICES {
            self.eager.extend(services.into_iter().map(Box::from));
        }
        for service in &self.eager {
            self.subset.want(service);
        }
        self.drop_services();
    }

    /// Replaces the members that are connected to for a purpose, whatever their services are. Returns whether they changed.
    ///
    /// ```
    /// let mut members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// assert!(members.set_required("limits", ["10.0.0.2:7600".into()].into()));
    /// ```
    pub fn set_required(&mut self, purpose: &'static str, required: BTreeSet<Box<str>>) -> bool {
        let before = self.required.get(purpose);
        let has_changed = before.map_or(!required.is_empty(), |before| *before != required);
        self.required.insert(purpose, required);
        self.is_stale |= has_changed;
        has_changed
    }

    /// Records a call to a service, and returns whether its nodes are not connected to yet.
    ///
    /// ```
    /// let mut members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// assert!(members.called(Default::default(), "ledger"));
    /// assert!(!members.called(Default::default(), "ledger"));
    /// ```
    pub fn called(&mut self, now: Duration, service: &str) -> bool {
        if let Some(at) = self.called_at.get_mut(service) {
            *at = now;
            return false;
        }
        if !self.subset.want(service) {
            return false;
        }
        self.called_at.insert(service.into(), now);
        self.is_stale = true;
        true
    }

    /// Iterates over the members, each with what is known of the connection to it.
    ///
    /// ```
    /// assert_eq!(hitch_mesh::members::Members::new("10.0.0.1:7600", "a").all().count(), 0);
    /// ```
    pub fn all(&self) -> impl Iterator<Item = (Member, Contact)> {
        let entries = self.by_address.values();
        entries.map(|entry| (entry.member.clone(), entry.contact()))
    }

    /// Records that an attempt to connect to a member failed, and sets the backoff until the next one.
    ///
    /// ```
    /// let mut members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// members.connect_failed(Default::default(), "10.0.0.2:7600");
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
        let since = *entry.unreachable_since.get_or_insert(now);
        let reach = match now < since + SUBSTITUTE_AFTER {
            true => Reach::Lost,
            false => Reach::Unreachable,
        };
        self.set_reach(address, reach);
    }

    /// Records that a connection to a member is open, with the entry that the member sent about itself and whether its
    /// backend server accepts calls.
    ///
    /// ```
    /// let mut members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// members.connected(Default::default(), "10.0.0.2:7600", Default::default(), true);
    /// ```
    pub fn connected(&mut self, now: Duration, address: &str, member: Member, accepts: bool) {
        let Some(entry) = self.by_address.get_mut(address) else {
            return;
        };
        entry.dialing = false;
        entry.connected = true;
        entry.was_connected = true;
        entry.set_selected(entry.selected, now);
        entry.failures = 0;
        entry.unreachable_since = None;
        self.is_stale |= self.subset.insert(address, &member.zone, &member.service);
        entry.member = member;
        entry.idle_since = match accepts {
            true => None,
            false => entry.idle_since.or(Some(now)),
        };
        entry.is_replaced &= !accepts;
        let reach = match entry.is_replaced {
            true => Reach::Idle,
            false => Reach::Serving,
        };
        self.set_reach(address, reach);
    }

    /// Records that the connection to a member ended. The next attempt is due at once if the member is still selected.
    ///
    /// ```
    /// let mut members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// members.disconnected(Default::default(), "10.0.0.2:7600");
    /// ```
    pub fn disconnected(&mut self, now: Duration, address: &str) {
        let Some(entry) = self.by_address.get_mut(address) else {
            return;
        };
        entry.dialing = false;
        entry.connected = false;
        entry.next_attempt = now;
        entry.unselected_since = None;
        entry.idle_since = None;
        entry.is_replaced = false;
        let reach = match std::mem::replace(&mut entry.retiring, false) {
            // This node closed the connection.
            true => Reach::Untried,
            false => Reach::Lost,
        };
        if entry.selected {
            entry.unreachable_since = Some(now);
        }
        self.set_reach(address, reach);
    }

    fn set_reach(&mut self, address: &str, reach: Reach) {
        self.is_stale |= self.subset.set_reach(address, reach);
    }

    /// Returns the entries of all members.
    ///
    /// ```
    /// assert!(hitch_mesh::members::Members::new("10.0.0.1:7600", "a").list().is_empty());
    /// ```
    pub fn list(&self) -> Vec<Member> {
        self.by_address.values().map(|e| e.member.clone()).collect()
    }

    /// Returns the entries of all members but those that this process has tried for some time and never reached: entries
    /// of nodes that are gone for good stay in the store.
    ///
    /// ```
    /// let members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// assert!(members.present(Default::default()).is_empty());
    /// ```
    pub fn present(&self, now: Duration) -> Vec<Member> {
        let is_gone = |entry: &&Entry| {
            let since = entry.unreachable_since;
            !entry.was_connected && since.is_some_and(|since| now >= since + ABSENT_AFTER)
        };
        let present = self.by_address.values().filter(|entry| !is_gone(entry));
        present.map(|entry| entry.member.clone()).collect()
    }

    /// Sets whether a connected member is unable to read the store.
    ///
    /// ```
    /// let mut members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// members.set_lacks_store("10.0.0.2:7600", true);
    /// ```
    pub fn set_lacks_store(&mut self, address: &str, lacks_store: bool) {
        self.is_stale |= self.subset.set_lacks_store(address, lacks_store);
    }

    /// Returns whether this node follows the store on behalf of its availability zone, see [`Subset::is_reader`]. A node
    /// without peers always does.
    ///
    /// ```
    /// assert!(hitch_mesh::members::Members::new("10.0.0.1:7600", "a").is_reader());
    /// ```
    pub fn is_reader(&self) -> bool {
        self.subset.is_reader()
    }

    /// Returns the member that reads the store for this node's zone, or one that is nearer to it, see
    /// [`Subset::reader`].
    ///
    /// ```
    /// assert!(hitch_mesh::members::Members::new("10.0.0.1:7600", "a").reader().is_none());
    /// ```
    pub fn reader(&self) -> Option<Box<str>> {
        self.subset.reader()
    }

    /// Returns the position of this node among the readers of the store, see [`Subset::reader_rank`].
    ///
    /// ```
    /// assert_eq!(hitch_mesh::members::Members::new("10.0.0.1:7600", "a").reader_rank("ledger"), 0);
    /// ```
    pub fn reader_rank(&self, name: &str) -> usize {
        self.subset.reader_rank(name)
    }

    /// Returns the members of the zone that this node passes news on to, see [`Subset::news_targets`].
    ///
    /// ```
    /// let members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// assert!(members.news_targets().is_empty());
    /// ```
    pub fn news_targets(&self) -> Vec<Box<str>> {
        self.subset.news_targets()
    }

    /// Returns members of the other zones that get news which arise here, at most `per_zone` of each zone.
    ///
    /// ```
    /// let members = hitch_mesh::members::Members::new("10.0.0.1:7600", "a");
    /// assert!(members.far_targets(2).is_empty());
    /// ```
    pub fn far_targets(&self, per_zone: usize) -> Vec<Box<str>> {
        self.subset.far_targets(per_zone)
    }

    /// Returns whether a member is known to be in a zone.
    ///
    /// ```
    /// assert!(!hitch_mesh::members::Members::new("10.0.0.1:7600", "a").is_in_zone("10.0.0.2:7600", "a"));
    /// ```
    pub fn is_in_zone(&self, address: &str, zone: &str) -> bool {
        let entry = self.by_address.get(address);
        entry.is_some_and(|entry| *entry.member.zone == *zone)
    }

    /// Returns the number of members that this node is connected to.
    ///
    /// ```
    /// assert_eq!(hitch_mesh::members::Members::new("10.0.0.1:7600", "a").connected_count(), 0);
    /// ```
    pub fn connected_count(&self) -> usize {
        self.by_address.values().filter(|e| e.connected).count()
    }

    /// Estimates the number of running nodes, this one included, see [`Subset::running`].
    ///
    /// ```
    /// assert_eq!(hitch_mesh::members::Members::new("10.0.0.1:7600", "a").running(), 1);
    /// ```
    pub fn running(&self) -> usize {
        self.subset.running()
    }
}

impl Entry {
    fn new(member: Member, now: Duration) -> Entry {
        Entry {
            member,
            selected: false,
            connected: false,
            dialing: false,
            failures: 0,
            next_attempt: now,
            unreachable_since: None,
            idle_since: None,
            is_replaced: false,
            unselected_since: None,
            was_connected: false,
            retiring: false,
        }
    }

    fn contact(&self) -> Contact {
        match (self.connected, self.unreachable_since) {
            (true, _) => Contact::Connected,
            (false, None) => Contact::Listed,
            (false, Some(_)) => Contact::Unreachable,
        }
    }

    /// Returns when the connection is to be closed, if it is not selected and not being closed already.
    fn disconnect_at(&self) -> Option<Duration> {
        let since = self
            .unselected_since
            .filter(|_| self.connected && !self.retiring);
        since.map(|since| since + LINGER)
    }

    /// Returns when another member is selected in place of this one, whose backend server accepts no calls.
    fn replace_at(&self) -> Option<Duration> {
        let since = self.idle_since.filter(|_| !self.is_replaced);
        since.map(|since| since + REPLACE_IDLE_AFTER)
    }

    fn set_selected(&mut self, selected: bool, now: Duration) {
        self.selected = selected;
        self.unselected_since = match (selected, self.connected) {
            (false, true) => self.unselected_since.or(Some(now)),
            _ => None,
        };
    }
}
