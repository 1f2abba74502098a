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

/// Weight of the latest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Weight of the latest result in the moving failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Failure rate from which on a backend server is an outlier.
const OUTLIER_FAILURE_RATE: f64 = 0.5;
/// First ejection of an outlier; each further one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Longest ejection of an outlier.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
/// Time after which a reported load counts no more, since reports lag.
const LOAD_TTL: Duration = Duration::from_millis(500);
/// Cost factor of a backend server that refused a call just now.
const REFUSAL_PENALTY: f64 = 4.0;
/// Cost factor of a backend server whose own node says that it fails many calls. Leaving it out instead cost more in
/// calls refused elsewhere than it saved, since the rest of a service of three has no room for all.
const FAILING_PENALTY: f64 = 4.0;
/// Time over which the cost of a refusal lapses.
const REFUSAL_TTL: Duration = Duration::from_millis(200);
/// Cost relative to the best of the own zone below which another zone is taken.
const SPILL_RATIO: f64 = 0.5;
/// Backend servers that are compared at most for one choice.
const SAMPLE: usize = 8;
/// Calls that a backend server is assumed to run at once before it has answered.
const UNKNOWN_LIMIT: f64 = 8.0;
/// Latency assumed for a backend server that has not answered yet.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(5);

/// Whether a backend server takes calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// It starts and will take calls soon.
    Starting,
    /// It takes new calls.
    Accepting,
    /// It takes new calls for a short time yet, and gets them only when no other backend server takes any.
    Stopping,
    /// It is leaving, suspected or gone.
    Unavailable,
}

/// What the membership says of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Instance that the backend server and its node run on.
    pub instance: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Address of the node's peer listener.
    pub address: Box<str>,
    /// Whether it takes calls.
    pub readiness: Readiness,
}

impl Backend {
    fn accepts(&self) -> bool {
        self.readiness == Readiness::Accepting
    }
}

/// The load that a node reports on its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls running on the backend server.
    pub running: u32,
    /// Calls waiting in the node's queue.
    pub queued: u32,
    /// Calls that the node runs at once.
    pub limit: u32,
}

/// How a hand-over ended, as the sender saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finished {
    /// The backend server answered.
    Answered {
        /// Time from hand-over to answer.
        latency: Duration,
    },
    /// The node refused the call, for a reason that does not speak against the backend server.
    Refused,
    /// The backend server or its node failed.
    Failed,
    /// The sender gave up first.
    Abandoned,
}

#[derive(Debug)]
struct Entry {
    backend: Backend,
    in_flight: u32,
    latency: Option<Duration>,
    failure_rate: f64,
    ejections: u32,
    ejected_until: Duration,
    /// Whether its own node says that it fails many calls.
    is_failing: bool,
    refused_at: Option<Duration>,
    load: Option<Reported>,
}

#[derive(Debug, Clone, Copy)]
struct Reported {
    at: Duration,
    load: Load,
    // Calls of this node that the report counts.
    in_flight: u32,
}

/// The backend servers of one service.
#[derive(Debug)]
pub struct Pool {
    own_zone: Box<str>,
    entries: SlotMap<BackendKey, Entry>,
    by_instance: BTreeMap<Box<str>, BackendKey>,
}

/// The backend server chosen for a hand-over.
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
    /// Makes an empty pool as seen from an availability zone.
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

    /// Returns whether no backend server takes calls now or soon.
    ///
    /// One that starts counts: a fleet that starts as a whole brings its first version into force before
    /// any of its backend servers can announce that it is ready.
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

    /// Adds a backend server or takes over what changed about it. What was observed of it is kept
    /// unless its address changed.
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

    /// Notes whether the node beside a backend server, which sees all of its calls, says that many of them fail. While
    /// that holds, [`pick_by_wait`](Pool::pick_by_wait) prefers others unless they have much more work.
    ///
    /// ```
    /// hitch_route::Pool::new("a").set_failing("i-1", true);
    /// ```
    pub fn set_failing(&mut self, instance: &str, is_failing: bool) {
        if let Some(key) = self.by_instance.get(instance) {
            self.entries[*key].is_failing = is_failing;
        }
    }

    /// Removes a backend server.
    ///
    /// ```
    /// hitch_route::Pool::new("a").remove("i-1");
    /// ```
    pub fn remove(&mut self, instance: &str) {
        if let Some(key) = self.by_instance.remove(instance) {
            self.entries.remove(key);
        }
    }

    /// Chooses a backend server: the better of two random ones, by calls in flight, recent latency,
    /// refusals and reported load. The own availability zone goes first; another one is taken when it
    /// costs less than half as much. Backend servers in `exclude` were tried already.
    ///
    /// Source of the rule of two choices: Mitzenmacher, "The Power of Two Choices in Randomized Load
    /// Balancing", 2001.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let pool = hitch_route::Pool::new("a");
    /// assert!(pool.pick(Duration::ZERO, &mut rand::rng(), &[]).is_none());
    /// ```
    pub fn pick(&self, now: Duration, rng: &mut impl Rng, exclude: &[BackendKey]) -> Option<Pick> {
        let (near, far) = self.near_and_far(now, exclude);
        let near = self.better_of_two(now, rng, &near);
        let far = self.better_of_two(now, rng, &far);
        let key = match (near, far) {
            (Some(near), Some(far)) => {
                let spill = self.cost(now, far) < SPILL_RATIO * self.cost(now, near);
                if spill { far } else { near }
            }
            (near, far) => near.or(far)?,
        };
        Some(self.to_pick(key))
    }

    /// Chooses a backend server of the own zone for as long as a call waits there no longer than `patience`, and else
    /// one of another zone if it waits much less there.
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
        patience: Duration,
    ) -> Option<Pick> {
        let (near, far) = self.near_and_far(now, exclude);
        let near = self.shortest(now, rng, &near);
        let far = self.shortest(now, rng, &far);
        let key = match (near, far) {
            (Some(near), Some(far)) => {
                let wait = self.wait(now, near);
                let spill = wait > patience && self.wait(now, far) < wait.mul_f64(SPILL_RATIO);
                if spill { far } else { near }
            }
            (near, far) => near.or(far)?,
        };
        Some(self.to_pick(key))
    }

    /// Returns the backend server with the least work for its capacity, among all or, when they are many, a sample.
    fn shortest(
        &self,
        now: Duration,
        rng: &mut impl Rng,
        keys: &[BackendKey],
    ) -> Option<BackendKey> {
        let first = rng.random_range(0..keys.len().max(1));
        let mut best: Option<(BackendKey, f64)> = None;
        for i in 0..keys.len().min(SAMPLE) {
            let key = keys[(first + i) % keys.len()];
            let cost = self.work(now, key);
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((key, cost));
            }
        }
        best.map(|(key, _)| key)
    }

    /// Returns the calls that run or wait at a backend server, and how many it runs at once.
    fn occupancy(&self, now: Duration, key: BackendKey) -> (f64, f64) {
        let entry = &self.entries[key];
        match entry.load {
            Some(report) if now < report.at + LOAD_TTL => {
                let own = entry.in_flight.saturating_sub(report.in_flight);
                let calls = report.load.running + report.load.queued + own;
                (f64::from(calls), f64::from(report.load.limit.max(1)))
            }
            Some(report) => (
                f64::from(entry.in_flight),
                f64::from(report.load.limit.max(1)),
            ),
            None => (f64::from(entry.in_flight), UNKNOWN_LIMIT),
        }
    }

    /// Returns the time for which one more call occupies its share of a backend server, in seconds.
    fn work(&self, now: Duration, key: BackendKey) -> f64 {
        let entry = &self.entries[key];
        let (calls, limit) = self.occupancy(now, key);
        let latency = entry.latency.unwrap_or(UNKNOWN_LATENCY).as_secs_f64();
        let refused = entry.refused_at.is_some_and(|at| now < at + REFUSAL_TTL);
        let mut penalty = if refused { REFUSAL_PENALTY } else { 1.0 };
        if entry.is_failing {
            penalty *= FAILING_PENALTY;
        }
        latency * (calls + 1.0) / limit * penalty / (1.0 - 0.9 * entry.failure_rate)
    }

    /// Returns how long one more call waits at a backend server before it starts.
    fn wait(&self, now: Duration, key: BackendKey) -> Duration {
        let entry = &self.entries[key];
        let (calls, limit) = self.occupancy(now, key);
        let latency = entry.latency.unwrap_or(UNKNOWN_LATENCY);
        if entry.refused_at.is_some_and(|at| now < at + REFUSAL_TTL) {
            return latency.mul_f64(REFUSAL_PENALTY);
        }
        latency.mul_f64((calls + 1.0 - limit).max(0.0) / limit)
    }

    /// Finds the backend server on an instance, unless it is leaving.
    ///
    /// One that is still known as starting is found too: a caller that asks for it by name knows better,
    /// because it was told lately that the instance serves.
    ///
    /// ```
    /// assert!(hitch_route::Pool::new("a").try_find("i-1").is_none());
    /// ```
    pub fn try_find(&self, instance: &str) -> Option<Pick> {
        let key = *self.by_instance.get(instance)?;
        let leaves = self.entries[key].backend.readiness == Readiness::Unavailable;
        (!leaves).then(|| self.to_pick(key))
    }

    /// Returns the calls that were handed over and have not ended.
    ///
    /// ```
    /// assert_eq!(hitch_route::Pool::new("a").in_flight(), 0);
    /// ```
    pub fn in_flight(&self) -> u32 {
        self.entries.values().map(|entry| entry.in_flight).sum()
    }

    /// Notes that a call was handed over.
    ///
    /// ```
    /// hitch_route::Pool::new("a").started(hitch_route::BackendKey::default());
    /// ```
    pub fn started(&mut self, key: BackendKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.in_flight += 1;
        }
    }

    /// Notes how a hand-over ended and the load that came with the answer.
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
            entry.load = Some(Reported {
                at: now,
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
            Finished::Failed => self.failed(now, key),
            Finished::Abandoned => {}
        }
    }

    fn failed(&mut self, now: Duration, key: BackendKey) {
        let entry = &mut self.entries[key];
        entry.failure_rate += FAILURE_WEIGHT * (1.0 - entry.failure_rate);
        if entry.failure_rate < OUTLIER_FAILURE_RATE || entry.ejected_until > now {
            return;
        }
        let length = FIRST_EJECTION * 2u32.saturating_pow(entry.ejections.min(5));
        entry.ejected_until = now + length.min(LONGEST_EJECTION);
        entry.ejections += 1;
        // The next trial starts just below the threshold, so that one more failure ejects again.
        entry.failure_rate = OUTLIER_FAILURE_RATE - FAILURE_WEIGHT / 4.0;
    }

    /// Returns the usable backend servers of the own zone and of the others.
    fn near_and_far(
        &self,
        now: Duration,
        exclude: &[BackendKey],
    ) -> (Vec<BackendKey>, Vec<BackendKey>) {
        let usable = self.usable(now, exclude);
        usable
            .into_iter()
            .partition(|k| self.entries[*k].backend.zone == self.own_zone)
    }

    /// Lists the backend servers that may be chosen. At most half of the service is left out as
    /// outliers; beyond that the ones ejected longest ago come back first.
    fn usable(&self, now: Duration, exclude: &[BackendKey]) -> Vec<BackendKey> {
        let mut usable = Vec::new();
        let mut ejected = Vec::new();
        let mut accepting = 0usize;
        for (key, entry) in &self.entries {
            if !entry.backend.accepts() {
                continue;
            }
            accepting += 1;
            match entry.ejected_until > now {
                true => ejected.push(key),
                false => usable.push(key),
            }
        }
        ejected.sort_by_key(|k| self.entries[*k].ejected_until);
        let floor = accepting.div_ceil(2);
        for key in ejected {
            if usable.len() >= floor {
                break;
            }
            usable.push(key);
        }
        usable.retain(|k| !exclude.contains(k));
        if usable.is_empty() {
            let stopping = self.entries.iter();
            let stopping = stopping.filter(|(_, e)| e.backend.readiness == Readiness::Stopping);
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

    fn cost(&self, now: Duration, key: BackendKey) -> f64 {
        let entry = &self.entries[key];
        let latency = entry.latency.unwrap_or(UNKNOWN_LATENCY).as_secs_f64();
        let mut calls = f64::from(entry.in_flight) + 1.0;
        if let Some(Reported { at, load, .. }) = entry.load
            && now < at + LOAD_TTL
        {
            calls +=
                f64::from(load.queued) + f64::from(load.running) / f64::from(load.limit.max(1));
        }
        let refused = entry.refused_at.is_some_and(|at| now < at + REFUSAL_TTL);
        let penalty = if refused { REFUSAL_PENALTY } else { 1.0 };
        // A failing backend server must not look good because it fails fast.
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
