//! Tests that the log lines selected for a request explain its outcome, mostly on log lines recorded in benchmark runs.

use hitch_ctl::explain;

const RECORDED: &str = include_str!("recorded.log");

/// Returns the messages and reasons of the recorded lines that name the request `id`.
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

/// Guards against a refused call under overload whose refusals at the individual nodes are not shown.
#[test]
fn refused_call_shows_the_full_queues_on_its_path() {
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

/// Guards against a call with an unknown outcome whose backend server is not named.
#[test]
fn unknown_outcome_names_the_backend_server() {
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

/// Guards against an answer of an earlier configuration version that looks like one of the version in force.
#[test]
fn call_served_by_an_earlier_version_shows_when_the_newer_one_came_into_force() {
    let outcome = explain::from_lines(RECORDED.lines(), "c55132cd2ae52f71");
    assert_eq!(&*outcome.lines[0].message, "config: in force");
    assert_eq!(outcome.lines[0].fields["version"], 6);
    let last = outcome.lines.last().unwrap();
    assert_eq!(&*last.message, "arrival: served by an earlier version");
    assert_eq!(last.fields["version"], 4);
}

/// Guards against an outcome that is shown before its cause because the clocks of the nodes disagree. Lines without a
/// valid JSON object are counted, and those of other requests or outside the time window are left out.
#[test]
fn outcome_comes_last_when_its_clock_is_behind() {
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
