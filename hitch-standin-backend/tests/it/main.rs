//! Tests of the simulated backend server over HTTP.
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

/// An answer that a test received.
#[derive(Debug)]
pub struct Received {
    /// Status of the answer.
    pub status: u16,
    /// Header fields of the answer.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Received {
    /// Decodes the body of the answer to a call that ran.
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

/// Makes a call with `POST /fees` on a new connection.
pub async fn call(
    address: SocketAddr,
    headers: &[(&str, &str)],
    body: &'static str,
) -> Result<Received, Box<dyn std::error::Error + Send + Sync>> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut req = Request::post(format!("http://{address}/fees"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let res = client.request(req.body(Full::from(body))?).await?;
    let (parts, body) = res.into_parts();
    Ok(Received {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: body.collect().await?.to_bytes(),
    })
}

/// Waits until `condition` is true; panics after 5 s.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < Duration::from_secs(5),
            "the condition was not true within 5 s"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
