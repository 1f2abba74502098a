//! Serving of records and snapshots to peers that are behind.

use std::time::Duration;

use crate::record::Record;
use crate::spread::Spread;

/// Identifies a snapshot that is being sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferId(u64);

/// Answer to a fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchResponse {
    /// The records that follow, none when the peer lacks nothing that is held here.
    Records(Vec<Record>),
    /// The caller sends a snapshot of its state, then calls [`Spread::release_snapshot`].
    Snapshot(TransferId),
    /// Too many snapshots are being sent; the peer is to ask another node.
    Busy,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Serving {
    snapshots: Vec<(TransferId, Duration)>,
    tickets: u64,
}

impl Spread {
    /// Answers a fetch with records of about `max_bytes`, at least one, or with a snapshot.
    ///
    /// A snapshot is due when the records are no longer held, or are so many that it is smaller.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let mut spread = Spread::new(Options::default());
    /// assert_eq!(spread.serve_fetch(Duration::ZERO, 0, 4096), FetchResponse::Records(vec![]));
    /// ```
    pub fn serve_fetch(
        &mut self,
        now: Duration,
        next_offset: u64,
        max_bytes: usize,
    ) -> FetchResponse {
        if next_offset >= self.ring.first() {
            let mut bytes = 0;
            for record in self.ring.from(next_offset) {
                bytes += record.data.len();
            }
            if bytes <= self.options.snapshot_above {
                return FetchResponse::Records(self.take_up_to(next_offset, max_bytes));
            }
        }
        self.serving.snapshots.retain(|(_, end)| now < *end);
        if self.serving.snapshots.len() >= self.options.max_snapshots {
            return FetchResponse::Busy;
        }
        self.serving.tickets += 1;
        let ticket = TransferId(self.serving.tickets);
        let end = now + self.options.snapshot_timeout;
        self.serving.snapshots.push((ticket, end));
        FetchResponse::Snapshot(ticket)
    }

    /// Returns all records that a peer lacks when they are held and fit into `max_bytes`, or none.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// assert_eq!(Spread::new(Options::default()).missing_records(0, 4096), []);
    /// ```
    pub fn missing_records(&self, next_offset: u64, max_bytes: usize) -> Vec<Record> {
        if next_offset < self.ring.first() {
            return Vec::new();
        }
        let mut records = Vec::new();
        let mut bytes = 0;
        for record in self.ring.from(next_offset) {
            bytes += record.data.len();
            if bytes > max_bytes {
                return Vec::new();
            }
            records.push(record);
        }
        records
    }

    /// Frees the place of a snapshot that was sent or given up.
    ///
    /// ```
    /// # use hitch_spread::*;
    /// # use std::time::Duration;
    /// let mut spread = Spread::new(Options { max_snapshots: 1, ..Options::default() });
    /// spread.received_snapshot(Duration::ZERO, None, 9);
    /// let response = spread.serve_fetch(Duration::ZERO, 0, 4096);
    /// let FetchResponse::Snapshot(transfer) = response else { panic!() };
    /// assert_eq!(spread.serve_fetch(Duration::ZERO, 0, 4096), FetchResponse::Busy);
    /// spread.release_snapshot(transfer);
    /// assert_ne!(spread.serve_fetch(Duration::ZERO, 0, 4096), FetchResponse::Busy);
    /// ```
    pub fn release_snapshot(&mut self, ticket: TransferId) {
        self.serving.snapshots.retain(|(t, _)| *t != ticket);
    }

    fn take_up_to(&self, next_offset: u64, max_bytes: usize) -> Vec<Record> {
        let mut records = Vec::new();
        let mut bytes = 0;
        for record in self.ring.from(next_offset) {
            bytes += record.data.len();
            if bytes > max_bytes && !records.is_empty() {
                break;
            }
            records.push(record);
        }
        records
    }
}
