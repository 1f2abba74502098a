//! Counters, gauges and histograms of a node.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets, in seconds, around the target latencies of 80 ms to 800 ms.
const LATENCY_BUCKETS: [f64; 9] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/// Labels of a request's or call's outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Ended {
    /// Outcome. Requests: served, refused, unknown, late or left (by the caller, without an answer). Calls: answered, not
    /// run or unknown.
    pub outcome: &'static str,
    /// Reason of the outcome, or empty.
    pub reason: String,
}

/// Labels of calls whose caller left, or that were cancelled because the process exits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Cancelled {
    /// Step in which the call was: `queue`, `crash check`, `connection` (wait for a connection to the backend server) or
    /// `backend` (it had been sent).
    pub step: &'static str,
    /// Whether the call was sent to the backend server after that.
    pub sent_later: bool,
}

/// Labels of a latency.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Step {
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Measured step: `queue` (wait in the admission queue), `hand-over` (from there until the call was sent to
    /// the backend server), `backend` (from the end of `queue` until the backend server answered) or `whole` (the
    /// request, from arrival to answer).
    pub step: &'static str,
}

/// Label of a limit on what the node holds for clients.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Limited {
    /// Limit that acted.
    pub limit: &'static str,
}

/// Labels of nested calls, which the local backend server makes while it runs requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct NestedCall {
    /// Service that is called.
    pub service: String,
    /// How the call ended: answered, refused (for lack of room), late or abandoned (by its caller, or it says nothing about
    /// room).
    pub end: &'static str,
}

/// Label of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Service {
    /// Name of the service.
    pub service: String,
}

impl From<&str> for Service {
    fn from(service: &str) -> Service {
        Service {
            service: service.into(),
        }
    }
}

/// Labels of a store operation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCall {
    /// Operation: newest, read, put or append.
    pub operation: &'static str,
    /// Result: done or failed.
    pub outcome: &'static str,
}

/// Labels of a request or call with an organisation that was refused for lack of a proof that the configuration is
/// recent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Unproved {
    /// Where it was refused: `entry` or `hand-over` (to the backend server).
    pub step: &'static str,
    /// Why there is no valid proof.
    pub reason: &'static str,
}

/// Label of a question to a peer for a proof.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Asked {
    /// What became of it: `sent`, and for each answer `accepted`, `awaits` (a later version that is not in force here
    /// yet), `useless` (no newer proof) or `old era`.
    pub outcome: &'static str,
}

/// Label of what happened to tokens of organisations.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct QuotaEvent {
    /// `leased` and `returned` (tokens from and to homes), `given back` (tokens of requests that did not run), `denied`
    /// (requests over the limit) `unanswered` (requests refused because no home answered in time) or
    /// `without home` (requests admitted although none did).
    pub event: &'static str,
}

/// Labels of the requests for a service whose version is being replaced.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RolloutRequest {
    /// Name of the service.
    pub service: String,
    /// Version that the request was meant for: new or old.
    pub version: &'static str,
}

/// Labels of what this node decided as the controller of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RolloutDecision {
    /// Name of the service.
    pub service: String,
    /// Decision: claimed, step, completed, rolled back or superseded.
    pub decision: &'static str,
}

/// Metrics of a node and their registry.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests of callers that entered the mesh at this node, by outcome.
    pub requests: Family<Ended, Counter>,
    /// Calls for the local backend server, by outcome.
    pub calls: Family<Ended, Counter>,
    /// Calls for the local backend server that were cancelled, by the step in which they were.
    pub cancelled: Family<Cancelled, Counter>,
    /// Latency in seconds, by step and rank.
    pub latency: Family<Step, Histogram>,
    /// Operations of the store, by result.
    pub store: Family<StoreCall, Counter>,
    /// Retries that this node sent.
    pub retries: Counter,
    /// Requests that ran before their turn on their connection.
    pub pipelined: Counter,
    /// Version of the configuration in force.
    pub version: Gauge,
    /// Number of members that this node is connected to.
    pub peers: Gauge,
    /// Calls in the queue of the local backend server.
    pub queued: Gauge,
    /// Time since the version in force came into force, in seconds.
    pub config_age_seconds: Gauge<f64, AtomicU64>,
    /// Calls in flight from this node, by service.
    pub in_flight: Family<Service, Gauge>,
    /// Retries that the retry budget of this node allows now, by service.
    pub retry_budget: Family<Service, Gauge<f64, AtomicU64>>,
    /// Successful reads of the store.
    pub reads: Counter,
    /// Age of the proof that the configuration is recent, in seconds; -1 if there is none.
    pub freshness_age_seconds: Gauge<f64, AtomicU64>,
    /// Requests and calls with an organisation that were refused for lack of a proof.
    pub freshness_refusals: Family<Unproved, Counter>,
    /// Questions to peers for a proof, and their answers.
    pub freshness_asks: Family<Asked, Counter>,
    /// Era of the store.
    pub store_era: Gauge,
    /// Limits that acted on what clients may make the node hold.
    pub limited: Family<Limited, Counter>,
    /// Memory that is held for clients, in bytes.
    pub held_bytes: Gauge,
    /// Open connections of callers.
    pub caller_connections: Gauge,
    /// Tokens of organisations and requests that got none, by event.
    pub quota: Family<QuotaEvent, Counter>,
    /// Requests that wait for a token.
    pub quota_waiting: Gauge,
    /// Organisations whose home this node is.
    pub quota_home_of: Gauge,
    /// Nested calls that have ended.
    pub nested_calls: Family<NestedCall, Counter>,
    /// Fraction of the new requests that is admitted by the room of a service which their runs call.
    pub admitted_by_room: Family<Service, Gauge<f64, AtomicU64>>,
    /// Requests for services whose version is being replaced, by the version that they were meant for.
    pub rollout_requests: Family<RolloutRequest, Counter>,
    /// What this node decided as the controller of a rollout.
    pub rollout_decisions: Family<RolloutDecision, Counter>,
    /// Share of the requests that goes to the new version, by service.
    pub rollout_share: Family<Service, Gauge<f64, AtomicU64>>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut registry = Registry::with_prefix("hitch");
        let requests = Family::default();
        let calls = Family::default();
        let cancelled = Family::default();
        let latency =
            Family::new_with_constructor((|| Histogram::new(LATENCY_BUCKETS)) as fn() -> Histogram);
        let store = Family::default();
        let (retries, version, peers, queued) = Default::default();
        let quota = Family::default();
        let (quota_waiting, quota_home_of) = <(Gauge, Gauge)>::default();
        let (config_age_seconds, in_flight, retry_budget, reads) = Default::default();
        let (freshness_age_seconds, store_era) = Default::default();
        let (freshness_refusals, freshness_asks) = Default::default();
        registry.register("requests", "Requests that entered here", requests.clone());
        registry.register("calls", "Calls for the backend server", calls.clone());
        registry.register(
            "calls_cancelled",
            "Calls whose caller left",
            Family::clone(&cancelled),
        );
        registry.register("latency_seconds", "Latency", latency.clone());
        registry.register("store_calls", "Operations of the store", store.clone());
        registry.register(
            "repeats",
            "Requests sent once more",
            Counter::clone(&retries),
        );
        let pipelined = Counter::default();
        registry.register(
            "pipelined",
            "Requests that ran before their turn",
            Counter::clone(&pipelined),
        );
        registry.register("config_version", "Version in force", Gauge::clone(&version));
        registry.register("peers", "Connected nodes", Gauge::clone(&peers));
        registry.register("queued", "Calls that wait", Gauge::clone(&queued));
        registry.register(
            "config_age_seconds",
            "Time since the version came into force",
            Gauge::clone(&config_age_seconds),
        );
        registry.register("under_way", "Calls under way", Family::clone(&in_flight));
        registry.register(
            "repeats_left",
            "Repeats that the budget allows now",
            Family::clone(&retry_budget),
        );
        let (limited, held_bytes, caller_connections) = Default::default();
        registry.register(
            "limits_reached",
            "Limits that acted on clients",
            Family::clone(&limited),
        );
        registry.register(
            "held_bytes",
            "Memory held for clients",
            Gauge::clone(&held_bytes),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            Gauge::clone(&caller_connections),
        );
        let nested_calls = Family::default();
        let admitted_by_room = Family::default();
        registry.register(
            "nested_calls",
            "Calls that the backend server made",
            Family::clone(&nested_calls),
        );
        registry.register(
            "admitted_by_room",
            "Fraction admitted by the room of a service behind",
            Family::clone(&admitted_by_room),
        );
        registry.register("store_reads", "Reads of the store", Counter::clone(&reads));
        registry.register(
            "freshness_age_seconds",
            "Age of the proof that the configuration is recent",
            Gauge::clone(&freshness_age_seconds),
        );
        registry.register(
            "freshness_refusals",
            "Requests refused for lack of a proof that the configuration is recent",
            Family::clone(&freshness_refusals),
        );
        registry.register(
            "freshness_asks",
            "Questions to peers for a proof that the configuration is recent",
            Family::clone(&freshness_asks),
        );
        registry.register("store_era", "Era of the store", Gauge::clone(&store_era));
        registry.register(
            "quota",
            "Tokens of organisations and requests that got none",
            Family::clone(&quota),
        );
        registry.register(
            "quota_waiting",
            "Requests that wait for a token",
            Gauge::clone(&quota_waiting),
        );
        registry.register(
            "quota_home_of",
            "Organisations whose home this node is",
            Gauge::clone(&quota_home_of),
        );
        let (rollout_requests, rollout_decisions, rollout_share) = Default::default();
        registry.register(
            "rollout_requests",
            "Requests during a rollout, by version",
            Family::clone(&rollout_requests),
        );
        registry.register(
            "rollout_decisions",
            "Decisions of this node as a controller of rollouts",
            Family::clone(&rollout_decisions),
        );
        registry.register(
            "rollout_share",
            "Share of the requests for the new version",
            Family::clone(&rollout_share),
        );
        Metrics {
            registry,
            requests,
            calls,
            cancelled,
            latency,
            store,
            retries,
            pipelined,
            version,
            peers,
            queued,
            config_age_seconds,
            in_flight,
            retry_budget,
            reads,
            freshness_age_seconds,
            freshness_refusals,
            freshness_asks,
            store_era,
            limited,
            held_bytes,
            caller_connections,
            quota,
            quota_waiting,
            quota_home_of,
            nested_calls,
            admitted_by_room,
            rollout_requests,
            rollout_decisions,
            rollout_share,
        }
    }
}

impl Metrics {
    /// Returns the metrics in the Prometheus text format.
    ///
    /// ```
    /// let text = hitch_mesh::metrics::Metrics::default().to_text();
    /// assert!(text.contains("hitch_config_version"));
    /// ```
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }

    /// Counts an operation of the store by its result.
    ///
    /// ```
    /// hitch_mesh::metrics::Metrics::default().store_call("read", true);
    /// ```
    pub fn store_call(&self, operation: &'static str, succeeded: bool) {
        let outcome = match succeeded {
            true => "done",
            false => "failed",
        };
        self.store
            .get_or_create(&StoreCall { operation, outcome })
            .inc();
        if succeeded && !matches!(operation, "put" | "append") {
            self.reads.inc();
        }
    }
}
