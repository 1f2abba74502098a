//! Tests of the store.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use hitch_standin_log::Control;
use hitch_standin_log::Settings;
use hitch_standin_log::Store;
use hitch_standin_log::store::append;
use hitch_standin_log::store::read;
use proptest::prelude::*;

fn append(store: &mut Store, now_ms: u64, data: &str) -> Result<append::Outcome, append::Error> {
    let data = Bytes::copy_from_slice(data.as_bytes());
    store.append(Duration::from_millis(now_ms), now_ms, "config", data)
}

/// Guards against a rate limit with an unbounded burst, or one that refuses appends forever.
#[test]
fn append_rate_is_limited_and_recovers() {
    let mut store = Store::new(Settings {
        appends_per_second: 10,
        ..Settings::default()
    });
    let accepted = (0..50)
        .filter(|_| append(&mut store, 0, "x").is_ok())
        .count();
    assert_eq!(accepted, 10);
    assert_matches!(append(&mut store, 99, "x"), Err(append::Error::RateLimited));
    assert_matches!(append(&mut store, 100, "x"), Ok(_));
    assert_matches!(
        append(&mut store, 101, "x"),
        Err(append::Error::RateLimited)
    );
}

/// Guards against records that are kept beyond their retention time.
#[test]
fn old_records_are_dropped() {
    let mut store = Store::new(Settings {
        retain_ms: 1_000,
        ..Settings::default()
    });
    append(&mut store, 0, "a").unwrap();
    append(&mut store, 1_001, "b").unwrap();
    assert_matches!(
        store.read("config", 0, 9),
        Err(read::Error::Trimmed { first: 1 })
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against offsets that change or have gaps after records were removed by retention or a
    /// trim.
    #[test]
    fn offsets_are_dense_and_stable(
        actions in proptest::collection::vec((0u64..40, 0u8..4), 1..60),
        retain_records in 1usize..20,
    ) {
        let mut store = Store::new(Settings { retain_records, ..Settings::default() });
        let mut end = 0u64;
        for (trim_before, action) in actions {
            if action == 0 {
                store.control(&Control {
                    trim_before: Some(trim_before),
                    stream: Some("config".into()),
                    ..Control::default()
                });
                continue;
            }
            let outcome = append(&mut store, end * 10, &end.to_string()).unwrap();
            prop_assert_eq!(outcome.offset, end);
            end += 1;
        }
        let first = match store.read("config", 0, 100) {
            Err(read::Error::Trimmed { first }) => first,
            _ => 0,
        };
        let page = store.read("config", first, 100).unwrap();
        prop_assert!(page.records.len() <= retain_records);
        prop_assert_eq!(page.next, end);
        for (offset, record) in (first..end).zip(&page.records) {
            prop_assert_eq!(record.offset, offset);
            let data = offset.to_string();
            prop_assert_eq!(&*record.data, data.as_bytes());
        }
    }
}
