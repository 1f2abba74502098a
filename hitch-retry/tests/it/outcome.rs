//! Tests of the wire names of outcomes.

use hitch_retry::NotRun;
use hitch_retry::Unknown;

/// Guards against a reason that a peer or caller decodes as another one.
#[test]
fn every_reason_is_found_by_its_name() {
    for reason in NotRun::all() {
        assert_eq!(NotRun::try_from_name(reason.name()), Some(reason));
    }
    for reason in Unknown::all() {
        assert_eq!(Unknown::try_from_name(reason.name()), Some(reason));
    }
}
