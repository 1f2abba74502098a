//! Settings of a node and names of the headers that it uses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;

/// Settings of a node.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Service of the local backend server.
    pub service: Box<str>,
    /// Address of the listener for requests of callers and of the local backend server.
    pub requests: SocketAddr,
    /// Address of the listener for other nodes.
    pub peers: SocketAddr,
    /// Address of the listener for operators: status, events and metrics.
    pub admin: SocketAddr,
    /// Address of the local backend server.
    pub backend: SocketAddr,
    /// Whether all nodes start for the first time, so that no other node can supply a configuration or members yet.
    pub is_first_start: bool,
    /// Settings that may change while the node runs.
    pub runtime: RuntimeSettings,
    /// Names of the headers that the node reads and sets.
    pub header_names: HeaderNames,
    /// Memory that the process may use, in bytes, or `None` if it is not limited.
    pub max_memory_bytes: Option<u64>,
    /// Descriptors that the process may use for sockets, or `None` if they are not limited.
    pub max_sockets: Option<u64>,
}

/// Settings that may change while the node runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RuntimeSettings {
    /// Grace period: time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Retries that all nodes together may send to a service.
    pub retry_budget: RetryBudget,
    /// Time within which an API key that was taken away is refused by every node, or `None` if nodes that cannot prove
    /// how recent their configuration is serve requests with API keys all the same.
    pub revocation: Option<Duration>,
    /// How exactly the limits of organisations are kept.
    pub quota: QuotaBounds,
    /// Limits on the requests that an unproved version of a service gets, or `None` if there are no roll-outs.
    pub rollout: Option<RolloutBounds>,
    /// Whether requests are admitted by measured service times and by the calls that they lead to.
    pub measured_admission: bool,
    /// Whether calls are placed by the expected work of backend servers instead of the number of their calls.
    /// Has no effect yet.
    pub expected_work_placement: bool,
}

/// How exactly the limits of organisations are kept over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the sliding window in which requests are counted.
    pub window: Duration,
    /// Fraction by which the requests of a window may exceed the limit.
    pub overage: f64,
    /// Requests by which a window may exceed the limit on top of that.
    pub slack: f64,
}

/// Limits on the requests that an unproved version of a service gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// Largest fraction of the service's requests between the order and its due time that a bad version gets.
    pub exposure: f64,
    /// Requests that a bad version may get on top of that.
    pub exposure_slack: f64,
    /// Time after the fiftieth bad answer from which a bad version gets no request.
    pub rollback: Duration,
}

/// Limit of the retries that all nodes together may send to a service within a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries for each call.
    pub ratio: f64,
    /// Retries on top of that in a window of several seconds, over all nodes.
    pub slack: f64,
}

/// Names of the headers that the node reads and sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identity of the request, which the answer repeats.
    pub request_id: HeaderName,
    /// Time that the caller waits for the answer, in milliseconds.
    pub timeout_ms: HeaderName,
    /// Service of the instance where the request entered the mesh.
    pub caller: HeaderName,
    /// Identity of the backend server that is to run the call.
    pub expected_backend: HeaderName,
    /// Set by a backend server that did not run the call.
    pub not_run: HeaderName,
    /// Set by a backend server on every answer of its own.
    pub signature: HeaderName,
    /// Identity of the backend server, on its answer to a health check.
    pub backend_id: HeaderName,
    /// API key of the caller. It is never forwarded.
    pub api_key: HeaderName,
    /// Name of the organisation, which the node sets in place of the API key.
    pub organisation: HeaderName,
}

/// Decodes a configuration from the bytes of its record in the store. The error states what is wrong with it.
pub type Decode = Arc<dyn Fn(&[u8]) -> Result<hitch_route::hosts::Config, Box<str>> + Send + Sync>;
