//! Tests of sending, judging and the audit.

use hitch_load::Engine;
use hitch_load::Report;
use hitch_load::audit;
use hitch_load::record::Cell;
use hitch_load::record::Recording;
use hitch_standin_backend::Control;
use hitch_standin_backend::Settings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::plan;
use crate::start;

fn only(recording: &Recording) -> &Cell {
    assert_eq!(recording.cells.len(), 1);
    recording.cells.values().next().unwrap()
}

/// Guards against calls that are offered and then missing from every count.
#[tokio::test(flavor = "multi_thread")]
async fn every_call_ends_in_one_count() {
    let (handle, address) = start(Settings {
        slots: 2,
        ..Settings::default()
    })
    .await;
    let mut plan = plan(&address.to_string(), 600, "rate: 500, work_ms: 10", "");
    plan.in_flight = 8;
    let recording = Engine::direct(&plan).run(&plan).await.unwrap();
    let cell = only(&recording);
    assert_eq!(cell.offered, 300);
    let ended = cell.answered + cell.not_run + cell.unknown + cell.other + cell.wrong;
    assert_eq!(ended + cell.dropped, cell.offered);
    assert!(cell.answered > 0 && cell.not_run > 0);
    assert_eq!(cell.answered, handle.ledger().finished);
    assert_eq!(cell.not_run, cell.reasons["shed"]);
    assert_eq!(cell.answered, cell.latency.len());
}

/// Guards against latency that leaves out the time a call waits for its turn.
#[tokio::test(flavor = "multi_thread")]
async fn latency_counts_from_the_scheduled_time() {
    let (_handle, address) = start(Settings::default()).await;
    // One connection serves 50 calls a second; 100 a second are offered for half a second.
    let stream = "rate: 100, work_ms: 20, deadline_ms: 5000";
    let mut plan = plan(&address.to_string(), 500, stream, "");
    plan.connections = 1;
    let recording = Engine::direct(&plan).run(&plan).await.unwrap();
    let cell = only(&recording);
    assert_eq!(cell.answered, 50);
    let report = Report::new(&plan, &plan.direct, &recording);
    let latency = report.rows[0].latency;
    assert!(latency.p99_us > 400_000, "p99 is {} us", latency.p99_us);
}

/// Guards against the answer to another call that counts as an answer.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers_are_wrong() {
    let (handle, address) = start(Settings::default()).await;
    let plan = plan(&address.to_string(), 300, "rate: 100", "");
    // Without call ids, as through a node, only the hash of the body tells the answers apart.
    for engine in [Engine::direct(&plan), Engine::to_nodes(&plan)] {
        handle.control(&Control {
            crossed_answers: Some(3),
            ..Control::default()
        });
        let recording = engine.run(&plan).await.unwrap();
        assert_eq!(only(&recording).wrong, 3);
        assert_eq!(only(&recording).answered, 27);
    }
}

/// Answers every call on a connection of its own.
async fn scripted(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            // The head and the body of a call may arrive apart; its body has 32 bytes.
            let mut n = socket.read(&mut buf).await.unwrap();
            while !buf[..n].windows(4).any(|w| w == b"\r\n\r\n") || buf[..n].ends_with(b"\r\n\r\n")
            {
                n += socket.read(&mut buf[n..]).await.unwrap();
            }
            socket.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    address
}

/// Guards against refusals of a node that are counted as something else.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_counted_by_their_outcome() {
    let not_run = "HTTP/1.1 503 X\r\ncontent-type: application/problem+json\r\nconnection: close\r\n\r\n{\"outcome\":\"not-run\",\"reason\":\"queue\"}";
    let unknown = "HTTP/1.1 502 X\r\ncontent-type: application/problem+json\r\nconnection: close\r\n\r\n{\"outcome\":\"unknown\",\"reason\":\"short\"}";
    let plain = "HTTP/1.1 500 X\r\nconnection: close\r\n\r\n";
    let mut counts = Vec::new();
    for answer in [not_run, unknown, plain, ""] {
        let plan = plan(&scripted(answer).await, 100, "rate: 50", "");
        let recording = Engine::to_nodes(&plan).run(&plan).await.unwrap();
        let cell = only(&recording);
        let reason = cell.reasons.keys().next().unwrap().clone();
        counts.push((cell.not_run, cell.unknown, cell.other, reason));
    }
    let expected = [
        (5, 0, 0, "queue".into()),
        (0, 5, 0, "short".into()),
        (0, 0, 5, "status 500".into()),
        (0, 5, 0, "connection broken".into()),
    ];
    assert_eq!(counts, expected);
}

/// Guards against an audit that cannot find a duplicate run. The backend stand-in alone does not
/// recognise a resend, so each lost answer leads to one.
#[tokio::test(flavor = "multi_thread")]
async fn audit_finds_duplicate_runs() {
    let (handle, address) = start(Settings::default()).await;
    handle.control(&Control {
        lose_answers: Some(4),
        ..Control::default()
    });
    let stream = "rate: 100, keyed: true, resends: 1";
    let plan = plan(&address.to_string(), 300, stream, "");
    let recording = Engine::direct(&plan).run(&plan).await.unwrap();
    let cell = only(&recording);
    assert_eq!((cell.answered, cell.attempts), (30, 34));
    let ledger = audit::fetch(&[address]).await.unwrap();
    let outcome = audit::compare(&recording.key_outcomes, &ledger);
    assert_eq!((outcome.keys, outcome.keys_run), (30, 30));
    assert_eq!(outcome.duplicates.count, 4);
    assert_eq!(outcome.false_not_run.count, 0);
    let empty = audit::compare(&recording.key_outcomes, &Default::default());
    assert_eq!(empty.answered_without_run.count, 30);
}

/// Guards against phases that mix the calls of a flood with the others.
#[tokio::test(flavor = "multi_thread")]
async fn phases_are_reported_apart() {
    let (_handle, address) = start(Settings::default()).await;
    let floods = "warmup_ms: 100, floods: [{ name: flood, stream: a, from_ms: 200, until_ms: 300, factor: 5 }]";
    let plan = plan(&address.to_string(), 400, "rate: 100, work_ms: 1", floods);
    let recording = Engine::direct(&plan).run(&plan).await.unwrap();
    let report = Report::new(&plan, &plan.direct, &recording);
    let mut seen = Vec::new();
    for row in &report.rows {
        seen.push((&*row.phase, row.phase_ms));
    }
    assert_eq!(seen, [("base", 200), ("flood", 100), ("warmup", 100)]);
    assert!(report.rows[1].offered > 2 * report.rows[0].offered);
}
