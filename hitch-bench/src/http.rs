//! Bounded requests to the processes of a deployment.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::error::Error;

/// Time within which a request must be answered.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A client for admin listeners and stand-ins.
#[derive(Debug, Clone)]
pub(crate) struct Http {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Http {
    pub(crate) fn new() -> Http {
        Http {
            inner: legacy::Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Gets a JSON value.
    pub(crate) async fn get(&self, peer: SocketAddr, path: &str) -> Result<Value, Error> {
        let body = self.send(Method::GET, peer, path, Bytes::new()).await?;
        decode(peer, path, &body)
    }

    /// Returns whether the answer to a request has a status 2xx.
    pub(crate) async fn is_ok(&self, peer: SocketAddr, path: &str) -> bool {
        self.send(Method::GET, peer, path, Bytes::new())
            .await
            .is_ok()
    }

    /// Posts a JSON value and returns the answer.
    pub(crate) async fn post(
        &self,
        peer: SocketAddr,
        path: &str,
        value: &Value,
    ) -> Result<Value, Error> {
        let body = Bytes::from(value.to_string());
        let body = self.send(Method::POST, peer, path, body).await?;
        decode(peer, path, &body)
    }

    /// Sets faults of a stand-in.
    pub(crate) async fn control(&self, peer: SocketAddr, faults: &Value) -> Result<(), Error> {
        let body = Bytes::from(faults.to_string());
        self.send(Method::POST, peer, "/control", body).await?;
        Ok(())
    }

    async fn send(
        &self,
        method: Method,
        peer: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, Error> {
        let exchange = self.exchange(method, peer, path, body);
        let result = match tokio::time::timeout(TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(format!("no answer within {TIMEOUT:?}").into()),
        };
        result.map_err(|detail| Error::Ask {
            peer: format!("{peer}{path}").into(),
            detail,
        })
    }

    async fn exchange(
        &self,
        method: Method,
        peer: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, Box<str>> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{peer}{path}"))
            .body(Full::new(body))
            .map_err(|err| err.to_string())?;
        let res = self.inner.request(req).await;
        let res = res.map_err(|err| err.to_string())?;
        let status = res.status();
        let body = res.into_body().collect().await;
        let body = body.map_err(|err| err.to_string())?.to_bytes();
        match status.is_success() {
            true => Ok(body),
            false => Err(format!("status {status}").into()),
        }
    }
}

fn decode(peer: SocketAddr, path: &str, body: &[u8]) -> Result<Value, Error> {
    serde_json::from_slice(body).map_err(|err| Error::Ask {
        peer: format!("{peer}{path}").into(),
        detail: err.to_string().into(),
    })
}
