//! Tests of the contract.
mod read;
