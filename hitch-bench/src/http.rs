//! HTTP requests with a timeout to the processes of a deployment.

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

/// Timeout for a request, including its answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client for the admin listeners of nodes and for the stand-in processes.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    pub(crate) fn new() -> HttpClient {
        HttpClient {
            inner: legacy::Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends a GET request and returns the JSON value of the answer.
    pub(crate) async fn get(&self, address: SocketAddr, path: &str) -> Result<Value, Error> {
        let body = self.send(Method::GET, address, path, Bytes::new()).await?;
        decode(address, path, &body)
    }

    /// Returns whether a GET request is answered with status 2xx.
    pub(crate) async fn is_ok(&self, address: SocketAddr, path: &str) -> bool {
        self.send(Method::GET, address, path, Bytes::new())
            .await
            .is_ok()
    }

    /// Sends a JSON value in a POST request and returns the JSON value of the answer.
    pub(crate) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        value: &Value,
    ) -> Result<Value, Error> {
        let body = Bytes::from(value.to_string());
        let body = self.send(Method::POST, address, path, body).await?;
        decode(address, path, &body)
    }

    /// Sets the faults that a stand-in process injects.
    pub(crate) async fn control(&self, address: SocketAddr, faults: &Value) -> Result<(), Error> {
        let body = Bytes::from(faults.to_string());
        self.send(Method::POST, address, "/control", body).await?;
        Ok(())
    }

    async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, Error> {
        let exchange = self.exchange(method, address, path, body);
        let result = match tokio::time::timeout(TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(format!("no answer within {TIMEOUT:?}").into()),
        };
        result.map_err(|detail| Error::Request {
            target: format!("{address}{path}").into(),
            detail,
        })
    }

    async fn exchange(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, Box<str>> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
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

fn decode(address: SocketAddr, path: &str, body: &[u8]) -> Result<Value, Error> {
    serde_json::from_slice(body).map_err(|err| Error::Request {
        target: format!("{address}{path}").into(),
        detail: err.to_string().into(),
    })
}
