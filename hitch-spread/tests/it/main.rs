//! Tests of dissemination.
mod fetch;
mod fresh;
mod serve;
mod start;

use std::time::Duration;

use hitch_spread::Digest;
use hitch_spread::Options;
use hitch_spread::Record;
use hitch_spread::Spread;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Returns a random generator with the same seed for all tests.
pub fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(3)
}

/// Returns a time or a length of time, in seconds.
pub fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Makes a record whose data contain its offset.
pub fn record(offset: u64) -> Record {
    let data = format!("change {offset}");
    Record {
        offset,
        data: data.as_bytes().into(),
    }
}

/// Makes a digest that was confirmed by the log `age` seconds ago, or never if `age` is `None`.
pub fn digest(next_offset: u64, age: Option<u64>) -> Digest {
    Digest {
        next_offset,
        version: next_offset,
        state_hash: 0,
        confirmed_age: age.map(at),
    }
}

/// Makes a node that holds the records below `next_offset`.
pub fn holding(next_offset: u64, options: Options) -> Spread {
    let mut spread = Spread::new(options);
    spread.received_log_records(at(0), at(0), (0..next_offset).map(record));
    spread
}
