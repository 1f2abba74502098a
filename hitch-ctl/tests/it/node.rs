//! A fake node whose admin listener answers `GET /status` and `GET /events`.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;

/// A running fake node. It runs until the test ends.
pub(crate) struct FakeNode {
    pub(crate) admin: SocketAddr,
    status: Arc<Mutex<Value>>,
}

impl FakeNode {
    /// Starts a node that reports `version` as known and in force and returns `events` as its events.
    pub(crate) async fn start(instance: &str, version: u64, events: &'static str) -> FakeNode {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let admin = listener.local_addr().unwrap();
        let status = json!({
            "instance": instance, "region": "nl-west", "zone": "nl-west-a", "state": "ready",
            "ready": true, "not_ready_reason": null, "version_in_force": version,
            "version_known": version, "next_offset": version, "state_hash": "0000000000000007",
            "confirmed_age_ms": 5, "in_force_at_ms": 9, "service": "a", "customer": "a",
            "contracts": [], "inactive_routes": [], "members": [], "later_field": 1
        });
        let status = Arc::new(Mutex::new(status));
        tokio::spawn(accept(listener, status.clone(), events));
        FakeNode { admin, status }
    }

    /// Sets a field of the status.
    pub(crate) fn set(&self, field: &str, value: Value) {
        self.status.lock().unwrap()[field] = value;
    }

    /// Returns this node as an entry in the member list of another node's status, in `state`.
    pub(crate) fn as_member(&self, state: &str) -> Value {
        let status = self.status.lock().unwrap();
        json!({
            "instance": status["instance"], "zone": "nl-west-a", "service": "a", "state": state,
            "admin": self.admin.to_string(), "address": "", "version_in_force": 0
        })
    }
}

async fn accept(listener: TcpListener, status: Arc<Mutex<Value>>, events: &'static str) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let status = status.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let body = match req.uri().path() {
                "/status" => status.lock().unwrap().to_string(),
                _ => events.to_owned(),
            };
            async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(body)))) }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}
