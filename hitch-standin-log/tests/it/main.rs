//! Tests of the simulated log.
mod serve;
mod store;
