//! Tests of the way from a request's identity to its cause, on lines that were recorded on days of the users' bench.

use hitch_ctl::explain;

const RECORDED: &str = include_str!("recorded.log");

fn messages(id: &str) -> Vec<String> {
    let outcome = explain::from_lines(RECORDED.lines(), id);
    let lines = outcome.lines.iter().filter(|line| line.of_request);
    lines
        .map(|line| {
            let reason = line.fields.get("reason").and_then(|r| r.as_str());
            format!("{}: {}", line.message, reason.unwrap_or_default())
        })
        .collect()
}

/// Guards against a refused fee in a flood whose refusals at the single nodes cannot be told.
#[test]
fn refused_fee_shows_the_full_queues_that_it_met() {
    assert_eq!(
        messages("bcf1caeaab75d1b2"),
        [
            "backend: call not run: it would be answered late, and others would not",
            "backend: call not run: it would be answered after its deadline",
            "arrival: refused: it would be answered after its deadline",
        ]
    );
    let outcome = explain::from_lines(RECORDED.lines(), "bcf1caeaab75d1b2");
    let second = outcome.lines.iter().filter(|line| line.of_request).nth(1);
    assert_eq!(second.unwrap().fields["queued"], 18);
}

/// Guards against a claim with an unknown outcome that does not name the backend server which had it.
#[test]
fn unknown_claim_names_the_backend_server_that_had_it() {
    assert_eq!(
        messages("5655cc362c12e431"),
        [
            "backend: call unknown: the backend server closed the connection",
            "arrival: unknown: the backend server closed the connection",
        ]
    );
    let text = explain::from_lines(RECORDED.lines(), "5655cc362c12e431").to_string();
    assert!(text.contains("i-abf574aa55"), "{text}");
}

/// Guards against an answer of an earlier configuration that cannot be told from one of the present.
#[test]
fn enquiry_served_by_an_earlier_version_shows_when_the_newer_one_came() {
    let outcome = explain::from_lines(RECORDED.lines(), "c55132cd2ae52f71");
    assert_eq!(&*outcome.lines[0].message, "config: in force");
    assert_eq!(outcome.lines[0].fields["version"], 6);
    let last = outcome.lines.last().unwrap();
    assert_eq!(&*last.message, "arrival: served by an earlier version");
    assert_eq!(last.fields["version"], 4);
}

/// Guards against clocks that disagree: the outcome comes last, and the lines of one node stay in their order.
#[test]
fn outcome_comes_last_though_its_clock_is_behind() {
    let lines = [
        r#"{"msg":"arrival: refused","ts":"2026-01-01T00:00:00.1Z","instance":"a","request":"r"}"#,
        r#"{"msg":"backend: call not run","ts":"2026-01-01T00:00:00.9Z","instance":"b","request":"r"}"#,
        r#"{"msg":"config: in force","ts":"2026-01-01T00:00:09.9Z","instance":"b"}"#,
        r#"prefix {"msg":"backend: call not run","ts":"2026-01-01T00:00:00.9Z","instance":"b","request":"q"}"#,
        r#"{"msg": cut"#,
    ];
    let outcome = explain::from_lines(lines, "r");
    let messages: Vec<&str> = outcome.lines.iter().map(|l| &*l.message).collect();
    assert_eq!(messages, ["backend: call not run", "arrival: refused"]);
    assert_eq!(outcome.unreadable, 1);
}
