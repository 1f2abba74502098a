//! Tests of the contract.
mod examples;
mod read;
