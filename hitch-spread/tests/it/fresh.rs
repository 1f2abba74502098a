//! Tests of freshness.

use hitch_spread::Options;
use hitch_spread::Peer;

use crate::at;
use crate::digest;
use crate::holding;
use crate::record;
use crate::rng;

/// Guards against an age that omits the transit time of the digest.
#[test]
fn confirmed_age_includes_the_transit_time() {
    let mut spread = holding(1, Options::default());
    spread.received_digest(
        at(12),
        Peer(1),
        digest(1, Some(5)),
        Some(at(10)),
        &mut rng(),
    );
    assert_eq!(spread.confirmed_age(at(13)), Some(at(8)));
    assert!(spread.is_stale(at(13), at(7)));
    assert!(!spread.is_stale(at(13), at(8)));
}

/// Guards against an old buffered message that makes a node look fresh after a freeze.
#[test]
fn unsolicited_digest_does_not_update_freshness() {
    let mut spread = holding(1, Options::default());
    spread.received_digest(at(600), Peer(1), digest(1, Some(0)), None, &mut rng());
    assert_eq!(spread.confirmed_age(at(600)), None);
    assert!(spread.needs_exchange(at(600)));
}

/// Guards against an answer from before a freeze that makes a node look fresh after it.
#[test]
fn answer_to_an_old_request_does_not_update_freshness() {
    let mut spread = holding(1, Options::default());
    spread.received_digest(
        at(600),
        Peer(1),
        digest(1, Some(0)),
        Some(at(1)),
        &mut rng(),
    );
    assert_eq!(spread.confirmed_age(at(600)), Some(at(599)));
    assert!(spread.needs_exchange(at(600)));
}

/// Guards against a confirmation that counts although the node lacks some of its records.
#[test]
fn confirmation_counts_once_its_records_are_held() {
    let mut spread = holding(1, Options::default());
    spread.received_log_end(at(1), at(1), 1);
    spread.received_digest(at(9), Peer(1), digest(3, Some(0)), Some(at(9)), &mut rng());
    assert_eq!(spread.confirmed_age(at(10)), Some(at(9)));
    spread.received_records(at(11), Peer(1), [record(1), record(2)]);
    assert_eq!(spread.confirmed_age(at(11)), Some(at(2)));
}

/// Guards against an older confirmation that is received later and replaces a newer one.
#[test]
fn older_confirmation_is_ignored() {
    let mut spread = holding(1, Options::default());
    spread.received_log_end(at(9), at(9), 1);
    spread.received_digest(at(9), Peer(1), digest(1, Some(50)), Some(at(9)), &mut rng());
    assert_eq!(spread.confirmed_age(at(10)), Some(at(1)));
}
