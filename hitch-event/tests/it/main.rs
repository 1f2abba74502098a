//! Tests of events.
mod timeline;
