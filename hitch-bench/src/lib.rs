//! Experiments with the real processes of a deployment on loopback addresses.
//!
//! Every process ends when its experiment ends, also on errors.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod added;
mod deployment;
pub mod drain;
mod error;
pub mod flood;
mod http;
mod load;
pub mod misled;
pub mod once;
mod process;

pub use deployment::Deployment;
pub use deployment::Service;
pub use error::Error;
