//! The operator's command.
#![deny(missing_docs)]
#![forbid(unsafe_code)]
