//! Serving of records and snapshots to peers that are behind.

use std::time::Duration;

use crate::record::Record;
use crate::spread::Spread;

/// Identifies the transfer of a snapshot to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferId(u64);

/// Response to a fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchResponse {
    /// The records from the requested offset on; empty when this node holds none that the peer
    /// lacks.
    Records(Vec<Record>),
    /// The caller sends a snapshot of its state, then calls [`Spread::release_snapshot`].
    Snapshot(TransferId),
    /// Too many snapshots are being sent; the peer must ask another node.
    Busy,
}

/// The snapshots that are being sent to peers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Transfers {
    /// Transfers in flight, with the time at which each counts as finished.
    in_flight: Vec<(TransferId, Duration)>,
    last_id: u64,
}

impl Spread {
    /// Answers a fetch with records of at most `max_bytes`, but at least one, or with a snapshot.
    ///
    /// A peer gets a snapshot when this node no longer keeps the records that the peer lacks, or
    /// when their size exceeds [`Options::snapshot_threshold`](crate::Options::snapshot_threshold),
    /// above which a snapshot is smaller.
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
            if bytes <= self.options.snapshot_threshold {
                return FetchResponse::Records(self.records_up_to(next_offset, max_bytes));
            }
        }
        self.transfers.in_flight.retain(|(_, end)| now < *end);
        if self.transfers.in_flight.len() >= self.options.max_snapshots {
            return FetchResponse::Busy;
        }
        self.transfers.last_id += 1;
        let transfer = TransferId(self.transfers.last_id);
        let end = now + self.options.snapshot_timeout;
        self.transfers.in_flight.push((transfer, end));
        FetchResponse::Snapshot(transfer)
    }

    /// Returns all records from `next_offset` on if this node keeps all of them and their total
    /// size is at most `max_bytes`, otherwise none.
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

    /// Ends a transfer, whether the snapshot was sent or abandoned, so that another may begin.
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
    pub fn release_snapshot(&mut self, transfer: TransferId) {
        self.transfers.in_flight.retain(|(t, _)| *t != transfer);
    }

    fn records_up_to(&self, next_offset: u64, max_bytes: usize) -> Vec<Record> {
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
