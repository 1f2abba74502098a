//! Service mesh node for the backend server that runs on the same instance.
//!
//! Listeners and controllers share a [`Node`] and its [`blackboard`]. Routing, retry, admission
//! and membership decisions are made by the other `hitch` crates; this crate does the I/O.
//!
//! ```
//! let settings = hitch_settings::node::Settings::from_bytes("node.yaml", b"instance: i-1");
//! assert!(settings.is_err());
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod blackboard;
pub mod call;
pub mod catch_up;
pub mod controller;
mod crash_suspects;
pub mod execute;
pub mod forward;
pub mod ingress;
pub mod keys;
pub mod listener;
pub mod metrics;
pub mod node;
pub mod once;
pub mod ownership_cache;
pub mod peers;
pub mod reply;
pub mod run;
pub mod wire;

pub use hitch_gate::gate;
pub use hitch_gate::shards;
pub use hitch_gate::time;

pub use node::Node;
