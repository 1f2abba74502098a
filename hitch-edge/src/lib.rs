//! Caller edge and backend edge.
#![deny(missing_docs)]
#![forbid(unsafe_code)]
