//! Tests of outcomes, retries, the retry budget and crash suspicion.
mod budget;
mod decide;
mod outcome;
mod suspicion;
