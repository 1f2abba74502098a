//! Tests of the merge rule.

use std::collections::BTreeMap;
use std::time::Duration;

use hitch_roster::Incarnation;
use hitch_roster::Member;
use hitch_roster::Options;
use hitch_roster::Roster;
use hitch_roster::State;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::member;
use crate::roster;
use crate::state_of;
use crate::with;

const NOW: Duration = Duration::from_secs(1);
const STATES: [State; 5] = [
    State::Starting,
    State::Ready,
    State::Draining,
    State::Suspect,
    State::Gone,
];

/// Guards against delayed entries that restore an earlier state.
#[test]
fn older_entries_change_nothing() {
    let mut roster = roster(1);
    let n1 = member("n1", "a");
    roster.merge(NOW, [with(&n1, 3, State::Draining)]);
    let older = [with(&n1, 2, State::Ready), with(&n1, 3, State::Ready)];
    assert_eq!(roster.merge(NOW, older), []);
    assert_eq!(state_of(&roster, "n1"), Some(State::Draining));
}

/// Guards against a node that stays listed as gone after a restart.
#[test]
fn higher_incarnation_replaces_a_gone_one() {
    let mut roster = roster(1);
    let n1 = member("n1", "a");
    roster.merge(NOW, [n1.clone()]);
    roster.merge(NOW, [with(&n1, 9, State::Gone)]);
    let again = Member {
        incarnation: Incarnation([2; 16]),
        ..n1
    };
    assert_eq!(roster.merge(NOW, [again]).len(), 1);
    assert_eq!(state_of(&roster, "n1"), Some(State::Starting));
    assert_eq!(roster.live_count(), 2);
}

/// Guards against a live member that stays listed as suspect or gone.
#[test]
fn suspicion_of_the_own_node_is_refuted_by_a_higher_sequence() {
    let mut roster = roster(1);
    roster.set_state(NOW, State::Ready);
    let seen = with(&roster.own(), 7, State::Gone);
    let changes = roster.merge(NOW, [seen.clone()]);
    assert_eq!(changes.len(), 2, "set_state and the refutation");
    assert_eq!(
        (roster.own().sequence, roster.own().state),
        (8, State::Ready)
    );
    assert!(roster.own() > seen);
}

/// Guards against a node that keeps an incarnation which its peers consider superseded.
#[test]
fn higher_incarnation_of_the_own_instance_is_exceeded() {
    let mut roster = roster(1);
    let seen = Member {
        incarnation: Incarnation([9; 16]),
        ..roster.own()
    };
    roster.merge(NOW, [seen.clone()]);
    assert!(roster.own().incarnation > seen.incarnation);
    assert_eq!(roster.own().state, State::Starting);
}

fn members_of(batches: &[&[Member]]) -> BTreeMap<Box<str>, Member> {
    let mut roster = Roster::new(member("own", "a"), Options::default());
    for batch in batches {
        roster.merge(NOW, batch.iter().cloned());
    }
    roster
        .members()
        .map(|(_, m)| (m.contact.instance.clone(), m))
        .collect()
}

/// Guards against rosters that depend on the order or number of message deliveries.
#[test]
fn merge_is_commutative_associative_and_idempotent() {
    let one =
        (0..4u8, 0..3u8, 0..3u64, 0..5usize, 0..2u8).prop_map(|(name, inc, seq, state, zone)| {
            let base = member(&format!("n{name}"), ["a", "b"][zone as usize]);
            Member {
                incarnation: Incarnation([inc; 16]),
                ..with(&base, seq, STATES[state])
            }
        });
    let batches = (
        vec(one.clone(), 0..12),
        vec(one.clone(), 0..12),
        vec(one, 0..12),
    );
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(256), rng);
    let outcome = runner.run(&batches, |(x, y, z)| {
        let forward = members_of(&[&x, &y, &z]);
        proptest::prop_assert_eq!(&forward, &members_of(&[&z, &x, &y]));
        proptest::prop_assert_eq!(&forward, &members_of(&[&x, &y, &x, &z, &z, &y]));
        let known: Vec<Member> = members_of(&[&y, &z]).into_values().collect();
        proptest::prop_assert_eq!(&forward, &members_of(&[&x, &known]));
        Ok(())
    });
    outcome.unwrap();
}
