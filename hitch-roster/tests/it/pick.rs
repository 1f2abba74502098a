//! Tests of selections.

use std::collections::BTreeSet;
use std::time::Duration;

use hitch_roster::Options;
use hitch_roster::Roster;
use hitch_roster::State;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::member;
use crate::roster;
use crate::with;

const NOW: Duration = Duration::from_secs(1);

fn reader_names(roster: &Roster) -> BTreeSet<Box<str>> {
    let readers = roster.readers("a", 2).into_iter();
    let members = readers.filter_map(|key| roster.get(key));
    members.map(|m| m.contact.instance.clone()).collect()
}

/// Guards against a zone without a reader while views differ, and against many readers.
#[test]
fn views_that_differ_by_one_member_share_a_reader() {
    let full = roster(50);
    for lacking in 1..50 {
        let mut other = Roster::new(member("n0", "a"), Options::default());
        for i in (1..50).filter(|i| *i != lacking) {
            other.merge(NOW, [member(&format!("n{i}"), "a")]);
        }
        let mut all = reader_names(&full);
        let shared = all.intersection(&reader_names(&other)).count();
        all.extend(reader_names(&other));
        assert!(shared >= 1 && all.len() <= 3);
    }
}

/// Guards against readers that depend on the order in which members were learned.
#[test]
fn equal_views_pick_equal_readers() {
    let mut backwards = Roster::new(member("n49", "a"), Options::default());
    for i in (0..49).rev() {
        backwards.merge(NOW, [member(&format!("n{i}"), "a")]);
    }
    assert_eq!(reader_names(&roster(50)), reader_names(&backwards));
}

/// Guards against a leaving or dead member that stays a reader.
#[test]
fn only_starting_and_ready_members_are_picked() {
    for state in [State::Draining, State::Suspect, State::Gone] {
        let mut roster = roster(5);
        let first = roster.get(roster.readers("a", 1)[0]).unwrap();
        if first.contact.instance == roster.own().contact.instance {
            roster.set_state(NOW, state);
        }
        roster.merge(NOW, [with(&first, 2, state)]);
        let now = roster.get(roster.readers("a", 1)[0]).unwrap();
        assert_ne!(now.contact.instance, first.contact.instance);
    }
}

/// Guards against members that hear of news only by chance, 2 % of them at four random picks.
#[test]
fn every_member_is_among_the_announce_peers_of_others() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut told = BTreeSet::new();
    for own in 0..50 {
        let mut roster = Roster::new(member(&format!("n{own}"), "a"), Options::default());
        roster.merge(NOW, (0..50).map(|i| member(&format!("n{i}"), "a")));
        let peers = roster.announce_peers(2, &mut rng);
        assert!(peers.len() <= 2 && !peers.contains(&roster.own_key()));
        told.extend(peers.iter().filter_map(|key| roster.get(*key)));
    }
    assert_eq!(told.len(), 50);
}
