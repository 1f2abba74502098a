//! The platform's store, as the node uses it: topics of records by key, of which the newest is kept.
//!
//! Whoever embeds the crate says how an operation is carried out. A store that is down costs the node nothing but news:
//! every operation ends within a timeout and is repeated later.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use snafu::Snafu;

/// A topic of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// What the operator publishes.
    Config,
    /// The nodes, by the address at which other nodes connect.
    Members,
}

/// The newest record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: Box<str>,
    /// The value, or nothing when the key was dropped.
    pub value: Option<Bytes>,
}

/// Records, and where the topic ended when they were read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The records, in the order of the topic.
    pub records: Vec<Record>,
    /// Offset after the last record.
    pub end: u64,
}

/// Why an operation has no result.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The store did not do it.
    #[snafu(display("{step} at store {peer}: refused: {detail}"))]
    Refused {
        /// The operation.
        step: &'static str,
        /// Address of the store.
        peer: Box<str>,
        /// Status and start of the answer.
        detail: Box<str>,
    },
    /// The records from the offset on have been dropped in part.
    #[snafu(display("{step} at store {peer}: the records were dropped"))]
    Trimmed {
        /// The operation.
        step: &'static str,
        /// Address of the store.
        peer: Box<str>,
    },
    /// There was no answer. A write may have been done or may be done later.
    #[snafu(display("{step} at store {peer}: no answer: {detail}"))]
    NoAnswer {
        /// The operation.
        step: &'static str,
        /// Address of the store.
        peer: Box<str>,
        /// What went wrong.
        detail: Box<str>,
    },
    /// The answer cannot be read.
    #[snafu(display("{step} at store {peer}: the answer is unreadable: {detail}"))]
    Unreadable {
        /// The operation.
        step: &'static str,
        /// Address of the store.
        peer: Box<str>,
        /// What is wrong with it.
        detail: Box<str>,
    },
}

/// Returns the newest record of each key of a topic.
pub type Newest = Arc<dyn Fn(Topic) -> BoxFuture<'static, Result<Page, Error>> + Send + Sync>;
/// Returns the records of a topic from an offset on, and waits for one up to a time when there is none.
pub type Read =
    Arc<dyn Fn(Topic, u64, Duration) -> BoxFuture<'static, Result<Page, Error>> + Send + Sync>;
/// Appends a record to a topic.
pub type Put = Arc<dyn Fn(Topic, Record) -> BoxFuture<'static, Result<(), Error>> + Send + Sync>;

/// The operations of a store.
#[derive(Clone)]
pub struct Store {
    /// Returns the newest record of each key of a topic.
    pub newest: Newest,
    /// Returns the records of a topic from an offset on.
    pub read: Read,
    /// Appends a record to a topic.
    pub put: Put,
    /// Key of the record of [`Topic::Config`] that holds the configuration.
    pub config_key: Box<str>,
}
