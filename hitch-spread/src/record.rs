//! Records and the ring buffer that keeps the latest of them.

use std::collections::VecDeque;
use std::sync::Arc;

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Offset in the log.
    pub offset: u64,
    /// The record as read.
    pub data: Arc<[u8]>,
}

/// Consecutive records, bounded by count and bytes.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ring {
    next: u64,
    records: VecDeque<Arc<[u8]>>,
    bytes: usize,
}

impl Ring {
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    pub(crate) fn first(&self) -> u64 {
        self.next - self.records.len() as u64
    }

    pub(crate) fn push(&mut self, data: Arc<[u8]>, max_count: usize, max_bytes: usize) {
        self.next += 1;
        self.bytes += data.len();
        self.records.push_back(data);
        while self.records.len() > max_count || self.bytes > max_bytes {
            let Some(oldest) = self.records.pop_front() else {
                break;
            };
            self.bytes -= oldest.len();
        }
    }

    /// Drops all records and continues at a later offset.
    pub(crate) fn restart_at(&mut self, next: u64) {
        *self = Ring {
            next,
            ..Ring::default()
        };
    }

    /// Iterates over the records from `offset` on; the caller checks that they are held.
    pub(crate) fn from(&self, offset: u64) -> impl Iterator<Item = Record> {
        let first = self.first();
        let skipped = offset.saturating_sub(first) as usize;
        let held = self.records.iter().enumerate().skip(skipped);
        held.map(move |(at, data)| Record {
            offset: first + at as u64,
            data: data.clone(),
        })
    }
}
