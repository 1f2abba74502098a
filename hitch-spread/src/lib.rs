//! Dissemination of log records between nodes: digests, fetches, freshness and snapshots.
//!
//! The state machine does no I/O and reads no clock. The caller passes in the time since process
//! start and what it received, applies the records that are returned and executes the [`Command`]s.
//!
//! ```
//! use std::time::Duration;
//!
//! use hitch_spread::FetchResponse;
//! use hitch_spread::Options;
//! use hitch_spread::Record;
//! use hitch_spread::Spread;
//!
//! let now = Duration::from_secs(1);
//! let mut reader = Spread::new(Options::default());
//! let record = Record { offset: 0, data: (*b"change").into() };
//! let outcome = reader.received_log_records(now, now, [record.clone()]);
//! assert_eq!(outcome.apply, [record.clone()]);
//! assert_eq!(reader.serve_fetch(now, 0, 65536), FetchResponse::Records(vec![record]));
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod fetch;
pub mod fresh;
pub mod record;
pub mod serve;
pub mod spread;
mod start;

pub use fetch::Command;
pub use fetch::Outcome;
pub use fresh::Digest;
pub use record::Record;
pub use serve::FetchResponse;
pub use serve::TransferId;
pub use spread::Options;
pub use spread::Peer;
pub use spread::Spread;
