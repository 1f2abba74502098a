//! One call, from its admission to its answer.

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
use crate::handle::Handle;
use crate::header;
use crate::next;
use crate::next::text;
use crate::state::Admission;

/// A run in progress; dropping it before its end records that it was stopped.
struct Run<'a> {
    handle: &'a Handle,
    key: Option<&'a str>,
    generation: u64,
    ended: bool,
}

impl Run<'_> {
    /// Records the end; returns false if the process has crashed since the start.
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

#[derive(Serialize)]
struct Refusal<'a> {
    instance: &'a str,
    error: &'a str,
}

/// Serves one call.
pub(crate) async fn serve(handle: &Handle, mut req: Request) -> Response {
    let arrived = Instant::now();
    let connection = req.extensions().get::<Option<Connection>>().cloned();
    let body = std::mem::replace(req.body_mut(), Body::Empty);
    let max_body_bytes = handle.state().settings.max_body_bytes;
    let Ok(body) = Limited::new(body, max_body_bytes).collect().await else {
        return refuse(handle, StatusCode::PAYLOAD_TOO_LARGE, "body too large");
    };
    let body = body.to_bytes();
    let (parts, _) = req.into_parts();
    handle.state().counters.calls += 1;
    let limit = number(&parts.headers, header::DEADLINE_MS).map(Duration::from_millis);
    if limit.is_some_and(|limit| limit <= arrived.elapsed()) {
        return expired(handle);
    }
    let run = run(handle, &parts, &body, arrived, limit);
    let ran = match limit {
        Some(limit) => tokio::time::timeout_at((arrived + limit).into(), run).await,
        None => Ok(run.await),
    };
    match ran {
        Ok(Ok(answer)) => deliver(handle, answer, connection.flatten()).await,
        Ok(Err(refused)) => refused,
        Err(_) => expired(handle),
    }
}

/// Runs a call and its next call; an error is the answer to a call that did not run.
async fn run(
    handle: &Handle,
    parts: &http::request::Parts,
    body: &Bytes,
    arrived: Instant,
    limit: Option<Duration>,
) -> Result<Answer, Response> {
    let headers = &parts.headers;
    let path = parts.uri.path();
    let key = text(headers, header::IDEMPOTENCY_KEY);
    let (admission, own_via, instance) = {
        let mut state = handle.state();
        let default_ms = state.settings.path_work_ms(path);
        let work_ms = number(headers, header::WORK_MS).unwrap_or(default_ms);
        let admission = state.admit(handle.now(), work_ms, key);
        let own_via = state.faults.via.clone();
        (admission, own_via, state.settings.instance.clone())
    };
    let (work, generation) = match admission {
        Admission::Run { work, generation } => (work, generation),
        // The connection is about to be closed, which drops this future.
        Admission::Down => return std::future::pending().await,
        Admission::Shed => return Err(shed(handle)),
        Admission::FailFast => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Err(refuse(handle, status, "failing fast"));
        }
    };
    let run = Run {
        handle,
        key,
        generation,
        ended: false,
    };
    if text(headers, header::POISON) == Some("1") {
        handle.crash();
        // The crash closes this connection, which drops this future.
        return std::future::pending().await;
    }
    if !work.is_zero() {
        tokio::time::sleep(work).await;
    }
    let mut next_status = None;
    if let Some(plan) = next::plan(headers, own_via.as_deref()) {
        let time_left = || limit.map(|limit| limit.saturating_sub(arrived.elapsed()));
        let count = || handle.state().counters.next_calls += 1;
        let status = handle
            .next()
            .call(&plan, headers, body, time_left, count)
            .await;
        next_status = Some(status.map_or(0, |status| status.as_u16()));
    }
    if !run.finish() {
        return std::future::pending().await;
    }
    Ok(Answer {
        instance,
        call_id: text(headers, header::CALL_ID).map(Into::into),
        method: parts.method.as_str().into(),
        path: path.into(),
        body_bytes: body.len() as u64,
        body_hash: body_hash(body),
        work_us: work.as_micros() as u64,
        next_status,
    })
}

/// Sends an answer, subject to the faults in force.
async fn deliver(handle: &Handle, answer: Answer, connection: Option<Connection>) -> Response {
    let delivery = handle.state().deliver(&answer);
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
    let failed_next = answer
        .next_status
        .is_some_and(|status| !(200..300).contains(&status));
    let status = match failed_next {
        true => StatusCode::BAD_GATEWAY,
        false => StatusCode::OK,
    };
    let mut res = json(handle, status, &answer, delivery.short);
    if let Some(Ok(id)) = answer.call_id.as_deref().map(HeaderValue::from_str) {
        res.headers_mut().insert(header::CALL_ID, id);
    }
    res
}

fn json(handle: &Handle, status: StatusCode, value: &impl Serialize, short: bool) -> Response {
    let data = Bytes::from(serde_json::to_vec(value).expect("answers have no maps"));
    let length = data.len();
    let mut res = match short {
        true => {
            let half = Ok(data.slice(..length / 2));
            let end = Err(std::io::Error::other("the answer ends early on purpose"));
            Response::new(Body::from_stream(stream::iter([half, end])))
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

fn refuse(handle: &Handle, status: StatusCode, error: &str) -> Response {
    let instance = handle.state().settings.instance.clone();
    let refusal = Refusal {
        instance: &instance,
        error,
    };
    json(handle, status, &refusal, false)
}

fn shed(handle: &Handle) -> Response {
    let mut res = refuse(handle, StatusCode::SERVICE_UNAVAILABLE, "no free slot");
    res.headers_mut()
        .insert(header::SHED, HeaderValue::from_static("1"));
    res
}

fn expired(handle: &Handle) -> Response {
    handle.state().counters.expired += 1;
    refuse(handle, StatusCode::GATEWAY_TIMEOUT, "deadline exceeded")
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
