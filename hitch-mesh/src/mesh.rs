//! The blackboard of a node: one shared store of state that the listeners and background tasks of the node read and
//! write.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use hitch_edge::Backend;
use hitch_edge::bounds::Bounds;
use hitch_gate::Gate;
use hitch_gate::shards::Shards;
use hitch_gate::shards::lock;
use hitch_gate::time::ProcessClock;
use hitch_gate::time::wall_ms;
use hitch_retry::budget::Bucket;
use hitch_retry::suspicion::Suspicion;
use hitch_route::Pool;
use hitch_route::hosts::Table;
use hitch_route::hosts::WeightedRoundRobin;
use hitch_route::pool;
use hitch_route::pool::Readiness as PoolReadiness;
use slog::Logger;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::backend::Availability;
use crate::backend::Change;
use crate::backend::LocalBackend;
use crate::backend::Report;
use crate::dependence::Behind;
use crate::execute;
use crate::frame::Kind;
use crate::frame::Member;
use crate::frame::RawConfig;
use crate::frame::State;
use crate::freshness::Freshness;
use crate::health::PassiveHealth;
use crate::link::Link;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::nested::NestedRoutes;
use crate::quota::Quota;
use crate::report::Reporter;
use crate::rollout;
use crate::rollout::Rollouts;
use crate::settings::Decode;
use crate::settings::RuntimeSettings;
use crate::settings::Settings;
use crate::store::Store;

/// Shards of the maps that every request locks. A node has few threads; more shards would only cost memory.
const SHARDS: u32 = 4;

/// Nodes of each other zone that get news from the node where they arise. The second one covers the loss of the first.
const FAR_TARGETS_PER_ZONE: usize = 2;

/// The local backend server during one incarnation: it is replaced when the backend server restarts.
#[derive(Debug)]
pub(crate) struct Server {
    /// Identity of the incarnation, from the backend server's report.
    pub(crate) id: Box<str>,
    /// Admission queue of the calls.
    pub(crate) gate: Gate,
    /// Connection pool.
    pub(crate) connections: Backend,
    /// Failure rate of its calls.
    pub(crate) health: Mutex<PassiveHealth>,
    /// Whether its queue admits by measurement, as the settings said when it became available.
    pub(crate) is_measured: bool,
    /// Time at which the node first saw the incarnation.
    pub(crate) opened: Duration,
}

/// The blackboard that the listeners and background tasks of a node read and write.
pub struct Mesh {
    /// Settings that the node was started with. The current [`RuntimeSettings`] may differ from those in here.
    pub settings: Settings,
    /// Clock of the process.
    pub time: ProcessClock,
    /// Rate-limited log and event recorder.
    pub reporter: Reporter,
    /// Counters, gauges and histograms.
    pub metrics: Metrics,
    pub(crate) runtime: ArcSwap<RuntimeSettings>,
    /// Limits on what the node holds for callers.
    pub(crate) bounds: Arc<Bounds>,
    pub(crate) store: Store,
    pub(crate) decode: Decode,
    /// Routes of the configuration in force.
    pub(crate) table: ArcSwapOption<Table>,
    /// The configuration in force as published in the store. Its lock is held while `table` is replaced.
    pub(crate) raw_config: Mutex<Option<Bytes>>,
    /// The configuration in force, compressed for transfer to peers.
    pub(crate) compressed_config: Mutex<RawConfig>,
    /// Newest version that is in force here or known to be in force at a peer.
    pub(crate) newest_known_version: AtomicU64,
    /// Newest version that was requested from a peer.
    pub(crate) requested_version: AtomicU64,
    /// Weighted choice among the services of a route, by route.
    pub(crate) round_robins: Shards<WeightedRoundRobin>,
    /// Backend servers known to this node, by service.
    pub(crate) pools: Shards<Pool>,
    /// Retry credit, by service.
    pub(crate) retry_buckets: Shards<Bucket>,
    /// Open connections to peers, by address.
    pub(crate) links: Mutex<BTreeMap<Box<str>, Arc<Link>>>,
    pub(crate) members: Mutex<Members>,
    /// Members that introduced themselves and are not passed on to other nodes yet.
    pub(crate) introductions: Mutex<Vec<Member>>,
    /// Wakes the task that passes on introductions.
    pub(crate) introduced: Notify,
    /// Wakes the task that connects to members.
    pub(crate) dial_wake: Notify,
    /// Wakes the task that decides whether this node reads the store on behalf of its zone.
    pub(crate) readers_changed: Notify,
    /// Whether this node is registered in the store and has read the list of members from it.
    pub(crate) is_registered: AtomicBool,
    /// Estimated number of running nodes, this one included.
    pub(crate) running_nodes: AtomicUsize,
    /// Number of requests for a list of members that were sent to peers.
    pub(crate) member_requests: AtomicU64,
    pub(crate) local_backend: Mutex<LocalBackend>,
    /// Queue and connections of the local backend server, once it has become available.
    pub(crate) server: ArcSwapOption<Server>,
    /// State that this node sends to its peers on each change.
    pub(crate) state: watch::Sender<State>,
    /// Limits of organisations.
    pub(crate) quota: Quota,
    /// Routes of nested calls.
    pub(crate) nested_routes: NestedRoutes,
    /// Evidence on requests that crash backend servers.
    pub(crate) suspicion: Mutex<Suspicion>,
    /// Services that the local backend server calls, and those behind other services.
    pub(crate) behind: Behind,
    /// Orders to replace the versions of services.
    pub(crate) rollouts: Rollouts,
    pub(crate) draining: AtomicBool,
    /// Whether new requests and calls are refused, as the last phase of draining.
    pub(crate) closing: AtomicBool,
    pub(crate) requests_in_flight: AtomicUsize,
    pub(crate) calls_in_flight: AtomicUsize,
    /// Wall clock time at which the version in force came into force, in milliseconds since the Unix epoch.
    pub(crate) in_force_at_ms: Mutex<Option<u64>>,
    /// Set shortly before the process exits: calls that have not been sent to a backend server are cancelled.
    pub(crate) terminating: watch::Sender<bool>,
    /// Proofs of how recent the configuration is.
    pub(crate) freshness: Freshness,
    /// Newest known era of the store, 0 until one is known. It rises when the store comes back from an older copy of its
    /// records: offsets of the earlier era have no meaning, and records that were acknowledged may be missing.
    pub store_era: watch::Sender<u64>,
    /// Wakes [`crate::run::until`] when an operator requests a stop.
    pub(crate) stop_requested: Notify,
}

/// Keeps a counter of requests or calls in flight raised until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard<'a>(&'a AtomicUsize);

impl<'a> InFlightGuard<'a> {
    pub(crate) fn new(counter: &'a AtomicUsize) -> InFlightGuard<'a> {
        counter.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(counter)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Mesh {
    /// Creates the blackboard of a node that has just started.
    ///
    /// ```no_run
    /// # fn run(settings: hitch_mesh::settings::Settings, store: hitch_mesh::store::Store,
    /// #     decode: hitch_mesh::settings::Decode, log: slog::Logger) {
    /// let mesh = hitch_mesh::Mesh::new(settings, store, decode, log);
    /// assert!(!mesh.is_ready());
    /// # }
    /// ```
    pub fn new(settings: Settings, store: Store, decode: Decode, log: Logger) -> Arc<Mesh> {
        let member = Member {
            address: settings.peers.to_string(),
            instance: settings.instance.to_string(),
            zone: settings.zone.to_string(),
            service: settings.service.to_string(),
            incarnation: wall_ms(),
            admin_port: settings.admin.port().into(),
            software_version: String::new(),
        };
        let (state, _) = watch::channel(State {
            member: Some(member),
            ..State::default()
        });
        let time = ProcessClock::start();
        Arc::new(Mesh {
            runtime: ArcSwap::from_pointee(settings.runtime),
            bounds: Bounds::new(time, settings.max_memory_bytes, settings.max_sockets),
            time,
            reporter: Reporter::new(&settings.instance, log),
            metrics: Metrics::default(),
            store,
            decode,
            table: ArcSwapOption::empty(),
            raw_config: Mutex::new(None),
            compressed_config: Mutex::new(RawConfig::default()),
            newest_known_version: AtomicU64::new(0),
            requested_version: AtomicU64::new(0),
            round_robins: Shards::new(SHARDS),
            pools: Shards::new(SHARDS),
            retry_buckets: Shards::new(SHARDS),
            links: Mutex::new(BTreeMap::new()),
            members: Mutex::new(Members::new(&settings.peers.to_string(), &settings.zone)),
            introductions: Mutex::default(),
            introduced: Notify::new(),
            dial_wake: Notify::new(),
            readers_changed: Notify::new(),
            is_registered: AtomicBool::new(false),
            running_nodes: AtomicUsize::new(1),
            member_requests: AtomicU64::new(0),
            local_backend: Mutex::new(LocalBackend::default()),
            server: ArcSwapOption::empty(),
            state,
            quota: Quota::new(&settings, Duration::ZERO),
            nested_routes: NestedRoutes::default(),
            suspicion: Mutex::new(Suspicion::new(Default::default())),
            behind: Behind::default(),
            rollouts: Rollouts::default(),
            draining: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            requests_in_flight: AtomicUsize::new(0),
            calls_in_flight: AtomicUsize::new(0),
            in_force_at_ms: Mutex::new(None),
            terminating: watch::Sender::new(false),
            freshness: Freshness::default(),
            store_era: watch::Sender::new(0),
            stop_requested: Notify::new(),
            settings,
        })
    }

    /// Returns whether the node serves callers: a configuration is in force and the node is not draining.
    ///
    /// ```no_run
    /// # fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>) {
    /// let ready = mesh.is_ready();
    /// # }
    /// ```
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.table.load().is_some()
    }

    /// Returns why the node does not serve callers, or `None` if it does.
    pub(crate) fn not_ready_reason(&self) -> Option<&'static str> {
        match (self.is_draining(), self.is_ready()) {
            (true, _) => Some("the node is stopping"),
            (false, false) => Some("no configuration is known yet"),
            (false, true) => None,
        }
    }

    /// Returns the wall clock time since the version in force came into force; zero while there is none.
    pub(crate) fn config_age(&self) -> Duration {
        let in_force_at = *lock(&self.in_force_at_ms);
        in_force_at.map_or(Duration::ZERO, |at| {
            Duration::from_millis(wall_ms().saturating_sub(at))
        })
    }

    /// Returns whether the node is draining before it stops.
    ///
    /// ```no_run
    /// # fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>) {
    /// assert!(!mesh.is_draining());
    /// # }
    /// ```
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    ///
    /// ```no_run
    /// # fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>) {
    /// let version = mesh.version();
    /// # }
    /// ```
    pub fn version(&self) -> u64 {
        self.table
            .load()
            .as_ref()
            .map_or(0, |table| table.config().version)
    }

    /// Returns the number of nodes that this node is connected to.
    ///
    /// ```no_run
    /// # fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>) {
    /// let peers = mesh.connected_peers();
    /// # }
    /// ```
    pub fn connected_peers(&self) -> usize {
        lock(&self.members).connected_count()
    }

    /// Replaces the settings that may change at run time.
    ///
    /// ```no_run
    /// # fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>, runtime: hitch_mesh::settings::RuntimeSettings) {
    /// mesh.set_runtime_settings(runtime);
    /// # }
    /// ```
    pub fn set_runtime_settings(&self, runtime: RuntimeSettings) {
        if **self.runtime.load() == runtime {
            slog::info!(
                self.reporter.log(),
                "node: settings read again, nothing changed"
            );
            return;
        }
        self.runtime.store(Arc::new(runtime));
        slog::info!(self.reporter.log(), "node: changed settings in force"; "settings" => ?runtime);
    }

    /// Handles a report that the local backend server sent about itself. A report of another service is ignored.
    ///
    /// ```no_run
    /// # fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>, report: hitch_mesh::backend::Report) {
    /// mesh.handle_report(report);
    /// # }
    /// ```
    pub fn handle_report(self: &Arc<Mesh>, report: Report) {
        if report.service != self.settings.service {
            slog::warn!(self.reporter.log(), "backend: report ignored, the backend server is of another service";
                "backend" => %report.id, "service" => %report.service);
            return;
        }
        rollout::on_report(self, report.cold_remaining);
        let (change, availability) = {
            let mut local_backend = lock(&self.local_backend);
            let change = local_backend.report(report);
            (change, local_backend.availability())
        };
        if availability == Availability::Unverified {
            tokio::spawn(execute::verify(self.clone()));
        }
        self.on_backend_change(change);
    }

    /// Handles the deregistration of the local backend server `id`, which drains or has stopped.
    ///
    /// ```no_run
    /// # fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>) {
    /// mesh.handle_deregistration("i-1");
    /// # }
    /// ```
    pub fn handle_deregistration(self: &Arc<Mesh>, id: &str) {
        let change = lock(&self.local_backend).deregistered(id);
        self.on_backend_change(change);
    }

    /// Reacts to a change of the local backend server: opens or reconfigures its queue and sends the node's new state
    /// to the peers.
    pub(crate) fn on_backend_change(self: &Arc<Mesh>, change: Change) {
        if change == Change::None {
            return;
        }
        let (availability, latest) = {
            let local_backend = lock(&self.local_backend);
            (
                local_backend.availability(),
                local_backend.latest().cloned(),
            )
        };
        slog::info!(self.reporter.log(), "backend: availability {:?}", availability;
            "backend" => latest.as_ref().map_or("", |r| &r.id));
        let Some(latest) = latest else { return };
        if availability == Availability::Accepting {
            execute::open_queue(self, &latest);
        }
        let accepts =
            availability == Availability::Accepting && !self.closing.load(Ordering::Relaxed);
        self.state.send_modify(|state| {
            state.accepts = accepts;
            if let Some(member) = &mut state.member {
                member.software_version = latest.version.to_string();
            }
        });
        let state = self.state.borrow().clone();
        self.apply_state(&state);
    }

    /// Updates the pool of a node's service with the state that the node sent about itself.
    pub(crate) fn apply_state(&self, state: &State) {
        let Some(member) = &state.member else { return };
        let readiness = match (state.accepts, state.stopping) {
            (true, false) => PoolReadiness::Accepting,
            (true, true) => PoolReadiness::Stopping,
            (false, _) => PoolReadiness::Unavailable,
        };
        let mut shard = self.pools.lock(&member.service);
        let pool = shard
            .entry((*member.service).into())
            .or_insert_with(|| Pool::new(&self.settings.zone));
        pool.upsert(pool::Backend {
            instance: (*member.address).into(),
            zone: (*member.zone).into(),
            address: (*member.address).into(),
            readiness,
        });
        pool.set_version(&member.address, &member.software_version);
        pool.set_failing(&member.address, state.failing);
    }

    /// Records the result of a call to the local backend server. When the backend server becomes failing or stops to be
    /// so, the peers receive the new state.
    pub(crate) fn record_call_result(self: &Arc<Mesh>, server: &Arc<Server>, failed: bool) {
        let until = lock(&server.health).record(self.now(), failed);
        let Some(until) = until else { return };
        slog::warn!(self.reporter.log(), "backend: failing, other backend servers are preferred";
            "backend" => %server.id, "for_ms" => until.saturating_sub(self.now()).as_millis() as u64);
        self.set_failing(true);
        let (mesh, server) = (self.clone(), server.clone());
        tokio::spawn(async move {
            tokio::time::sleep(until.saturating_sub(mesh.now())).await;
            // A later incarnation has failure statistics of its own.
            let is_current = mesh
                .server
                .load()
                .as_ref()
                .is_some_and(|s| s.id == server.id);
            if lock(&server.health).end_failing_period(mesh.now()) && is_current {
                slog::info!(mesh.reporter.log(), "backend: failing period ended"; "backend" => %server.id);
                mesh.set_failing(false);
            }
        });
    }

    pub(crate) fn set_failing(&self, failing: bool) {
        let changed = self.state.send_if_modified(|state| {
            let changed = state.failing != failing;
            state.failing = failing;
            changed
        });
        if changed {
            let state = self.state.borrow().clone();
            self.apply_state(&state);
        }
    }

    /// Removes a node that cannot be reached from the pools of all services.
    pub(crate) fn remove_from_pools(&self, address: &str) {
        self.pools.for_each(|shard| {
            for pool in shard.values_mut() {
                pool.remove(address);
            }
        });
    }

    /// Returns the connection to a node if one is open.
    pub(crate) fn try_link(&self, address: &str) -> Option<Arc<Link>> {
        let links = lock(&self.links);
        links.get(address).filter(|link| !link.is_closed()).cloned()
    }

    /// Sends a frame to the nodes that pass news on in this node's zone.
    pub(crate) fn spread(&self, kind: &Kind) {
        let targets = lock(&self.members).news_targets();
        self.send_to(targets, kind);
    }

    /// Sends a frame to nodes of every other zone, which pass it on there.
    pub(crate) fn spread_to_other_zones(&self, kind: &Kind) {
        let targets = lock(&self.members).far_targets(FAR_TARGETS_PER_ZONE);
        self.send_to(targets, kind);
    }

    fn send_to(&self, targets: Vec<Box<str>>, kind: &Kind) {
        for address in targets {
            if let Some(link) = self.try_link(&address) {
                link.send(kind.clone());
            }
        }
    }

    /// Starts draining: the readiness check fails, so that callers go elsewhere, and peers send calls only if no other
    /// backend server of the service accepts any. The local backend server keeps accepting, because nodes that stop one
    /// after the other must not leave a service without any.
    ///
    /// ```no_run
    /// # fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>) {
    /// mesh.drain();
    /// assert!(mesh.is_draining());
    /// # }
    /// ```
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.state.send_modify(|state| state.stopping = true);
        let state = self.state.borrow().clone();
        self.apply_state(&state);
    }

    /// Refuses new requests and calls from now on, so that all that run end before the process exits.
    pub(crate) fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
        self.state.send_modify(|state| state.accepts = false);
        let state = self.state.borrow().clone();
        self.apply_state(&state);
    }

    /// Resolves shortly before the process exits.
    pub(crate) async fn await_termination(&self) {
        // The sender lives as long as this state.
        let _ = self
            .terminating
            .subscribe()
            .wait_for(|terminating| *terminating)
            .await;
    }

    /// Returns the number of requests that entered at this node and of calls for its local backend server that are in
    /// flight.
    ///
    /// ```no_run
    /// # fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>) {
    /// assert_eq!(mesh.in_flight(), 0);
    /// # }
    /// ```
    pub fn in_flight(&self) -> usize {
        self.requests_in_flight.load(Ordering::Relaxed)
            + self.calls_in_flight.load(Ordering::Relaxed)
    }

    /// Logs why a connection to or from a peer failed; an orderly close is not logged.
    pub(crate) fn log_connection_end(&self, ended: Result<(), Box<str>>) {
        if let Err(reason) = ended
            && let Some(suppressed) = self.reporter.try_write("peer connection", self.now())
        {
            slog::info!(self.reporter.log(), "peer: connection failed"; "reason" => %reason,
                "suppressed" => suppressed);
        }
    }

    pub(crate) fn own_address(&self) -> Box<str> {
        self.settings.peers.to_string().into()
    }

    pub(crate) fn now(&self) -> Duration {
        self.time.now()
    }
}
