//! One bounded request to the admin listener of a node.

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

/// Largest answer; the status of a node in a fleet of 5,600 takes about 1 MiB.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A client for admin listeners.
#[derive(Debug, Clone)]
pub(crate) struct Http {
    inner: legacy::Client<HttpConnector, Empty<Bytes>>,
}

impl Default for Http {
    fn default() -> Http {
        Http {
            inner: legacy::Client::builder(TokioExecutor::new()).build_http(),
        }
    }
}

impl Http {
    /// Gets the whole body at `path` within `timeout`, or says why there is none.
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
            .map_err(|err| chain(&err))?;
        let res = self.inner.request(req).await.map_err(|err| chain(&err))?;
        let status = res.status();
        if !status.is_success() {
            return Err(format!("status {status}").into());
        }
        let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(|err| chain(&*err))?;
        Ok(body.to_bytes())
    }
}

/// Joins an error with its causes, because the client's own errors name only their kind.
fn chain(err: &dyn std::error::Error) -> Box<str> {
    let mut text = err.to_string();
    let mut cause = err.source();
    while let Some(err) = cause {
        text.push_str(&format!(": {err}"));
        cause = err.source();
    }
    text.into()
}
