//! A mesh node that routes calls by host and path prefix, without contracts or idempotency keys.
//!
//! A request enters the mesh at any node. That node chooses the route and a backend server of the route's service, and
//! forwards the call to the node on the backend server's instance. Only that node decides whether and when its local
//! backend server gets the call, so no other node has to agree on what runs, drains, is queued or is refused. [`Mesh`]
//! is the blackboard that the listeners and background tasks of a node read and write; [`run`] starts them. The
//! embedding program supplies the header names and the store, see [`settings`] and [`store`].
//!
//! ```
//! let mut buf = bytes::BytesMut::new();
//! hitch_mesh::frame::encode(hitch_mesh::frame::Kind::Ping(Default::default()), &mut buf);
//! assert!(!buf.is_empty());
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod admin;
pub mod arrival;
mod attempts;
pub mod backend;
mod bounds;
mod cancel;
mod config;
pub mod delay;
mod dependence;
mod dial;
mod execute;
pub mod frame;
mod freshness;
mod header_table;
pub mod health;
mod link;
mod long_frame;
pub mod members;
pub mod mesh;
pub mod metrics;
mod nested;
mod outcome;
mod peer;
mod pipeline;
mod quota;
pub mod report;
mod rollout;
pub mod run;
pub mod settings;
mod socket;
pub mod store;
mod store_poll;
mod sync;

pub use mesh::Mesh;
