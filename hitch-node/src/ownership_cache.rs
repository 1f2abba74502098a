//! Latest ownership records of idempotency keys by service, cached by the nodes that read the log.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;
use hitch_once::Record;
use hitch_proto::peer;
use hitch_proto::peer::FetchOwnershipReply;

/// Key time for which a reader keeps records after their end. A node that starts later does not own
/// older keys and answers them with the outcome unknown.
const RETENTION_MS: u64 = 600_000;

/// Ownership records of all services.
#[derive(Debug, Default)]
pub struct OwnershipCache {
    pub(crate) next_offset: u64,
    pub(crate) complete_from_ms: u64,
    pub(crate) caught_up: bool,
    services: BTreeMap<Box<str>, VecDeque<CachedRecord>>,
}

#[derive(Debug)]
struct CachedRecord {
    offset: u64,
    end_ms: u64,
    data: Bytes,
}

impl OwnershipCache {
    pub(crate) fn push(&mut self, offset: u64, time_ms: u64, data: Bytes) {
        self.next_offset = offset + 1;
        let Ok(record) = Record::from_log(&data, time_ms) else {
            return;
        };
        let end_ms = record
            .grants
            .iter()
            .map(|g| g.to_ms)
            .max()
            .unwrap_or(time_ms);
        let cached = self.services.entry(record.service).or_default();
        cached.push_back(CachedRecord {
            offset,
            end_ms,
            data,
        });
        while let Some(oldest) = cached.front() {
            if oldest.end_ms + RETENTION_MS >= time_ms {
                break;
            }
            self.complete_from_ms = self.complete_from_ms.max(oldest.end_ms);
            cached.pop_front();
        }
    }

    pub(crate) fn fetch(&self, service: &str, next_offset: u64) -> FetchOwnershipReply {
        let mut reply = FetchOwnershipReply {
            next_offset: self.next_offset,
            complete_from_ms: self.complete_from_ms,
            busy: !self.caught_up,
            ..Default::default()
        };
        let Some(cached) = self.services.get(service) else {
            return reply;
        };
        for record in cached {
            if record.offset < next_offset {
                continue;
            }
            reply.records.push(peer::Record {
                offset: record.offset,
                data: record.data.clone(),
            });
        }
        reply
    }
}
