//! Connections to the backend server.
//!
//! Each connection carries one call at a time and goes back to the idle ones only after its answer was
//! read whole. An abandoned call closes its connection, which also cancels it on the backend server.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::header;

/// Largest answer that is read, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Part of the stated keep-alive time for which an idle connection is used again.
const KEEP_ALIVE_PART: f64 = 0.8;
/// Time for which an idle connection is used again when the backend server states none; common servers close after 5 s
/// or more.
const UNSTATED_KEEP_ALIVE: Duration = Duration::from_secs(4);

type Sender = http1::SendRequest<Full<Bytes>>;

/// Limits of the connections to a backend server.
#[derive(Debug, Clone)]
pub struct Options {
    /// Greatest number of connections.
    pub max_connections: usize,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Header by which an answer names its call.
    pub call_id_header: HeaderName,
    /// Whether an answer that does not name its call is taken for that of another one.
    pub is_call_id_required: bool,
    /// Longest time for which an idle connection is used again, whatever the backend server states. Some forget idle
    /// connections without notice, and a call that is sent on one may or may not have run.
    pub max_idle: Duration,
}

impl Options {
    /// Returns the options for backend servers that repeat the header of the mesh if they like.
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
            max_idle: Duration::MAX,
        }
    }
}

/// A call that got no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No connection was free or could be opened. No byte of the call was sent.
    #[snafu(display("cannot connect to backend server {peer}: {detail}"))]
    Connect {
        /// Address of the backend server.
        peer: Box<str>,
        /// What went wrong.
        detail: Box<str>,
        /// Whether nothing listens at the address.
        refused: bool,
    },
    /// The time was over before the call was sent. No byte of the call was sent.
    #[snafu(display("no connection to backend server {peer} was free in time"))]
    NoFreeConnection {
        /// Address of the backend server.
        peer: Box<str>,
    },
    /// The connection broke after the call was sent.
    #[snafu(display(
        "backend server {peer} closed the connection while it ran the call: {detail}"
    ))]
    ConnectionLost {
        /// Address of the backend server.
        peer: Box<str>,
        /// What went wrong.
        detail: Box<str>,
    },
    /// The answer ended early or was too long.
    #[snafu(display("the answer of backend server {peer} is not whole: {detail}"))]
    IncompleteAnswer {
        /// Address of the backend server.
        peer: Box<str>,
        /// What went wrong.
        detail: Box<str>,
    },
    /// The answer belongs to another call.
    #[snafu(display("backend server {peer} answered call {found:?} in place of {expected:?}"))]
    WrongCallId {
        /// Address of the backend server.
        peer: Box<str>,
        /// Call that was sent.
        expected: Box<str>,
        /// Call that was answered.
        found: Box<str>,
    },
    /// The deadline passed after the call was sent.
    #[snafu(display("backend server {peer} did not answer in time"))]
    DeadlineExceeded {
        /// Address of the backend server.
        peer: Box<str>,
    },
}

impl Error {
    /// Returns whether no byte of the call can have reached the backend server.
    ///
    /// ```
    /// let err = hitch_edge::backend::Error::DeadlineExceeded { peer: "b".into() };
    /// assert!(!err.is_not_run());
    /// ```
    pub fn is_not_run(&self) -> bool {
        matches!(self, Error::Connect { .. } | Error::NoFreeConnection { .. })
    }

    /// Returns whether the backend server went away while it ran the call.
    ///
    /// ```
    /// let err = hitch_edge::backend::Error::DeadlineExceeded { peer: "b".into() };
    /// assert!(!err.is_crash());
    /// ```
    pub fn is_crash(&self) -> bool {
        matches!(self, Error::ConnectionLost { .. })
    }
}

/// The connections to one backend server.
#[derive(Debug, Clone)]
pub struct Backend {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    peer: Box<str>,
    options: Options,
    permits: Semaphore,
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    until: Instant,
}

impl Backend {
    /// Makes connections to the backend server at `peer` on demand.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let options = hitch_edge::backend::Options::new(4, Duration::from_millis(500));
    /// let backend = hitch_edge::Backend::at("127.0.0.1:8101", options);
    /// assert_eq!(backend.idle_connections(), 0);
    /// ```
    pub fn at(peer: &str, options: Options) -> Backend {
        let shared = Shared {
            peer: peer.into(),
            permits: Semaphore::new(options.max_connections),
            options,
            idle: Mutex::new(Vec::new()),
        };
        Backend {
            shared: Arc::new(shared),
        }
    }

    /// Returns how many connections are idle.
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

    /// Runs one call and returns its whole answer.
    ///
    /// `on_hand_over` is called just before the first byte may be sent, so that an error with
    /// [`Error::is_not_run`] after it means that the call was taken back unsent. Dropping the future
    /// closes the connection of the call.
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
        on_hand_over: impl FnOnce(),
    ) -> Result<Response<Bytes>, Error> {
        let peer = &self.shared.peer;
        let permit = tokio::time::timeout_at(deadline, self.shared.permits.acquire());
        let _permit = match permit.await {
            Ok(Ok(permit)) => permit,
            _ => return Err(Error::NoFreeConnection { peer: peer.clone() }),
        };
        let mut req = req.map(Full::new);
        let mut sender = self.take_idle();
        let mut on_hand_over = Some(on_hand_over);
        loop {
            let mut conn = match sender.take() {
                Some(conn) => conn,
                None => self.connect(deadline).await?,
            };
            if let Some(on_hand_over) = on_hand_over.take() {
                on_hand_over();
            }
            let sent = tokio::time::timeout_at(deadline, conn.try_send_request(req)).await;
            let res = match sent {
                Err(_) => return Err(Error::DeadlineExceeded { peer: peer.clone() }),
                Ok(Ok(res)) => res,
                Ok(Err(mut err)) => match err.take_message() {
                    // The connection was closed while it was idle and the call was not sent.
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
            return self.read(conn, res, call_id, deadline).await;
        }
    }

    async fn read(
        &self,
        conn: Sender,
        res: Response<hyper::body::Incoming>,
        call_id: &str,
        deadline: Instant,
    ) -> Result<Response<Bytes>, Error> {
        let peer = &self.shared.peer;
        let (parts, body) = res.into_parts();
        let found = parts
            .headers
            .get(&self.shared.options.call_id_header)
            .and_then(|v| v.to_str().ok());
        let is_own = match found {
            Some(found) => found == call_id,
            None => !self.shared.options.is_call_id_required,
        };
        if !is_own {
            let (expected, found) = (call_id.into(), found.unwrap_or_default().into());
            return Err(Error::WrongCallId {
                peer: peer.clone(),
                expected,
                found,
            });
        }
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect();
        let body = match tokio::time::timeout_at(deadline, body).await {
            Err(_) => return Err(Error::DeadlineExceeded { peer: peer.clone() }),
            Ok(Err(err)) => {
                let detail = err.to_string().into();
                return Err(Error::IncompleteAnswer {
                    peer: peer.clone(),
                    detail,
                });
            }
            Ok(Ok(body)) => body.to_bytes(),
        };
        self.put_idle(conn, keep_alive(&parts.headers));
        Ok(Response::from_parts(parts, body))
    }

    async fn connect(&self, deadline: Instant) -> Result<Sender, Error> {
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
        // Small calls must not wait for the acknowledgement of earlier ones.
        let _ = stream.set_nodelay(true);
        let (sender, conn) = match http1::handshake(TokioIo::new(stream)).await {
            Ok(pair) => pair,
            Err(err) => return Err(fail(err.to_string(), false)),
        };
        tokio::spawn(async move {
            // An error of the connection is also reported to the call that uses it.
            let _ = conn.await;
        });
        Ok(sender)
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self
            .shared
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        while let Some(conn) = idle.pop() {
            if conn.sender.is_closed() || Instant::now() >= conn.until {
                continue;
            }
            return Some(conn.sender);
        }
        None
    }

    fn put_idle(&self, sender: Sender, keep: Duration) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self
            .shared
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let until = Instant::now() + keep.min(self.shared.options.max_idle);
        idle.push(Idle { sender, until });
    }
}

/// Returns how long an idle connection may be used again, by the answer's `Keep-Alive` header.
fn keep_alive(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = value.and_then(|v| {
        let named = v
            .split(',')
            .find_map(|p| p.trim().strip_prefix("timeout="))?;
        named.trim().parse().ok()
    });
    match seconds {
        // A call that is sent as the backend server closes the connection may or may not have run.
        Some(seconds) => Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_PART),
        None => UNSTATED_KEEP_ALIVE,
    }
}
