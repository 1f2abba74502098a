//! Tests of the fold of ownership records.

use assert_matches::assert_matches;
use hitch_once::Grant;
use hitch_once::Lookup;
use hitch_once::Map;
use hitch_once::Source;
use hitch_once::map::Applied;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use crate::grant;
use crate::holder;
use crate::record;

fn map(records: &[Vec<Grant>]) -> Map {
    let mut map = Map::new(0);
    map.confirm();
    for (sequence, grants) in records.iter().enumerate() {
        let record = record(sequence as u64, grants.clone());
        map.apply(sequence as u64, &record, Source::Log).unwrap();
    }
    map
}

/// Guards against an owner that loses keys to a later record, checked key by key against the rule.
#[test]
fn first_record_in_log_order_wins() {
    let config = Config {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    };
    let spans = proptest::collection::vec((any::<u8>(), 0..20_u64, 1..8_u64), 0..12);
    TestRunner::new(config)
        .run(&spans, |spans| {
            let mut records = Vec::new();
            for (run, from, length) in &spans {
                records.push(vec![grant(&holder("a", *run), *from, from + length)]);
            }
            let map = map(&records);
            for time in 0..30 {
                let first = records
                    .iter()
                    .flatten()
                    .find(|g| (g.from_ms..g.to_ms).contains(&time));
                let expected = first.map_or(Lookup::Nobody, |g| Lookup::Owned(&g.holder));
                prop_assert_eq!(map.lookup(17, time), expected);
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against a node that goes on with a map in which records are missing.
#[test]
fn gap_in_the_sequence_is_noticed() {
    let mut map = map(&[vec![grant(&holder("a", 1), 0, 10)]]);
    let later = record(2, vec![grant(&holder("b", 1), 10, 20)]);
    let gap = map.apply(5, &later, Source::Peer);
    assert_matches!(gap, Err(error) if (error.expected, error.found) == (1, 2));
    assert_eq!(map.apply(5, &later, Source::Log), Ok(Applied::Void));
    assert_eq!(map.lookup(0, 10), Lookup::Nobody);
}

/// Guards against a new incarnation that claims nobody owned a key before it read who did.
#[test]
fn unread_or_pruned_parts_are_not_claimed_to_be_free() {
    assert_eq!(Map::new(0).lookup(0, 5), Lookup::NotCovered);
    let mut map = map(&[vec![grant(&holder("a", 1), 0, 10)]]);
    map.prune(10);
    assert_eq!(map.lookup(0, 5), Lookup::NotCovered);
    let late = record(1, vec![grant(&holder("b", 1), 0, 20)]);
    map.apply(1, &late, Source::Log).unwrap();
    assert_eq!(map.lookup(0, 5), Lookup::NotCovered);
    assert_eq!(map.lookup(0, 10), Lookup::Owned(&holder("b", 1)));
}

/// Guards against a release that frees another incarnation's keys or keys before it.
#[test]
fn release_frees_only_what_it_names() {
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
