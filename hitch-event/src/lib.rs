//! Events recorded by the processes of the system, and their merge into one causal order.
//!
//! Timestamps come from a hybrid logical clock (Kulkarni et al., "Logical Physical Clocks and
//! Consistent Snapshots in Globally Distributed Databases", 2014): an event sorts after the event
//! that caused it, even if the wall clocks of the two processes differ.
//!
//! ```
//! let mut sender = hitch_event::Clock::default();
//! let mut receiver = hitch_event::Clock::default();
//! let sent = sender.tick(1_000);
//! let received = receiver.observe(sent, 400);
//! assert!(received > sent);
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod clock;
pub mod event;
pub mod timeline;

pub use clock::Clock;
pub use clock::Stamp;
pub use event::Event;
pub use event::Kind;
pub use event::Ring;
