//! Tests of shares.
mod bounds;
mod exchange;
#[path = "../../examples/shares/sim.rs"]
mod sim;
