//! Routes of the accepted configuration and the choice of a backend server for a call.
//!
//! A [`Table`] is compiled from one version and never changes. A [`Switchover`] says when it may replace
//! the one in force. A [`Pool`] chooses among the backend servers of one service.
//!
//! ```
//! let table = hitch_route::Table::compile(&hitch_config::State::default());
//! assert_eq!(table.version(), 0);
//! assert!(table.try_find("association", "GET", "/registry").is_err());
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod hosts;
pub mod pool;
pub mod switchover;
pub mod table;

pub use pool::BackendKey;
pub use pool::Pool;
pub use switchover::Switchover;
pub use table::Table;
