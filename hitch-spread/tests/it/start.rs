//! Tests of the condition under which a starting node becomes ready.

use hitch_spread::Options;
use hitch_spread::Peer;
use hitch_spread::Spread;

use crate::at;
use crate::digest;
use crate::record;
use crate::rng;

/// Guards against a node that becomes ready at the version of the most outdated peer.
#[test]
fn node_is_not_ready_below_the_highest_learned_offset() {
    let mut spread = Spread::new(Options::default());
    for (peer, next) in [(1, 2), (2, 5), (3, 3)] {
        spread.received_digest(
            at(1),
            Peer(peer),
            digest(next, Some(0)),
            Some(at(1)),
            &mut rng(),
        );
    }
    spread.received_records(at(1), Peer(1), (0..4).map(record));
    assert!(!spread.is_ready());
    spread.received_records(at(1), Peer(1), [record(4)]);
    assert!(spread.is_ready());
}

/// Guards against steady changes that keep a starting node from ever becoming ready.
#[test]
fn offsets_learned_after_the_learning_period_do_not_count() {
    let mut spread = Spread::new(Options::default());
    spread.received_digest(at(1), Peer(1), digest(2, Some(0)), Some(at(1)), &mut rng());
    spread.received_records(at(2), Peer(1), [record(0), record(1)]);
    assert!(!spread.is_ready(), "another peer may know more");
    spread.received_digest(at(3), Peer(1), digest(9, Some(0)), Some(at(3)), &mut rng());
    assert!(spread.is_ready());
}

/// Guards against nodes that start together without records and confirm to each other that the log
/// is empty.
#[test]
fn empty_peers_do_not_make_a_node_ready() {
    let mut spread = Spread::new(Options::default());
    for peer in 0..9 {
        spread.received_digest(at(1), Peer(peer), digest(0, None), Some(at(1)), &mut rng());
    }
    spread.tick(at(60), &mut rng());
    assert!(!spread.is_ready());
    spread.received_log_end(at(61), at(61), 0);
    assert!(spread.is_ready(), "the log itself is empty");
}
