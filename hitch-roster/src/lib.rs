//! Gossip membership of the nodes: dissemination of member states, failure detection and selection
//! of the nodes that read the configuration log.
//!
//! [`Roster`] is the membership list of one node, as a state machine that does no I/O and reads no
//! clock. The caller passes in the time since process start and the results of exchanges, executes
//! the returned [`Command`]s and sends the members that the methods return.
//!
//! ```
//! use std::time::Duration;
//!
//! use hitch_roster::Contact;
//! use hitch_roster::Incarnation;
//! use hitch_roster::Member;
//! use hitch_roster::Options;
//! use hitch_roster::Roster;
//! use hitch_roster::State;
//!
//! let member = |instance: &str| {
//!     let contact = Contact { instance: instance.into(), zone: "a".into(), ..Contact::default() };
//!     Member::starting(Incarnation([1; 16]), contact)
//! };
//! let mut roster = Roster::new(member("n1"), Options::default());
//! let changes = roster.merge(Duration::from_secs(1), [member("n2")]);
//! assert_eq!(changes.len(), 1);
//! assert_eq!(roster.members().count(), 2);
//! assert_eq!(roster.readers("a", 2).len(), 2);
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod detect;
pub mod digest;
pub mod member;
mod merge;
pub mod pick;
mod recent;
pub mod roster;

pub use detect::Command;
pub use detect::Peer;
pub use digest::BucketDetail;
pub use digest::Digest;
pub use member::Contact;
pub use member::Incarnation;
pub use member::Member;
pub use member::MemberKey;
pub use member::State;
pub use roster::Change;
pub use roster::Options;
pub use roster::Roster;
