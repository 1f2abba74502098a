//! Tests of the experiments.
mod once;
