//! Interface to the platform's store: topics of keyed records, of which the newest of each key is retained.
//!
//! The embedding program implements the operations. Each must end within a timeout; the node retries those that failed.
//! While the store is down, the node goes on with the configuration and the members that it knows.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use hitch_rollout::Order;
use hitch_rollout::Status;
use snafu::Snafu;

/// A topic of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// Configurations that the operator publishes.
    Config,
    /// Member entries of the nodes, by the address of their peer listener.
    Members,
    /// Statuses of rollouts, by service.
    Status,
}

/// A record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Key. The newest record of a key replaces the earlier ones.
    pub key: Box<str>,
    /// Value, or `None` if the key was deleted.
    pub value: Option<Bytes>,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Records in the order of the topic.
    pub records: Vec<Record>,
    /// Keys of records that cannot be decoded, for example of another writer. They are not among `records`.
    pub undecodable: Vec<Box<str>>,
    /// Offset at which the next read continues.
    pub end: u64,
    /// Whether the topic had no further records when the store answered.
    pub is_whole: bool,
    /// Era of the store, which increases by one each time that the store comes back from an older copy of its records.
    /// Offsets of different eras have nothing to do with each other.
    pub era: u64,
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Era of the store, see [`Page::era`].
    pub era: u64,
}

/// Why an operation has no result.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The store refused the operation, or it was never sent.
    #[snafu(display("{step} at store {peer}: refused: {detail}"))]
    Refused {
        /// The operation.
        step: &'static str,
        /// Address of the store.
        peer: Box<str>,
        /// Status and start of the answer, or why the operation was not sent.
        detail: Box<str>,
    },
    /// Some of the records from the requested offset on have been trimmed.
    #[snafu(display("{step} at store {peer}: the records were dropped"))]
    Trimmed {
        /// The operation.
        step: &'static str,
        /// Address of the store.
        peer: Box<str>,
    },
    /// The topic does not end where the operation requires it; nothing was appended.
    #[snafu(display("{step} at store {peer}: the topic ends elsewhere"))]
    Conflict {
        /// The operation.
        step: &'static str,
        /// Address of the store.
        peer: Box<str>,
    },
    /// There was no answer. A write may have been applied or may be applied later.
    #[snafu(display("{step} at store {peer}: no answer: {detail}"))]
    NoAnswer {
        /// The operation.
        step: &'static str,
        /// Address of the store.
        peer: Box<str>,
        /// What went wrong, for example a timeout.
        detail: Box<str>,
    },
    /// The answer cannot be decoded.
    #[snafu(display("{step} at store {peer}: the answer is unreadable: {detail}"))]
    Unreadable {
        /// The operation.
        step: &'static str,
        /// Address of the store.
        peer: Box<str>,
        /// What is wrong with the answer.
        detail: Box<str>,
    },
}

/// Reads the newest record of each key of a topic.
pub type Newest = Arc<dyn Fn(Topic) -> BoxFuture<'static, Result<Page, Error>> + Send + Sync>;
/// Reads the records of a topic from an offset on. If there is none yet, waits for one up to the given time.
pub type Read =
    Arc<dyn Fn(Topic, u64, Duration) -> BoxFuture<'static, Result<Page, Error>> + Send + Sync>;
/// Appends a record to a topic.
pub type Put =
    Arc<dyn Fn(Topic, Record) -> BoxFuture<'static, Result<Appended, Error>> + Send + Sync>;

/// Appends a record to a topic if the topic ends at the given offset. The record then has this offset.
pub type AppendAt =
    Arc<dyn Fn(Topic, Record, u64) -> BoxFuture<'static, Result<Appended, Error>> + Send + Sync>;

/// An order to replace the version of a service, or its withdrawal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderRecord {
    /// The order.
    Ordered(Order),
    /// The record of the service was deleted.
    Withdrawn {
        /// Service of the order.
        service: Box<str>,
    },
}

/// Decodes a record of [`Topic::Config`] that may be an order. Returns `None` for a record of another kind, and an error
/// for an order that cannot be decoded.
pub type DecodeOrder = Arc<dyn Fn(&Record) -> Option<Result<OrderRecord, Box<str>>> + Send + Sync>;
/// Decodes a record of [`Topic::Status`] into the service and its status, if it is one.
pub type DecodeStatus = Arc<dyn Fn(&Record) -> Option<(Box<str>, Status)> + Send + Sync>;
/// Encodes the status of a service's rollout as a record of [`Topic::Status`].
pub type EncodeStatus = Arc<dyn Fn(&str, &Status) -> Record + Send + Sync>;

/// Encoding of the records of rollouts.
#[derive(Clone)]
pub struct RolloutRecords {
    /// Decodes an order.
    pub decode_order: DecodeOrder,
    /// Decodes a status.
    pub decode_status: DecodeStatus,
    /// Encodes a status.
    pub encode_status: EncodeStatus,
}

/// The operations of a store.
#[derive(Clone)]
pub struct Store {
    /// Reads the newest record of each key of a topic.
    pub newest: Newest,
    /// Reads the records of a topic from an offset on.
    pub read: Read,
    /// Appends a record to a topic.
    pub put: Put,
    /// Appends a record to a topic if the topic ends at an offset.
    pub append_at: AppendAt,
    /// Encoding of the records of rollouts.
    pub rollouts: RolloutRecords,
    /// Key of the record of [`Topic::Config`] that holds the configuration.
    pub config_key: Box<str>,
}
