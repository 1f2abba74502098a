//! HTTP client for the admin listeners of nodes, with a timeout and a size limit for each request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::Request;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Limit for the body of a response. The status of a node in a fleet of 5,600 takes about 1 MiB.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// An HTTP client for admin listeners.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    inner: legacy::Client<HttpConnector, Empty<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient {
            inner: legacy::Client::builder(TokioExecutor::new()).build_http(),
        }
    }
}

impl HttpClient {
    /// Sends a GET request for `path` and returns the whole body. The error is a message that says why there is none,
    /// such as an expired `timeout`.
    pub(crate) async fn get(
        &self,
        peer: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<Bytes, Box<str>> {
        match tokio::time::timeout(timeout, self.exchange(peer, path)).await {
            Ok(result) => result,
            Err(_) => Err(format!("no answer within {timeout:?}").into()),
        }
    }

    async fn exchange(&self, peer: SocketAddr, path: &str) -> Result<Bytes, Box<str>> {
        let req = Request::get(format!("http://{peer}{path}"))
            .body(Empty::new())
            .map_err(|err| error_chain(&err))?;
        let res = self
            .inner
            .request(req)
            .await
            .map_err(|err| error_chain(&err))?;
        let status = res.status();
        if !status.is_success() {
            return Err(format!("status {status}").into());
        }
        let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.map_err(|err| error_chain(&*err))?;
        Ok(body.to_bytes())
    }
}

/// Returns an error and its sources as one message, because the client's own errors name only their kind.
fn error_chain(err: &dyn std::error::Error) -> Box<str> {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(err) = source {
        text.push_str(&format!(": {err}"));
        source = err.source();
    }
    text.into()
}
