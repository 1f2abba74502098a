//! The node object that listeners and controllers share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hitch_admin::Recorder;
use hitch_contract::Contract;
use hitch_contract::WhenStale;
use hitch_edge::bounds::Bounds;
use hitch_edge::bounds::Limit;
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
use crate::metrics::LimitLabels;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::shards::lock;
use crate::time::ProcessClock;

/// Least time between two log lines about limits that acted.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A node: its settings, blackboard, metrics and connections.
#[derive(Debug)]
pub struct Node {
    /// Settings that the node was started with.
    pub settings: Settings,
    /// UUIDv7 that identifies this run of the process and orders it by start time.
    pub incarnation: [u8; 16],
    /// Clock that counts from the start of the process.
    pub time: ProcessClock,
    /// Recorder of events, with the structured log.
    pub recorder: Recorder,
    /// Metrics that the admin listener serves.
    pub metrics: Metrics,
    /// Connections to other nodes.
    pub peers: Peers,
    /// Client of the platform's log.
    pub log: Client,
    /// Blackboard that controllers and listeners read and write.
    pub board: Blackboard,
    /// Signalled when draining starts.
    pub drain_started: Notify,
    /// Number of calls that entered the mesh at this node and are not answered yet.
    pub ingress_in_flight: AtomicU64,
    /// Limits on what the node holds for callers.
    pub bounds: Arc<Bounds>,
    /// Time of the last log line about a limit that acted, and the lines that were suppressed since then.
    pub limit_log: Mutex<(Option<Duration>, u64)>,
}

/// Counts one call that entered the mesh at this node, until it is dropped.
#[derive(Debug)]
pub struct IngressGuard<'a> {
    node: &'a Node,
}

impl Drop for IngressGuard<'_> {
    fn drop(&mut self) {
        self.node.ingress_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Node {
    /// Counts a limit on callers that acted, and logs it, at most once a second.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// node.report_limit(hitch_edge::bounds::Limit::BodyMemory);
    /// # }
    /// ```
    pub fn report_limit(&self, limit: Limit) {
        let limit = limit.label();
        let labels = LimitLabels { limit };
        self.metrics.limits_reached.get_or_create(&labels).inc();
        let now = self.time.now();
        let mut log = lock(&self.limit_log);
        if log
            .0
            .is_some_and(|last| now.saturating_sub(last) < LIMIT_LOG_INTERVAL)
        {
            log.1 += 1;
            return;
        }
        let suppressed = std::mem::take(&mut log.1);
        log.0 = Some(now);
        slog::warn!(self.recorder.log(), "bounds: {}", limit;
            "held_bytes" => self.bounds.account.used(), "account_bytes" => self.bounds.account.total(),
            "connections" => self.bounds.connection_count(), "suppressed" => suppressed);
    }

    /// Returns the routing table in force.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert_eq!(node.table().version(), 0);
    /// # }
    /// ```
    pub fn table(&self) -> Arc<Table> {
        self.board.table.load_full()
    }

    /// Counts a call that entered the mesh at this node until the guard is dropped.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// let guard = node.track_ingress();
    /// assert_eq!(node.ingress_in_flight(), 1);
    /// # }
    /// ```
    pub fn track_ingress(&self) -> IngressGuard<'_> {
        self.ingress_in_flight.fetch_add(1, Ordering::Relaxed);
        IngressGuard { node: self }
    }

    /// Returns the number of calls that entered the mesh at this node and are not answered yet.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert_eq!(node.ingress_in_flight(), 0);
    /// # }
    /// ```
    pub fn ingress_in_flight(&self) -> u64 {
        self.ingress_in_flight.load(Ordering::Relaxed)
    }

    /// Returns whether a configuration version is in force.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert!(!node.is_configured());
    /// # }
    /// ```
    pub fn is_configured(&self) -> bool {
        self.table().version() > 0
    }

    /// Returns why the node is not ready to serve calls, or `None` if it is ready.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert!(node.not_ready_reason().is_some());
    /// # }
    /// ```
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        let status = *lock(&self.board.local);
        if status.draining {
            return Some("the node is draining");
        }
        if !self.is_configured() {
            return Some("no version is in force");
        }
        if !lock(&self.board.spread).is_ready() {
            return Some("the node has not caught up since it started");
        }
        if !lock(&self.board.share).has_joined() {
            return Some("the other nodes of the service do not count this one yet");
        }
        if !status.backend_up {
            return Some("the backend server accepts no connections");
        }
        None
    }

    /// Returns whether the node is draining.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert!(!node.is_draining());
    /// # }
    /// ```
    pub fn is_draining(&self) -> bool {
        lock(&self.board.local).draining
    }

    /// Starts draining: announces the state to peers at once and refuses queued calls as not run.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// node.drain();
    /// assert!(node.is_draining());
    /// # }
    /// ```
    pub fn drain(&self) {
        lock(&self.board.local).draining = true;
        lock(&self.board.roster).set_state(self.time.now(), State::Draining);
        self.board.membership_wake.notify_one();
        // The ownership controller must release the keys that this node has not accepted before it
        // stops.
        self.board.ownership_wake.notify_one();
        if let Some(gate) = self.board.gate.load_full() {
            gate.drain();
        }
        self.drain_started.notify_one();
    }

    /// Returns the time since the configuration was last confirmed to include the end of the log,
    /// by this node or by peers.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert!(node.confirmed_age() <= std::time::Duration::MAX);
    /// # }
    /// ```
    pub fn confirmed_age(&self) -> Duration {
        let now = self.time.now();
        // Without any confirmation the age counts from the start of the node.
        lock(&self.board.spread).confirmed_age(now).unwrap_or(now)
    }

    /// Returns the newest accepted configuration version that this node knows.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert_eq!(node.known_version(), 0);
    /// # }
    /// ```
    pub fn known_version(&self) -> u64 {
        lock(&self.board.config).state.version()
    }

    /// Returns whether the contract refuses non-idempotent calls here because the configuration was
    /// not confirmed recently enough.
    pub(crate) fn is_refused_as_stale(&self, contract: &Contract) -> bool {
        contract.when_stale == WhenStale::Refuse && self.confirmed_age() > contract.stale_after
    }

    /// Returns the membership entry of an instance, or `None` if the instance is unknown.
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

    /// Returns whether `instance` is known to run a backend server of `service` that is neither
    /// draining, suspected nor gone.
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

    /// Returns the queue and the connections of the local backend server, or `None` until its
    /// service is configured.
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

    /// Returns the load of the local backend server, which is zero until its service is configured.
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

    /// Returns whether this node's share of the customer's limit for the rank admits one more call
    /// now.
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

    /// Returns the instance that owns a key according to other nodes, or `None` if none was named.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// assert!(node.try_owner_hint("ledger", "").is_none());
    /// # }
    /// ```
    pub fn try_owner_hint(&self, service: &str, key: &str) -> Option<Box<str>> {
        let bucket = Key::parse(key).ok()?.bucket();
        self.board
            .owner_hints
            .lock(service)
            .get(service)?
            .get(&bucket)
            .cloned()
    }

    /// Stores which instance owns a key. This is a hint: only the owner itself decides.
    ///
    /// ```no_run
    /// # fn run(node: hitch_node::Node) {
    /// node.set_owner_hint("ledger", "", "i-2".into());
    /// # }
    /// ```
    pub fn set_owner_hint(&self, service: &str, key: &str, instance: Box<str>) {
        let Ok(key) = Key::parse(key) else { return };
        let mut shard = self.board.owner_hints.lock(service);
        shard
            .entry(service.into())
            .or_default()
            .insert(key.bucket(), instance);
    }
}
