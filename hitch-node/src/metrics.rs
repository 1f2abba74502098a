//! Metrics of a node.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Labels of a completed call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Customer of the call.
    pub customer: String,
    /// Rank of the call.
    pub rank: String,
    /// Outcome of the call: `answered`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Reason of the outcome, empty for an answer.
    pub reason: &'static str,
}

/// Labels of control traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ControlLabels {
    /// Kind of message: `exchange`, `fetch`, `share`, `ownership`, `suspect`, `probe` or `log`.
    pub kind: &'static str,
    /// Direction: `sent` or `received`.
    pub direction: &'static str,
}

/// Label of a limit on what the node holds for clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LimitLabels {
    /// Limit that acted.
    pub limit: &'static str,
}

/// Metrics of a node and their registry.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Calls completed at the node where they entered the mesh.
    pub calls: Family<CallLabels, Counter>,
    /// Time from arrival to answer at the node where a call entered the mesh, in seconds.
    pub call_seconds: Histogram,
    /// Retries: attempts of a call after the first one.
    pub retries: Counter,
    /// Bytes of control messages, as encoded, without the framing of the transport.
    pub control_bytes: Family<ControlLabels, Counter>,
    /// Reads of the log.
    pub log_reads: Counter,
    /// Appends to the log.
    pub log_appends: Counter,
    /// Configuration version in force.
    pub version_in_force: Gauge<u64, AtomicU64>,
    /// Members of the membership list that are not gone.
    pub members: Gauge<u64, AtomicU64>,
    /// Calls that wait in the queue.
    pub queued: Gauge<u64, AtomicU64>,
    /// Calls that run on the local backend server.
    pub running: Gauge<u64, AtomicU64>,
    /// Limits that acted on what clients may make the node hold.
    pub limits_reached: Family<LimitLabels, Counter>,
    /// Memory that is held for clients, in bytes.
    pub held_bytes: Gauge<u64, AtomicU64>,
    /// Open connections of callers.
    pub caller_connections: Gauge<u64, AtomicU64>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        // Buckets from 0.1 ms to about 50 s.
        let seconds = Histogram::new(exponential_buckets(0.000_1, 2.0, 20));
        let mut metrics = Metrics {
            registry: Registry::with_prefix("hitch"),
            calls: Family::default(),
            call_seconds: seconds,
            retries: Counter::default(),
            control_bytes: Family::default(),
            log_reads: Counter::default(),
            log_appends: Counter::default(),
            version_in_force: Gauge::default(),
            members: Gauge::default(),
            queued: Gauge::default(),
            running: Gauge::default(),
            limits_reached: Family::default(),
            held_bytes: Gauge::default(),
            caller_connections: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("calls", "Calls by outcome", self.calls.clone());
        r.register(
            "call_seconds",
            "Time from arrival to answer",
            self.call_seconds.clone(),
        );
        r.register("retries", "Attempts after the first", self.retries.clone());
        r.register(
            "control_bytes",
            "Bytes of control messages",
            self.control_bytes.clone(),
        );
        r.register("log_reads", "Reads of the log", self.log_reads.clone());
        r.register(
            "log_appends",
            "Appends to the log",
            self.log_appends.clone(),
        );
        r.register(
            "version_in_force",
            "Version in force",
            self.version_in_force.clone(),
        );
        r.register("members", "Members that are not gone", self.members.clone());
        r.register("queued", "Calls that wait", self.queued.clone());
        r.register("running", "Calls that run", self.running.clone());
        r.register(
            "limits_reached",
            "Limits that acted on clients",
            self.limits_reached.clone(),
        );
        r.register(
            "held_bytes",
            "Memory held for clients",
            self.held_bytes.clone(),
        );
        r.register(
            "caller_connections",
            "Open connections of callers",
            self.caller_connections.clone(),
        );
    }

    /// Counts a control message of `bytes`, which is `sent` or `received`.
    ///
    /// ```
    /// let metrics = hitch_node::metrics::Metrics::default();
    /// metrics.count_control_message("exchange", "sent", 120);
    /// assert_eq!(metrics.control_bytes_total(), 120);
    /// ```
    pub fn count_control_message(&self, kind: &'static str, direction: &'static str, bytes: usize) {
        let labels = ControlLabels { kind, direction };
        self.control_bytes
            .get_or_create(&labels)
            .inc_by(bytes as u64);
    }

    /// Returns the total bytes of the control messages sent and received so far.
    ///
    /// ```
    /// assert_eq!(hitch_node::metrics::Metrics::default().control_bytes_total(), 0);
    /// ```
    pub fn control_bytes_total(&self) -> u64 {
        let mut total = 0;
        for kind in [
            "exchange",
            "fetch",
            "share",
            "ownership",
            "suspect",
            "probe",
            "log",
        ] {
            for direction in ["sent", "received"] {
                let labels = ControlLabels { kind, direction };
                total += self.control_bytes.get_or_create(&labels).get();
            }
        }
        total
    }

    /// Encodes the metrics in the OpenMetrics text format.
    ///
    /// ```
    /// let text = hitch_node::metrics::Metrics::default().to_text();
    /// assert!(text.contains("hitch_version_in_force"));
    /// ```
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut out, &self.registry);
        out
    }
}
