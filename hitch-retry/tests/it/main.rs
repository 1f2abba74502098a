//! Tests of retries.
mod budget;
mod decide;
mod outcome;
mod suspicion;
