//! The listeners of a node.

pub mod admin;
mod bounded;
pub mod caller;
pub mod peer;
