//! Asynchronous admission to a backend server, and the clocks and locks that it uses.
//!
//! ```
//! let time = hitch_gate::time::ProcessClock::start();
//! let service = hitch_contract::Service { name: "ledger".into(), slots: 2, connections: 8 };
//! let gate = hitch_gate::Gate::new(time, &service, &[], hitch_admission::Options::default());
//! assert_eq!(gate.load().running, 0);
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod gate;
pub mod shards;
pub mod time;

pub use gate::Gate;
