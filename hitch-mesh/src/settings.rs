//! What the node is told at its start, and the names that its surroundings use.

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
    /// Service of the backend server beside the node.
    pub service: Box<str>,
    /// Where callers and the backend server send their requests.
    pub requests: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Where operators ask for status, events and metrics.
    pub admin: SocketAddr,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// What may change while the node runs.
    pub runtime: RuntimeSettings,
    /// Names of the headers.
    pub header_names: HeaderNames,
}

/// Settings that may change while the node runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RuntimeSettings {
    /// Time between the signal to stop and the end of the process.
    pub grace: Duration,
    /// Repeats that all nodes together may send to a service.
    pub retry_budget: RetryBudget,
}

/// Repeats that all nodes together may send to a service within a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top of that in a window of some seconds, over all nodes.
    pub slack: f64,
}

/// Names of the headers that the node reads and sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identity of the request; every answer repeats it.
    pub request_id: HeaderName,
    /// Time that the caller waits, in milliseconds.
    pub timeout_ms: HeaderName,
    /// Service of the instance where the request entered the mesh.
    pub caller: HeaderName,
    /// Identity of the backend server that is to run the call.
    pub expected_backend: HeaderName,
    /// Set by a backend server that did not run the call.
    pub not_run: HeaderName,
    /// Mark of a backend server's own answer.
    pub signature: HeaderName,
    /// Identity of the backend server that answers a question for its health.
    pub backend_id: HeaderName,
}

/// Reads the configuration of one version from the bytes that the store holds.
pub type Decode = Arc<dyn Fn(&[u8]) -> Result<hitch_route::hosts::Config, Box<str>> + Send + Sync>;
