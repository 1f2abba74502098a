//! The contract of a customer: its guarantees, services and routes, from which the limits of the
//! mesh are derived.
//!
//! ```
//! let text = "
//! customer: association
//! lands_within: 10s
//! ranks:
//!   - { name: fee, target_latency: 150ms, worth: 100, share: 30%, admit: 200/s }
//! services:
//!   - { name: ledger, slots: 13, connections: 130 }
//! routes:
//!   - { method: POST, path: /fees, service: ledger, idempotent: false, deadline: 2s }
//! ";
//! let contract = hitch_contract::from_bytes("association.yaml", text.as_bytes())?;
//! assert_eq!(&*contract.customer, "association");
//! # Ok::<(), hitch_contract::read::Error>(())
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod model;
pub mod read;

mod check;

pub use model::Contract;
pub use model::Rank;
pub use model::Route;
pub use model::Service;
pub use model::WhenStale;
pub use read::from_bytes;
