//! Admission control for one backend server: a concurrency limit that adapts to measured latency and
//! load-shed answers, and a bounded queue for the calls above the limit.
//!
//! A rank is a priority class of the contract. Each rank has a target latency, a guaranteed share of the
//! limit, and a worth: a full queue evicts calls of low worth first. Slots are the calls that the backend
//! server can run concurrently; their number is the upper bound of the limit.
//!
//! [`Queue`] is a state machine: it reads no clock, does no I/O and spawns no task. Its owner passes in the
//! time since process start and executes the commands that it returns.
//!
//! ```
//! use std::time::Duration;
//!
//! use hitch_admission::Admission;
//! use hitch_admission::Finished;
//! use hitch_admission::Offer;
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
pub mod class;
pub mod expected;
pub mod finish;
mod limit;
pub mod nested;
pub mod offer;
pub mod poll;
pub mod queue;
mod rank;
mod reserve;
pub mod retry_after;
mod service_time;

pub use cancel::Cancelled;
pub use class::ClassId;
pub use finish::Finished;
pub use offer::Admission;
pub use offer::Offer;
pub use offer::Reason;
pub use poll::Command;
pub use queue::Options;
pub use queue::Queue;
pub use queue::Ticket;
pub use rank::RankId;
