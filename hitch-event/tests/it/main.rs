//! Integration tests of event ordering.
mod timeline;
