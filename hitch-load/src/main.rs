//! Load generator and experiments.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

fn main() {}
