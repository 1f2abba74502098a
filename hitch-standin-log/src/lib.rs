//! Stand-in for the platform's log.
#![deny(missing_docs)]
#![forbid(unsafe_code)]
