//! The HTTP/1 sides of a node: parsing of requests from callers, problem responses, and connections
//! to the backend server.
//!
//! ```
//! use hitch_edge::caller;
//!
//! let req = http::Request::get("/registry/7")
//!     .header("x-hitch-customer", "association")
//!     .header("x-hitch-rank", "enquiry")
//!     .header("x-hitch-deadline-ms", "800")
//!     .body(())?;
//! let head = caller::Head::from_parts(&req.into_parts().0)?;
//! assert_eq!(&*head.rank, "enquiry");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod backend;
pub mod body;
pub mod bounds;
pub mod caller;
pub mod guarded;
pub mod header;
mod metered;
pub mod pipeline;
pub mod problem;
pub mod request_body;
pub mod watched;

pub use backend::Backend;
pub use problem::Problem;
