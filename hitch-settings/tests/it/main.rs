//! Integration tests of parsing and validating settings.
mod node;
mod read;
