//! Fleet-wide limits, divided among the nodes of a service.
#![deny(missing_docs)]
#![forbid(unsafe_code)]
