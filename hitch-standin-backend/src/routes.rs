//! Routes and handlers of the HTTP interface.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::info;
use viz::IntoResponse;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Result;
use viz::Router;
use viz::StatusCode;
use viz::types::Json;
use viz::types::State;

use crate::call;
use crate::control::Control;
use crate::control::Health;
use crate::handle::Handle;
use crate::ledger::Ledger;

/// State that the handlers share.
#[derive(Clone)]
struct Context {
    handle: Handle,
    log: Logger,
}

#[derive(Serialize)]
struct HealthReport {
    state: &'static str,
}

#[derive(Deserialize)]
struct LedgerQuery {
    /// Whether to list the runs of each key, as by default, or only the totals.
    keys: Option<bool>,
}

/// Returns the routes of a backend server; every path without its own handler is a call.
pub(crate) fn router(handle: Handle, log: Logger) -> Router {
    Router::new()
        .get("/health", health)
        .get("/load", load)
        .get("/ledger", ledger)
        .get("/counters", counters)
        .post("/control", control)
        .any("/", call)
        .any("/*", call)
        .with(State::new(Context { handle, log }))
}

fn context(req: &Request) -> Context {
    req.state().expect("the router sets the state")
}

async fn call(req: Request) -> Result<Response> {
    let Context { handle, .. } = context(&req);
    Ok(call::serve(&handle, req).await)
}

/// Waits for the delay of answers to probes.
async fn delay_probe(handle: &Handle) {
    let delay_ms = handle.state().settings.probe_ms;
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

async fn health(req: Request) -> Result<Response> {
    let Context { handle, .. } = context(&req);
    delay_probe(&handle).await;
    let faults = handle.state().faults.clone();
    let (status, state) = match faults.health {
        Health::Failing => (StatusCode::SERVICE_UNAVAILABLE, "failing"),
        Health::Truth if faults.draining => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
        Health::Truth | Health::Ok => (StatusCode::OK, "ok"),
    };
    Ok((status, Json(HealthReport { state })).into_response())
}

async fn load(req: Request) -> Result<Response> {
    let Context { handle, .. } = context(&req);
    delay_probe(&handle).await;
    Ok(Json(handle.load()).into_response())
}

async fn ledger(req: Request) -> Result<Response> {
    let Context { handle, .. } = context(&req);
    let query: LedgerQuery = req.query()?;
    if query.keys.unwrap_or(true) {
        return Ok(Json(handle.ledger()).into_response());
    }
    let ledger = {
        let state = handle.state();
        Ledger {
            started: state.ledger.started,
            finished: state.ledger.finished,
            stopped: state.ledger.stopped,
            ..Ledger::default()
        }
    };
    Ok(Json(ledger).into_response())
}

async fn counters(req: Request) -> Result<Response> {
    Ok(Json(context(&req).handle.counters()).into_response())
}

async fn control(mut req: Request) -> Result<Response> {
    let Context { handle, log } = context(&req);
    let body = req.bytes().await?;
    let control: Control = match serde_json::from_slice(&body) {
        Ok(control) => control,
        Err(err) => return Ok((StatusCode::BAD_REQUEST, err.to_string()).into_response()),
    };
    info!(log, "control: faults changed"; "control" => format!("{control:?}"));
    Ok(Json(handle.control(&control)).into_response())
}
