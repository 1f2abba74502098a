//! Stand-in for a backend server: bounded slots, cold start, drain, load shedding, settable faults,
//! chains of calls through a node, and a ledger of what it ran.
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
pub mod handle;
pub mod header;
pub mod ledger;
mod load;
mod next;
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
