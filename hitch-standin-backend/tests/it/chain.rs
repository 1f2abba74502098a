//! Tests of chains of downstream calls.

use hitch_standin_backend::Control;
use hitch_standin_backend::Settings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::call;
use crate::start;

/// Guards against chains of downstream calls that end early, lose the idempotency key of a call or
/// run a call twice.
#[tokio::test]
async fn chain_of_18_calls_runs_completely() {
    let (handle, address) = start(Settings {
        slots: 20,
        ..Settings::default()
    })
    .await;
    let via = address.to_string();
    let next = vec!["POST /fees"; 17].join(",");
    let headers = [
        ("x-hitch-via", via.as_str()),
        ("x-hitch-next", &next),
        ("x-hitch-work-ms", "1"),
        ("x-hitch-deadline-ms", "5000"),
    ];
    let received = call(address, &headers, "body").await.unwrap();
    assert_eq!(received.status, 200);
    assert_eq!(handle.ledger().finished, 18);
    assert_eq!(handle.ledger().keys.len(), 17);
    assert_eq!(handle.ledger().duplicates(), 0);
}

/// Guards against a failure of the last backend server in a chain that the ones above it hide.
#[tokio::test]
async fn answer_reports_failed_downstream_call() {
    let (_first, address) = start(Settings::default()).await;
    let (last, last_address) = start(Settings::default()).await;
    last.control(&Control {
        fail_fast: Some(true),
        ..Control::default()
    });
    let via = last_address.to_string();
    let headers = [
        ("x-hitch-via", via.as_str()),
        ("x-hitch-next", "/a"),
        ("x-hitch-naive-retries", "2"),
    ];
    let received = call(address, &headers, "").await.unwrap();
    assert_eq!(received.status, 502);
    assert_eq!(received.answer().next_status, Some(500));
    assert_eq!(last.counters().failed_fast, 3);
}

/// Guards against header fields that are lost or wrong in a downstream call, such as a depth that
/// is not incremented or a deadline that is not reduced.
#[tokio::test]
async fn header_fields_are_propagated_downstream() {
    let node = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let via = node.local_addr().unwrap().to_string();
    let (_handle, address) = start(Settings::default()).await;
    let headers = [
        ("x-hitch-via", via.as_str()),
        ("x-hitch-next", "/a, GET /b"),
        ("x-hitch-customer", "association"),
        ("x-hitch-rank", "fee"),
        ("x-hitch-deadline-ms", "1000"),
        ("x-hitch-depth", "3"),
        ("x-hitch-retry-budget", "100"),
        ("x-hitch-call-id", "c7"),
        ("x-hitch-work-ms", "50"),
    ];
    let caller = call(address, &headers, "");
    let server = async {
        let (mut socket, _) = node.accept().await.unwrap();
        let mut head = vec![0; 4096];
        let n = socket.read(&mut head).await.unwrap();
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        socket.write_all(answer).await.unwrap();
        String::from_utf8(head[..n].to_vec()).unwrap()
    };
    let (received, head) = tokio::join!(caller, server);
    assert_eq!(received.unwrap().status, 200);
    assert!(head.starts_with("GET /a HTTP/1.1"), "{head}");
    for field in [
        "x-hitch-customer: association",
        "x-hitch-rank: fee",
        "x-hitch-depth: 4",
        "x-hitch-retry-budget: 100",
        "x-hitch-call-id: c7",
        "x-hitch-next: GET /b",
    ] {
        assert!(
            head.contains(field),
            "{field:?} is missing from the request: {head}"
        );
    }
    let remaining_ms = head.split("x-hitch-deadline-ms: ").nth(1).unwrap();
    let remaining_ms: u64 = remaining_ms.lines().next().unwrap().parse().unwrap();
    assert!(
        remaining_ms > 500 && remaining_ms <= 950,
        "{remaining_ms} ms remain"
    );
}
