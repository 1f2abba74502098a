//! Tests of idempotency keys.

use assert_matches::assert_matches;
use hitch_once::BUCKETS;
use hitch_once::Key;
use hitch_once::key::Error;

/// Guards against accepting a key whose owner cannot be decided because it carries no timestamp.
#[test]
fn key_without_a_timestamp_is_an_error() {
    let random = Key::parse("9f4a0c4e-5a0f-4f3c-8a58-0d4f6f0a1b2c");
    assert_matches!(random, Err(Error::NoTimestamp { version: 4, .. }));
    let other_variant = Key::parse("01890a5d-ac96-774b-0cce-b302099a8057");
    assert_matches!(other_variant, Err(Error::NoTimestamp { .. }));
    assert_matches!(Key::parse("order-17"), Err(Error::Malformed { .. }));
}

/// Guards against wrong or swapped bounds of the timestamp check.
#[test]
fn key_with_a_timestamp_out_of_bounds_is_refused() {
    let key = Key::generate(10_000_000, 1);
    assert_matches!(key.check_timestamp(9_990_000), Ok(()));
    assert_matches!(
        key.check_timestamp(9_989_999),
        Err(Error::TooNew {
            ahead_ms: 10_001,
            ..
        })
    );
    assert_matches!(key.check_timestamp(13_600_000), Ok(()));
    assert_matches!(
        key.check_timestamp(13_600_001),
        Err(Error::TooOld {
            age_ms: 3_600_001,
            ..
        })
    );
}

/// Guards against a hash that gives some buckets far more keys than others.
#[test]
fn keys_spread_over_the_buckets() {
    let mut counts = vec![0; usize::from(BUCKETS)];
    for random in 0..6_400 {
        counts[usize::from(Key::generate(5_000 + random as u64, random).bucket())] += 1;
    }
    assert!(counts.iter().all(|c| (50..150).contains(c)), "{counts:?}");
}
