//! Faults, as `POST /control` sets them.

use serde::Deserialize;
use serde::Serialize;

/// A change of the faults in force; absent fields stay as they are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Whether every append and read is refused.
    pub outage: Option<bool>,
    /// Time before an append takes effect, in milliseconds. The append takes effect even if the
    /// caller has left by then.
    pub append_delay_ms: Option<u64>,
    /// Time before a read is answered, in milliseconds.
    pub read_delay_ms: Option<u64>,
    /// How many of the next appends take effect without an answer.
    pub lose_answers: Option<u64>,
    /// Offset below which the records of `stream` are dropped.
    pub trim_before: Option<u64>,
    /// Stream that `trim_before` applies to.
    pub stream: Option<Box<str>>,
    /// Appends accepted per second over all streams.
    pub appends_per_second: Option<u32>,
}

/// Faults in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Whether every append and read is refused.
    pub outage: bool,
    /// Time before an append takes effect, in milliseconds.
    pub append_delay_ms: u64,
    /// Time before a read is answered, in milliseconds.
    pub read_delay_ms: u64,
    /// How many of the next appends take effect without an answer.
    pub lose_answers: u64,
    /// Appends accepted per second over all streams.
    pub appends_per_second: u32,
}
