//! Scripted scenarios over the plumbing crates.
//!
//! A [`Scenario`] is read from YAML and runs in virtual time against fakes of the log, the network and the
//! backend servers. Its seed decides everything random: the same scenario runs the same way each time.
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
//! let report = hitch_scenario::world::run(&scenario, Default::default());
//! assert_eq!(report.violations, []);
//! assert!(report.failures.is_empty(), "{:?}", report.failures);
//! # Ok::<(), hitch_scenario::script::Error>(())
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod act;
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
pub mod world;

pub use check::Check;
pub use script::Scenario;
pub use world::Broken;
