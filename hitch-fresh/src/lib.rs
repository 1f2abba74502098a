//! Proofs of how recent a node's configuration is, and the era of the store that the configuration comes from.
//!
//! A revocation is a version of the configuration that takes an API key away. To enforce it within a bound on every
//! node, including those that do not reach the store, a node serves requests with API keys only while it can prove that
//! its version was the newest one in the store at most that long ago. The proof comes from an answer of the store or
//! from a peer that has one.
//!
//! **Why this is safe.** A [`Proof`] states that at some moment after the store was asked at time `asked`, its newest version
//! was `version`. A later version was therefore acknowledged after `asked`. [`Fresh::check`] admits a request that was
//! authorised by version `w` at time `t` only with a proof of a version of at most `w` and with
//! `t - asked < bound - margin`. A version after `w` was then acknowledged less than the bound ago. Every delay (of the
//! answer, of a peer's answer, of a process that was frozen at any point) lies between `asked` and `t` and can only make
//! the proof older.
//!
//! [`Fresh`] is a state machine: it reads no clock, does no I/O and starts no tasks. Its caller passes in the time since
//! the start of the process, from a clock that counts the time during which the process is frozen.
//!
//! ```
//! use std::time::Duration;
//!
//! use hitch_fresh::Bounds;
//! use hitch_fresh::Fresh;
//! use hitch_fresh::Refusal;
//!
//! let bounds = Bounds::new(Duration::from_secs(5));
//! let mut fresh = Fresh::new();
//! let asked = Duration::from_secs(10);
//! fresh.prove(asked, 0, 3);
//! assert_eq!(fresh.check(Duration::from_secs(14), bounds, 3), Ok(()));
//! assert_eq!(fresh.check(Duration::from_secs(15), bounds, 3), Err(Refusal::Expired));
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod ask;
pub mod bounds;
pub mod era;
pub mod fresh;
pub mod proof;

pub use ask::Ask;
pub use ask::Peer;
pub use bounds::Bounds;
pub use era::EraChange;
pub use fresh::Fresh;
pub use fresh::PeerAnswer;
pub use fresh::PeerProof;
pub use fresh::Position;
pub use fresh::StoreAnswer;
pub use proof::Proof;
pub use proof::Refusal;
