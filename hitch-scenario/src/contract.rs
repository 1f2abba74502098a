//! The contract that operators publish, and its revisions.

use hitch_config::Change;
use uuid::Uuid;

/// The only customer.
pub const CUSTOMER: &str = "association";
/// Service of the calls that must not run twice.
pub const ONCE: &str = "ledger";
/// Service of the idempotent calls.
pub const REPEATABLE: &str = "registry";
/// Deadline of every route, in milliseconds.
pub const DEADLINE_MS: u64 = 2_000;
/// The last route, which a node with [`crate::Defect::PartialApply`] leaves out.
pub const SECOND_HALF: &str =
    "  - { method: GET, path: /entries, service: registry, idempotent: true, deadline: 2s }\n";

/// Returns the contract of a revision as YAML; each revision adds a route.
///
/// ```
/// let text = hitch_scenario::contract::text(3);
/// assert!(hitch_contract::from_bytes("c", text.as_bytes()).is_ok());
/// ```
pub fn text(revision: usize) -> Box<str> {
    let mut text = String::from(
        "customer: association
lands_within: 10s
key_interval: 8s
ranks:
  - { name: fee, target_latency: 500ms, worth: 100, share: 30%, admit: 200/s }
  - { name: enquiry, target_latency: 800ms, worth: 1, share: 10%, admit: 2000/s }
services:
  - { name: ledger, slots: 4, connections: 40 }
  - { name: registry, slots: 4, connections: 40 }
routes:
  - { method: POST, path: /fees, service: ledger, idempotent: false, deadline: 2s }
",
    );
    for i in 0..revision {
        text.push_str(&format!(
            "  - {{ method: GET, path: /r{i}, service: ledger, idempotent: true, deadline: 2s }}\n"
        ));
    }
    text.push_str(SECOND_HALF);
    text.into()
}

/// Returns the change that replaces the contract of version `based_on`.
///
/// ```
/// let id = uuid::Uuid::nil();
/// assert_eq!(hitch_scenario::contract::change(id, 4, "x").based_on, 4);
/// ```
pub fn change(change_id: Uuid, based_on: u64, text: &str) -> Change {
    Change {
        change_id,
        customer: CUSTOMER.into(),
        based_on,
        operator: "operator".into(),
        contract: text.into(),
    }
}
