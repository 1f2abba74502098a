//! Tests of snapshots.

use hitch_config::State;

use crate::change;

/// Guards against a node that recovers from a snapshot and then reaches other verdicts than nodes
/// that applied all records.
#[test]
fn recovered_state_reaches_the_same_verdicts() {
    let mut original = State::default();
    original
        .apply(0, &change(1, "a", 0, "s").to_bytes())
        .unwrap();
    let mut recovered = State::from_snapshot(&original.snapshot()).unwrap();
    let records = [
        change(2, "a", 1, "t"),
        change(3, "b", 0, "t"),
        change(2, "a", 1, "t"),
    ];
    for (i, record) in records.iter().enumerate() {
        let offset = 1 + i as u64;
        let data = record.to_bytes();
        assert_eq!(
            original.apply(offset, &data),
            recovered.apply(offset, &data)
        );
    }
    assert_eq!(original, recovered);
}

/// Guards against an older snapshot from a peer that moves a node back.
#[test]
fn older_snapshot_is_not_adopted() {
    let mut state = State::default();
    state.apply(0, &change(1, "a", 0, "s").to_bytes()).unwrap();
    let older = state.clone();
    state.apply(1, &change(2, "a", 1, "t").to_bytes()).unwrap();
    let before = state.clone();
    assert!(!state.adopt(older));
    assert_eq!(state, before);
}
