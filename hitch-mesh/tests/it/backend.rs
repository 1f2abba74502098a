//! Tests of what is known of the backend server beside the node.

use hitch_mesh::backend::Beside;
use hitch_mesh::backend::Change;
use hitch_mesh::backend::Report;
use hitch_mesh::backend::Standing;

fn report(id: &str, started_at_ms: u64, sequence: u64, draining: bool) -> Report {
    Report {
        id: id.into(),
        service: "ledger".into(),
        address: "10.0.0.1:80".into(),
        slots: 13,
        draining,
        sequence,
        started_at_ms,
    }
}

fn accepting() -> Beside {
    let mut beside = Beside::default();
    beside.report(report("i-1", 5, 4, false));
    assert_eq!(beside.verified(Some("i-1")), Change::Standing);
    beside
}

/// Guards against calls for a backend server that began to leave before the node was started again.
#[test]
fn first_report_counts_only_with_a_good_health() {
    let mut beside = Beside::default();
    beside.report(report("i-1", 5, 4, false));
    assert_eq!(beside.standing(), Standing::Unverified);
    beside.verified(None);
    beside.report(report("i-1", 5, 5, false));
    assert_eq!(beside.standing(), Standing::Unverified);
    beside.verified(Some("i-2"));
    assert_eq!(beside.standing(), Standing::Unverified);
    beside.verified(Some("i-1"));
    assert_eq!(beside.standing(), Standing::Accepting);
}

/// Guards against a late report that brings a leaving backend server back.
#[test]
fn late_report_does_not_undo_leaving() {
    let mut beside = accepting();
    beside.report(report("i-1", 5, 9, true));
    assert_eq!(beside.report(report("i-1", 5, 8, false)), Change::None);
    assert_eq!(beside.standing(), Standing::Leaving);
    // Also one with a later sequence, sent before the backend server decided to leave.
    beside.report(report("i-1", 5, 10, false));
    assert_eq!(beside.standing(), Standing::Leaving);
}

/// Guards against a report that was held up and arrives after its sender's successor has reported.
#[test]
fn report_of_an_earlier_start_is_ignored() {
    let mut beside = accepting();
    assert_eq!(beside.report(report("i-2", 9, 1, false)), Change::Restarted);
    assert_eq!(beside.report(report("i-1", 5, 99, true)), Change::None);
    assert_eq!(beside.standing(), Standing::Accepting);
    assert_eq!(beside.left("i-1"), Change::None);
}

/// Guards against a backend server that starts again under its old identity and is taken for gone.
#[test]
fn same_identity_starts_again_after_leaving() {
    let mut beside = accepting();
    beside.left("i-1");
    beside.report(report("i-1", 5, 7, false));
    assert_eq!(beside.standing(), Standing::Leaving);
    assert_eq!(beside.report(report("i-1", 6, 1, false)), Change::Restarted);
    assert_eq!(beside.standing(), Standing::Accepting);
}

/// Guards against a backend server that stays out for good after it refused one connection.
#[test]
fn refused_connection_counts_until_the_next_report() {
    let mut beside = accepting();
    assert_eq!(beside.refused(), Change::Standing);
    assert_eq!(beside.standing(), Standing::Down);
    beside.report(report("i-1", 5, 5, false));
    assert_eq!(beside.standing(), Standing::Accepting);
    beside.left("i-1");
    assert_eq!(beside.refused(), Change::None);
    assert_eq!(beside.standing(), Standing::Leaving);
}

/// Guards against a backend server that gets no calls until its next report after a restart of the node beside it, and
/// against reports that a healthy answer hides.
#[test]
fn healthy_backend_server_is_used_before_its_first_report() {
    let mut beside = Beside::default();
    beside.found("i-1", "ledger", 4);
    assert_eq!(beside.standing(), Standing::Accepting);
    // Its report brings the slots and is no new start.
    assert_eq!(beside.report(report("i-1", 5, 9, false)), Change::Standing);
    assert_eq!(beside.latest().unwrap().slots, 13);
    assert_eq!(beside.report(report("i-1", 5, 8, true)), Change::None);
    assert_eq!(beside.found("i-1", "ledger", 4), Change::None);
    let mut beside = Beside::default();
    beside.found("i-1", "ledger", 4);
    beside.report(report("i-1", 5, 9, true));
    assert_eq!(beside.standing(), Standing::Leaving);
    // A report from before does not undo what was reported, and a late one of another start is placed by its time.
    beside.report(report("i-0", 4, 99, false));
    assert_eq!(beside.standing(), Standing::Leaving);
}
