//! Records and the ring buffer that keeps the latest of them.

use std::collections::VecDeque;
use std::sync::Arc;

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Offset in the log.
    pub offset: u64,
    /// Content, as read from the log.
    pub data: Arc<[u8]>,
}

/// The latest consecutive records, bounded by number and total size.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ring {
    next: u64,
    records: VecDeque<Arc<[u8]>>,
    bytes: usize,
}

impl Ring {
    /// Returns the offset after the newest record.
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    /// Returns the offset of the oldest record that is kept, or [`Ring::next`] if there is none.
    pub(crate) fn first(&self) -> u64 {
        self.next - self.records.len() as u64
    }

    /// Appends the record at [`Ring::next`] and evicts the oldest records over the bounds.
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

    /// Iterates over the records from `offset` on, which must not be below [`Ring::first`].
    pub(crate) fn from(&self, offset: u64) -> impl Iterator<Item = Record> {
        let first = self.first();
        let skipped = offset.saturating_sub(first) as usize;
        let kept = self.records.iter().enumerate().skip(skipped);
        kept.map(move |(index, data)| Record {
            offset: first + index as u64,
            data: data.clone(),
        })
    }
}
