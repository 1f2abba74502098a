//! Tests of the passive health check of the local backend server.

use std::time::Duration;

use hitch_mesh::health::PassiveHealth;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a backend server that fails every other call and is detected only after seconds.
#[test]
fn failure_of_every_other_call_is_detected_soon() {
    let mut health = PassiveHealth::default();
    for i in 0..100 {
        assert_eq!(health.record(at(i), false), None);
    }
    let detected_after = (0..16).find(|i| health.record(at(200 + i), i % 2 == 0).is_some());
    assert!(
        detected_after.is_some_and(|calls| calls <= 14),
        "{detected_after:?}"
    );
    assert!(health.is_failing());
}

/// Guards against a backend server that counts as failing because of a normal rate of failures.
#[test]
fn rare_failures_start_no_failing_period() {
    let mut health = PassiveHealth::default();
    for i in 0..2_000 {
        assert_eq!(health.record(at(i), i % 10 == 0), None, "call {i}");
    }
    let mut new = PassiveHealth::default();
    assert_eq!(
        new.record(at(0), true),
        None,
        "one failed call must not start a failing period"
    );
}

/// Guards against a failing period that does not end, and against periods that do not grow while the fault lasts.
#[test]
fn failing_period_ends_and_the_next_one_is_longer() {
    let mut health = PassiveHealth::default();
    let mut now = at(0);
    let mut periods = Vec::new();
    let mut calls_to_detect = Vec::new();
    for _ in 0..4 {
        let mut calls = 0;
        let until = loop {
            calls += 1;
            if let Some(until) = health.record(now, true) {
                break until;
            }
        };
        calls_to_detect.push(calls);
        periods.push(until - now);
        assert!(!health.end_failing_period(until - at(1)));
        assert!(health.end_failing_period(until));
        assert!(!health.is_failing());
        now = until;
    }
    assert_eq!(periods, [at(1_000), at(2_000), at(4_000), at(4_000)]);
    assert!(
        calls_to_detect[1..].iter().all(|calls| *calls <= 2),
        "{calls_to_detect:?}"
    );
    // A low failure rate resets the length of the period.
    for _ in 0..100 {
        health.record(now, false);
    }
    let until = (0..16).find_map(|_| health.record(now, true));
    assert_eq!(until, Some(now + at(1_000)));
}
