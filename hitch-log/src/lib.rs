//! Client of the platform's append-only log.
#![deny(missing_docs)]
#![forbid(unsafe_code)]
