//! Reading of YAML settings.
#![deny(missing_docs)]
#![forbid(unsafe_code)]
