//! Tests of reading and checking.

const GOOD: &str = "
customer: association
lands_within: 10s
ranks:
  - { name: fee, target_latency: 150ms, worth: 100, share: 30%, admit: 200/s }
services:
  - { name: ledger, slots: 13, connections: 130 }
routes:
  - { method: POST, path: /fees, service: ledger, idempotent: false, deadline: 2s }
";

/// Guards against a route to a service that no contract defines.
#[test]
fn route_to_unknown_service_is_refused_with_its_line() {
    let text = GOOD.replace("service: ledger", "service: legder");
    let err = hitch_contract::from_bytes("a.yaml", text.as_bytes()).unwrap_err();
    assert_eq!(err.problems.len(), 1);
    assert_eq!(err.problems[0].line, 9);
    assert_eq!(&*err.problems[0].value, "legder");
}

/// Guards against a value that is read in the wrong unit.
#[test]
fn wrong_unit_is_refused() {
    let text = GOOD.replace("200/s", "200");
    let err = hitch_contract::from_bytes("a.yaml", text.as_bytes()).unwrap_err();
    assert_eq!(&*err.problems[0].field, "ranks.admit");
}
