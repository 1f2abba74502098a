//! Route tables, and the choice of a backend server for a call.
//!
//! A [`Table`] is compiled from one configuration version and is immutable. A [`Switchover`] decides when
//! a new table replaces the one in force. A [`Pool`] chooses among the backend servers of one service.
//!
//! ```
//! let table = hitch_route::Table::compile(&hitch_config::State::default());
//! assert_eq!(table.version(), 0);
//! assert!(table.try_find("association", "GET", "/registry").is_err());
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod hosts;
pub mod organisation;
pub mod pool;
pub mod switchover;
pub mod table;

pub use pool::BackendKey;
pub use pool::Pool;
pub use switchover::Switchover;
pub use table::Table;
