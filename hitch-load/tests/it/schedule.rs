//! Tests of the schedule of calls.

use std::time::Duration;

use hitch_load::plan::Arrivals;
use hitch_load::schedule::Schedule;

use crate::plan;

const FLOOD: &str =
    "floods: [{ name: flood, stream: a, from_ms: 4000, until_ms: 6000, factor: 10 }]";

/// Guards against a flood with the wrong rate or with calls outside its window.
#[test]
fn rate_follows_the_flood() {
    let mut plan = plan("127.0.0.1:1", 10_000, "rate: 200", FLOOD);
    plan.arrivals = Arrivals::Poisson;
    let calls: Vec<_> = Schedule::new(&plan).collect();
    assert!(calls.is_sorted_by_key(|call| call.at));
    let window = Duration::from_millis(4_000)..Duration::from_millis(6_000);
    let flood = calls
        .iter()
        .filter(|call| window.contains(&call.at))
        .count();
    let base = calls.len() - flood;
    // The expected counts are 4,000 and 1,600 calls; the bounds are five standard deviations away.
    assert!((3_684..4_316).contains(&flood), "{flood}");
    assert!((1_400..1_800).contains(&base), "{base}");
    assert!(calls.last().unwrap().at < plan.duration());
}

/// Guards against runs that cannot be reproduced from their seed.
#[test]
fn schedule_depends_on_the_seed_only() {
    let mut plan = plan("127.0.0.1:1", 1_000, "rate: 100", "");
    plan.arrivals = Arrivals::Poisson;
    let first: Vec<_> = Schedule::new(&plan).collect();
    assert_eq!(first, Schedule::new(&plan).collect::<Vec<_>>());
    plan.seed += 1;
    assert_ne!(first, Schedule::new(&plan).collect::<Vec<_>>());
}
