//! Outcomes of calls, retry budget, hedging, and detection of requests that crash backend servers.
//!
//! A call may be retried only if it did not run, or if it is idempotent.
//!
//! ```
//! use std::time::Duration;
//!
//! use hitch_retry::Decision;
//! use hitch_retry::Options;
//! use hitch_retry::Outcome;
//! use hitch_retry::RetryContext;
//! use hitch_retry::Unknown;
//! use rand_chacha::ChaCha8Rng;
//! use rand_chacha::rand_core::SeedableRng;
//!
//! let context = RetryContext {
//!     attempt: 1,
//!     outcome: Some(Outcome::Unknown(Unknown::ConnectionLost)),
//!     idempotent: false,
//!     elapsed: Duration::from_millis(5),
//!     remaining_time: Duration::from_secs(1),
//!     budget_milli: 1_000,
//!     expected_latency: Duration::from_millis(10),
//! };
//! let mut rng = ChaCha8Rng::seed_from_u64(1);
//! let decision = hitch_retry::decide::next(&Options::default(), &context, &mut rng);
//! assert!(matches!(decision, Decision::GiveUp(_)));
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod budget;
pub mod decide;
pub mod outcome;
pub mod suspicion;

pub use budget::Bucket;
pub use budget::Budget;
pub use decide::Decision;
pub use decide::Options;
pub use decide::RetryContext;
pub use outcome::NotRun;
pub use outcome::Outcome;
pub use outcome::Unknown;
pub use suspicion::Evidence;
pub use suspicion::Fingerprint;
pub use suspicion::Suspicion;
