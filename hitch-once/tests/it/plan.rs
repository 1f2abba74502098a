//! Tests of the planner.

use assert_matches::assert_matches;
use hitch_once::Holder;
use hitch_once::Lookup;
use hitch_once::OwnershipMap;
use hitch_once::Planner;
use hitch_once::Source;
use hitch_once::Step;

use crate::holder;

const NOW: u64 = 1_800_000_000_000;

fn nodes() -> Vec<Holder> {
    vec![holder("a", 1), holder("b", 1), holder("c", 1)]
}

fn planners() -> Vec<Planner> {
    let new = |me| Planner::new("ledger", me, Default::default());
    nodes().into_iter().map(new).collect()
}

/// Asks every planner at `now_ms` and applies what they append; returns how many appended.
fn round(planners: &mut [Planner], map: &mut OwnershipMap, live: &[Holder], now_ms: u64) -> usize {
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
        let now_ms = NOW + second * 1_000;
        for _ in 0..round(&mut planners, &mut map, &nodes(), now_ms) {
            appended_at.push(second);
        }
        for bucket in 0..64 {
            assert_matches!(map.lookup(bucket, now_ms), Lookup::Owned(_));
        }
    }
    assert_eq!(appended_at, [0, 30, 90, 150, 210, 270]);
}

/// Guards against an ownership that ends because the node ranked first is cut off from the log.
#[test]
fn next_node_steps_in() {
    let (mut planners, map) = (planners(), OwnershipMap::new(0));
    let appends = |step| matches!(step, Step::Append(_));
    let first = planners
        .iter_mut()
        .position(|p| appends(p.next(&map, &nodes(), NOW)))
        .unwrap();
    planners.remove(first);
    let mut others = map.clone();
    assert_eq!(round(&mut planners, &mut others, &nodes(), NOW), 0);
    assert_eq!(round(&mut planners, &mut others, &nodes(), NOW + 2_000), 1);
}

/// Guards against a blind second append after the answer to the first was lost.
#[test]
fn lost_answer_is_read_back_first() {
    let (map, me) = (OwnershipMap::new(0), holder("a", 1));
    let mut planner = Planner::new("ledger", me.clone(), Default::default());
    let live = [me];
    let step = planner.next(&map, &live, NOW);
    assert_eq!(planner.next(&map, &live, NOW + 9_000), Step::ReadBack);
    let mut read = map.clone();
    assert_matches!(step, Step::Append(record) => read.apply(0, &record, Source::Log).unwrap());
    assert_matches!(planner.next(&read, &live, NOW + 9_000), Step::Wait { .. });
    planner.next(&read, &live, NOW + 30_000);
    planner.finish_read_back();
    assert_matches!(planner.next(&read, &live, NOW + 30_000), Step::Append(_));
}

/// Guards against a leaving node whose keys nobody owns until the interval ends, and against a takeover
/// of a crashed node's keys before that.
#[test]
fn leaving_hands_over_and_a_crash_is_left_to_end() {
    let (mut planners, mut map) = (planners(), OwnershipMap::new(0));
    map.mark_caught_up();
    round(&mut planners, &mut map, &nodes(), NOW);
    round(&mut planners, &mut map, &nodes(), NOW + 2_000);
    let gone = holder("a", 1);
    let held = |map: &OwnershipMap, ms| {
        (0..64)
            .filter(|b| map.lookup(*b, ms) == Lookup::Owned(&gone))
            .count()
    };
    let ours = held(&map, NOW + 10_000);
    assert!(ours > 0);
    round(&mut planners[1..], &mut map, &nodes()[1..], NOW + 9_000);
    assert_eq!(held(&map, NOW + 10_000), ours);
    let mut table = hitch_once::KeyTable::<()>::new(gone.clone(), Default::default());
    let record = planners[0].plan_release(&map, &nodes(), &table.release(NOW + 10_000));
    map.apply(map.next_offset(), &record, Source::Log).unwrap();
    assert_eq!(
        (held(&map, NOW + 9_999), held(&map, NOW + 10_000)),
        (ours, 0)
    );
    for bucket in 0..64 {
        assert_matches!(map.lookup(bucket, NOW + 10_000), Lookup::Owned(_));
    }
}
