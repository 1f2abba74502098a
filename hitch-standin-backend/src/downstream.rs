//! Downstream calls: calls to other services that the backend server makes through its node.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use uuid::Uuid;

use crate::header;

/// Timeout for opening a connection to the node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of an attempt at a downstream call if the call above it has no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of an answer body, in bytes; a larger one counts as incomplete.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Header fields that are copied unchanged to the downstream call.
const PROPAGATED_HEADERS: [&str; 7] = [
    header::CUSTOMER,
    header::RANK,
    header::RETRY_BUDGET,
    header::CALL_ID,
    header::WORK_MS,
    header::VIA,
    header::NAIVE_RETRIES,
];

/// HTTP client for downstream calls.
#[derive(Debug)]
pub(crate) struct DownstreamClient {
    http: Client<HttpConnector, Full<Bytes>>,
}

/// A downstream call, parsed from the list in the request.
#[derive(Debug, Clone)]
pub(crate) struct DownstreamCall {
    url: Box<str>,
    method: Method,
    /// Calls further down the chain, as a comma-separated list that the downstream call carries.
    further_calls: Box<str>,
    /// Maximum number of retries.
    retries: u32,
}

/// Returns the downstream call that a request asks for, if any.
///
/// It is sent to `node_address`, or to the address in the request if there is none.
pub(crate) fn requested_call(
    headers: &HeaderMap,
    node_address: Option<&str>,
) -> Option<DownstreamCall> {
    let address = node_address.or_else(|| header_text(headers, header::VIA))?;
    let list = header_text(headers, header::NEXT)?;
    let (first, further_calls) = list.split_once(',').unwrap_or((list, ""));
    let first = first.trim();
    if first.is_empty() {
        return None;
    }
    let (method, path) = first.split_once(' ').unwrap_or(("GET", first));
    let retries = header_text(headers, header::NAIVE_RETRIES).and_then(|n| n.parse().ok());
    Some(DownstreamCall {
        url: format!("http://{address}{path}").into(),
        method: method.parse().ok()?,
        further_calls: further_calls.trim().into(),
        retries: retries.unwrap_or(0),
    })
}

/// Returns the value of a header field, or `None` if it is absent or not visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl DownstreamClient {
    pub(crate) fn new() -> DownstreamClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        DownstreamClient { http }
    }

    /// Makes a downstream call and retries it until it succeeds, its retries are used up or its
    /// deadline has passed. All attempts carry the same idempotency key.
    ///
    /// Returns the status of the last attempt, or `None` if that got no complete answer.
    /// `remaining_time` returns the remaining time until the deadline, if there is one;
    /// `count_request` is called before each attempt.
    pub(crate) async fn call(
        &self,
        call: &DownstreamCall,
        headers: &HeaderMap,
        body: &Bytes,
        remaining_time: impl Fn() -> Option<Duration>,
        count_request: impl Fn(),
    ) -> Option<StatusCode> {
        let key = Uuid::now_v7();
        let mut status = None;
        for _ in 0..=call.retries {
            let remaining = remaining_time();
            if remaining.is_some_and(|remaining| remaining.is_zero()) {
                return status;
            }
            count_request();
            let req = request(call, headers, body, remaining, key)?;
            let timeout = remaining.unwrap_or(DEFAULT_TIMEOUT);
            let answer = tokio::time::timeout(timeout, self.send(req)).await;
            status = answer.ok().flatten();
            if status.is_some_and(|status| status.is_success()) {
                return status;
            }
        }
        status
    }

    /// Sends a request and returns the status of the answer, or `None` if it is incomplete.
    async fn send(&self, req: Request<Full<Bytes>>) -> Option<StatusCode> {
        let res = self.http.request(req).await.ok()?;
        let status = res.status();
        let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES);
        body.collect().await.ok()?;
        Some(status)
    }
}

/// Builds the request of an attempt; returns `None` if its URL or a header field is invalid.
fn request(
    call: &DownstreamCall,
    headers: &HeaderMap,
    body: &Bytes,
    remaining: Option<Duration>,
    key: Uuid,
) -> Option<Request<Full<Bytes>>> {
    let mut req = Request::builder().method(&call.method).uri(&*call.url);
    for name in PROPAGATED_HEADERS {
        if let Some(value) = headers.get(name) {
            req = req.header(name, value);
        }
    }
    let depth = header_text(headers, header::DEPTH).and_then(|depth| depth.parse::<u32>().ok());
    req = req.header(header::DEPTH, depth.unwrap_or(0) + 1);
    if let Some(remaining) = remaining {
        req = req.header(header::DEADLINE_MS, remaining.as_millis().to_string());
    }
    if !call.further_calls.is_empty() {
        req = req.header(header::NEXT, &*call.further_calls);
    }
    if call.method == Method::GET {
        return req.body(Full::default()).ok();
    }
    req = req.header(header::IDEMPOTENCY_KEY, key.to_string());
    req.body(Full::new(body.clone())).ok()
}
