//! The dissemination state of one node.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::fetch::FetchState;
use crate::fresh::Freshness;
use crate::record::Ring;
use crate::serve::Transfers;
use crate::start::Startup;

/// Identifies a peer; the caller chooses the number, such as the key of a roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer(pub u64);

/// Settings of dissemination.
#[derive(Debug, Clone)]
pub struct Options {
    /// Maximum number of records kept for peers that are behind.
    pub ring_records: usize,
    /// Maximum total size of the records kept for peers that are behind, in bytes.
    pub ring_bytes: usize,
    /// Maximum number of out-of-order records that are buffered until an earlier one arrives;
    /// `ring_bytes` bounds their total size as well.
    pub max_out_of_order: usize,
    /// Number of peers to which new records are announced.
    pub fanout: usize,
    /// Minimum time between two announcements.
    pub announce_interval: Duration,
    /// Timeout of a fetch.
    pub fetch_timeout: Duration,
    /// Timeout of a fetch while the node holds no records, as the response may be a snapshot.
    pub first_fetch_timeout: Duration,
    /// Initial backoff before a fetch is retried; it is doubled with each failure, at most four
    /// times, and multiplied by a random factor between one and two.
    pub retry_backoff: Duration,
    /// Maximum random delay before the first fetch of a node that holds no records.
    pub start_jitter: Duration,
    /// Maximum number of snapshots that are sent at the same time.
    pub max_snapshots: usize,
    /// Time after which the transfer of a snapshot counts as finished.
    pub snapshot_timeout: Duration,
    /// A peer that lacks records of more than this size, in bytes, gets a snapshot.
    pub snapshot_threshold: usize,
    /// Time since the last contact with a peer or the log after which the node must exchange with a
    /// peer before it serves its next call.
    pub contact_timeout: Duration,
    /// Time during which a starting node learns which offset it must reach.
    pub learning_period: Duration,
    /// Number of peers whose confirmed digests end the learning period of a starting node early.
    pub start_quorum: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            ring_records: 4096,
            ring_bytes: 8 << 20,
            max_out_of_order: 1024,
            fanout: 5,
            announce_interval: Duration::from_millis(50),
            fetch_timeout: Duration::from_millis(200),
            first_fetch_timeout: Duration::from_secs(1),
            retry_backoff: Duration::from_millis(25),
            start_jitter: Duration::from_millis(200),
            max_snapshots: 2,
            snapshot_timeout: Duration::from_secs(5),
            snapshot_threshold: 1 << 20,
            contact_timeout: Duration::from_secs(3),
            learning_period: Duration::from_secs(2),
            start_quorum: 3,
        }
    }
}

/// The records that one node holds, and the state of fetching and serving the others.
#[derive(Debug, Clone)]
pub struct Spread {
    pub(crate) options: Options,
    pub(crate) ring: Ring,
    /// Records received before an earlier one, by offset.
    pub(crate) out_of_order: BTreeMap<u64, Arc<[u8]>>,
    pub(crate) fetching: FetchState,
    pub(crate) fresh: Freshness,
    pub(crate) transfers: Transfers,
    pub(crate) startup: Startup,
}

impl Spread {
    /// Makes the state of a node that holds no records.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// assert_eq!(Spread::new(Options::default()).next_offset(), 0);
    /// ```
    pub fn new(options: Options) -> Spread {
        Spread {
            options,
            ring: Ring::default(),
            out_of_order: BTreeMap::new(),
            fetching: FetchState::default(),
            fresh: Freshness::default(),
            transfers: Transfers::default(),
            startup: Startup::default(),
        }
    }

    /// Returns the offset after the last record that was returned to be applied.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// assert_eq!(Spread::new(Options::default()).next_offset(), 0);
    /// ```
    pub fn next_offset(&self) -> u64 {
        self.ring.next()
    }

    /// Returns whether a peer is known that holds records which this node lacks.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// assert!(!Spread::new(Options::default()).is_behind());
    /// ```
    pub fn is_behind(&self) -> bool {
        self.fetching.has_sources()
    }
}
