//! The node beside a backend server.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

fn main() {}
