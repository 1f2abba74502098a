//! Rate limits of organisations over all nodes of a mesh.
//!
//! Each organisation has a home: the node that keeps its token bucket. Entry nodes lease tokens from the home for a short
//! time and spend one for each request. A few nodes, the voters, decide which node may act as a home, so that at most one
//! node at a time grants tokens of an organisation, whether or not the nodes can reach each other.
//!
//! [`Node`] holds all of it. It does no I/O and reads no clock: the caller passes in the time since the start of the
//! process, by a clock that counts suspension, and carries the messages.
//!
//! ```
//! use std::collections::BTreeMap;
//! use std::time::Duration;
//!
//! use hitch_quota::Limit;
//! use hitch_quota::Node;
//! use hitch_quota::Taken;
//!
//! let mut node = Node::new("10.0.0.1:7600", "a", 7, hitch_quota::Bounds::default(), Duration::ZERO);
//! let limit = Limit { rate: 5.0, burst: 5.0 };
//! node.set_limits(Duration::ZERO, BTreeMap::from([("acme".into(), limit)]));
//! node.set_members(Duration::ZERO, [], true, &|_| false);
//! for ms in (0..3_000).step_by(50) {
//!     node.tick(Duration::from_millis(ms), &|_| false);
//! }
//! let now = Duration::from_secs(3);
//! // The only node is the home, so the token is granted without a message.
//! assert!(matches!(node.take(now, "acme"), Taken::Waiting { .. }));
//! assert_eq!(node.flush(now, &|_| false).resolved.len(), 1);
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod bounds;
mod council;
mod fallback;
mod home;
mod lease;
pub mod message;
mod node;
mod tenure;
mod voter;

pub use bounds::Bounds;
pub use bounds::Limit;
pub use fallback::Fallback;
pub use lease::Resolution;
pub use lease::Taken;
pub use lease::Token;
pub use node::Node;
pub use node::Output;
pub use node::Status;
