//! Client of the log, its options and its counters.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Uri;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

/// Idle time after which the kernel sends a keepalive probe, and interval between two probes. A connection with a long
/// poll is idle most of the time, and its peer can become unresponsive without a reset; the probes detect that within
/// about 3 s.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged before the kernel closes a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeouts and limits of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Timeout for opening a connection. It should be shorter than `timeout`, because an append that exceeds `timeout`
    /// counts as ambiguous.
    pub connect_timeout: Duration,
    /// Timeout of an operation. A read gets its `wait` in addition.
    pub timeout: Duration,
    /// Largest accepted body of an answer, in bytes.
    pub max_answer_bytes: usize,
    /// Time after which the client closes an unused connection.
    pub idle_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            connect_timeout: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
            max_answer_bytes: 64 * 1024 * 1024,
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// Why a base URL cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The base URL cannot be parsed.
    #[snafu(display("log client: parse base URL {url:?}: {source}"))]
    Parse {
        /// The base URL.
        url: Box<str>,
        /// Error of the parser.
        source: http::uri::InvalidUri,
    },
    /// The base URL lacks the scheme `http` or an address.
    #[snafu(display("log client: check base URL {url:?}: expected http://ADDRESS:PORT"))]
    Unsupported {
        /// The base URL.
        url: Box<str>,
    },
}

/// Counters of a client. Bytes include the heads and bodies of HTTP messages, but not the overhead of TCP and IP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Bytes of answers received.
    pub bytes_read: u64,
    /// Bytes of requests sent.
    pub bytes_written: u64,
    /// Appends attempted.
    pub appends: u64,
    /// Reads attempted.
    pub reads: u64,
}

/// Client of one log. Clones share connections and counters.
#[derive(Debug, Clone)]
pub struct Client {
    pub(crate) inner: Arc<Inner>,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) http: legacy::Client<HttpConnector, Full<Bytes>>,
    pub(crate) peer: Box<str>,
    pub(crate) base: Box<str>,
    pub(crate) options: Options,
    pub(crate) bytes_read: AtomicU64,
    pub(crate) bytes_written: AtomicU64,
    pub(crate) appends: AtomicU64,
    pub(crate) reads: AtomicU64,
}

impl Client {
    /// Creates a client of the log at `base_url`. The first operation opens the first connection.
    ///
    /// ```
    /// use hitch_log::Client;
    /// use hitch_log::Options;
    ///
    /// assert!(Client::at("ftp://127.0.0.1", Options::default()).is_err());
    /// ```
    pub fn at(base_url: &str, options: Options) -> Result<Client, Error> {
        let base = base_url.trim_end_matches('/');
        let uri: Uri = base.parse().context(ParseSnafu { url: base })?;
        if uri.scheme_str() != Some("http") {
            return UnsupportedSnafu { url: base }.fail();
        }
        let authority = uri.authority().context(UnsupportedSnafu { url: base })?;
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(options.connect_timeout));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_IDLE));
        connector.set_keepalive_interval(Some(KEEPALIVE_IDLE));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        connector.set_tcp_user_timeout(Some(USER_TIMEOUT));
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(options.idle_timeout)
            .build(connector);
        let inner = Inner {
            http,
            peer: authority.as_str().into(),
            base: base.into(),
            options,
            bytes_read: AtomicU64::new(0),
            bytes_written: AtomicU64::new(0),
            appends: AtomicU64::new(0),
            reads: AtomicU64::new(0),
        };
        Ok(Client {
            inner: Arc::new(inner),
        })
    }

    /// Returns the address of the log in the form that errors use.
    ///
    /// ```
    /// # use hitch_log::{Client, Options};
    /// let client = Client::at("http://127.0.0.1:7000/", Options::default()).unwrap();
    /// assert_eq!(client.peer(), "127.0.0.1:7000");
    /// ```
    pub fn peer(&self) -> &str {
        &self.inner.peer
    }

    /// Returns the totals of this client and its clones.
    ///
    /// ```
    /// # use hitch_log::{Client, Options};
    /// let client = Client::at("http://127.0.0.1:7000", Options::default()).unwrap();
    /// assert_eq!(client.counters().bytes_read, 0);
    /// ```
    pub fn counters(&self) -> Counters {
        Counters {
            bytes_read: self.inner.bytes_read.load(Ordering::Relaxed),
            bytes_written: self.inner.bytes_written.load(Ordering::Relaxed),
            appends: self.inner.appends.load(Ordering::Relaxed),
            reads: self.inner.reads.load(Ordering::Relaxed),
        }
    }
}
