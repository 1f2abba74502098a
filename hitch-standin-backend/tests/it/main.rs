//! Tests of the backend stand-in over HTTP.
mod chain;
mod faults;
mod run;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hitch_standin_backend::Answer;
use hitch_standin_backend::Handle;
use hitch_standin_backend::Settings;
use hitch_standin_backend::serve;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpListener;

/// Answer as a test sees it.
#[derive(Debug)]
pub struct Seen {
    /// Status of the answer.
    pub status: u16,
    /// Header fields of the answer.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Seen {
    /// Decodes the body.
    pub fn answer(&self) -> Answer {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// Starts a backend server on a free port.
pub async fn start(settings: Settings) -> (Handle, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handle = Handle::new(settings);
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    tokio::spawn(serve(listener, handle.clone(), logger));
    (handle, address)
}

/// Posts a call on a connection of its own.
pub async fn call(
    address: SocketAddr,
    headers: &[(&str, &str)],
    body: &'static str,
) -> Result<Seen, Box<dyn std::error::Error + Send + Sync>> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut req = Request::post(format!("http://{address}/fees"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let res = client.request(req.body(Full::from(body))?).await?;
    let (parts, body) = res.into_parts();
    Ok(Seen {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: body.collect().await?.to_bytes(),
    })
}

/// Waits until `done` holds, for at most 5 s.
pub async fn until(done: impl Fn() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < Duration::from_secs(5), "not within 5 s");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
