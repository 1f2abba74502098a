//! Limits on what a node holds for clients that nobody controls.
//!
//! - [`Limits`] derives the limits from the memory and the descriptors of the machine;
//! - [`Account`] is the memory that is held for others, with a reserve for short requests;
//! - [`Connections`] is the set of callers' connections, and chooses the one to close when there are too many;
//! - [`Progress`] tells when a connection has taken too long.
//!
//! The crate does no I/O, reads no clock and starts no tasks: times are durations since the start of the process, passed
//! in by the caller.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod connections;
pub mod limits;
pub mod memory;
pub mod progress;

pub use connections::Connections;
pub use limits::Limits;
pub use memory::Account;
pub use memory::Charge;
pub use progress::Progress;
