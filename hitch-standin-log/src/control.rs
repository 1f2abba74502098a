//! Injected faults and their updates through `POST /control`.

use serde::Deserialize;
use serde::Serialize;

/// An update of the injected faults; absent fields leave the fault unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Whether every append and read is refused.
    pub outage: Option<bool>,
    /// Delay before an append takes effect, in milliseconds. The append takes effect even if the
    /// caller has disconnected by then.
    pub append_delay_ms: Option<u64>,
    /// Delay before a read is answered, in milliseconds.
    pub read_delay_ms: Option<u64>,
    /// Number of upcoming appends that take effect but whose connection is closed without an
    /// answer.
    pub lose_answers: Option<u64>,
    /// Offset before which the records of `stream` are removed.
    pub trim_before: Option<u64>,
    /// Stream that `trim_before` applies to.
    pub stream: Option<Box<str>>,
    /// Maximum rate of appends over all streams, per second; 0 refuses every append.
    pub appends_per_second: Option<u32>,
}

/// The faults currently injected.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Whether every append and read is refused.
    pub outage: bool,
    /// Delay before an append takes effect, in milliseconds.
    pub append_delay_ms: u64,
    /// Delay before a read is answered, in milliseconds.
    pub read_delay_ms: u64,
    /// Number of upcoming appends that take effect but whose connection is closed without an
    /// answer.
    pub lose_answers: u64,
    /// Maximum rate of appends over all streams, per second; 0 refuses every append.
    pub appends_per_second: u32,
}
