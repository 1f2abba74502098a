//! Handling of a call, from its arrival to its answer.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::stream;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Limited;
use serde::Serialize;
use viz::Body;
use viz::IntoResponse;
use viz::Request;
use viz::Response;

use crate::answer::Answer;
use crate::answer::body_hash;
use crate::connection::Connection;
use crate::downstream;
use crate::downstream::header_text;
use crate::handle::Handle;
use crate::header;
use crate::state::Admission;

/// A call that runs. Dropping it before [`Run::finish`] records it as stopped.
struct Run<'a> {
    handle: &'a Handle,
    key: Option<&'a str>,
    generation: u64,
    /// Whether the end is recorded already.
    ended: bool,
}

impl Run<'_> {
    /// Records that the run finished; returns false if a crash ended it before.
    fn finish(mut self) -> bool {
        self.ended = true;
        let now = self.handle.now();
        self.handle.state().finish(now, self.generation, self.key)
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let now = self.handle.now();
        self.handle.state().stop(now, self.generation, self.key);
    }
}

/// Body of the answer to a call that was refused or whose deadline passed.
#[derive(Serialize)]
struct ErrorBody<'a> {
    instance: &'a str,
    error: &'a str,
}

/// Serves one call within its deadline, if it has one.
pub(crate) async fn serve(handle: &Handle, mut req: Request) -> Response {
    let arrived = Instant::now();
    let connection = req.extensions().get::<Option<Connection>>().cloned();
    let body = std::mem::replace(req.body_mut(), Body::Empty);
    let max_body_bytes = handle.state().settings.max_body_bytes;
    let Ok(body) = Limited::new(body, max_body_bytes).collect().await else {
        return error_response(handle, StatusCode::PAYLOAD_TOO_LARGE, "body too large");
    };
    let body = body.to_bytes();
    let (parts, _) = req.into_parts();
    handle.state().counters.calls += 1;
    let timeout = header_number(&parts.headers, header::DEADLINE_MS).map(Duration::from_millis);
    if timeout.is_some_and(|timeout| timeout <= arrived.elapsed()) {
        return expired(handle);
    }
    let run = run(handle, &parts, &body, arrived, timeout);
    let result = match timeout {
        Some(timeout) => tokio::time::timeout_at((arrived + timeout).into(), run).await,
        None => Ok(run.await),
    };
    match result {
        Ok(Ok(answer)) => deliver(handle, answer, connection.flatten()).await,
        Ok(Err(refusal)) => refusal,
        Err(_) => expired(handle),
    }
}

/// Runs a call and its downstream call; the error is the answer to a call that was refused.
///
/// `timeout` counts from `arrived`.
async fn run(
    handle: &Handle,
    parts: &http::request::Parts,
    body: &Bytes,
    arrived: Instant,
    timeout: Option<Duration>,
) -> Result<Answer, Response> {
    let headers = &parts.headers;
    let path = parts.uri.path();
    let key = header_text(headers, header::IDEMPOTENCY_KEY);
    let (admission, node_address, instance) = {
        let mut state = handle.state();
        let default_ms = state.settings.path_work_ms(path);
        let work_ms = header_number(headers, header::WORK_MS).unwrap_or(default_ms);
        let admission = state.admit(handle.now(), work_ms, key);
        let node_address = state.faults.via.clone();
        (admission, node_address, state.settings.instance.clone())
    };
    let (service_time, generation) = match admission {
        Admission::Run {
            service_time,
            generation,
        } => (service_time, generation),
        // The connection is about to be closed, which drops this future.
        Admission::Down => return std::future::pending().await,
        Admission::Shed => return Err(shed(handle, headers)),
        Admission::FailFast => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Err(error_response(handle, status, "failing fast"));
        }
    };
    let run = Run {
        handle,
        key,
        generation,
        ended: false,
    };
    if header_text(headers, header::POISON) == Some("1") {
        handle.crash();
        // The crash closes this connection, which drops this future.
        return std::future::pending().await;
    }
    if !service_time.is_zero() {
        tokio::time::sleep(service_time).await;
    }
    let mut next_status = None;
    if let Some(call) = downstream::requested_call(headers, node_address.as_deref()) {
        let remaining_time = || timeout.map(|timeout| timeout.saturating_sub(arrived.elapsed()));
        let count_request = || handle.state().counters.next_calls += 1;
        let status = handle
            .downstream()
            .call(&call, headers, body, remaining_time, count_request)
            .await;
        next_status = Some(status.map_or(0, |status| status.as_u16()));
    }
    if !run.finish() {
        // The crash closed this connection, which drops this future.
        return std::future::pending().await;
    }
    Ok(Answer {
        instance,
        call_id: header_text(headers, header::CALL_ID).map(Into::into),
        method: parts.method.as_str().into(),
        path: path.into(),
        body_bytes: body.len() as u64,
        body_hash: body_hash(body),
        work_us: service_time.as_micros() as u64,
        next_status,
    })
}

/// Sends the answer to a call that ran, subject to the injected faults.
async fn deliver(handle: &Handle, answer: Answer, connection: Option<Connection>) -> Response {
    let delivery = handle.state().plan_delivery(&answer);
    if !delivery.delay.is_zero() {
        tokio::time::sleep(delivery.delay).await;
    }
    if delivery.lost {
        if let Some(connection) = connection {
            connection.close();
        }
        return std::future::pending().await;
    }
    let answer = delivery.crossed.unwrap_or(answer);
    let downstream_failed = answer
        .next_status
        .is_some_and(|status| !(200..300).contains(&status));
    let status = match downstream_failed {
        true => StatusCode::BAD_GATEWAY,
        false => StatusCode::OK,
    };
    let mut res = json(handle, status, &answer, delivery.truncated);
    if let Some(Ok(id)) = answer.call_id.as_deref().map(HeaderValue::from_str) {
        res.headers_mut().insert(header::CALL_ID, id);
    }
    res
}

/// Returns an answer with a JSON body and the reported load.
///
/// A truncated body is half as long as its content-length and ends with an error, which closes the
/// connection.
fn json(handle: &Handle, status: StatusCode, value: &impl Serialize, truncated: bool) -> Response {
    let data = Bytes::from(
        serde_json::to_vec(value).expect("answers have no map keys that JSON cannot represent"),
    );
    let length = data.len();
    let mut res = match truncated {
        true => {
            let first_half = Ok(data.slice(..length / 2));
            let error = Err(std::io::Error::other("the answer ends early on purpose"));
            Response::new(Body::from_stream(stream::iter([first_half, error])))
        }
        false => data.into_response(),
    };
    *res.status_mut() = status;
    let load = handle.load().running;
    let headers = res.headers_mut();
    headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(header::LOAD, HeaderValue::from(load));
    res
}

fn error_response(handle: &Handle, status: StatusCode, error: &str) -> Response {
    let instance = handle.state().settings.instance.clone();
    let body = ErrorBody {
        instance: &instance,
        error,
    };
    json(handle, status, &body, false)
}

fn shed(handle: &Handle, call_headers: &HeaderMap) -> Response {
    let mut res = error_response(handle, StatusCode::SERVICE_UNAVAILABLE, "no free slot");
    let headers = res.headers_mut();
    headers.insert(header::SHED, HeaderValue::from_static("1"));
    if let Some(id) = call_headers.get(header::CALL_ID) {
        headers.insert(header::CALL_ID, id.clone());
    }
    res
}

fn expired(handle: &Handle) -> Response {
    handle.state().counters.expired += 1;
    error_response(handle, StatusCode::GATEWAY_TIMEOUT, "deadline exceeded")
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}
