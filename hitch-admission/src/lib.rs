//! Admission control and the queue beside one backend server.
//!
//! [`Queue`] is a state machine: it reads no clock, does no I/O and spawns nothing. Its caller passes in the
//! time since process start and carries out the commands that it returns.
//!
//! ```
//! use std::time::Duration;
//!
//! use hitch_admission::Finished;
//! use hitch_admission::Offer;
//! use hitch_admission::Admission;
//! use hitch_admission::Options;
//! use hitch_admission::Queue;
//! use hitch_admission::RankId;
//!
//! let fee = hitch_contract::Rank {
//!     name: "fee".into(),
//!     target_latency: Duration::from_millis(150),
//!     worth: 100,
//!     share_percent: 30,
//!     admit_per_second: 200,
//! };
//! let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
//! let start = Duration::ZERO;
//! let mut queue = Queue::new(start, &service, &[fee], Options::default());
//! let offer = Offer { rank: RankId::new(0), deadline: Duration::from_secs(2), expected: None };
//! let Admission::Run(ticket) = queue.offer(start, offer) else { panic!("an idle server runs a call at once") };
//! let latency = Duration::from_millis(20);
//! queue.finish(start + latency, ticket, Finished::Answered { latency });
//! assert!(queue.poll(start + latency).is_empty());
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod cancel;
mod estimate;
pub mod finish;
mod limit;
pub mod offer;
pub mod poll;
pub mod queue;
mod rank;
mod reserve;

pub use cancel::Cancelled;
pub use finish::Finished;
pub use offer::Admission;
pub use offer::Offer;
pub use offer::Reason;
pub use poll::Command;
pub use queue::Options;
pub use queue::Queue;
pub use queue::Ticket;
pub use rank::RankId;
