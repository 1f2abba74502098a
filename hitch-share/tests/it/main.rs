//! Tests of the division of limits among nodes.
mod bounds;
mod exchange;
mod join;
#[path = "../../examples/shares/sim.rs"]
mod sim;
