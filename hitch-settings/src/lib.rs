//! Parsing and validation of YAML settings. All problems of a file are collected in one report.
//!
//! The caller describes the file by a struct that implements `serde::Deserialize`. A field of type
//! [`Field`] never aborts parsing: an invalid value is reported and the rest of the file is still
//! checked.
//!
//! ```
//! use hitch_settings::Field;
//!
//! #[derive(serde::Deserialize)]
//! struct Raw {
//!     threads: Field<u32>,
//!     wait: Field<Box<str>>,
//! }
//!
//! let text = b"threads: many\nwait: 2\ncolour: red\n";
//! let options = hitch_settings::read::Options::default();
//! let err = hitch_settings::read::from_bytes_checked("a.yaml", text, &options, |raw: Raw, report| {
//!     let mut scope = report.scope("", 0);
//!     scope.duration(&raw.wait, "wait", &hitch_settings::read::ANY_DURATION)
//! })
//! .unwrap_err();
//! let fields: Vec<_> = err.problems().iter().map(|p| &*p.field).collect();
//! assert_eq!(fields, ["threads", "wait", "colour"]);
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod field;
pub mod node;
pub mod problem;
pub mod read;
pub mod report;

mod de;
mod tree;

pub use field::Field;
pub use problem::Problem;
pub use read::from_bytes;
pub use read::from_file;
pub use report::Report;
