//! Tests of the log stand-in.
mod serve;
mod store;
