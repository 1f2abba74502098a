//! Dissemination of log records between nodes.
#![deny(missing_docs)]
#![forbid(unsafe_code)]
