//! Calls to other services, as a backend server makes them through its node.

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

/// Time within which a connection to the node must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a next call when the call has no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Header fields that go on to the next call as they are.
const PROPAGATED: [&str; 7] = [
    header::CUSTOMER,
    header::RANK,
    header::RETRY_BUDGET,
    header::CALL_ID,
    header::WORK_MS,
    header::VIA,
    header::NAIVE_RETRIES,
];

/// Client for next calls.
#[derive(Debug)]
pub(crate) struct Next {
    http: Client<HttpConnector, Full<Bytes>>,
}

/// A next call, taken from the list in the request.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    url: Box<str>,
    method: Method,
    rest: Box<str>,
    retries: u32,
}

/// Returns the next call that a request asks for, if any.
pub(crate) fn plan(headers: &HeaderMap, own_via: Option<&str>) -> Option<Plan> {
    let via = own_via.or_else(|| text(headers, header::VIA))?;
    let list = text(headers, header::NEXT)?;
    let (first, rest) = list.split_once(',').unwrap_or((list, ""));
    let first = first.trim();
    if first.is_empty() {
        return None;
    }
    let (method, path) = first.split_once(' ').unwrap_or(("GET", first));
    let retries = text(headers, header::NAIVE_RETRIES).and_then(|n| n.parse().ok());
    Some(Plan {
        url: format!("http://{via}{path}").into(),
        method: method.parse().ok()?,
        rest: rest.trim().into(),
        retries: retries.unwrap_or(0),
    })
}

/// Returns the text of a header field.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

impl Next {
    pub(crate) fn new() -> Next {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        Next { http }
    }

    /// Makes the next call and returns its status, or nothing if there is no whole answer.
    ///
    /// `time_left` returns the time left for the call, if it has a deadline.
    pub(crate) async fn call(
        &self,
        plan: &Plan,
        headers: &HeaderMap,
        body: &Bytes,
        time_left: impl Fn() -> Option<Duration>,
        count: impl Fn(),
    ) -> Option<StatusCode> {
        let key = Uuid::now_v7();
        let mut status = None;
        for _ in 0..=plan.retries {
            let left = time_left();
            if left.is_some_and(|left| left.is_zero()) {
                return status;
            }
            count();
            let req = request(plan, headers, body, left, key)?;
            let timeout = left.unwrap_or(DEFAULT_TIMEOUT);
            let answer = tokio::time::timeout(timeout, self.exchange(req)).await;
            status = answer.ok().flatten();
            if status.is_some_and(|status| status.is_success()) {
                return status;
            }
        }
        status
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Option<StatusCode> {
        let res = self.http.request(req).await.ok()?;
        let status = res.status();
        let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES);
        body.collect().await.ok()?;
        Some(status)
    }
}

fn request(
    plan: &Plan,
    headers: &HeaderMap,
    body: &Bytes,
    left: Option<Duration>,
    key: Uuid,
) -> Option<Request<Full<Bytes>>> {
    let mut req = Request::builder().method(&plan.method).uri(&*plan.url);
    for name in PROPAGATED {
        if let Some(value) = headers.get(name) {
            req = req.header(name, value);
        }
    }
    let depth = text(headers, header::DEPTH).and_then(|depth| depth.parse::<u32>().ok());
    req = req.header(header::DEPTH, depth.unwrap_or(0) + 1);
    if let Some(left) = left {
        req = req.header(header::DEADLINE_MS, left.as_millis().to_string());
    }
    if !plan.rest.is_empty() {
        req = req.header(header::NEXT, &*plan.rest);
    }
    if plan.method == Method::GET {
        return req.body(Full::default()).ok();
    }
    req = req.header(header::IDEMPOTENCY_KEY, key.to_string());
    req.body(Full::new(body.clone())).ok()
}
