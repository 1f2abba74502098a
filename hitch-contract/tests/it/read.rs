//! Tests of parsing and validating contracts.

use std::time::Duration;

use hitch_contract::WhenStale;
use hitch_contract::from_bytes;
use hitch_contract::read::MAX_BYTES;
use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

const VALID: &str = "\
customer: association
lands_within: 10s
stale_after: 30s
when_stale: refuse
key_interval: 90s
ranks:
  - { name: fee, target_latency: 150ms, worth: 100, share: 30%, admit: 200/s }
  - { name: enquiry, target_latency: 800ms, worth: 1, share: 10%, admit: 2000/s }
services:
  - { name: ledger, slots: 13, connections: 130 }
  - { name: registry, slots: 13, connections: 130 }
routes:
  - { method: POST, path: /fees, service: ledger, idempotent: false, deadline: 2s }
  - { method: GET, path: /, service: registry, idempotent: false, deadline: 60s }
";

/// For each row: a text of `VALID`, its replacement, and the line, field and value of the problem
/// that the replacement causes.
const REFUSED: &str = "\
customer: association | customer: '' | 1 | customer |
customer: association | customer: As_1 | 1 | customer | As_1
customer: association |  | 0 | customer | nothing
lands_within: 10s | lands_within: 10 | 2 | lands_within | 10
lands_within: 10s | lands_within: 0s | 2 | lands_within | 0s
lands_within: 10s | lands_within: 2days | 2 | lands_within | 2days
stale_after: 30s | stale_after: 1ms | 3 | stale_after | 1ms
when_stale: refuse | when_stale: stop | 4 | when_stale | stop
key_interval: 90s | key_interval: 2h | 5 | key_interval | 2h
key_interval: 90s | keyinterval: 90s | 5 | keyinterval | an unknown field
when_stale: refuse | lands_within: 9s | 4 | lands_within | a second value, the first is on line 2
name: fee | name: Fee | 7 | ranks.name | Fee
name: fee | name: 7.5 | 7 | ranks.name | 7.5
name: enquiry | name: fee | 8 | ranks.name | fee (duplicate)
800ms | 800 | 8 | ranks.target_latency | 800
800ms | 0ms | 8 | ranks.target_latency | 0ms
worth: 1, | worth: -1, | 8 | ranks.worth | -1
worth: 1, | worth: 0, | 8 | ranks.worth | 0
worth: 1, | worth: 1, worth: 2, | 8 | ranks.worth | a second value, the first is on line 8
worth: 1, | value: 1, worth: 1, | 8 | ranks.value | an unknown field
share: 10% | share: 10 | 8 | ranks.share | 10
share: 10% | share: 71% | 8 | ranks.share | 101% in total
share: 10% | share: 101% | 8 | ranks.share | 101%
2000/s | 2000/m | 8 | ranks.admit | 2000/m
2000/s | 0/s | 8 | ranks.admit | 0/s
2000/s | +5/s | 8 | ranks.admit | +5/s
- { name: registry | - { slots: 2, name: registry | 11 | services.slots | a second value, the first is on line 11
slots: 13 | slots: 0 | 10 | services.slots | 0
slots: 13 | slots: 131 | 10 | services.connections | 130 connections for 131 slots
connections: 130 | connections: 0 | 10 | services.connections | 0
connections: 130 | connections: many | 10 | services.connections | many
method: POST | method: post | 13 | routes.method | post
method: POST | method: 'PO ST' | 13 | routes.method | PO ST
path: /fees | path: fees | 13 | routes.path | fees
path: /fees | path: /fees/../x | 13 | routes.path | /fees/../x
path: /fees | path: /fees//x | 13 | routes.path | /fees//x
path: /fees | path: /fees/ | 13 | routes.path | /fees/
path: /fees | path: '/fees?x' | 13 | routes.path | /fees?x
path: /fees | path: '/fees#x' | 13 | routes.path | /fees#x
GET, path: /, | POST, path: /fees, | 14 | routes.path | POST /fees (duplicate)
service: ledger | service: legder | 13 | routes.service | legder
idempotent: false | idempotent: no | 13 | routes.idempotent | no
deadline: 2s | deadline: 61s | 13 | routes.deadline | 61s
, deadline: 2s |  | 13 | routes.deadline | nothing
";

/// Guards against a field that is ignored or mixed up with another one.
#[test]
fn every_field_is_read() {
    let contract = from_bytes("a.yaml", VALID.as_bytes()).unwrap();
    assert_eq!(contract.lands_within, Duration::from_secs(10));
    assert_eq!(contract.stale_after, Duration::from_secs(30));
    assert_eq!(contract.when_stale, WhenStale::Refuse);
    assert_eq!(contract.key_interval, Duration::from_secs(90));
    let rank = &contract.ranks[1];
    assert_eq!((rank.worth, rank.share_percent), (1, 10));
    assert_eq!(rank.admit_per_second, 2000);
    assert_eq!(contract.services[0].connections, 130);
    assert_eq!(contract.routes[1].deadline, Duration::from_secs(60));
}

/// Guards against an invalid value that is accepted, or refused without its line and field.
#[test]
fn invalid_values_are_refused_with_line_and_field() {
    for row in REFUSED.lines() {
        let cells: Vec<_> = row.split('|').map(str::trim).collect();
        let [from, to, line, field, value] = cells[..] else {
            panic!("{row:?} does not have five cells");
        };
        let text = VALID.replacen(from, to, 1);
        let err = from_bytes("a.yaml", text.as_bytes()).unwrap_err();
        assert_eq!(err.problems.len(), 1, "{row}: {err}");
        let problem = &err.problems[0];
        assert_eq!(problem.line.to_string(), line, "{row}: {err}");
        assert_eq!(&*problem.field, field, "{row}: {err}");
        assert_eq!(&*problem.value, value, "{row}: {err}");
    }
}

/// Guards against two services with the same name, between which a route would be ambiguous.
#[test]
fn duplicate_service_is_refused() {
    let text = VALID.replace("name: registry", "name: ledger");
    let err = from_bytes("a.yaml", text.as_bytes()).unwrap_err();
    let found: Vec<_> = err.problems.iter().map(|p| (p.line, &*p.field)).collect();
    assert_eq!(found, [(11, "services.name"), (14, "routes.service")]);
}

/// Guards against a contract in which no call has a rank.
#[test]
fn contract_without_ranks_is_refused() {
    let start = VALID.find("ranks:").unwrap();
    let end = VALID.find("services:").unwrap();
    let text = format!("{}ranks: []\n{}", &VALID[..start], &VALID[end..]);
    let err = from_bytes("a.yaml", text.as_bytes()).unwrap_err();
    assert_eq!(
        (err.problems[0].line, &*err.problems[0].field),
        (6, "ranks")
    );
}

/// Guards against a report that stops at the first problem.
#[test]
fn all_problems_are_reported_together() {
    let text = VALID
        .replace("stale_after", "stale")
        .replace("800ms", "soon")
        .replace("slots: 13", "slots: many")
        .replace("deadline: 2s", "deadline: 2s, deadline: 3s");
    let err = from_bytes("a.yaml", text.as_bytes()).unwrap_err();
    let lines: Vec<_> = err.problems.iter().map(|p| p.line).collect();
    assert_eq!(lines, [3, 8, 10, 11, 13], "{err}");
}

/// Guards against malformed files that take too much memory or time before they are refused.
#[test]
fn malformed_files_are_refused_with_their_line() {
    let mut alias_bomb = "customer: &a [1, 1, 1, 1, 1, 1, 1, 1, 1, 1]\n".to_owned();
    for (name, previous) in [("b", "a"), ("c", "b"), ("d", "c"), ("e", "d"), ("f", "e")] {
        let items = vec![format!("*{previous}"); 10].join(", ");
        alias_bomb.push_str(&format!("{name}: &{name} [{items}]\n"));
    }
    let table = [
        (vec![b'#'; MAX_BYTES + 1], 0),
        (b"customer: a\nranks: \xc3(\n".to_vec(), 2),
        (b"customer: a\nranks: [\n".to_vec(), 2),
        (b"customer: a\n---\ncustomer: b\n".to_vec(), 2),
        (alias_bomb.into_bytes(), 4),
    ];
    for (bytes, line) in table {
        let err = from_bytes("a.yaml", &bytes).unwrap_err();
        let found: Vec<_> = err.problems.iter().map(|p| (p.line, &*p.field)).collect();
        assert_eq!(found, [(line, "file")], "{err}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on arbitrary bytes, alone or in place of a part of a valid contract.
    #[test]
    fn arbitrary_bytes_never_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..64),
        start in 0..VALID.len(),
        length in 0..64usize,
    ) {
        let _ = from_bytes("a.yaml", &bytes);
        let mut text = VALID.as_bytes().to_vec();
        let end = (start + length).min(text.len());
        text.splice(start..end, bytes);
        if let Err(err) = from_bytes("a.yaml", &text) {
            prop_assert!(!err.problems.is_empty());
        }
    }
}
