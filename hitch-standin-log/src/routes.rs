//! Routes and handlers of the HTTP interface.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http_body_util::BodyExt;
use http_body_util::Limited;
use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::info;
use viz::Body;
use viz::IntoResponse;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Result;
use viz::Router;
use viz::StatusCode;
use viz::types::Json;
use viz::types::State;

use crate::connection::Connection;
use crate::control::Control;
use crate::handle::Handle;
use crate::store::append;
use crate::store::read;

/// Maximum number of records in one answer if the request gives none.
const DEFAULT_MAX_RECORDS: usize = 1_000;

/// State that the handlers share.
#[derive(Clone)]
struct Context {
    handle: Handle,
    log: Logger,
}

#[derive(Deserialize)]
struct ReadQuery {
    /// Offset of the first record to return.
    from: u64,
    /// Maximum number of records to return.
    max: Option<usize>,
    /// Time to wait for a record at the end of the stream.
    wait_ms: Option<u64>,
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

#[derive(Serialize)]
struct Trimmed {
    /// Lowest offset retained.
    first: u64,
}

#[derive(Serialize)]
struct Page {
    /// Lowest offset retained.
    first: u64,
    /// Offset from which the next read continues.
    next: u64,
    records: Vec<PageRecord>,
}

#[derive(Serialize)]
struct PageRecord {
    offset: u64,
    time_ms: u64,
    /// The record in Base64.
    data: Box<str>,
}

/// Returns the routes of the log.
pub(crate) fn router(handle: Handle, log: Logger) -> Router {
    Router::new()
        .get("/streams/:stream/records", read_records)
        .post("/streams/:stream/records", append_record)
        .post("/control", control)
        .get("/counters", counters)
        .with(State::new(Context { handle, log }))
}

fn context(req: &Request) -> Context {
    req.state().expect("the router sets the state")
}

async fn append_record(mut req: Request) -> Result<Response> {
    let Context { handle, .. } = context(&req);
    let stream: String = req.param("stream")?;
    let connection = req.extensions().get::<Option<Connection>>().cloned();
    let body = std::mem::replace(req.body_mut(), Body::Empty);
    let Ok(data) = Limited::new(body, handle.max_record_bytes())
        .collect()
        .await
    else {
        return Ok(StatusCode::PAYLOAD_TOO_LARGE.into_response());
    };
    let outcome = match handle.append(&stream, data.to_bytes()).await {
        Ok(outcome) => outcome,
        Err(err) => return Ok(append_refusal(&err)),
    };
    if outcome.lose_answer {
        if let Some(Some(connection)) = connection {
            connection.close();
        }
        std::future::pending::<()>().await;
    }
    let appended = Appended {
        offset: outcome.offset,
    };
    Ok((StatusCode::CREATED, Json(appended)).into_response())
}

fn append_refusal(err: &append::Error) -> Response {
    let status = match err {
        append::Error::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        append::Error::Outage => StatusCode::SERVICE_UNAVAILABLE,
        append::Error::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        append::Error::InvalidStreamName { .. } => StatusCode::NOT_FOUND,
        append::Error::TooManyStreams { .. } => StatusCode::FORBIDDEN,
    };
    (status, err.to_string()).into_response()
}

async fn read_records(req: Request) -> Result<Response> {
    let Context { handle, .. } = context(&req);
    let stream: String = req.param("stream")?;
    let query: ReadQuery = req.query()?;
    let max = query.max.unwrap_or(DEFAULT_MAX_RECORDS);
    let wait = Duration::from_millis(query.wait_ms.unwrap_or(0));
    match handle.read(&stream, query.from, max, wait).await {
        Ok(outcome) => Ok(Json(page(outcome)).into_response()),
        Err(read::Error::Trimmed { first }) => {
            Ok((StatusCode::GONE, Json(Trimmed { first })).into_response())
        }
        Err(read::Error::Outage) => Ok(StatusCode::SERVICE_UNAVAILABLE.into_response()),
    }
}

fn page(outcome: read::Outcome) -> Page {
    let mut records = Vec::with_capacity(outcome.records.len());
    for record in outcome.records {
        records.push(PageRecord {
            offset: record.offset,
            time_ms: record.time_ms,
            data: STANDARD.encode(&record.data).into(),
        });
    }
    Page {
        first: outcome.first,
        next: outcome.next,
        records,
    }
}

async fn control(mut req: Request) -> Result<Response> {
    let Context { handle, log } = context(&req);
    let body = req.bytes().await?;
    let control: Control = match serde_json::from_slice(&body) {
        Ok(control) => control,
        Err(err) => return Ok((StatusCode::BAD_REQUEST, err.to_string()).into_response()),
    };
    let peer = req.extensions().get::<Option<Connection>>().cloned();
    let peer = peer.flatten().map(|connection| connection.peer.to_string());
    info!(log, "control: faults changed"; "peer" => peer, "control" => format!("{control:?}"));
    Ok(Json(handle.control(&control)).into_response())
}

async fn counters(req: Request) -> Result<Response> {
    Ok(Json(context(&req).handle.counters()).into_response())
}
