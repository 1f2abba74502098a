//! Tests of at-most-once execution.
mod key;
mod map;
mod model;
mod owner;
mod plan;
mod record;

use hitch_once::Grant;
use hitch_once::Holder;
use hitch_once::Incarnation;
use hitch_once::Record;

/// Returns the incarnation number `run` of an instance.
pub fn holder(instance: &str, run: u8) -> Holder {
    Holder {
        instance: instance.into(),
        incarnation: Incarnation([run; 16]),
    }
}

/// Returns a grant of all buckets.
pub fn grant(holder: &Holder, from_ms: u64, to_ms: u64) -> Grant {
    Grant {
        first_bucket: 0,
        last_bucket: 63,
        from_ms,
        to_ms,
        holder: holder.clone(),
    }
}

/// Returns a record of the service `ledger`.
pub fn record(sequence: u64, grants: Vec<Grant>) -> Record {
    Record {
        service: "ledger".into(),
        sequence,
        release: None,
        grants,
    }
}
