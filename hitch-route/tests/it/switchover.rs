//! Tests of the switch.

use std::time::Duration;

use hitch_route::Switchover;
use hitch_route::Table;
use hitch_route::switchover::HOLD;

use crate::amend;
use crate::state;

/// Guards against a version that comes into force before its backend servers are known, and against
/// one that never does.
#[test]
fn incomplete_table_waits_for_a_bounded_time() {
    let mut switch = Switchover::default();
    switch.offer(
        Duration::ZERO,
        Table::compile(&state(&[("GET", "/x", "s"), ("GET", "/y", "t")])),
    );
    let only_s = |s: &str| s == "s";
    assert!(switch.poll(HOLD / 2, only_s).is_none());
    let table = switch.poll(HOLD, only_s).unwrap();
    assert_eq!(table.inactive().collect::<Vec<_>>(), ["t"]);
}

/// Guards against an older table that replaces a newer one.
#[test]
fn older_table_is_ignored() {
    let mut switch = Switchover::default();
    let table = Table::compile(&state(&[("GET", "/x", "s")]));
    switch.offer(Duration::ZERO, table.clone());
    assert!(switch.poll(Duration::ZERO, |_| true).is_some());
    switch.offer(Duration::ZERO, table);
    assert!(switch.poll(Duration::ZERO, |_| true).is_none());
}

/// Guards against a service without backend servers that delays every later version.
#[test]
fn service_that_was_missing_before_does_not_hold_the_next_table() {
    let mut state = state(&[("GET", "/x", "s"), ("GET", "/y", "t")]);
    let mut switch = Switchover::default();
    let only_s = |s: &str| s == "s";
    switch.offer(Duration::ZERO, Table::compile(&state));
    assert!(switch.poll(HOLD, only_s).is_some());
    amend(&mut state, &[("GET", "/z", "s"), ("GET", "/y", "t")]);
    switch.offer(HOLD, Table::compile(&state));
    assert_eq!(switch.poll(HOLD, only_s).unwrap().version(), 2);
}
