//! Tests of the division of limits among nodes.
mod bounds;
mod exchange;
#[path = "../../examples/shares/sim.rs"]
mod sim;
