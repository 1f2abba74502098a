//! Scripted scenarios over the plumbing crates.
#![deny(missing_docs)]
#![forbid(unsafe_code)]
