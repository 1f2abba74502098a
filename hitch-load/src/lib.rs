//! Open-loop load generator for nodes and backend servers on loopback addresses.
//!
//! Calls are sent at their scheduled times whether or not earlier calls were answered, and latency
//! is measured from the scheduled time. A server that stalls therefore cannot lower the measured
//! latency by delaying later calls (coordinated omission).
//!
//! ```
//! let plan = "
//! targets: ['127.0.0.1:8000']
//! duration_ms: 1000
//! streams:
//!   - { name: fees, customer: association, rank: fee, method: POST, path: /fees, rate: 50 }
//! ";
//! let plan = hitch_load::plan::from_str("plan.yaml", plan)?;
//! assert_eq!(plan.streams.len(), 1);
//! # Ok::<(), hitch_load::plan::Error>(())
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod audit;
mod call;
pub mod compare;
pub mod engine;
pub mod plan;
mod pool;
pub mod record;
pub mod report;
pub mod schedule;

pub use engine::Engine;
pub use plan::Plan;
pub use report::Report;
