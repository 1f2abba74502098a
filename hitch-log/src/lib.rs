//! Client of the platform's append-only log.
//!
//! Every operation ends within a timeout. An append without a usable answer fails with
//! [`append::Error::Ambiguous`]: the caller must read the stream to learn whether it holds the
//! record, before it appends the record again.
//!
//! ```
//! use hitch_log::Client;
//! use hitch_log::Options;
//!
//! let client = Client::at("http://127.0.0.1:7000", Options::default())?;
//! assert_eq!(client.peer(), "127.0.0.1:7000");
//! # Ok::<(), hitch_log::client::Error>(())
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod append;
pub mod client;
pub mod exchange;
pub mod read;

pub use client::Client;
pub use client::Counters;
pub use client::Options;
