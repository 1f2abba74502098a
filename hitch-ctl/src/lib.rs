//! The command-line tool `hitch` for operators.
//!
//! The commands are library functions, so that tests run them without starting a process.
//!
//! ```
//! let args = hitch_ctl::args::parse(&["validate", "a.yaml", "--format", "json"]).unwrap();
//! assert_eq!(args.format, hitch_ctl::args::Format::Json);
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod admin_client;
pub mod args;
pub mod diff;
pub mod exit;
pub mod explain;
pub mod fleet;
pub mod history;
pub mod publish;
pub mod replay;
pub mod run;
pub mod timeline;
pub mod wait;

mod contract;
mod http;
mod in_force;
mod view;

pub use exit::Exit;
pub use run::run;
