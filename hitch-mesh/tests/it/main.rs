//! Tests of the node that carries calls by hosts and prefixes.
mod backend;
mod frame;
mod members;
