//! The listener for operators.

use std::sync::Arc;

use hitch_event::Event;
use tokio::net::TcpListener;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Router;
use viz::StatusCode;
use viz::types::State;

use crate::status::Status;

/// Functions of the node that answer the requests of operators.
pub struct Handlers {
    /// Returns why the node does not serve calls, or `None` if it does.
    pub not_ready_reason: Box<dyn Fn() -> Option<Box<str>> + Send + Sync>,
    /// Returns the status of the node.
    pub status: Box<dyn Fn() -> Status + Send + Sync>,
    /// Returns the latest events of the node, oldest first.
    pub events: Box<dyn Fn() -> Vec<Event> + Send + Sync>,
    /// Returns the metrics of the node in the OpenMetrics text format.
    pub metrics: Box<dyn Fn() -> String + Send + Sync>,
    /// Starts a planned stop of the node.
    pub drain: Box<dyn Fn() + Send + Sync>,
}

/// Serves operators until `stop` resolves.
///
/// # Errors
///
/// Fails when the listener does.
///
/// ```no_run
/// # async fn run(handlers: hitch_admin::serve::Handlers) -> std::io::Result<()> {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:7103").await?;
/// hitch_admin::serve::until(handlers, listener, std::future::pending()).await
/// # }
/// ```
pub async fn until(
    handlers: Handlers,
    listener: TcpListener,
    stop: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let router = Router::new()
        .get("/healthz", healthz)
        .get("/readyz", readyz)
        .get("/metrics", metrics)
        .get("/status", status)
        .get("/events", events)
        .post("/drain", drain)
        .with(State::new(Arc::new(handlers)));
    viz::Server::new(listener, router).signal(stop).await
}

fn handlers(req: &Request) -> Arc<Handlers> {
    req.state().expect("the router state holds the handlers")
}

fn response(status: StatusCode, media_type: &'static str, body: impl Into<String>) -> Response {
    let mut res = Response::new(viz::Body::Full(body.into().into()));
    *res.status_mut() = status;
    let value = http::HeaderValue::from_static(media_type);
    res.headers_mut().insert(http::header::CONTENT_TYPE, value);
    res
}

async fn healthz(_req: Request) -> viz::Result<Response> {
    Ok(response(StatusCode::OK, "text/plain", "ok\n"))
}

async fn readyz(req: Request) -> viz::Result<Response> {
    Ok(match (handlers(&req).not_ready_reason)() {
        None => response(StatusCode::OK, "text/plain", "ready\n"),
        Some(reason) => response(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            format!("{reason}\n"),
        ),
    })
}

async fn metrics(req: Request) -> viz::Result<Response> {
    let media_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    Ok(response(
        StatusCode::OK,
        media_type,
        (handlers(&req).metrics)(),
    ))
}

async fn status(req: Request) -> viz::Result<Response> {
    let status = (handlers(&req).status)();
    let body = serde_json::to_string(&status).expect("a status has text keys only");
    Ok(response(StatusCode::OK, "application/json", body))
}

async fn events(req: Request) -> viz::Result<Response> {
    let mut body = String::new();
    for event in (handlers(&req).events)() {
        let line = serde_json::to_string(&event).expect("an event has text keys only");
        body.push_str(&line);
        body.push('\n');
    }
    Ok(response(StatusCode::OK, "application/x-ndjson", body))
}

async fn drain(req: Request) -> viz::Result<Response> {
    (handlers(&req).drain)();
    Ok(response(StatusCode::ACCEPTED, "text/plain", "draining\n"))
}
