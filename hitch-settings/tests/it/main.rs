//! Tests of settings.
mod node;
mod read;
