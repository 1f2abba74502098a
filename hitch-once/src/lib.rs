//! At-most-once execution of calls that carry an idempotency key.
//!
//! Every idempotency key carries its creation time, called the key time. Records in the log state which
//! node incarnation owns which keys of a service, by hash bucket and interval of key time. A node runs a
//! call only if its own current incarnation owns the key, and it remembers the keys that it ran. This
//! check reads no clock, so it is safe if a node is paused between the check and the run: no other
//! incarnation ever owns the key.
//!
//! # What a caller may conclude from a refusal
//!
//! - *not-run*: this submission of the key was not run and never will be. If every submission of the key
//!   so far ended as not-run, the key has not run, and the caller may submit it again, submit the work
//!   under another key, or drop it. If an earlier submission ended as unknown or without an answer, a
//!   not-run from the owner (any reason except `not-owner` and `no-owner`) decides that one too: the
//!   owner returns not-run only while no submission of the key has run on any node. A not-run from
//!   another node says nothing about earlier submissions, except that the key never ran on that instance.
//! - *unknown*: the key may have run, at most once. Submitting the same key again is always safe.
//!
//! ```
//! use hitch_once::Decision;
//! use hitch_once::Holder;
//! use hitch_once::Incarnation;
//! use hitch_once::Key;
//! use hitch_once::KeyTable;
//! use hitch_once::OwnershipMap;
//! use hitch_once::Planner;
//! use hitch_once::Source;
//! use hitch_once::Step;
//!
//! let holder = Holder { instance: "10.0.0.1".into(), incarnation: Incarnation([1; 16]) };
//! let now_ms = 1_800_000_000_000;
//! let mut map = OwnershipMap::new(0);
//! map.mark_caught_up();
//!
//! let mut planner = Planner::new("ledger", holder.clone(), Default::default());
//! let step = planner.next(&map, &[holder.clone()], now_ms);
//! let Step::Append(record) = step else { panic!() };
//! map.apply(0, &record, Source::Log)?;
//!
//! let mut table = KeyTable::new(holder, Default::default());
//! let key = Key::generate(now_ms, 7);
//! assert_eq!(table.offer(&map, key, 1), Decision::Run);
//! assert_eq!(table.offer(&map, key, 1), Decision::Join);
//! table.record_answer(key, "paid", 4);
//! assert_eq!(table.offer(&map, key, 1), Decision::Answer("paid"));
//! # Ok::<(), hitch_once::map::Error>(())
//! ```
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod key;
pub mod map;
pub mod owner;
pub mod plan;
pub mod record;

pub use key::BUCKETS;
pub use key::Key;
pub use map::Lookup;
pub use map::OwnershipMap;
pub use map::Source;
pub use owner::Decision;
pub use owner::KeyTable;
pub use owner::Refusal;
pub use plan::Planner;
pub use plan::Step;
pub use record::Grant;
pub use record::Holder;
pub use record::Incarnation;
pub use record::Record;
