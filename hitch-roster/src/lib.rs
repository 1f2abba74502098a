//! Membership of instances.
#![deny(missing_docs)]
#![forbid(unsafe_code)]
