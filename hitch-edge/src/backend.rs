//! HTTP/1 connection pool of a backend server.
//!
//! Each connection carries one call at a time and returns to the pool only after its answer has
//! been read completely. Abandoning a call closes its connection, which also cancels the call on
//! the backend server.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::body::Buffers;
use crate::body::Memory;
use crate::header;
use crate::metered::Allowance;
use crate::metered::Metered;

/// Maximum size of the body of an answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of all bodies of answers that are being read at the same time, in bytes. A node has 160 MB or more of
/// memory, and a backend server in trouble may send bodies without end on all connections.
pub const MAX_BUFFERED_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of bytes received before the head of an answer is complete, including interim (1xx) answers. The HTTP
/// library limits a head to about 400 KiB, but not the number of interim answers.
pub const MAX_HEAD_BYTES: usize = 512 * 1024;

/// Status codes of final answers (RFC 9110, section 15). Interim answers are skipped by the HTTP library; it returns
/// 101 (switching protocols), which no call asks for, and codes up to 999.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Fraction of the keep-alive timeout sent by the backend server during which an idle connection is
/// reused.
const KEEP_ALIVE_FRACTION: f64 = 0.8;
/// Time during which an idle connection is reused when the backend server sends no keep-alive
/// timeout; common servers close idle connections after 5 s or more.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// A connection that is ready for a call.
#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    allowance: Allowance,
}

/// Settings of the connection pool of a backend server.
#[derive(Debug, Clone)]
pub struct Options {
    /// Maximum number of connections in use at the same time.
    pub max_connections: usize,
    /// Timeout for opening a TCP connection.
    pub connect_timeout: Duration,
    /// Header of an answer that contains the id of its call.
    pub call_id_header: HeaderName,
    /// Whether an answer without a call id counts as the answer to another call.
    pub is_call_id_required: bool,
    /// Header that marks an answer as a refusal. A refusal without a call id counts as the answer to another call even if
    /// other answers need none: the call is sent elsewhere on its word.
    pub refusal_header: Option<HeaderName>,
    /// Maximum time during which an idle connection is reused, regardless of the keep-alive timeout
    /// that the backend server sends. Some servers drop idle connections without closing them, and
    /// it is unknown whether a call sent on such a connection has run.
    pub max_idle: Duration,
}

impl Options {
    /// Creates the settings for backend servers that may or may not return the call id header of
    /// the mesh.
    ///
    /// ```
    /// let options = hitch_edge::backend::Options::new(4, std::time::Duration::from_millis(500));
    /// assert!(!options.is_call_id_required);
    /// ```
    pub fn new(max_connections: usize, connect_timeout: Duration) -> Options {
        Options {
            max_connections,
            connect_timeout,
            call_id_header: HeaderName::from_static(header::CALL_ID),
            is_call_id_required: false,
            refusal_header: None,
            max_idle: Duration::MAX,
        }
    }
}

/// Reason why a call has no valid answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A connection could not be opened. No byte of the call was sent.
    #[snafu(display("cannot connect to backend server {peer}: {detail}"))]
    Connect {
        /// Address of the backend server.
        peer: Box<str>,
        /// What went wrong.
        detail: Box<str>,
        /// Whether the TCP connection was refused because nothing listens at the address.
        refused: bool,
    },
    /// All connections were in use until the deadline passed. No byte of the call was sent.
    #[snafu(display("no connection to backend server {peer} was free in time"))]
    NoFreeConnection {
        /// Address of the backend server.
        peer: Box<str>,
    },
    /// The call was cancelled before any byte of it was sent.
    #[snafu(display("the call was cancelled before it was sent to backend server {peer}"))]
    Cancelled {
        /// Address of the backend server.
        peer: Box<str>,
    },
    /// The connection was closed or failed after the call may have been sent.
    #[snafu(display(
        "backend server {peer} closed the connection while it ran the call: {detail}"
    ))]
    ConnectionLost {
        /// Address of the backend server.
        peer: Box<str>,
        /// What went wrong.
        detail: Box<str>,
    },
    /// The body of the answer was truncated, longer than [`MAX_ANSWER_BYTES`], or too long beside others that were being
    /// read ([`MAX_BUFFERED_BYTES`]).
    #[snafu(display("the answer of backend server {peer} is not whole: {detail}"))]
    IncompleteAnswer {
        /// Address of the backend server.
        peer: Box<str>,
        /// What went wrong.
        detail: Box<str>,
    },
    /// The answer has a status that is none of a final answer. The HTTP library refuses malformed status lines and codes
    /// below 100 by itself, as [`Error::ConnectionLost`].
    #[snafu(display("the answer of backend server {peer} has the invalid status {status}"))]
    InvalidStatus {
        /// Address of the backend server.
        peer: Box<str>,
        /// Status of the answer.
        status: u16,
    },
    /// The answer has the id of another call, or none although one is required.
    #[snafu(display("backend server {peer} answered call {found:?} in place of {expected:?}"))]
    WrongCallId {
        /// Address of the backend server.
        peer: Box<str>,
        /// Id of the call that was sent.
        expected: Box<str>,
        /// Call id of the answer; empty if it has none.
        found: Box<str>,
    },
    /// The deadline passed after sending of the call had started.
    #[snafu(display("backend server {peer} did not answer in time"))]
    DeadlineExceeded {
        /// Address of the backend server.
        peer: Box<str>,
    },
}

impl Error {
    /// Returns whether the call certainly has not run, because no byte of it was sent.
    ///
    /// ```
    /// let err = hitch_edge::backend::Error::DeadlineExceeded { peer: "b".into() };
    /// assert!(!err.is_not_run());
    /// ```
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Error::Connect { .. } | Error::NoFreeConnection { .. } | Error::Cancelled { .. }
        )
    }

    /// Returns whether the backend server closed the connection while the call was in flight, which
    /// counts as a crash.
    ///
    /// ```
    /// let err = hitch_edge::backend::Error::DeadlineExceeded { peer: "b".into() };
    /// assert!(!err.is_crash());
    /// ```
    pub fn is_crash(&self) -> bool {
        matches!(self, Error::ConnectionLost { .. })
    }
}

/// Connection pool of one backend server; clones share the pool.
#[derive(Debug, Clone)]
pub struct Backend {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    peer: Box<str>,
    options: Options,
    buffers: Buffers,
    /// One for each connection that may be opened beside those in use.
    permits: Semaphore,
    max_connections: AtomicUsize,
    idle: Mutex<Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    conn: Connection,
    expires_at: Instant,
}

impl Backend {
    /// Creates an empty pool for the backend server at the address `peer`; connections are opened
    /// on demand.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let options = hitch_edge::backend::Options::new(4, Duration::from_millis(500));
    /// let backend = hitch_edge::Backend::at("127.0.0.1:8101", options);
    /// assert_eq!(backend.idle_connections(), 0);
    /// ```
    pub fn at(peer: &str, options: Options) -> Backend {
        Backend::create(peer, options, None)
    }

    /// As [`Backend::at`]. The bodies of answers are charged to an account until the last copy of them is dropped.
    ///
    /// ```
    /// # let options = hitch_edge::backend::Options::new(4, std::time::Duration::from_millis(500));
    /// let memory = hitch_edge::body::Memory {
    ///     account: hitch_bound::Account::new(1 << 20, 0),
    ///     clock: hitch_gate::time::ProcessClock::start(),
    /// };
    /// let backend = hitch_edge::Backend::charged_to(memory, "127.0.0.1:8101", options);
    /// ```
    pub fn charged_to(memory: Memory, peer: &str, options: Options) -> Backend {
        Backend::create(peer, options, Some(memory))
    }

    fn create(peer: &str, options: Options, memory: Option<Memory>) -> Backend {
        let shared = Shared {
            peer: peer.into(),
            permits: Semaphore::new(options.max_connections),
            max_connections: AtomicUsize::new(options.max_connections),
            options,
            buffers: Buffers::new(MAX_ANSWER_BYTES, MAX_BUFFERED_BYTES, memory),
            idle: Mutex::new(Vec::new()),
        };
        Backend {
            shared: Arc::new(shared),
        }
    }

    /// Raises the maximum number of connections in use at the same time to `max_connections`. A smaller number changes
    /// nothing.
    ///
    /// ```
    /// let options = hitch_edge::backend::Options::new(4, Default::default());
    /// hitch_edge::Backend::at("127.0.0.1:1", options).raise_max_connections(18);
    /// ```
    pub fn raise_max_connections(&self, max_connections: usize) {
        let before = self
            .shared
            .max_connections
            .fetch_max(max_connections, Ordering::Relaxed);
        self.shared
            .permits
            .add_permits(max_connections.saturating_sub(before));
    }

    /// Returns the number of idle connections.
    ///
    /// ```
    /// # let options = hitch_edge::backend::Options::new(4, Default::default());
    /// assert_eq!(hitch_edge::Backend::at("127.0.0.1:1", options).idle_connections(), 0);
    /// ```
    pub fn idle_connections(&self) -> usize {
        self.shared
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// Sends one call and returns its answer with the complete body.
    ///
    /// `on_send` is called immediately before the first byte may be sent. An error with
    /// [`Error::is_not_run`] after that means that the call was recovered unsent from a closed
    /// connection. Dropping the future closes the connection of the call.
    ///
    /// ```no_run
    /// # async fn run(backend: hitch_edge::Backend) -> Result<(), Box<dyn std::error::Error>> {
    /// let req = http::Request::get("/registry/7").body(bytes::Bytes::new())?;
    /// let deadline = tokio::time::Instant::now() + std::time::Duration::from_secs(1);
    /// let answer = backend.run(req, "call-1", deadline, || ()).await?;
    /// # Ok(()) }
    /// ```
    pub async fn run(
        &self,
        req: Request<Bytes>,
        call_id: &str,
        deadline: Instant,
        on_send: impl FnOnce(),
    ) -> Result<Response<Bytes>, Error> {
        let cancelled = std::future::pending();
        self.run_unless_cancelled(req, call_id, deadline, cancelled, on_send)
            .await
    }

    /// As [`Backend::run`], but ends with [`Error::Cancelled`] if `cancelled` resolves before a byte of the call was
    /// sent.
    ///
    /// A call that has been sent goes on; to abandon it as well, drop the future.
    ///
    /// ```
    /// # async fn run(backend: hitch_edge::Backend) -> Result<(), http::Error> {
    /// let req = http::Request::put("/fees/7").body(bytes::Bytes::new())?;
    /// let deadline = tokio::time::Instant::now() + std::time::Duration::from_secs(1);
    /// let cancelled = std::future::ready(());
    /// let err = backend.run_unless_cancelled(req, "call-1", deadline, cancelled, || ()).await.unwrap_err();
    /// assert!(err.is_not_run());
    /// # Ok(()) }
    /// # let options = hitch_edge::backend::Options::new(4, Default::default());
    /// # let backend = hitch_edge::Backend::at("127.0.0.1:1", options);
    /// # tokio::runtime::Runtime::new().unwrap().block_on(run(backend)).unwrap();
    /// ```
    pub async fn run_unless_cancelled(
        &self,
        req: Request<Bytes>,
        call_id: &str,
        deadline: Instant,
        cancelled: impl Future<Output = ()>,
        on_send: impl FnOnce(),
    ) -> Result<Response<Bytes>, Error> {
        let peer = &self.shared.peer;
        let mut cancelled = std::pin::pin!(cancelled);
        let cancelled_error = || Error::Cancelled { peer: peer.clone() };
        let permit = tokio::select! {
            biased;
            () = &mut cancelled => return Err(cancelled_error()),
            permit = tokio::time::timeout_at(deadline, self.shared.permits.acquire()) => permit,
        };
        let _permit = match permit {
            Ok(Ok(permit)) => permit,
            _ => return Err(Error::NoFreeConnection { peer: peer.clone() }),
        };
        let mut req = req.map(Full::new);
        let mut idle = self.take_idle();
        let mut on_send = Some(on_send);
        loop {
            let mut conn = match idle.take() {
                Some(conn) => conn,
                None => tokio::select! {
                    biased;
                    () = &mut cancelled => return Err(cancelled_error()),
                    conn = self.connect(deadline) => conn?,
                },
            };
            if let Some(on_send) = on_send.take() {
                on_send();
            }
            conn.allowance.set(MAX_HEAD_BYTES);
            let sent = tokio::time::timeout_at(deadline, conn.sender.try_send_request(req)).await;
            conn.allowance.lift();
            let res = match sent {
                Err(_) => return Err(Error::DeadlineExceeded { peer: peer.clone() }),
                Ok(Ok(res)) => res,
                Ok(Err(mut err)) => match err.take_message() {
                    // The connection was closed while idle and the call was not sent.
                    Some(unsent) => {
                        req = unsent;
                        continue;
                    }
                    None => {
                        let detail = err.into_error().to_string().into();
                        return Err(Error::ConnectionLost {
                            peer: peer.clone(),
                            detail,
                        });
                    }
                },
            };
            return self.read_answer(conn, res, call_id, deadline).await;
        }
    }

    async fn read_answer(
        &self,
        conn: Connection,
        res: Response<hyper::body::Incoming>,
        call_id: &str,
        deadline: Instant,
    ) -> Result<Response<Bytes>, Error> {
        let peer = &self.shared.peer;
        let (parts, body) = res.into_parts();
        let status = parts.status.as_u16();
        if !FINAL_STATUSES.contains(&status) {
            let peer = peer.clone();
            return Err(Error::InvalidStatus { peer, status });
        }
        let found = parts
            .headers
            .get(&self.shared.options.call_id_header)
            .and_then(|v| v.to_str().ok());
        let options = &self.shared.options;
        let is_refusal = || {
            let header = options.refusal_header.as_ref();
            header.is_some_and(|header| parts.headers.contains_key(header))
        };
        let is_own_answer = match found {
            Some(found) => found == call_id,
            None => !options.is_call_id_required && !is_refusal(),
        };
        if !is_own_answer {
            let (expected, found) = (call_id.into(), found.unwrap_or_default().into());
            return Err(Error::WrongCallId {
                peer: peer.clone(),
                expected,
                found,
            });
        }
        let body = self.shared.buffers.read(body, &conn.allowance);
        let body = match tokio::time::timeout_at(deadline, body).await {
            Err(_) => return Err(Error::DeadlineExceeded { peer: peer.clone() }),
            Ok(Err(detail)) => {
                return Err(Error::IncompleteAnswer {
                    peer: peer.clone(),
                    detail,
                });
            }
            Ok(Ok(body)) => body,
        };
        self.put_idle(conn, keep_alive(&parts.headers));
        Ok(Response::from_parts(parts, body))
    }

    async fn connect(&self, deadline: Instant) -> Result<Connection, Error> {
        let peer = &self.shared.peer;
        let fail = |detail: String, refused: bool| Error::Connect {
            peer: peer.clone(),
            detail: detail.into(),
            refused,
        };
        let deadline = deadline.min(Instant::now() + self.shared.options.connect_timeout);
        let stream = match tokio::time::timeout_at(deadline, TcpStream::connect(&**peer)).await {
            Err(_) => return Err(fail("timeout".to_owned(), false)),
            Ok(Err(err)) => {
                let refused = err.kind() == std::io::ErrorKind::ConnectionRefused;
                return Err(fail(err.to_string(), refused));
            }
            Ok(Ok(stream)) => stream,
        };
        // Disables Nagle's algorithm, which delays small requests until earlier data is
        // acknowledged.
        let _ = stream.set_nodelay(true);
        let allowance = Allowance::unlimited();
        let stream = Metered::new(stream, allowance.clone());
        let (sender, conn) = match http1::handshake(TokioIo::new(stream)).await {
            Ok(pair) => pair,
            Err(err) => return Err(fail(err.to_string(), false)),
        };
        tokio::spawn(async move {
            // The call that uses the connection receives its errors as well.
            let _ = conn.await;
        });
        Ok(Connection { sender, allowance })
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self
            .shared
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        while let Some(IdleConnection { conn, expires_at }) = idle.pop() {
            if conn.sender.is_closed() || Instant::now() >= expires_at {
                continue;
            }
            return Some(conn);
        }
        None
    }

    fn put_idle(&self, conn: Connection, keep: Duration) {
        if conn.sender.is_closed() {
            return;
        }
        let mut idle = self
            .shared
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let expires_at = Instant::now() + keep.min(self.shared.options.max_idle);
        idle.push(IdleConnection { conn, expires_at });
    }
}

/// Returns the time during which an idle connection may be reused, from the `Keep-Alive` header of
/// the last answer.
fn keep_alive(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = value.and_then(|v| {
        let timeout = v
            .split(',')
            .find_map(|p| p.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok()
    });
    match seconds {
        // Less than the full timeout, because it is unknown whether a call that is sent while the
        // backend server closes the connection has run.
        Some(seconds) => Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_FRACTION),
        None => DEFAULT_KEEP_ALIVE,
    }
}
