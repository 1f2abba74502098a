//! Tests of the switchover between route tables.

use std::time::Duration;

use hitch_route::Switchover;
use hitch_route::Table;
use hitch_route::switchover::MAX_HOLD;

use crate::amend;
use crate::state;

/// Guards against a version that comes into force before its backend servers are known, and against one
/// that never comes into force because they stay unknown.
#[test]
fn incomplete_table_waits_for_a_bounded_time() {
    let mut switchover = Switchover::default();
    switchover.offer(
        Duration::ZERO,
        Table::compile(&state(&[("GET", "/x", "s"), ("GET", "/y", "t")])),
    );
    let only_s = |s: &str| s == "s";
    assert!(switchover.poll(MAX_HOLD / 2, only_s).is_none());
    let table = switchover.poll(MAX_HOLD, only_s).unwrap();
    assert_eq!(table.inactive().collect::<Vec<_>>(), ["t"]);
}

/// Guards against an older table that replaces a newer one.
#[test]
fn older_table_is_ignored() {
    let mut switchover = Switchover::default();
    let table = Table::compile(&state(&[("GET", "/x", "s")]));
    switchover.offer(Duration::ZERO, table.clone());
    assert!(switchover.poll(Duration::ZERO, |_| true).is_some());
    switchover.offer(Duration::ZERO, table);
    assert!(switchover.poll(Duration::ZERO, |_| true).is_none());
}

/// Guards against a service without backend servers that delays every later version.
#[test]
fn service_that_was_missing_before_does_not_delay_the_next_table() {
    let mut state = state(&[("GET", "/x", "s"), ("GET", "/y", "t")]);
    let mut switchover = Switchover::default();
    let only_s = |s: &str| s == "s";
    switchover.offer(Duration::ZERO, Table::compile(&state));
    assert!(switchover.poll(MAX_HOLD, only_s).is_some());
    amend(&mut state, &[("GET", "/z", "s"), ("GET", "/y", "t")]);
    switchover.offer(MAX_HOLD, Table::compile(&state));
    assert_eq!(switchover.poll(MAX_HOLD, only_s).unwrap().version(), 2);
}
