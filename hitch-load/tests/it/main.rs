//! Tests of the load generator against the stand-in backend server.
mod compare;
mod engine;
mod plan;
mod schedule;

use std::net::SocketAddr;

use hitch_load::Plan;
use hitch_standin_backend::Handle;
use hitch_standin_backend::Settings;
use hitch_standin_backend::serve;
use tokio::net::TcpListener;

/// Starts a stand-in backend server on a free port.
pub async fn start(settings: Settings) -> (Handle, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handle = Handle::new(settings);
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    tokio::spawn(serve(listener, handle.clone(), logger));
    (handle, address)
}

/// Returns a plan with one stream `a` and one target; `stream` and `rest` are additional fields of
/// the stream and of the plan in YAML flow style.
pub fn plan(address: &str, duration_ms: u64, stream: &str, rest: &str) -> Plan {
    let text = format!(
        "{{ targets: ['{address}'], direct: ['{address}'], duration_ms: {duration_ms}, arrivals: even, streams: [{{ name: a, customer: c, rank: r, method: POST, path: /fees, body_bytes: 32, {stream} }}], {rest} }}"
    );
    hitch_load::plan::from_str("plan.yaml", &text).unwrap()
}
