//! Experiments with the real processes of a deployment on loopback addresses.
//!
//! An experiment stops every process that it started, also when it fails.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod added;
mod changes;
pub mod convergence;
mod deployment;
pub mod drain;
mod error;
pub mod flood;
pub mod herd;
mod http;
mod load;
pub mod misled;
pub mod once;
mod process;
pub mod usage;

pub use deployment::Deployment;
pub use deployment::Service;
pub use error::Error;
