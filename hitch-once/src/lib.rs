//! At-most-once execution by intervals of key time.
#![deny(missing_docs)]
#![forbid(unsafe_code)]
