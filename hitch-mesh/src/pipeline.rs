//! Runs pipelined requests of a caller side by side; their answers are written in the order of the requests.
//!
//! A request that is idempotent starts as soon as it has been read, whatever runs ahead of it on its connection. One that
//! may run only once, or that has a body, waits for its turn, and those behind it wait for it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Poll;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use hitch_edge::pipeline::Scanned;
use hitch_edge::watched::Watcher;
use hitch_gate::shards::lock;
use http::Request;
use http::Response;
use http::header;
use http_body_util::Empty;
use http_body_util::Full;
use hyper::body::Body;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::arrival;
use crate::mesh::Mesh;

/// Most requests of a connection that run ahead of their turn. Each of them may hold an answer in memory until those
/// ahead are written.
const MAX_EARLY: usize = 8;

/// The requests of one connection that run ahead of their turn.
#[derive(Default)]
pub(crate) struct Pipeline {
    /// Requests that the HTTP library has handed over.
    started: AtomicU64,
    /// Requests that the HTTP library has handed over and that were answered.
    finished: AtomicU64,
    early: Mutex<BTreeMap<u64, EarlyAnswer>>,
}

/// The answer of a request that runs ahead of its turn, with the request to compare.
struct EarlyAnswer {
    request: Request<()>,
    rx: oneshot::Receiver<Response<Full<Bytes>>>,
}

/// The requests that run ahead of their turn. Dropping it cancels them.
pub(crate) type EarlyRuns = FuturesUnordered<BoxFuture<'static, ()>>;

impl Pipeline {
    /// Handles the next request that the HTTP library hands over: awaits its answer if it runs already.
    pub(crate) async fn handle<B>(&self, mesh: &Arc<Mesh>, req: Request<B>) -> Response<Full<Bytes>>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let index = self.started.fetch_add(1, Ordering::Relaxed);
        let early = lock(&self.early).remove(&index);
        let early = early.filter(|early| is_same(&early.request, &req));
        let res = match early {
            None => arrival::handle(mesh, req).await,
            Some(early) => match early.rx.await {
                Ok(mut res) => {
                    arrival::close_if_draining(mesh, &mut res);
                    res
                }
                // Its call may have been sent by now, so it must neither run again nor be refused as not run.
                Err(_) => arrival::cancelled(mesh, req.headers()),
            },
        };
        self.finished.store(index + 1, Ordering::Relaxed);
        res
    }

    /// Starts the requests that were read and may run ahead of their turn. `next` keeps the first one that may not yet.
    pub(crate) fn start_early(
        self: &Arc<Pipeline>,
        mesh: &Arc<Mesh>,
        watcher: &Watcher<TcpStream>,
        next: &mut Option<Scanned>,
        runs: &EarlyRuns,
    ) {
        loop {
            let Some(scanned) = next.take().or_else(|| watcher.next_request()) else {
                return;
            };
            if scanned.index < self.finished.load(Ordering::Relaxed) {
                continue;
            }
            let request = scanned.request.as_ref();
            let may_start = request.is_some_and(|request| may_run_early(mesh, request));
            let has_started = scanned.index < self.started.load(Ordering::Relaxed);
            // Those behind a request that may run once wait until it has been answered.
            if has_started && may_start {
                continue;
            }
            if !may_start || lock(&self.early).len() >= MAX_EARLY {
                *next = Some(scanned);
                return;
            }
            let Some(request) = scanned.request else {
                return;
            };
            mesh.metrics.pipelined.inc();
            let (mut tx, rx) = oneshot::channel();
            let early = EarlyAnswer {
                request: request.clone(),
                rx,
            };
            lock(&self.early).insert(scanned.index, early);
            let mesh = mesh.clone();
            runs.push(Box::pin(async move {
                let req = request.map(|()| Empty::<Bytes>::new());
                let res = tokio::select! {
                    res = arrival::handle(&mesh, req) => res,
                    // The receiver is dropped when the request is cancelled.
                    () = tx.closed() => return,
                };
                let _ = tx.send(res);
            }));
        }
    }

    /// Cancels the requests that run ahead of their turn. What is behind the last answer of a connection counts as not
    /// read. The request whose turn it is goes on.
    pub(crate) fn cancel_early(&self) {
        lock(&self.early).clear();
    }
}

/// Starts and drives the requests that run ahead of their turn; never resolves. It must be polled by the task that reads
/// the connection, and after it.
pub(crate) async fn run_early(
    pipeline: &Arc<Pipeline>,
    mesh: &Arc<Mesh>,
    watcher: &Watcher<TcpStream>,
    next: &mut Option<Scanned>,
    runs: &mut EarlyRuns,
) {
    std::future::poll_fn(|cx| {
        pipeline.start_early(mesh, watcher, next, runs);
        while let Poll::Ready(Some(())) = runs.poll_next_unpin(cx) {}
        Poll::Pending
    })
    .await
}

/// Returns whether the route of a request allows it to run more than once. While the node drains, each answer closes its
/// connection, and what is behind it must not run.
fn may_run_early(mesh: &Mesh, request: &Request<()>) -> bool {
    if mesh.is_draining() {
        return false;
    }
    let table = mesh.table.load();
    let Some(table) = table.as_ref() else {
        return false;
    };
    let host = request.headers().get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = table.try_find(host, request.uri().path());
    route.is_some_and(|route| route.idempotent)
}

/// Returns whether the HTTP library read the same request as the scanner.
fn is_same<B>(early: &Request<()>, req: &Request<B>) -> bool {
    early.method() == req.method() && early.uri() == req.uri() && early.headers() == req.headers()
}
