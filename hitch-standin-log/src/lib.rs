//! Simulated append-only log of the platform for tests and benchmarks: an in-memory store with
//! fault injection and its HTTP server.
//!
//! ```
//! use std::time::Duration;
//!
//! use hitch_standin_log::Settings;
//! use hitch_standin_log::Store;
//!
//! let mut store = Store::new(Settings::default());
//! let appended = store.append(Duration::ZERO, 1, "config", b"data"[..].into())?;
//! assert_eq!(appended.offset, 0);
//! # Ok::<(), hitch_standin_log::store::append::Error>(())
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod connection;
pub mod control;
pub mod handle;
mod routes;
pub mod serve;
pub mod settings;
pub mod store;

pub use control::Control;
pub use handle::Handle;
pub use serve::serve;
pub use settings::Settings;
pub use store::Store;
