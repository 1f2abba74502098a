//! Deterministic simulation of a fleet, driven by scripted scenarios.
//!
//! A [`Scenario`] is read from YAML and runs in virtual time. The nodes use the library crates of `hitch-node`; the
//! log, the network and the backend servers are simulated. All randomness comes from the seed of the scenario, so equal
//! scenarios give equal runs.
//!
//! ```
//! let text = "
//! seed: 7
//! nodes: { count: 4, zones: 2 }
//! steps:
//!   - { at: 0s, do: publish }
//!   - { at: 6s, do: { call: { id: a, via: 1 } } }
//!   - { at: 8s, expect: { runs: { id: a, count: 1 } } }
//! ";
//! let scenario = hitch_scenario::Scenario::from_yaml(text)?;
//! let report = hitch_scenario::simulation::run(&scenario, Default::default());
//! assert_eq!(report.violations, []);
//! assert!(report.failures.is_empty(), "{:?}", report.failures);
//! # Ok::<(), hitch_scenario::script::Error>(())
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod actions;
pub mod calls;
pub mod check;
pub mod contract;
mod execute;
pub mod log;
pub mod matrix;
pub mod net;
pub mod node;
pub mod operator;
pub mod peer;
pub mod script;
pub mod simulation;

pub use check::Check;
pub use script::Scenario;
pub use simulation::Defect;
