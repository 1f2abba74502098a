//! What the parts of a node share.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hitch_admin::Recorder;
use hitch_contract::Contract;
use hitch_contract::WhenStale;
use hitch_log::Client;
use hitch_once::Key;
use hitch_roster::Member;
use hitch_roster::State;
use hitch_route::Table;
use hitch_settings::node::Settings;
use tokio::sync::Notify;

use crate::blackboard::Blackboard;
use crate::gate::Gate;
use crate::gate::Load;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::shards::lock;
use crate::time::ProcessClock;

/// The node: its settings, its blackboard and its connections.
#[derive(Debug)]
pub struct Node {
    /// Settings that the node was started with.
    pub settings: Settings,
    /// Identity of this run of the node.
    pub incarnation: [u8; 16],
    /// Clock of the process.
    pub time: ProcessClock,
    /// Events and the structured log.
    pub recorder: Recorder,
    /// Metrics.
    pub metrics: Metrics,
    /// Connections to other nodes.
    pub peers: Peers,
    /// Client of the platform's log.
    pub log: Client,
    /// State that controllers and listeners share.
    pub board: Blackboard,
    /// Signals that the node is to leave.
    pub leave: Notify,
    /// Calls that entered the mesh here and are not answered yet.
    pub entered: AtomicU64,
}

/// A call that entered the mesh here. It counts until it is dropped.
#[derive(Debug)]
pub struct Entered<'a> {
    node: &'a Node,
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        self.node.entered.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Node {
    /// Returns the routes in force.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert_eq!(node.table().version(), 0);
    /// # }
    /// ```
    pub fn table(&self) -> Arc<Table> {
        self.board.table.load_full()
    }

    /// Counts a call that entered the mesh here.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// let entered = node.enter();
    /// assert_eq!(node.entered(), 1);
    /// # }
    /// ```
    pub fn enter(&self) -> Entered<'_> {
        self.entered.fetch_add(1, Ordering::Relaxed);
        Entered { node: self }
    }

    /// Returns how many calls that entered the mesh here are not answered yet.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert_eq!(node.entered(), 0);
    /// # }
    /// ```
    pub fn entered(&self) -> u64 {
        self.entered.load(Ordering::Relaxed)
    }

    /// Returns whether a version is in force.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert!(!node.is_configured());
    /// # }
    /// ```
    pub fn is_configured(&self) -> bool {
        self.table().version() > 0
    }

    /// Returns why the node does not serve, or nothing if it does.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert!(node.not_ready_reason().is_some());
    /// # }
    /// ```
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        let own = *lock(&self.board.own);
        if own.draining {
            return Some("the node is draining");
        }
        if !self.is_configured() {
            return Some("no version is in force");
        }
        if !lock(&self.board.spread).is_ready() {
            return Some("the node has not caught up since it started");
        }
        if !lock(&self.board.share).has_base_share(self.time.now()) {
            return Some("the other nodes of the service do not count this one yet");
        }
        if !own.backend_up {
            return Some("the backend server accepts no connections");
        }
        None
    }

    /// Returns whether the node is leaving.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert!(!node.is_draining());
    /// # }
    /// ```
    pub fn is_draining(&self) -> bool {
        lock(&self.board.own).draining
    }

    /// Begins to leave: peers are told at once, queued calls are refused as not run.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// node.drain();
    /// assert!(node.is_draining());
    /// # }
    /// ```
    pub fn drain(&self) {
        lock(&self.board.own).draining = true;
        lock(&self.board.roster).set_state(self.time.now(), State::Draining);
        self.board.membership_wake.notify_one();
        // The keys that this node has not accepted are released before it stops.
        self.board.ownership_wake.notify_one();
        if let Some(gate) = self.board.gate.load_full() {
            gate.drain();
        }
        self.leave.notify_one();
    }

    /// Returns the time since the end of the log was last confirmed, as far as this node knows.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert!(node.confirmed_age() <= std::time::Duration::MAX);
    /// # }
    /// ```
    pub fn confirmed_age(&self) -> Duration {
        let now = self.time.now();
        // A node that never heard of a confirmation has been without one since it started.
        lock(&self.board.spread).confirmed_age(now).unwrap_or(now)
    }

    /// Returns the newest accepted version that this node knows.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert_eq!(node.known_version(), 0);
    /// # }
    /// ```
    pub fn known_version(&self) -> u64 {
        lock(&self.board.config).state.version()
    }

    /// Returns whether the contract forbids non-idempotent calls on a node that is out of touch.
    pub(crate) fn is_refused_as_stale(&self, contract: &Contract) -> bool {
        contract.when_stale == WhenStale::Refuse && self.confirmed_age() > contract.stale_after
    }

    /// Finds what the roster knows of an instance.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert!(node.try_member("i-2").is_none());
    /// # }
    /// ```
    pub fn try_member(&self, instance: &str) -> Option<Member> {
        let roster = lock(&self.board.roster);
        roster.get(roster.try_find(instance)?)
    }

    /// Returns whether a backend server of the service is known on an instance and is not leaving.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert!(!node.knows_backend("ledger", "i-2"));
    /// # }
    /// ```
    pub fn knows_backend(&self, service: &str, instance: &str) -> bool {
        let shard = self.board.pools.lock(service);
        shard
            .get(service)
            .is_some_and(|pool| pool.try_find(instance).is_some())
    }

    /// Returns the queue and the connections of the own backend server, once it is configured.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert!(node.gate_and_backend().is_none());
    /// # }
    /// ```
    pub fn gate_and_backend(&self) -> Option<(Arc<Gate>, Arc<hitch_edge::Backend>)> {
        Some((
            self.board.gate.load_full()?,
            self.board.backend.load_full()?,
        ))
    }

    /// Returns the state of the own queue.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert_eq!(node.load().running, 0);
    /// # }
    /// ```
    pub fn load(&self) -> Load {
        self.board
            .gate
            .load()
            .as_ref()
            .map(|gate| gate.load())
            .unwrap_or_default()
    }

    /// Returns whether the customer's limit for the rank allows one more call here now.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// let admitted = node.admit("association", "fee");
    /// # }
    /// ```
    pub fn admit(&self, customer: &str, rank: &str) -> bool {
        let mut share = lock(&self.board.share);
        match share.try_find(customer, rank) {
            Some(limit) => share.admit(self.time.now(), limit),
            None => false,
        }
    }

    /// Returns the instance that is said to own a key, if one is.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert!(node.try_owner_hint("ledger", "").is_none());
    /// # }
    /// ```
    pub fn try_owner_hint(&self, service: &str, key: &str) -> Option<Box<str>> {
        let bucket = Key::parse(key).ok()?.bucket();
        self.board
            .owners
            .lock(service)
            .get(service)?
            .get(&bucket)
            .cloned()
    }

    /// Notes which instance owns a key. It is a hint: only the owner itself decides.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// node.note_owner("ledger", "", "i-2".into());
    /// # }
    /// ```
    pub fn note_owner(&self, service: &str, key: &str, instance: Box<str>) {
        let Ok(key) = Key::parse(key) else { return };
        let mut shard = self.board.owners.lock(service);
        shard
            .entry(service.into())
            .or_default()
            .insert(key.bucket(), instance);
    }
}
