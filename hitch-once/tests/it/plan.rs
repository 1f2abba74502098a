//! Tests of the planner.

use assert_matches::assert_matches;
use hitch_once::Holder;
use hitch_once::Lookup;
use hitch_once::OwnershipMap;
use hitch_once::Planner;
use hitch_once::Source;
use hitch_once::Step;

use crate::holder;

const NOW_MS: u64 = 1_800_000_000_000;

fn nodes() -> Vec<Holder> {
    vec![holder("a", 1), holder("b", 1), holder("c", 1)]
}

fn planners() -> Vec<Planner> {
    let new = |holder| Planner::new("ledger", holder, Default::default());
    nodes().into_iter().map(new).collect()
}

/// Calls every planner at `now_ms` and applies the records that they append; returns the number of appends.
fn plan_round(
    planners: &mut [Planner],
    map: &mut OwnershipMap,
    live: &[Holder],
    now_ms: u64,
) -> usize {
    let before = map.clone();
    let mut appends = 0;
    for planner in planners {
        if let Step::Append(record) = planner.next(&before, live, now_ms) {
            map.apply(map.next_offset(), &record, Source::Log).unwrap();
            appends += 1;
        }
    }
    appends
}

/// Guards against gaps in ownership, and against more than one append for an interval.
#[test]
fn one_node_appends_half_an_interval_ahead() {
    let (mut planners, mut map) = (planners(), OwnershipMap::new(0));
    map.mark_caught_up();
    let mut appended_at = Vec::new();
    for second in 0..300 {
        let now_ms = NOW_MS + second * 1_000;
        for _ in 0..plan_round(&mut planners, &mut map, &nodes(), now_ms) {
            appended_at.push(second);
        }
        for bucket in 0..64 {
            assert_matches!(map.lookup(bucket, now_ms), Lookup::Owned(_));
        }
    }
    assert_eq!(appended_at, [0, 30, 90, 150, 210, 270]);
}

/// Guards against ownership that ends because the node ranked first is disconnected from the log.
#[test]
fn next_node_takes_over_the_append() {
    let (mut planners, map) = (planners(), OwnershipMap::new(0));
    let appends = |step| matches!(step, Step::Append(_));
    let first = planners
        .iter_mut()
        .position(|p| appends(p.next(&map, &nodes(), NOW_MS)))
        .unwrap();
    planners.remove(first);
    let mut others = map.clone();
    assert_eq!(plan_round(&mut planners, &mut others, &nodes(), NOW_MS), 0);
    assert_eq!(
        plan_round(&mut planners, &mut others, &nodes(), NOW_MS + 2_000),
        1
    );
}

/// Guards against a second append without reading back the first one, whose answer was lost.
#[test]
fn append_without_answer_is_read_back_first() {
    let (map, node) = (OwnershipMap::new(0), holder("a", 1));
    let mut planner = Planner::new("ledger", node.clone(), Default::default());
    let live = [node];
    let step = planner.next(&map, &live, NOW_MS);
    assert_eq!(planner.next(&map, &live, NOW_MS + 9_000), Step::ReadBack);
    let mut read = map.clone();
    assert_matches!(step, Step::Append(record) => read.apply(0, &record, Source::Log).unwrap());
    assert_matches!(
        planner.next(&read, &live, NOW_MS + 9_000),
        Step::Wait { .. }
    );
    planner.next(&read, &live, NOW_MS + 30_000);
    planner.finish_read_back();
    assert_matches!(planner.next(&read, &live, NOW_MS + 30_000), Step::Append(_));
}

/// Guards against keys of a node that shuts down having no owner until the interval ends, and against a
/// takeover of the keys of a crashed node before that.
#[test]
fn shutdown_transfers_keys_and_a_crash_does_not() {
    let (mut planners, mut map) = (planners(), OwnershipMap::new(0));
    map.mark_caught_up();
    plan_round(&mut planners, &mut map, &nodes(), NOW_MS);
    plan_round(&mut planners, &mut map, &nodes(), NOW_MS + 2_000);
    let departing = holder("a", 1);
    let owned_buckets = |map: &OwnershipMap, key_ms| {
        (0..64)
            .filter(|bucket| map.lookup(*bucket, key_ms) == Lookup::Owned(&departing))
            .count()
    };
    let owned = owned_buckets(&map, NOW_MS + 10_000);
    assert!(owned > 0);
    plan_round(&mut planners[1..], &mut map, &nodes()[1..], NOW_MS + 9_000);
    assert_eq!(owned_buckets(&map, NOW_MS + 10_000), owned);
    let mut table = hitch_once::KeyTable::<()>::new(departing.clone(), Default::default());
    let record = planners[0].plan_release(&map, &nodes(), &table.release(NOW_MS + 10_000));
    map.apply(map.next_offset(), &record, Source::Log).unwrap();
    assert_eq!(
        (
            owned_buckets(&map, NOW_MS + 9_999),
            owned_buckets(&map, NOW_MS + 10_000)
        ),
        (owned, 0)
    );
    for bucket in 0..64 {
        assert_matches!(map.lookup(bucket, NOW_MS + 10_000), Lookup::Owned(_));
    }
}
