//! Integration tests.
mod once;
