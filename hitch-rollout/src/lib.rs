//! Decisions of a gradual rollout of a new version of a service.
//!
//! An operator orders a version. The [`Controller`], on one node, decides which share of the service's requests goes to
//! the new version, judges the [`evidence`] of the nodes next to the backend servers, and ends the rollout as completed
//! or rolled back. [`Traffic`], on every node, keeps what the node knows of the order and decides for each request which
//! version gets it. The crate does no I/O, reads no clock and starts no tasks. All times are durations since an origin that
//! precedes every order: the start of the process minus [`ORIGIN`].
//!
//! ```
//! use std::time::Duration;
//! use hitch_rollout::Traffic;
//!
//! let mut traffic = Traffic::ordered(Duration::ZERO, "v2", Duration::from_secs(15), true, 0.5);
//! assert!(!traffic.choose(Duration::ZERO).is_new);
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

use std::time::Duration;

pub mod controller;
pub mod evidence;
pub mod judge;
pub mod order;
pub mod plan;
pub mod recorder;
pub mod traffic;
pub mod writer;

pub use controller::Controller;
pub use order::Instruction;
pub use order::Order;
pub use order::Phase;
pub use order::State;
pub use order::Status;
pub use traffic::Traffic;

/// Time from the origin of all times to the start of the process. An order may be older than the process, for example
/// that of a node next to a new backend server.
pub const ORIGIN: Duration = Duration::from_secs(365 * 24 * 3_600);
