//! The backend servers of one service, and the choice among them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use slotmap::SlotMap;

slotmap::new_key_type! {
    /// Identifies a backend server in its pool.
    pub struct BackendKey;
}

/// Weight of the latest latency in the exponentially weighted moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Weight of the latest result in the exponentially weighted moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Failure rate from which a backend server is ejected as an outlier.
const OUTLIER_FAILURE_RATE: f64 = 0.5;
/// Duration of the first ejection of an outlier. Each further ejection lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Age from which a load report is ignored, because reports lag behind the actual load.
const LOAD_TTL: Duration = Duration::from_millis(500);
/// Cost factor of a backend server that refused a call within the last [`REFUSAL_TTL`].
const REFUSAL_PENALTY: f64 = 4.0;
/// Cost factor of a backend server whose own node reports that it fails many calls. Excluding it instead
/// cost more, in calls that the others refused, than it saved: the other two backend servers of a service
/// of three do not have the capacity for all calls.
const FAILING_PENALTY: f64 = 4.0;
/// Time for which a refusal raises the cost of a backend server.
const REFUSAL_TTL: Duration = Duration::from_millis(200);
/// Ratio of the cost or wait in another availability zone to that in the own zone, below which the other
/// zone is chosen.
const SPILL_RATIO: f64 = 0.5;
/// Maximum number of backend servers that [`Pool::pick_by_wait`] compares in one zone.
const MAX_SAMPLE: usize = 8;
/// Concurrency limit assumed for a backend server before its node has reported its load.
const DEFAULT_LIMIT: f64 = 8.0;
/// Latency assumed for a backend server that has not answered yet.
const DEFAULT_LATENCY: Duration = Duration::from_millis(5);

/// Whether a backend server accepts calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// It is starting and will accept calls soon.
    Starting,
    /// It accepts calls.
    Accepting,
    /// It is shutting down but still accepts calls for a short time. It is chosen only if no other
    /// backend server accepts calls.
    Stopping,
    /// It accepts no calls: it is draining, suspected to have failed, or gone.
    Unavailable,
}

/// A backend server, as the membership list describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Instance that the backend server and its node run on.
    pub instance: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Address of the node's peer listener.
    pub address: Box<str>,
    /// Whether it accepts calls.
    pub readiness: Readiness,
}

impl Backend {
    fn accepts(&self) -> bool {
        self.readiness == Readiness::Accepting
    }
}

/// Versions of backend servers among which one is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Versions<'a> {
    /// All versions.
    Any,
    /// All but some versions.
    Except {
        /// Versions that are left out.
        versions: &'a [Box<str>],
        /// Whether backend servers of an unknown version are left out, too.
        unknown: bool,
    },
    /// One version only.
    Only {
        /// The version.
        version: &'a str,
        /// Instances of it among which one is chosen; empty for all.
        instances: &'a [Box<str>],
    },
}

impl Versions<'_> {
    fn admits(self, entry: &Entry) -> bool {
        match self {
            Versions::Any => true,
            Versions::Except { versions, unknown } => {
                let is_left_out = unknown && entry.version.is_empty();
                !is_left_out && !versions.contains(&entry.version)
            }
            Versions::Only { version, instances } => {
                let is_listed = instances.is_empty() || instances.contains(&entry.backend.instance);
                *entry.version == *version && is_listed
            }
        }
    }
}

/// The load that a node reports with its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of calls that the backend server is running.
    pub running: u32,
    /// Number of calls that wait in the node's queue.
    pub queued: u32,
    /// Maximum number of calls that the node runs concurrently.
    pub limit: u32,
}

/// How an attempt at a backend server ended, as seen by the sending node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finished {
    /// The backend server answered.
    Answered {
        /// Time from sending the call to receiving the answer.
        latency: Duration,
    },
    /// The node refused the call, for a reason that does not indicate a fault of the backend server.
    Refused,
    /// The backend server or its node failed.
    Failed,
    /// The sending node stopped waiting for the answer.
    Abandoned,
}

#[derive(Debug)]
struct Entry {
    backend: Backend,
    /// Version of the backend server's software; empty if unknown.
    version: Box<str>,
    in_flight: u32,
    latency: Option<Duration>,
    failure_rate: f64,
    ejections: u32,
    ejected_until: Duration,
    /// Whether its own node reports that it fails many calls.
    is_failing: bool,
    refused_at: Option<Duration>,
    load: Option<LoadReport>,
}

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    received_at: Duration,
    load: Load,
    // Calls of this node that were in flight when the report arrived and that it counts already.
    in_flight: u32,
}

/// The backend servers of one service, with the statistics that the choice among them uses.
///
/// All times are durations since a fixed origin, such as the start of the process.
#[derive(Debug)]
pub struct Pool {
    own_zone: Box<str>,
    entries: SlotMap<BackendKey, Entry>,
    by_instance: BTreeMap<Box<str>, BackendKey>,
}

/// The backend server chosen for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Identifies the backend server in the pool.
    pub key: BackendKey,
    /// Instance of the backend server.
    pub instance: Box<str>,
    /// Address of its node's peer listener.
    pub address: Box<str>,
}

impl Pool {
    /// Creates an empty pool for a node in the given availability zone.
    ///
    /// ```
    /// assert!(hitch_route::Pool::new("nl-west-a").is_empty());
    /// ```
    pub fn new(own_zone: &str) -> Pool {
        Pool {
            own_zone: own_zone.into(),
            entries: SlotMap::with_key(),
            by_instance: BTreeMap::new(),
        }
    }

    /// Returns whether no backend server accepts calls now or will accept them soon.
    ///
    /// A pool with a starting backend server is not empty: when all nodes start together, the first
    /// configuration version has to come into force before any backend server can announce that it is
    /// ready.
    ///
    /// ```
    /// assert!(hitch_route::Pool::new("a").is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        !self
            .entries
            .values()
            .any(|e| e.backend.readiness != Readiness::Unavailable)
    }

    /// Adds a backend server or updates it. Its statistics are kept unless its address changed.
    ///
    /// ```
    /// # use hitch_route::pool::*;
    /// let mut pool = Pool::new("a");
    /// let readiness = Readiness::Accepting;
    /// pool.upsert(Backend { instance: "i-1".into(), zone: "a".into(), address: "x".into(), readiness });
    /// assert!(!pool.is_empty());
    /// ```
    pub fn upsert(&mut self, backend: Backend) {
        if let Some(key) = self.by_instance.get(&backend.instance) {
            let entry = &mut self.entries[*key];
            if entry.backend.address == backend.address {
                entry.backend = backend;
                return;
            }
        }
        self.remove(&backend.instance.clone());
        let instance = backend.instance.clone();
        let key = self.entries.insert(Entry {
            backend,
            version: Box::default(),
            in_flight: 0,
            latency: None,
            failure_rate: 0.0,
            ejections: 0,
            ejected_until: Duration::ZERO,
            is_failing: false,
            refused_at: None,
            load: None,
        });
        self.by_instance.insert(instance, key);
    }

    /// Records whether the node of a backend server, which sees all of its calls, reports that many of
    /// them fail. While it does, [`pick_by_wait`](Pool::pick_by_wait) prefers other backend servers unless
    /// they are much more loaded.
    ///
    /// ```
    /// hitch_route::Pool::new("a").set_failing("i-1", true);
    /// ```
    pub fn set_failing(&mut self, instance: &str, is_failing: bool) {
        if let Some(key) = self.by_instance.get(instance) {
            self.entries[*key].is_failing = is_failing;
        }
    }

    /// Records the version of a backend server's software, empty if it is unknown.
    ///
    /// ```
    /// hitch_route::Pool::new("a").set_version("i-1", "v2");
    /// ```
    pub fn set_version(&mut self, instance: &str, version: &str) {
        if let Some(key) = self.by_instance.get(instance) {
            let entry = &mut self.entries[*key];
            if *entry.version != *version {
                entry.version = version.into();
            }
        }
    }

    /// Returns whether backend servers accept calls and all of these have a version.
    ///
    /// ```
    /// assert!(!hitch_route::Pool::new("a").has_only("v2"));
    /// ```
    pub fn has_only(&self, version: &str) -> bool {
        let mut accepting = self.entries.values().filter(|e| e.backend.accepts());
        let mut others = self.entries.values().filter(|e| e.backend.accepts());
        accepting.next().is_some() && others.all(|e| *e.version == *version)
    }

    /// Removes the backend server on an instance, if it is in the pool.
    ///
    /// ```
    /// hitch_route::Pool::new("a").remove("i-1");
    /// ```
    pub fn remove(&mut self, instance: &str) {
        if let Some(key) = self.by_instance.remove(instance) {
            self.entries.remove(key);
        }
    }

    /// Chooses a backend server by the power of two choices: the cheaper of two random ones, by calls in
    /// flight, recent latency, recent failures and refusals, and reported load. The own availability zone
    /// is preferred; another zone is chosen if it costs less than half as much. Backend servers in
    /// `exclude` were tried already and are not chosen.
    ///
    /// Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let pool = hitch_route::Pool::new("a");
    /// assert!(pool.pick(Duration::ZERO, &mut rand::rng(), &[]).is_none());
    /// ```
    pub fn pick(&self, now: Duration, rng: &mut impl Rng, exclude: &[BackendKey]) -> Option<Pick> {
        let (in_zone, out_of_zone) = self.usable_by_zone(now, exclude, Versions::Any);
        let in_zone = self.better_of_two(now, rng, &in_zone);
        let out_of_zone = self.better_of_two(now, rng, &out_of_zone);
        let key = match (in_zone, out_of_zone) {
            (Some(in_zone), Some(out_of_zone)) => {
                let spill = self.cost(now, out_of_zone) < SPILL_RATIO * self.cost(now, in_zone);
                if spill { out_of_zone } else { in_zone }
            }
            (in_zone, out_of_zone) => in_zone.or(out_of_zone)?,
        };
        Some(self.to_pick(key))
    }

    /// Chooses the least loaded backend server of the own availability zone, unless a call is expected to
    /// wait there longer than `max_wait` and less than half as long in another zone. Backend servers in
    /// `exclude` were tried already and are not chosen.
    ///
    /// ```
    /// use std::time::Duration;
    /// let pool = hitch_route::Pool::new("a");
    /// assert!(pool.pick_by_wait(Duration::ZERO, &mut rand::rng(), &[], Duration::ZERO).is_none());
    /// ```
    pub fn pick_by_wait(
        &self,
        now: Duration,
        rng: &mut impl Rng,
        exclude: &[BackendKey],
        max_wait: Duration,
    ) -> Option<Pick> {
        self.pick_by_wait_among(now, rng, exclude, max_wait, Versions::Any)
    }

    /// Chooses a backend server as [`pick_by_wait`](Pool::pick_by_wait) does, among those of some versions.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_route::pool::Versions;
    /// let pool = hitch_route::Pool::new("a");
    /// let versions = Versions::Only { version: "v2", instances: &[] };
    /// let pick = pool.pick_by_wait_among(Duration::ZERO, &mut rand::rng(), &[], Duration::ZERO, versions);
    /// assert!(pick.is_none());
    /// ```
    pub fn pick_by_wait_among(
        &self,
        now: Duration,
        rng: &mut impl Rng,
        exclude: &[BackendKey],
        max_wait: Duration,
        versions: Versions<'_>,
    ) -> Option<Pick> {
        let (in_zone, out_of_zone) = self.usable_by_zone(now, exclude, versions);
        let in_zone = self.least_loaded(now, rng, &in_zone);
        let out_of_zone = self.least_loaded(now, rng, &out_of_zone);
        let key = match (in_zone, out_of_zone) {
            (Some(in_zone), Some(out_of_zone)) => {
                let wait = self.expected_wait(now, in_zone);
                let spill = wait > max_wait
                    && self.expected_wait(now, out_of_zone) < wait.mul_f64(SPILL_RATIO);
                if spill { out_of_zone } else { in_zone }
            }
            (in_zone, out_of_zone) => in_zone.or(out_of_zone)?,
        };
        Some(self.to_pick(key))
    }

    /// Returns the backend server with the lowest [`load_cost`](Pool::load_cost), among at most
    /// [`MAX_SAMPLE`] of `keys`.
    fn least_loaded(
        &self,
        now: Duration,
        rng: &mut impl Rng,
        keys: &[BackendKey],
    ) -> Option<BackendKey> {
        let first = rng.random_range(0..keys.len().max(1));
        let mut best: Option<(BackendKey, f64)> = None;
        for i in 0..keys.len().min(MAX_SAMPLE) {
            let key = keys[(first + i) % keys.len()];
            let cost = self.load_cost(now, key);
            if best.is_none_or(|(_, lowest)| cost < lowest) {
                best = Some((key, cost));
            }
        }
        best.map(|(key, _)| key)
    }

    /// Returns the number of calls that run or wait at a backend server, and its concurrency limit.
    fn occupancy(&self, now: Duration, key: BackendKey) -> (f64, f64) {
        let entry = &self.entries[key];
        match entry.load {
            Some(report) if now < report.received_at + LOAD_TTL => {
                let unreported = entry.in_flight.saturating_sub(report.in_flight);
                let calls = report.load.running + report.load.queued + unreported;
                (f64::from(calls), f64::from(report.load.limit.max(1)))
            }
            Some(report) => (
                f64::from(entry.in_flight),
                f64::from(report.load.limit.max(1)),
            ),
            None => (f64::from(entry.in_flight), DEFAULT_LIMIT),
        }
    }

    /// Returns the cost of one more call relative to the capacity of a backend server, in seconds: its
    /// expected latency times the calls per slot, raised by failures and recent refusals.
    fn load_cost(&self, now: Duration, key: BackendKey) -> f64 {
        let entry = &self.entries[key];
        let (calls, limit) = self.occupancy(now, key);
        let latency = entry.latency.unwrap_or(DEFAULT_LATENCY).as_secs_f64();
        let refused = entry.refused_at.is_some_and(|at| now < at + REFUSAL_TTL);
        let mut penalty = if refused { REFUSAL_PENALTY } else { 1.0 };
        if entry.is_failing {
            penalty *= FAILING_PENALTY;
        }
        latency * (calls + 1.0) / limit * penalty / (1.0 - 0.9 * entry.failure_rate)
    }

    /// Returns how long one more call is expected to wait at a backend server before it starts.
    fn expected_wait(&self, now: Duration, key: BackendKey) -> Duration {
        let entry = &self.entries[key];
        let (calls, limit) = self.occupancy(now, key);
        let latency = entry.latency.unwrap_or(DEFAULT_LATENCY);
        if entry.refused_at.is_some_and(|at| now < at + REFUSAL_TTL) {
            return latency.mul_f64(REFUSAL_PENALTY);
        }
        latency.mul_f64((calls + 1.0 - limit).max(0.0) / limit)
    }

    /// Finds the backend server on an instance, unless it is unavailable.
    ///
    /// A backend server that is still listed as starting is found too: who asks for it by instance name
    /// has newer information than the membership list, namely that the instance already serves calls.
    ///
    /// ```
    /// assert!(hitch_route::Pool::new("a").try_find("i-1").is_none());
    /// ```
    pub fn try_find(&self, instance: &str) -> Option<Pick> {
        let key = *self.by_instance.get(instance)?;
        let is_unavailable = self.entries[key].backend.readiness == Readiness::Unavailable;
        (!is_unavailable).then(|| self.to_pick(key))
    }

    /// Returns the number of calls that this node has in flight to the backend servers of the pool.
    ///
    /// ```
    /// assert_eq!(hitch_route::Pool::new("a").in_flight(), 0);
    /// ```
    pub fn in_flight(&self) -> u32 {
        self.entries.values().map(|entry| entry.in_flight).sum()
    }

    /// Records that a call was sent to a backend server.
    ///
    /// ```
    /// hitch_route::Pool::new("a").started(hitch_route::BackendKey::default());
    /// ```
    pub fn started(&mut self, key: BackendKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.in_flight += 1;
        }
    }

    /// Records how an attempt ended, and the load that was reported with the answer.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_route::pool::Finished;
    /// let key = hitch_route::BackendKey::default();
    /// hitch_route::Pool::new("a").finished(Duration::ZERO, key, Finished::Failed, None);
    /// ```
    pub fn finished(
        &mut self,
        now: Duration,
        key: BackendKey,
        finished: Finished,
        load: Option<Load>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        if let Some(load) = load {
            entry.load = Some(LoadReport {
                received_at: now,
                load,
                in_flight: entry.in_flight,
            });
        }
        match finished {
            Finished::Answered { latency } => {
                let old = entry.latency.unwrap_or(latency);
                entry.latency =
                    Some(old.mul_f64(1.0 - LATENCY_WEIGHT) + latency.mul_f64(LATENCY_WEIGHT));
                entry.failure_rate *= 1.0 - FAILURE_WEIGHT;
                if entry.failure_rate < 0.01 {
                    entry.ejections = 0;
                }
            }
            Finished::Refused => entry.refused_at = Some(now),
            Finished::Failed => self.record_failure(now, key),
            Finished::Abandoned => {}
        }
    }

    fn record_failure(&mut self, now: Duration, key: BackendKey) {
        let entry = &mut self.entries[key];
        entry.failure_rate += FAILURE_WEIGHT * (1.0 - entry.failure_rate);
        if entry.failure_rate < OUTLIER_FAILURE_RATE || entry.ejected_until > now {
            return;
        }
        let length = FIRST_EJECTION * 2u32.saturating_pow(entry.ejections.min(5));
        entry.ejected_until = now + length.min(MAX_EJECTION);
        entry.ejections += 1;
        // After the ejection the failure rate is just below the threshold, so that one more failure
        // ejects the backend server again.
        entry.failure_rate = OUTLIER_FAILURE_RATE - FAILURE_WEIGHT / 4.0;
    }

    /// Returns the usable backend servers of the own zone, and those of all other zones.
    fn usable_by_zone(
        &self,
        now: Duration,
        exclude: &[BackendKey],
        versions: Versions<'_>,
    ) -> (Vec<BackendKey>, Vec<BackendKey>) {
        let usable = self.usable(now, exclude, versions);
        usable
            .into_iter()
            .partition(|k| self.entries[*k].backend.zone == self.own_zone)
    }

    /// Lists the backend servers that may be chosen.
    ///
    /// At most half of those that accept calls are left out as outliers; beyond that, the ones whose
    /// ejection ends first are listed again. Those that are stopping are listed only if there is no other.
    fn usable(
        &self,
        now: Duration,
        exclude: &[BackendKey],
        versions: Versions<'_>,
    ) -> Vec<BackendKey> {
        let mut usable = Vec::new();
        let mut ejected = Vec::new();
        let mut accepting = 0usize;
        for (key, entry) in &self.entries {
            if !entry.backend.accepts() || !versions.admits(entry) {
                continue;
            }
            accepting += 1;
            match entry.ejected_until > now {
                true => ejected.push(key),
                false => usable.push(key),
            }
        }
        ejected.sort_by_key(|k| self.entries[*k].ejected_until);
        let min_usable = accepting.div_ceil(2);
        for key in ejected {
            if usable.len() >= min_usable {
                break;
            }
            usable.push(key);
        }
        usable.retain(|k| !exclude.contains(k));
        if usable.is_empty() {
            let stopping = self.entries.iter();
            let stopping = stopping
                .filter(|(_, e)| e.backend.readiness == Readiness::Stopping && versions.admits(e));
            usable = stopping.map(|(key, _)| key).collect();
            usable.retain(|k| !exclude.contains(k));
        }
        usable
    }

    fn better_of_two(
        &self,
        now: Duration,
        rng: &mut impl Rng,
        keys: &[BackendKey],
    ) -> Option<BackendKey> {
        if keys.is_empty() {
            return None;
        }
        let first = rng.random_range(0..keys.len());
        if keys.len() == 1 {
            return Some(keys[0]);
        }
        let second = (first + rng.random_range(1..keys.len())) % keys.len();
        let (a, b) = (keys[first], keys[second]);
        Some(if self.cost(now, b) < self.cost(now, a) {
            b
        } else {
            a
        })
    }

    /// Returns the cost of one more call at a backend server, in seconds: its recent latency times the
    /// calls in flight, reported queue and utilisation, raised by failures and recent refusals.
    fn cost(&self, now: Duration, key: BackendKey) -> f64 {
        let entry = &self.entries[key];
        let latency = entry.latency.unwrap_or(DEFAULT_LATENCY).as_secs_f64();
        let mut calls = f64::from(entry.in_flight) + 1.0;
        if let Some(LoadReport {
            received_at, load, ..
        }) = entry.load
            && now < received_at + LOAD_TTL
        {
            calls +=
                f64::from(load.queued) + f64::from(load.running) / f64::from(load.limit.max(1));
        }
        let refused = entry.refused_at.is_some_and(|at| now < at + REFUSAL_TTL);
        let penalty = if refused { REFUSAL_PENALTY } else { 1.0 };
        // The failure rate raises the cost, so that a backend server that fails fast does not appear cheap.
        latency * calls * penalty / (1.0 - 0.9 * entry.failure_rate)
    }

    fn to_pick(&self, key: BackendKey) -> Pick {
        let backend = &self.entries[key].backend;
        Pick {
            key,
            instance: backend.instance.clone(),
            address: backend.address.clone(),
        }
    }
}
