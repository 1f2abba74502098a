//! Outcomes, retry budget, hedging and crash suspicion.
#![deny(missing_docs)]
#![forbid(unsafe_code)]
