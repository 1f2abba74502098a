//! Tests of the edges.
mod backend;
mod caller;
