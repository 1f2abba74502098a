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

/// Returns the generator that all tests seed alike.
pub fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(3)
}

/// Returns a moment in seconds.
pub fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Makes a record whose data tell its offset.
pub fn record(offset: u64) -> Record {
    let data = format!("change {offset}");
    Record {
        offset,
        data: data.as_bytes().into(),
    }
}

/// Makes a digest that a reader confirmed `age` seconds ago.
pub fn digest(next_offset: u64, age: Option<u64>) -> Digest {
    Digest {
        next_offset,
        version: next_offset,
        state_hash: 0,
        confirmed_age: age.map(at),
    }
}

/// Makes a node that holds the records up to `next_offset`.
pub fn holding(next_offset: u64, options: Options) -> Spread {
    let mut spread = Spread::new(options);
    spread.received_log_records(at(0), at(0), (0..next_offset).map(record));
    spread
}
