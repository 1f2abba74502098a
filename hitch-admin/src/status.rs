//! The status that a node reports.

use serde::Deserialize;
use serde::Serialize;

/// Answer of `GET /status`. Readers ignore unknown fields, so that they work with newer nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Region of the instance, or empty if the node does not know it.
    #[serde(default)]
    pub region: Box<str>,
    /// Availability zone of the instance.
    #[serde(default)]
    pub zone: Box<str>,
    /// Member state that the node announces, such as `ready` or `draining`.
    #[serde(default)]
    pub state: Box<str>,
    /// Whether the node serves calls.
    #[serde(default)]
    pub ready: bool,
    /// Why the node does not serve calls; empty or none if it does.
    #[serde(default)]
    pub not_ready_reason: Option<Box<str>>,
    /// Configuration version in force.
    pub version_in_force: u64,
    /// Newest accepted configuration version that the node knows.
    #[serde(default)]
    pub version_known: u64,
    /// Offset after the last log record applied.
    #[serde(default)]
    pub next_offset: u64,
    /// Hash of the accepted state, as hexadecimal digits, or empty.
    #[serde(default)]
    pub state_hash: Box<str>,
    /// Time since the configuration was last confirmed to include the end of the log, in
    /// milliseconds; none if the node relies on other nodes for that.
    #[serde(default)]
    pub confirmed_age_ms: Option<u64>,
    /// When the version in force came into force, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub in_force_at_ms: Option<u64>,
    /// Service of the local backend server.
    #[serde(default)]
    pub service: Box<str>,
    /// Customer of the service, or empty where customers are unknown.
    #[serde(default)]
    pub customer: Box<str>,
    /// Whether the local backend server takes calls.
    #[serde(default)]
    pub backend_up: bool,
    /// Bytes of control messages sent and received so far; none if they are not counted.
    #[serde(default)]
    pub control_bytes: Option<u64>,
    /// Reads of the log so far.
    #[serde(default)]
    pub log_reads: u64,
    /// Contracts in force.
    #[serde(default)]
    pub contracts: Vec<Contract>,
    /// Services whose routes are inactive.
    #[serde(default)]
    pub inactive_routes: Vec<Box<str>>,
    /// Members that the node knows. The list may or may not include the node itself.
    #[serde(default)]
    pub members: Vec<Member>,
}

/// A contract in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// Name of the customer.
    pub customer: Box<str>,
    /// Version at which it was accepted.
    pub version: u64,
    /// The contract as published.
    #[serde(default)]
    pub text: Box<str>,
}

/// A member as the reporting node knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Availability zone of the instance.
    #[serde(default)]
    pub zone: Box<str>,
    /// Service of the member's local backend server.
    #[serde(default)]
    pub service: Box<str>,
    /// State of the member, such as `ready`, `suspect` or `gone`.
    #[serde(default)]
    pub state: Box<str>,
    /// Address of the member's admin listener, or empty.
    #[serde(default)]
    pub admin: Box<str>,
    /// Address of the member's peer listener, or empty.
    #[serde(default)]
    pub address: Box<str>,
    /// Version in force at the member according to the reporting node; 0 if it has not learned of
    /// one.
    #[serde(default)]
    pub version_in_force: u64,
}
