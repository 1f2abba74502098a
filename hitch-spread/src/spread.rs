//! The state of dissemination on one node.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::fetch::Fetching;
use crate::fresh::Freshness;
use crate::record::Ring;
use crate::serve::Serving;
use crate::start::Start;

/// Identifies a peer; the caller chooses the number, such as the key of a roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer(pub u64);

/// Settings of dissemination.
#[derive(Debug, Clone)]
pub struct Options {
    /// Records kept for peers that are behind.
    pub ring_records: usize,
    /// Bytes of records kept for peers that are behind.
    pub ring_bytes: usize,
    /// Records that may wait for an earlier one; `ring_bytes` bounds them as well.
    pub max_waiting: usize,
    /// Peers to which new records are announced.
    pub fanout: usize,
    /// Least time between two announcements.
    pub announce_interval: Duration,
    /// Time within which a fetch must be answered.
    pub fetch_timeout: Duration,
    /// The same while the node holds nothing, as it may get a snapshot.
    pub first_fetch_timeout: Duration,
    /// Least wait before a fetch is repeated; it is doubled with each failure, at most four times,
    /// and jittered up to twice its length.
    pub retry_wait: Duration,
    /// Longest random wait before the first fetch of a node that holds nothing.
    pub start_jitter: Duration,
    /// Snapshots served at a time.
    pub max_snapshots: usize,
    /// Time after which a snapshot counts as sent.
    pub snapshot_timeout: Duration,
    /// A peer that lacks more bytes of records than this gets a snapshot.
    pub snapshot_above: usize,
    /// Time out of touch after which the node exchanges before it serves its next call.
    pub touch_within: Duration,
    /// Time during which a starting node learns which offset it must reach.
    pub learn_for: Duration,
    /// Peers whose digests end the learning of a starting node early.
    pub start_peers: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            ring_records: 4096,
            ring_bytes: 8 << 20,
            max_waiting: 1024,
            fanout: 5,
            announce_interval: Duration::from_millis(50),
            fetch_timeout: Duration::from_millis(200),
            first_fetch_timeout: Duration::from_secs(1),
            retry_wait: Duration::from_millis(25),
            start_jitter: Duration::from_millis(200),
            max_snapshots: 2,
            snapshot_timeout: Duration::from_secs(5),
            snapshot_above: 1 << 20,
            touch_within: Duration::from_secs(3),
            learn_for: Duration::from_secs(2),
            start_peers: 3,
        }
    }
}

/// What one node holds of the log and how it gets the rest.
#[derive(Debug, Clone)]
pub struct Spread {
    pub(crate) options: Options,
    pub(crate) ring: Ring,
    /// Records that arrived before an earlier one.
    pub(crate) waiting: BTreeMap<u64, Arc<[u8]>>,
    pub(crate) fetching: Fetching,
    pub(crate) fresh: Freshness,
    pub(crate) serving: Serving,
    pub(crate) start: Start,
}

impl Spread {
    /// Makes the state of a node that holds nothing.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// assert_eq!(Spread::new(Options::default()).next_offset(), 0);
    /// ```
    pub fn new(options: Options) -> Spread {
        Spread {
            options,
            ring: Ring::default(),
            waiting: BTreeMap::new(),
            fetching: Fetching::default(),
            fresh: Freshness::default(),
            serving: Serving::default(),
            start: Start::default(),
        }
    }

    /// Returns the offset after the last record that came out.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// assert_eq!(Spread::new(Options::default()).next_offset(), 0);
    /// ```
    pub fn next_offset(&self) -> u64 {
        self.ring.next()
    }

    /// Returns whether a peer is known that holds more records.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// assert!(!Spread::new(Options::default()).is_behind());
    /// ```
    pub fn is_behind(&self) -> bool {
        self.fetching.has_sources()
    }
}
