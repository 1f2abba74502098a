//! Tests of the ownership map.

use assert_matches::assert_matches;
use hitch_once::Grant;
use hitch_once::Lookup;
use hitch_once::OwnershipMap;
use hitch_once::Record;
use hitch_once::Source;
use hitch_once::map::Applied;
use hitch_once::map::complete_from;
use hitch_once::record::MAX_GRANT_AHEAD_MS;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::sample::Index;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use crate::grant;
use crate::holder;
use crate::record;

fn map(records: &[Vec<Grant>]) -> OwnershipMap {
    let mut map = OwnershipMap::new(0);
    map.mark_caught_up();
    for (sequence, grants) in records.iter().enumerate() {
        let record = record(sequence as u64, grants.clone());
        map.apply(sequence as u64, &record, Source::Log).unwrap();
    }
    map
}

/// Guards against an owner that loses keys to a later record. Each key time is compared with the first record
/// that grants it.
#[test]
fn first_record_in_log_order_wins() {
    let config = Config {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    let intervals = proptest::collection::vec((any::<u8>(), 0..20_u64, 1..8_u64), 0..12);
    TestRunner::new(config)
        .run(&intervals, |intervals| {
            let mut records = Vec::new();
            for (run, from, length) in &intervals {
                records.push(vec![grant(&holder("a", *run), *from, from + length)]);
            }
            let map = map(&records);
            for time in 0..30 {
                let first = records
                    .iter()
                    .flatten()
                    .find(|g| (g.from_ms..g.to_ms).contains(&time));
                let expected = first.map_or(Lookup::Unowned, |g| Lookup::Owned(&g.holder));
                prop_assert_eq!(map.lookup(17, time), expected);
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against a node that continues to use a map in which records are missing.
#[test]
fn gap_in_the_sequence_is_detected() {
    let mut map = map(&[vec![grant(&holder("a", 1), 0, 10)]]);
    let later = record(2, vec![grant(&holder("b", 1), 10, 20)]);
    let gap = map.apply(5, &later, Source::Peer);
    assert_matches!(gap, Err(error) if (error.expected, error.found) == (1, 2));
    assert_eq!(map.lookup(0, 10), Lookup::Unowned);
    assert_eq!(map.apply(5, &later, Source::Log), Ok(Applied::New));
    assert_eq!(map.lookup(0, 10), Lookup::Owned(&holder("b", 1)));
}

/// Guards against refusing a call without a key because the generated key belongs to a crashed owner while
/// other owners are live.
#[test]
fn generated_key_has_a_live_owner() {
    let mut grants = vec![grant(&holder("a", 1), 0, 10), grant(&holder("b", 1), 0, 10)];
    (grants[0].last_bucket, grants[1].first_bucket) = (55, 56);
    let (map, mut random) = (map(&[grants]), 0);
    for _ in 0..20 {
        let key = map.generate_key(
            5,
            |holder| &*holder.instance == "b",
            || {
                random += 1;
                random
            },
        );
        assert!(key.bucket() >= 56, "{key}");
    }
}

/// Guards against a reader of a trimmed log that finds another owner than a reader of the whole log.
#[test]
fn trimmed_log_gives_the_same_owners() {
    let config = Config {
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..Config::default()
    };
    let half_hour = MAX_GRANT_AHEAD_MS / 4;
    let record = (0..3_u64, 0..3_u8, 0..8_u64, 1..5_u64, 0..4_u64);
    let input = (proptest::collection::vec(record, 1..12), any::<Index>());
    TestRunner::new(config)
        .run(&input, |(specs, first_retained)| {
            let (mut time_ms, mut log) = (0, Vec::new());
            for (wait, run, from, length, sequence) in specs {
                time_ms += wait * half_hour;
                let from_ms = (time_ms + from * half_hour).saturating_sub(MAX_GRANT_AHEAD_MS);
                let grant = grant(&holder("a", run), from_ms, from_ms + length * half_hour);
                let data = crate::record(sequence, vec![grant]).to_bytes();
                log.push((time_ms, Record::from_log(&data, time_ms)));
            }
            let first_retained = first_retained.index(log.len());
            let mut maps = [
                OwnershipMap::new(0),
                OwnershipMap::new(complete_from(log[first_retained].0)),
            ];
            for (map, skipped) in maps.iter_mut().zip([0, first_retained]) {
                map.mark_caught_up();
                for (offset, (_, record)) in log.iter().enumerate().skip(skipped) {
                    if let Ok(record) = record {
                        map.apply(offset as u64, record, Source::Log).unwrap();
                    }
                }
            }
            for step in 0..40 {
                let trimmed = maps[1].lookup(9, step * half_hour);
                if trimmed != Lookup::NotCovered {
                    prop_assert_eq!(trimmed, maps[0].lookup(9, step * half_hour));
                }
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against a new incarnation that reports a key as unowned before it has read the records that may
/// grant it.
#[test]
fn unread_or_pruned_key_times_are_not_covered() {
    assert_eq!(OwnershipMap::new(0).lookup(0, 5), Lookup::NotCovered);
    let mut map = map(&[vec![grant(&holder("a", 1), 0, 10)]]);
    map.prune(10);
    assert_eq!(map.lookup(0, 5), Lookup::NotCovered);
    let late = record(1, vec![grant(&holder("b", 1), 0, 20)]);
    map.apply(1, &late, Source::Log).unwrap();
    assert_eq!(map.lookup(0, 5), Lookup::NotCovered);
    assert_eq!(map.lookup(0, 10), Lookup::Owned(&holder("b", 1)));
}

/// Guards against a release that also ends the ownership of another incarnation's keys, or of keys before its
/// start.
#[test]
fn release_affects_only_its_holder_and_key_times() {
    let grants = vec![
        grant(&holder("a", 1), 0, 10),
        grant(&holder("a", 2), 10, 20),
    ];
    let mut map = map(&[grants]);
    let mut release = record(1, vec![grant(&holder("b", 1), 0, 30)]);
    release.release = Some(hitch_once::record::Release {
        from_ms: 4,
        holder: holder("a", 1),
    });
    map.apply(1, &release, Source::Log).unwrap();
    let owners = [
        (3, holder("a", 1)),
        (4, holder("b", 1)),
        (10, holder("a", 2)),
    ];
    for (time, owner) in owners {
        assert_eq!(
            map.lookup(0, time),
            Lookup::Owned(&owner),
            "key time {time}"
        );
    }
}
