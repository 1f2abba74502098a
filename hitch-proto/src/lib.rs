//! The messages and services that nodes use among themselves.
//!
//! The code under [`peer`] is generated from `proto/peer.proto` by `hitch-proto-gen`.
//!
//! ```
//! let reply = hitch_proto::peer::CallReply::default();
//! assert_eq!(reply.outcome(), hitch_proto::peer::Outcome::Unspecified);
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

/// Messages, client and server of the peer protocol.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/hitch.peer.v1.rs"]
pub mod peer;
