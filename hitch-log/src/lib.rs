//! Client of the platform's append-only log.
//!
//! Every operation ends within a timeout. An append whose answer is lost is reported as
//! [`append::Error::Ambiguous`]: the caller reads the stream back before it appends again.
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
