//! The admin interface of a node for operators: status, events, metrics, health checks and
//! draining.
//!
//! Each kind of node fills in a [`Status`] and serves it with [`serve::until`]. The command-line
//! tool of the operators reads the same types, so it works with every kind.
//!
//! ```
//! let text = r#"{"instance": "i-1", "version_in_force": 3, "added_later": true}"#;
//! let status: hitch_admin::Status = serde_json::from_str(text)?;
//! assert_eq!(status.version_in_force, 3);
//! # Ok::<(), serde_json::Error>(())
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod recorder;
pub mod serve;
pub mod status;

pub use recorder::Recorder;
pub use status::Status;
