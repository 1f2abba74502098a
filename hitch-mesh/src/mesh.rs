//! The blackboard that the listeners and controllers of a node read and write.

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

use crate::backend::Beside;
use crate::backend::Change;
use crate::backend::Report;
use crate::backend::Standing;
use crate::execute;
use crate::frame::Member;
use crate::frame::RawConfig;
use crate::frame::State;
use crate::health::Health;
use crate::link::Link;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::report::Reporter;
use crate::settings::Decode;
use crate::settings::RuntimeSettings;
use crate::settings::Settings;
use crate::store::Store;

/// Shards of the maps that every request touches. A node has few threads; more shards would only cost memory.
const SHARDS: u32 = 4;

/// The backend server beside the node, while one start of it lasts.
#[derive(Debug)]
pub(crate) struct Server {
    /// Identity of that start.
    pub(crate) id: Box<str>,
    /// Queue of the calls.
    pub(crate) gate: Gate,
    /// Connections.
    pub(crate) connections: Backend,
    /// How its calls end.
    pub(crate) health: Mutex<Health>,
}

/// The blackboard.
pub struct Mesh {
    /// Settings that the node was started with.
    pub settings: Settings,
    /// Clock of the process.
    pub time: ProcessClock,
    /// The structured log.
    pub reporter: Reporter,
    /// Metrics.
    pub metrics: Metrics,
    pub(crate) runtime: ArcSwap<RuntimeSettings>,
    pub(crate) store: Store,
    pub(crate) decode: Decode,
    pub(crate) table: ArcSwapOption<Table>,
    pub(crate) raw_config: Mutex<Option<Bytes>>,
    /// The configuration in force as it is sent to peers.
    pub(crate) packed_config: Mutex<RawConfig>,
    pub(crate) newest_seen: AtomicU64,
    pub(crate) dividers: Shards<WeightedRoundRobin>,
    pub(crate) pools: Shards<Pool>,
    pub(crate) buckets: Shards<Bucket>,
    pub(crate) links: Mutex<BTreeMap<Box<str>, Arc<Link>>>,
    pub(crate) members: Mutex<Members>,
    pub(crate) members_wake: Notify,
    /// Wakes the controller that decides whether this node reads the store for its zone.
    pub(crate) readers_changed: Notify,
    pub(crate) is_listed: AtomicBool,
    pub(crate) lists_asked: AtomicU64,
    pub(crate) beside: Mutex<Beside>,
    pub(crate) server: ArcSwapOption<Server>,
    pub(crate) state: watch::Sender<State>,
    pub(crate) suspicion: Mutex<Suspicion>,
    pub(crate) draining: AtomicBool,
    pub(crate) closing: AtomicBool,
    pub(crate) entered: AtomicUsize,
    pub(crate) running: AtomicUsize,
    /// Wall clock at which the version in force came into force, in milliseconds since the Unix epoch.
    pub(crate) in_force_at_ms: Mutex<Option<u64>>,
    /// Whether the process is about to end: calls that have not been handed over are taken back.
    pub(crate) ending: watch::Sender<bool>,
    /// Wakes the node when an operator asks it to stop.
    pub(crate) stop_asked: Notify,
}

/// Counts something that is under way until it is dropped.
#[derive(Debug)]
pub(crate) struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    pub(crate) fn new(counter: &'a AtomicUsize) -> Counted<'a> {
        counter.fetch_add(1, Ordering::Relaxed);
        Counted(counter)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Mesh {
    /// Makes the blackboard of a node that has just started.
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
        };
        let (state, _) = watch::channel(State {
            member: Some(member),
            ..State::default()
        });
        Arc::new(Mesh {
            runtime: ArcSwap::from_pointee(settings.runtime),
            time: ProcessClock::start(),
            reporter: Reporter::new(&settings.instance, log),
            metrics: Metrics::default(),
            store,
            decode,
            table: ArcSwapOption::empty(),
            raw_config: Mutex::new(None),
            packed_config: Mutex::new(RawConfig::default()),
            newest_seen: AtomicU64::new(0),
            dividers: Shards::new(SHARDS),
            pools: Shards::new(SHARDS),
            buckets: Shards::new(SHARDS),
            links: Mutex::new(BTreeMap::new()),
            members: Mutex::new(Members::default()),
            members_wake: Notify::new(),
            readers_changed: Notify::new(),
            is_listed: AtomicBool::new(false),
            lists_asked: AtomicU64::new(0),
            beside: Mutex::new(Beside::default()),
            server: ArcSwapOption::empty(),
            state,
            suspicion: Mutex::new(Suspicion::new(Default::default())),
            draining: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            entered: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            in_force_at_ms: Mutex::new(None),
            ending: watch::Sender::new(false),
            stop_asked: Notify::new(),
            settings,
        })
    }

    /// Returns whether the node serves callers.
    ///
    /// ```no_run
    /// # fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>) {
    /// let ready = mesh.is_ready();
    /// # }
    /// ```
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.table.load().is_some()
    }

    /// Returns why the node does not serve callers, or nothing when it does.
    pub(crate) fn not_ready_reason(&self) -> Option<&'static str> {
        match (self.is_draining(), self.is_ready()) {
            (true, _) => Some("the node is stopping"),
            (false, false) => Some("no configuration is known yet"),
            (false, true) => None,
        }
    }

    /// Returns the time since the version in force came into force, by the wall clock; zero while there is none.
    pub(crate) fn config_age(&self) -> Duration {
        let since = *lock(&self.in_force_at_ms);
        since.map_or(Duration::ZERO, |at| {
            Duration::from_millis(wall_ms().saturating_sub(at))
        })
    }

    /// Returns whether the node is stopping.
    ///
    /// ```no_run
    /// # fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>) {
    /// assert!(!mesh.is_draining());
    /// # }
    /// ```
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns the version of the configuration in force, 0 when there is none.
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

    /// Brings changed settings into force.
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
        // The buckets are filled by the old figures; they are made anew on the next request.
        self.buckets.for_each(|shard| shard.clear());
        self.runtime.store(Arc::new(runtime));
        slog::info!(self.reporter.log(), "node: changed settings in force"; "bounds" => ?runtime);
    }

    /// Takes in a report of the backend server beside the node on itself.
    ///
    /// ```no_run
    /// # fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>, report: hitch_mesh::backend::Report) {
    /// mesh.handle_report(report);
    /// # }
    /// ```
    pub fn handle_report(self: &Arc<Mesh>, report: Report) {
        if report.service != self.settings.service {
            slog::warn!(self.reporter.log(), "backend: report of another service ignored";
                "backend" => %report.id, "service" => %report.service);
            return;
        }
        let (change, standing) = {
            let mut beside = lock(&self.beside);
            let change = beside.report(report);
            (change, beside.standing())
        };
        if standing == Standing::Unverified {
            tokio::spawn(execute::verify(self.clone()));
        }
        self.beside_changed(change);
    }

    /// Takes in that the backend server beside the node leaves or has left.
    ///
    /// ```no_run
    /// # fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>) {
    /// mesh.handle_deregistration("i-1");
    /// # }
    /// ```
    pub fn handle_deregistration(self: &Arc<Mesh>, id: &str) {
        let change = lock(&self.beside).left(id);
        self.beside_changed(change);
    }

    /// Follows a change of the backend server beside the node: opens or closes its queue and tells the other nodes.
    pub(crate) fn beside_changed(self: &Arc<Mesh>, change: Change) {
        if change == Change::None {
            return;
        }
        let (standing, latest) = {
            let beside = lock(&self.beside);
            (beside.standing(), beside.latest().cloned())
        };
        slog::info!(self.reporter.log(), "backend: {:?}", standing;
            "backend" => latest.as_ref().map_or("", |r| &r.id));
        let Some(latest) = latest else { return };
        if standing == Standing::Accepting {
            execute::open(self, &latest);
        }
        let accepts = standing == Standing::Accepting && !self.closing.load(Ordering::Relaxed);
        self.state.send_modify(|state| state.accepts = accepts);
        let state = self.state.borrow().clone();
        self.apply_state(&state);
    }

    /// Enters what a node says of itself into the pool of its service.
    pub(crate) fn apply_state(&self, state: &State) {
        let Some(member) = &state.member else { return };
        let standing = match (state.accepts, state.stopping) {
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
            readiness: standing,
        });
        pool.set_failing(&member.address, state.failing);
    }

    /// Takes in how a call of the backend server beside the node ended, and tells the other nodes when the verdict on the
    /// backend server changes.
    pub(crate) fn observe_health(self: &Arc<Mesh>, server: &Arc<Server>, failed: bool) {
        let until = lock(&server.health).observe(self.now(), failed);
        let Some(until) = until else { return };
        slog::warn!(self.reporter.log(), "backend: fails many calls, others are preferred";
            "backend" => %server.id, "for_ms" => until.saturating_sub(self.now()).as_millis() as u64);
        self.set_failing(true);
        let (mesh, server) = (self.clone(), server.clone());
        tokio::spawn(async move {
            tokio::time::sleep(until.saturating_sub(mesh.now())).await;
            // A server that has started anew since then has a health of its own.
            let is_present = mesh
                .server
                .load()
                .as_ref()
                .is_some_and(|s| s.id == server.id);
            if lock(&server.health).try_again(mesh.now()) && is_present {
                slog::info!(mesh.reporter.log(), "backend: is tried again"; "backend" => %server.id);
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

    /// Takes a node that cannot be reached out of the pools.
    pub(crate) fn remove_from_pools(&self, address: &str) {
        self.pools.for_each(|shard| {
            for pool in shard.values_mut() {
                pool.remove(address);
            }
        });
    }

    /// Returns the connection to a node, if one is open.
    pub(crate) fn try_link(&self, address: &str) -> Option<Arc<Link>> {
        let links = lock(&self.links);
        links.get(address).filter(|link| !link.is_closed()).cloned()
    }

    /// Begins to stop: callers are told to go elsewhere, and other nodes to come only when no other backend server takes
    /// calls. The backend server beside the node goes on, and nodes that stop in turn must not leave a service without any.
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

    /// Takes no new requests and calls from here on, so that all that runs ends before the process does.
    pub(crate) fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
        self.state.send_modify(|state| state.accepts = false);
        let state = self.state.borrow().clone();
        self.apply_state(&state);
    }

    /// Resolves when the process is about to end.
    pub(crate) async fn ends(&self) {
        // The sender lives as long as the blackboard.
        let _ = self.ending.subscribe().wait_for(|ending| *ending).await;
    }

    /// Returns how many requests and calls are under way.
    ///
    /// ```no_run
    /// # fn run(mesh: std::sync::Arc<hitch_mesh::Mesh>) {
    /// assert_eq!(mesh.under_way(), 0);
    /// # }
    /// ```
    pub fn under_way(&self) -> usize {
        self.entered.load(Ordering::Relaxed) + self.running.load(Ordering::Relaxed)
    }

    /// Logs why a connection to or of another node ended, unless it was closed in order.
    pub(crate) fn connection_ended(&self, ended: Result<(), Box<str>>) {
        if let Err(reason) = ended
            && let Some(left_out) = self.reporter.admit("peer connection", self.now())
        {
            slog::info!(self.reporter.log(), "peer: a connection broke"; "reason" => %reason,
                "left_out" => left_out);
        }
    }

    pub(crate) fn own_address(&self) -> Box<str> {
        self.settings.peers.to_string().into()
    }

    pub(crate) fn now(&self) -> Duration {
        self.time.now()
    }
}
