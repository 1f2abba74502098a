//! Choice of the nodes that a node keeps connections to, when the mesh is too large to connect to all of them.
//!
//! Each node decides by itself, from the list of members that it knows:
//!
//! - For each service that it calls, it connects to a bounded number of nodes, its own availability zone first, in an
//!   order that differs from node to node (rendezvous hashing). So the callers spread evenly over the nodes of a
//!   service, a member that joins or leaves changes few choices, and a node that fails is replaced by the next one.
//! - The nodes of an availability zone form a ring. Each node connects to its next two successors, so that news which
//!   every node passes on reaches all of them, and to its predecessors, of which the first two of the ring read the
//!   store on behalf of the zone.
//!
//! [`Subset`] is a state machine: it does no I/O and reads no clock. Its owner tells it what happened to each
//! connection, and connects to what it selects.
//!
//! ```
//! use hitch_subset::Options;
//! use hitch_subset::Subset;
//!
//! let mut subset = Subset::new("10.0.0.1:7600", "a", Options::default());
//! subset.insert("10.0.0.2:7600", "a", "ledger");
//! subset.want("ledger");
//! assert!(subset.selected().contains("10.0.0.2:7600"));
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod ring;
mod select;
pub mod subset;

pub use subset::Options;
pub use subset::Reach;
pub use subset::Subset;
