//! Tests of sending calls, classifying their answers and auditing the ledgers.

use hitch_load::Engine;
use hitch_load::Report;
use hitch_load::audit;
use hitch_load::record::PhaseStats;
use hitch_load::record::Recording;
use hitch_standin_backend::Control;
use hitch_standin_backend::Settings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::plan;
use crate::start;

/// Returns the counts of a recording with one stream and one phase.
fn only_stats(recording: &Recording) -> &PhaseStats {
    assert_eq!(recording.stats.len(), 1);
    recording.stats.values().next().unwrap()
}

/// Guards against calls that are offered but missing from the counts of outcomes and drops.
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
    let stats = only_stats(&recording);
    assert_eq!(stats.offered, 300);
    let sent_and_ended = stats.answered + stats.not_run + stats.unknown + stats.other + stats.wrong;
    assert_eq!(sent_and_ended + stats.dropped, stats.offered);
    assert!(stats.answered > 0 && stats.not_run > 0);
    assert_eq!(stats.answered, handle.ledger().finished);
    assert_eq!(stats.not_run, stats.reasons["shed"]);
    assert_eq!(stats.answered, stats.latency.len());
}

/// Guards against latency that excludes the time a call waits for a connection.
#[tokio::test(flavor = "multi_thread")]
async fn latency_counts_from_the_scheduled_time() {
    let (_handle, address) = start(Settings::default()).await;
    // One connection serves 50 calls per second; 100 per second are offered for half a second.
    let stream = "rate: 100, work_ms: 20, deadline_ms: 5000";
    let mut plan = plan(&address.to_string(), 500, stream, "");
    plan.connections = 1;
    let recording = Engine::direct(&plan).run(&plan).await.unwrap();
    let stats = only_stats(&recording);
    assert_eq!(stats.answered, 50);
    let report = Report::new(&plan, &plan.direct, &recording);
    let latency = report.rows[0].latency;
    assert!(latency.p99_us > 400_000, "p99 is {} us", latency.p99_us);
}

/// Guards against counting a call as answered when it received the answer to another call.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers_are_wrong() {
    let (handle, address) = start(Settings::default()).await;
    let plan = plan(&address.to_string(), 300, "rate: 100", "");
    // Without call ids, as through a node, answers are matched to calls by the body hash alone.
    for engine in [Engine::direct(&plan), Engine::to_nodes(&plan)] {
        handle.control(&Control {
            crossed_answers: Some(3),
            ..Control::default()
        });
        let recording = engine.run(&plan).await.unwrap();
        assert_eq!(only_stats(&recording).wrong, 3);
        assert_eq!(only_stats(&recording).answered, 27);
    }
}

/// Starts a server that sends `answer` once on each connection and then closes it.
async fn start_scripted_server(answer: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4096];
            // The head and the 32-byte body of a request may arrive in separate reads.
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

/// Guards against counting a failed call under an outcome other than the one its answer states.
#[tokio::test(flavor = "multi_thread")]
async fn failures_are_counted_by_their_outcome() {
    let not_run = "HTTP/1.1 503 X\r\ncontent-type: application/problem+json\r\nconnection: close\r\n\r\n{\"outcome\":\"not-run\",\"reason\":\"queue\"}";
    let unknown = "HTTP/1.1 502 X\r\ncontent-type: application/problem+json\r\nconnection: close\r\n\r\n{\"outcome\":\"unknown\",\"reason\":\"short\"}";
    let plain = "HTTP/1.1 500 X\r\nconnection: close\r\n\r\n";
    let mut counts = Vec::new();
    for answer in [not_run, unknown, plain, ""] {
        let plan = plan(&start_scripted_server(answer).await, 100, "rate: 50", "");
        let recording = Engine::to_nodes(&plan).run(&plan).await.unwrap();
        let stats = only_stats(&recording);
        let reason = stats.reasons.keys().next().unwrap().clone();
        counts.push((stats.not_run, stats.unknown, stats.other, reason));
    }
    let expected = [
        (5, 0, 0, "queue".into()),
        (0, 5, 0, "short".into()),
        (0, 0, 5, "status 500".into()),
        (0, 5, 0, "connection broken".into()),
    ];
    assert_eq!(counts, expected);
}

/// Guards against an audit that misses a duplicate execution. Without a node, the stand-in backend
/// server does not recognise a retry, so each lost answer leads to a second execution.
#[tokio::test(flavor = "multi_thread")]
async fn audit_finds_duplicate_executions() {
    let (handle, address) = start(Settings::default()).await;
    handle.control(&Control {
        lose_answers: Some(4),
        ..Control::default()
    });
    let stream = "rate: 100, keyed: true, resends: 1";
    let plan = plan(&address.to_string(), 300, stream, "");
    let recording = Engine::direct(&plan).run(&plan).await.unwrap();
    let stats = only_stats(&recording);
    assert_eq!((stats.answered, stats.attempts), (30, 34));
    let ledger = audit::fetch(&[address]).await.unwrap();
    let outcome = audit::compare(&recording.key_outcomes, &ledger);
    assert_eq!((outcome.keys, outcome.keys_run), (30, 30));
    assert_eq!(outcome.duplicates.count, 4);
    assert_eq!(outcome.false_not_run.count, 0);
    let empty = audit::compare(&recording.key_outcomes, &Default::default());
    assert_eq!(empty.answered_without_run.count, 30);
}

/// Guards against a report that counts the calls of a flood in another phase.
#[tokio::test(flavor = "multi_thread")]
async fn phases_are_reported_separately() {
    let (_handle, address) = start(Settings::default()).await;
    let floods = "warmup_ms: 100, floods: [{ name: flood, stream: a, from_ms: 200, until_ms: 300, factor: 5 }]";
    let plan = plan(&address.to_string(), 400, "rate: 100, work_ms: 1", floods);
    let recording = Engine::direct(&plan).run(&plan).await.unwrap();
    let report = Report::new(&plan, &plan.direct, &recording);
    let mut phases = Vec::new();
    for row in &report.rows {
        phases.push((&*row.phase, row.phase_ms));
    }
    assert_eq!(phases, [("base", 200), ("flood", 100), ("warmup", 100)]);
    assert!(report.rows[1].offered > 2 * report.rows[0].offered);
}
