//! Versions of the configuration, computed deterministically from the records of the log.
//!
//! Every node that applies the same records reaches the same verdicts, so an invalid change is
//! refused on all nodes and applied on none.
//!
//! ```
//! use hitch_config::State;
//! use hitch_config::Verdict;
//!
//! let mut state = State::default();
//! let verdict = state.apply(0, b"not a change")?;
//! assert!(matches!(verdict, Verdict::Refused(_)));
//! assert_eq!((state.version(), state.next_offset()), (0, 1));
//! # Ok::<(), hitch_config::apply::Error>(())
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod apply;
pub mod change;
pub mod snapshot;
pub mod state;

pub use apply::Refusal;
pub use apply::Verdict;
pub use change::Change;
pub use state::Accepted;
pub use state::State;
