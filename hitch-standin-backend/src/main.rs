//! Stand-in for a backend server.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

fn main() {}
