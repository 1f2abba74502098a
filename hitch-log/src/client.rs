//! The client and its settings.

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

/// Silence after which the kernel probes a connection, and time between two probes. A long poll is silent for most
/// of its time, and a connection can fall silent for good without a reset; this finds it within about 3 s.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is taken for dead.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time that sent bytes may stay unacknowledged before a connection is taken for dead.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Time within which a connection must be open. It should be shorter than `timeout`, because
    /// an append that runs into `timeout` counts as ambiguous.
    pub connect_timeout: Duration,
    /// Time within which an operation must end; a read may take its `wait` on top.
    pub timeout: Duration,
    /// Largest answer that is read, in bytes of the body.
    pub max_answer_bytes: usize,
    /// Time after which an unused connection is closed.
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

/// A base URL that cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The base URL cannot be parsed.
    #[snafu(display("log client: parse base URL {url:?}: {source}"))]
    Parse {
        /// The base URL.
        url: Box<str>,
        /// What the parser found.
        source: http::uri::InvalidUri,
    },
    /// The base URL lacks the scheme `http` or an address.
    #[snafu(display("log client: check base URL {url:?}: expected http://ADDRESS:PORT"))]
    Unsupported {
        /// The base URL.
        url: Box<str>,
    },
}

/// Bytes exchanged with the log: heads and bodies of HTTP messages, without TCP and IP.
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

/// A client of one log; clones share connections and counters.
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
    /// Makes a client of the log at `base_url`. No connection is opened before the first operation.
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

    /// Returns the address of the log, as errors name it.
    ///
    /// ```
    /// # use hitch_log::{Client, Options};
    /// let client = Client::at("http://127.0.0.1:7000/", Options::default()).unwrap();
    /// assert_eq!(client.peer(), "127.0.0.1:7000");
    /// ```
    pub fn peer(&self) -> &str {
        &self.inner.peer
    }

    /// Returns what was exchanged so far by this client and its clones.
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
