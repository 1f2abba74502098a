//! Tests of reader selection and of the peers for announcements.

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

/// Guards against a zone without a common reader, or with too many readers, while membership lists
/// differ.
#[test]
fn views_that_differ_by_one_member_share_a_reader() {
    let full = roster(50);
    for missing in 1..50 {
        let mut other = Roster::new(member("n0", "a"), Options::default());
        for i in (1..50).filter(|i| *i != missing) {
            other.merge(NOW, [member(&format!("n{i}"), "a")]);
        }
        let mut all = reader_names(&full);
        let shared = all.intersection(&reader_names(&other)).count();
        all.extend(reader_names(&other));
        assert!(shared >= 1 && all.len() <= 3);
    }
}

/// Guards against a selection that depends on the order in which members were received.
#[test]
fn equal_member_lists_select_equal_readers() {
    let mut backwards = Roster::new(member("n49", "a"), Options::default());
    for i in (0..49).rev() {
        backwards.merge(NOW, [member(&format!("n{i}"), "a")]);
    }
    assert_eq!(reader_names(&roster(50)), reader_names(&backwards));
}

/// Guards against a draining or failed member that stays a reader.
#[test]
fn only_starting_and_ready_members_are_selected() {
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

/// Guards against members that receive announcements only by chance: four random selections per
/// node miss 2 % of them.
#[test]
fn every_member_is_among_the_announce_peers_of_others() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut selected = BTreeSet::new();
    for own in 0..50 {
        let mut roster = Roster::new(member(&format!("n{own}"), "a"), Options::default());
        roster.merge(NOW, (0..50).map(|i| member(&format!("n{i}"), "a")));
        let peers = roster.announce_peers(2, &mut rng);
        assert!(peers.len() <= 2 && !peers.contains(&roster.own_key()));
        selected.extend(peers.iter().filter_map(|key| roster.get(*key)));
    }
    assert_eq!(selected.len(), 50);
}
