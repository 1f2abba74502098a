//! Tests of applying records.

use assert_matches::assert_matches;
use hitch_config::Refusal;
use hitch_config::State;
use hitch_config::Verdict;
use uuid::Uuid;

use crate::change;

/// Guards against two operators that amend the same version, and the later change overwrites the
/// earlier one.
#[test]
fn first_of_two_concurrent_changes_is_accepted() {
    let mut state = State::default();
    state.apply(0, &change(1, "a", 0, "s").to_bytes()).unwrap();
    let first = state.apply(1, &change(2, "a", 1, "t").to_bytes()).unwrap();
    let second = state.apply(2, &change(3, "a", 1, "u").to_bytes()).unwrap();
    assert_eq!(first, Verdict::Accepted { version: 2 });
    let winner = Uuid::from_u128(2);
    assert_eq!(
        second,
        Verdict::Refused(Refusal::Conflict { winner, version: 2 })
    );
    assert_eq!(state.version(), 2);
}

/// Guards against a change that is accepted twice because its append was retried.
#[test]
fn retried_append_is_a_duplicate() {
    let mut state = State::default();
    let data = change(1, "a", 0, "s").to_bytes();
    state.apply(0, &data).unwrap();
    let second = state.apply(1, &data).unwrap();
    assert_eq!(second, Verdict::Refused(Refusal::Duplicate { first: 1 }));
}

/// Guards against an invalid change that is applied in part.
#[test]
fn refused_change_advances_only_the_offset() {
    let mut state = State::default();
    state.apply(0, &change(1, "a", 0, "s").to_bytes()).unwrap();
    let before = state.clone();
    let mut invalid = change(2, "a", 1, "t");
    invalid.contract = invalid
        .contract
        .replace("service: t", "service: missing")
        .into();
    assert_matches!(
        state.apply(1, &invalid.to_bytes()),
        Ok(Verdict::Refused(Refusal::Invalid { .. }))
    );
    assert_eq!(state.version(), before.version());
    assert_eq!(state.hash(), before.hash());
    assert_eq!(state.try_find("a"), before.try_find("a"));
}

/// Guards against two customers that define the same service.
#[test]
fn service_of_another_customer_is_refused() {
    let mut state = State::default();
    state.apply(0, &change(1, "a", 0, "s").to_bytes()).unwrap();
    let verdict = state.apply(1, &change(2, "b", 0, "s").to_bytes()).unwrap();
    assert_matches!(verdict, Verdict::Refused(Refusal::ServiceOwned { .. }));
}

/// Guards against a replayed record that moves the state back.
#[test]
fn already_applied_record_changes_nothing() {
    let mut state = State::default();
    state.apply(0, &change(1, "a", 0, "s").to_bytes()).unwrap();
    state.apply(1, &change(2, "a", 1, "t").to_bytes()).unwrap();
    let before = state.clone();
    assert_eq!(
        state.apply(0, &change(1, "a", 0, "s").to_bytes()),
        Ok(Verdict::AlreadyApplied)
    );
    assert_eq!(state, before);
}
