//! Route table and load balancing.
#![deny(missing_docs)]
#![forbid(unsafe_code)]
