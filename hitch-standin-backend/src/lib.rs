//! Simulated backend server for tests and benchmarks.
//!
//! It limits concurrent calls and sheds the excess, simulates cold starts, drains, injects faults,
//! makes downstream calls through a node and records every run in a ledger.
//!
//! ```
//! use hitch_standin_backend::Handle;
//! use hitch_standin_backend::Settings;
//!
//! let backend = Handle::new(Settings::default());
//! assert_eq!(backend.ledger().started, 0);
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod answer;
mod call;
mod connection;
pub mod control;
mod downstream;
pub mod handle;
pub mod header;
pub mod ledger;
mod load_history;
mod routes;
pub mod serve;
pub mod settings;
mod state;

pub use answer::Answer;
pub use answer::body_hash;
pub use control::Control;
pub use handle::Handle;
pub use ledger::Ledger;
pub use serve::serve;
pub use settings::Settings;
pub use state::Counters;
