//! Tests of digests and recent updates.

use std::time::Duration;

use hitch_roster::Member;
use hitch_roster::Options;
use hitch_roster::Roster;
use hitch_roster::State;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::member;
use crate::roster;
use crate::with;

const NOW: Duration = Duration::from_secs(1);

/// Guards against differences that exceed the limit of one message and that later digests never
/// resolve.
#[test]
fn repeated_pulls_resolve_every_difference() {
    let mut full = roster(2000);
    let mut behind = full.clone();
    for i in (1..2000).step_by(2) {
        full.merge(NOW, [with(&member(&format!("n{i}"), "a"), 2, State::Ready)]);
    }
    let mut pulls = 0;
    while behind.digest() != full.digest() {
        let missing = full.missing(&behind.digest());
        assert!(missing.len() <= Options::default().max_missing);
        behind.merge(NOW, missing);
        pulls += 1;
        assert!(pulls < 200);
    }
}

/// Guards against a new node that receives only a few members per bucket in each exchange.
#[test]
fn new_node_learns_most_members_in_two_pulls() {
    let mut full = roster(2000);
    let mut new = Roster::new(member("new", "a"), Options::default());
    for _ in 0..2 {
        new.merge(NOW, full.missing(&new.digest()));
    }
    assert!(new.live_count() > 1900, "{} members", new.live_count());
}

/// Guards against updates that are sent indefinitely or dropped before they reach all members.
#[test]
fn recent_updates_are_sent_a_logarithmic_number_of_times() {
    let mut roster = roster(100);
    while !roster.take_recent_updates(None).is_empty() {}
    roster.merge(NOW, [with(&member("n1", "a"), 2, State::Ready)]);
    let mut sent = 0;
    while !roster.take_recent_updates(None).is_empty() {
        sent += 1;
    }
    assert_eq!(sent, 5, "half of the floor of log2 of 100, and two");
}

/// Guards against a suspected member that never learns of the suspicion and cannot refute it.
#[test]
fn suspected_member_receives_its_own_entry() {
    let mut roster = roster(2);
    roster.merge(NOW, [with(&member("n1", "a"), 1, State::Gone)]);
    while !roster.take_recent_updates(None).is_empty() {}
    let received = roster.take_recent_updates(roster.try_find("n1"));
    assert_eq!(received, [with(&member("n1", "a"), 1, State::Gone)]);
}

/// Guards against gone members that new nodes keep in circulation forever.
#[test]
fn member_received_as_gone_is_not_gossiped() {
    let mut roster = roster(1);
    let before = roster.digest();
    while !roster.take_recent_updates(None).is_empty() {}
    roster.merge(NOW, [with(&member("n1", "a"), 1, State::Gone)]);
    assert_eq!(roster.digest(), before);
    assert_eq!(roster.take_recent_updates(None), []);
}

/// Guards against rosters that take minutes to converge after a mass restart: bucket details must
/// identify exactly the members that differ.
#[test]
fn details_identify_exactly_the_missing_members() {
    let mut full = roster(500);
    let mut behind = full.clone();
    behind.bucket_details();
    assert_eq!(behind.bucket_details(), [], "nothing changed");
    let changed = |i: usize| with(&member(&format!("n{i}"), "a"), 2, State::Ready);
    full.merge(NOW, (1..100).map(changed));
    behind.merge(NOW, (50..100).map(changed));
    let (digest, details) = (behind.digest(), behind.bucket_details());
    let mut missing = full.missing_by_details(&digest, &details);
    missing.sort();
    let mut expected: Vec<Member> = (1..50).map(changed).collect();
    expected.sort();
    assert_eq!(missing, expected);
}

/// Guards against old updates that fill messages for minutes after a mass restart.
#[test]
fn expired_update_is_not_sent() {
    let mut roster = roster(100);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    roster.tick(Duration::from_secs(14), &mut rng);
    assert!(!roster.take_recent_updates(None).is_empty());
    roster.tick(Duration::from_secs(15), &mut rng);
    assert_eq!(roster.take_recent_updates(None), []);
}
