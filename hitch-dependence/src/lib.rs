//! Admission of requests by the room of the services that they call.
//!
//! A request that makes calls of its own, nested calls, fails if one of them is refused or late, and its run is wasted.
//! The node beside a backend server learns with [`Learner`] which nested calls the runs of each route make and how many
//! fail for lack of room, and refuses with [`Control`] the fraction of new requests whose nested calls would find no room.
//! Where requests enter, [`Throttle`] refuses most of that fraction already.
//!
//! All are state machines: they read no clock, do no I/O and draw no random numbers. Times are counted since the start
//! of the process.
//!
//! ```
//! use std::time::Duration;
//!
//! use hitch_dependence::Control;
//! use hitch_dependence::Learner;
//! use hitch_dependence::NestedEnd;
//! use hitch_dependence::Options;
//!
//! let now = Duration::from_secs(1);
//! let mut learner = Learner::default();
//! for _ in 0..20 {
//!     learner.run_started(now, "/balance/");
//!     learner.nested_started(now, "wallet");
//!     learner.nested_ended(now, "wallet", NestedEnd::Answered { waited: 0.0 });
//!     learner.run_ended("/balance/");
//! }
//! let dependences = learner.dependences(now, "/balance/");
//! assert_eq!(&*dependences[0].service, "wallet");
//! let mut control = Control::new(Options::default());
//! control.ran(now, "/balance/", &dependences);
//! assert!(control.admit(now, "/balance/", 0, 0.5).is_ok(), "the wallet has room");
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod control;
mod decay;
mod demand;
pub mod learn;
pub mod throttle;

pub use control::Control;
pub use control::Options;
pub use control::Refusal;
pub use learn::Dependence;
pub use learn::Learner;
pub use learn::NestedEnd;
pub use throttle::Throttle;
