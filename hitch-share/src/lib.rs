//! Service-wide rate limits of customers, divided among the nodes of one service without a central counter.
//!
//! Each node admits calls at its own part of a limit, its share: an equal base share, less the grants that it
//! issued to other nodes, plus the grants that it received from them. Nodes exchange grants to move share to
//! where the demand is.
//!
//! [`Share`] is a state machine: it reads no clock, does no I/O and spawns no task. Its caller passes in the
//! time since process start and sends the messages that it returns. [`share`] states how far the nodes
//! together may exceed a limit.
//!
//! ```
//! use std::time::Duration;
//!
//! use hitch_share::Options;
//! use hitch_share::Share;
//! use rand::SeedableRng;
//!
//! let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
//! let mut share = Share::new(Duration::ZERO, "ledger-1", 1, Options::default());
//! let fees = share.set_limit(Duration::ZERO, "association", "fee", 200.0);
//! let mut now = Duration::ZERO;
//! assert!(!share.admit(now, fees), "a node that has just started has no share");
//! for _ in 0..25 {
//!     now += Duration::from_millis(200);
//!     share.tick(now, &mut rng);
//! }
//! assert!(share.admit(now, fees), "the only node has the whole limit");
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod bucket;
pub mod exchange;
mod limit;
pub mod members;
pub mod message;
mod meter;
pub mod share;

pub use message::Command;
pub use message::Demand;
pub use message::Message;
pub use share::LimitId;
pub use share::NodeId;
pub use share::Options;
pub use share::Share;
