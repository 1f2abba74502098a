//! Tests of the operators' interface, with the client of the operators' command.

use std::time::Duration;

use hitch_ctl::admin_client::AdminClient;
use hitch_event::Kind;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;

use crate::fleet::Behavior;
use crate::fleet::Node;
use crate::fleet::await_until;
use crate::fleet::fleet;

async fn metrics(node: &Node) -> String {
    let stream = tokio::net::TcpStream::connect(node.mesh.settings.admin).await;
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream.unwrap()))
        .await
        .unwrap();
    tokio::spawn(conn);
    let req = http::Request::get("/metrics").header("host", "node");
    let req = req.body(Empty::<bytes::Bytes>::new()).unwrap();
    let res = sender.send_request(req).await.unwrap();
    let body = res.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8(body.to_vec()).unwrap()
}

/// Guards against nodes of this kind that do not work with the operators' status and timeline commands.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_and_timeline_commands_work() {
    let (memory, nodes) = fleet(&["a", "b"]).await;
    memory.publish(2);
    for node in &nodes {
        await_until(|| node.mesh.version() == 2).await;
    }
    *nodes[0].server.behavior.lock().unwrap() = Behavior::Close;
    *nodes[1].server.behavior.lock().unwrap() = Behavior::Close;
    nodes[0].call("PUT", "/pay/7", "r-1").await.unwrap();
    let address = nodes[0].mesh.settings.admin;
    let (answers, members) = AdminClient::default().discover(&[address]).await;
    assert_eq!(answers.errors, []);
    let versions: Vec<u64> = members.present().map(|n| n.version_in_force).collect();
    assert_eq!(versions, [2, 2]);
    let status = &answers.responses[0].1;
    assert!(status.ready && status.backend_up, "{status:?}");
    let options = hitch_event::timeline::Options {
        call_id: Some("r-1".into()),
        ..Default::default()
    };
    let line = hitch_ctl::timeline::read(&AdminClient::default(), &[address], &options).await;
    assert_eq!(line.nodes, 2);
    let kinds: Vec<Kind> = line.events.iter().map(|event| event.kind).collect();
    assert_eq!(
        kinds,
        [Kind::Unknown, Kind::Unknown],
        "at the backend server, then at the entry"
    );
}

/// Guards against a drain request that the node does not act on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_request_drains_the_node() {
    let (_memory, nodes) = fleet(&["a"]).await;
    let stream = tokio::net::TcpStream::connect(nodes[0].mesh.settings.admin).await;
    let (mut sender, conn) = http1::handshake(TokioIo::new(stream.unwrap()))
        .await
        .unwrap();
    tokio::spawn(conn);
    let req = http::Request::post("/drain").header("host", "node");
    let req = req.body(Empty::<bytes::Bytes>::new()).unwrap();
    assert_eq!(sender.send_request(req).await.unwrap().status(), 202);
    await_until(|| nodes[0].mesh.is_draining()).await;
}

/// Guards against calls that count as in flight for good after their caller left or their deadline passed, which would
/// keep others from the backend server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn abandoned_calls_are_not_in_flight() {
    let (_memory, nodes) = fleet(&["a"]).await;
    *nodes[0].server.behavior.lock().unwrap() = Behavior::Answer(Duration::from_millis(900));
    for i in 0..3 {
        let id = format!("r-{i}");
        let call = nodes[0].call("GET", "/slow/7", &id);
        let ended = tokio::time::timeout(Duration::from_millis(200), call).await;
        assert!(ended.is_err());
    }
    let (status, _) = nodes[0].call("GET", "/read/7", "r-9").await.unwrap();
    assert!(matches!(status, 502..=504), "{status}");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let text = metrics(&nodes[0]).await;
    assert!(
        text.contains("hitch_under_way{service=\"ledger\"} 0"),
        "{text}"
    );
    for name in ["config_age_seconds", "repeats_left", "step=\"hand-over\""] {
        assert!(text.contains(name), "{name}: {text}");
    }
}
