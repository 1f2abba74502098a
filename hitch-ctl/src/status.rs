//! The status that a node reports.

use serde::Deserialize;
use serde::Serialize;

/// Answer of `GET /status`. Fields that this command does not know are allowed, so that it works
/// with newer nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Instance of the node.
    pub instance: Box<str>,
    /// Region of the instance.
    #[serde(default)]
    pub region: Box<str>,
    /// Availability zone of the instance.
    #[serde(default)]
    pub zone: Box<str>,
    /// State of the node, such as `ready` or `draining`.
    #[serde(default)]
    pub state: Box<str>,
    /// Whether the node serves calls.
    #[serde(default)]
    pub ready: bool,
    /// Why the node does not serve calls.
    #[serde(default)]
    pub not_ready_reason: Option<Box<str>>,
    /// Version that the node routes by.
    pub version_in_force: u64,
    /// Newest version that the node knows.
    #[serde(default)]
    pub version_known: u64,
    /// Offset of the next record of the log that the node needs.
    #[serde(default)]
    pub next_offset: u64,
    /// Time since a reader last confirmed the end of the log, in milliseconds.
    #[serde(default)]
    pub confirmed_age_ms: Option<u64>,
    /// Wall-clock time at which the version came into force, in milliseconds since 1970.
    #[serde(default)]
    pub in_force_at_ms: Option<u64>,
    /// Service of the backend server next to the node.
    #[serde(default)]
    pub service: Box<str>,
    /// Customer that the service belongs to.
    #[serde(default)]
    pub customer: Box<str>,
    /// Contracts that the node knows.
    #[serde(default)]
    pub contracts: Vec<Contract>,
    /// Members that the node knows, itself included or not.
    #[serde(default)]
    pub members: Vec<Member>,
}

/// A contract that a node knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contract {
    /// Customer of the contract.
    pub customer: Box<str>,
    /// Version at which it was accepted.
    pub version: u64,
    /// The contract as published.
    #[serde(default)]
    pub text: Box<str>,
}

/// A member that a node knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Instance of the member.
    pub instance: Box<str>,
    /// Availability zone of the member.
    #[serde(default)]
    pub zone: Box<str>,
    /// Service of the backend server next to the member.
    #[serde(default)]
    pub service: Box<str>,
    /// State of the member, such as `ready`, `suspect` or `gone`.
    #[serde(default)]
    pub state: Box<str>,
    /// Address of the member's admin listener, or empty.
    #[serde(default)]
    pub admin: Box<str>,
    /// Version that the member routes by, as far as the reporting node has learned.
    #[serde(default)]
    pub version_in_force: u64,
}
