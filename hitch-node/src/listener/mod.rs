//! The listeners of a node.

pub mod admin;
pub mod caller;
pub mod peer;
