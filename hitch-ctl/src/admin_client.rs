//! Client for the admin listeners of nodes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use hitch_admin::Status;
use hitch_event::Event;
use hitch_event::timeline;
use snafu::Snafu;

use crate::fleet::Fleet;
use crate::http::HttpClient;

/// Timeout of a request, unless [`AdminClient::with_timeout`] sets another.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit for the requests in flight, so that a command does not put load on a large fleet.
const MAX_CONCURRENT_REQUESTS: usize = 16;

/// Limit for the nodes that are polled for their status in addition to the seeds. Each status lists
/// all members, so the cost of polling every node would grow with the square of the fleet's size.
pub const MAX_POLLED_NODES: usize = 64;

/// A request to a node that got no usable response.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{operation} {peer}: {detail}"))]
pub struct Error {
    /// Operation that failed, such as `read status of`.
    pub operation: &'static str,
    /// Admin address of the node.
    pub peer: SocketAddr,
    /// What the HTTP client or the decoder reports.
    pub detail: Box<str>,
}

/// The result of a fan-out to several nodes.
#[derive(Debug, Clone)]
pub struct FanOutResult<T> {
    /// Responses with the admin addresses of their nodes, sorted by address.
    pub responses: Vec<(SocketAddr, T)>,
    /// Failed requests, sorted by address.
    pub errors: Vec<Error>,
}

/// Events of one node.
#[derive(Debug, Clone, Default)]
pub struct Events {
    /// Events that could be decoded.
    pub events: Vec<Event>,
    /// Number of lines that could not be decoded.
    pub malformed: usize,
}

/// A client for the admin listeners of nodes.
#[derive(Debug, Clone)]
pub struct AdminClient {
    http: HttpClient,
    timeout: Duration,
}

impl Default for AdminClient {
    fn default() -> AdminClient {
        AdminClient {
            http: HttpClient::default(),
            timeout: DEFAULT_TIMEOUT,
        }
    }
}

impl AdminClient {
    /// Returns a client that shares the connections of this one and applies `timeout` to each request.
    ///
    /// ```
    /// let _ = hitch_ctl::admin_client::AdminClient::default().with_timeout(std::time::Duration::from_secs(1));
    /// ```
    pub fn with_timeout(&self, timeout: Duration) -> AdminClient {
        AdminClient {
            timeout,
            ..self.clone()
        }
    }

    /// Requests the status of one node.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// // Nothing listens on port 1.
    /// let client = hitch_ctl::admin_client::AdminClient::default();
    /// let err = client.status("127.0.0.1:1".parse().unwrap()).await.unwrap_err();
    /// assert_eq!(err.peer.port(), 1);
    /// # }
    /// ```
    pub async fn status(&self, peer: SocketAddr) -> Result<Status, Error> {
        let operation = "read status of";
        let body = self.http.get(peer, "/status", self.timeout).await;
        let body = body.map_err(|detail| Error {
            operation,
            peer,
            detail,
        })?;
        serde_json::from_slice(&body).map_err(|err| Error {
            operation,
            peer,
            detail: err.to_string().into(),
        })
    }

    /// Requests the latest events of one node and returns those that match `options`.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let client = hitch_ctl::admin_client::AdminClient::default();
    /// let options = hitch_event::timeline::Options::default();
    /// assert!(client.events("127.0.0.1:1".parse().unwrap(), &options).await.is_err());
    /// # }
    /// ```
    pub async fn events(
        &self,
        peer: SocketAddr,
        options: &timeline::Options,
    ) -> Result<Events, Error> {
        let body = self.http.get(peer, "/events", self.timeout).await;
        let operation = "read events of";
        let body = body.map_err(|detail| Error {
            operation,
            peer,
            detail,
        })?;
        let mut found = Events::default();
        for line in body.split(|b| *b == b'\n') {
            if line.trim_ascii().is_empty() {
                continue;
            }
            match serde_json::from_slice(line) {
                Ok(event) => found.events.push(event),
                Err(_) => found.malformed += 1,
            }
        }
        found.events = timeline::merge(found.events, options);
        Ok(found)
    }

    /// Requests the status of several nodes.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let client = hitch_ctl::admin_client::AdminClient::default();
    /// assert!(client.statuses([]).await.responses.is_empty());
    /// # }
    /// ```
    pub async fn statuses(
        &self,
        peers: impl IntoIterator<Item = SocketAddr>,
    ) -> FanOutResult<Status> {
        fan_out(peers, |peer| async move { (peer, self.status(peer).await) }).await
    }

    /// Requests the latest events of several nodes and returns those that match `options`.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let client = hitch_ctl::admin_client::AdminClient::default();
    /// let options = hitch_event::timeline::Options::default();
    /// assert!(client.all_events([], &options).await.responses.is_empty());
    /// # }
    /// ```
    pub async fn all_events(
        &self,
        peers: impl IntoIterator<Item = SocketAddr>,
        options: &timeline::Options,
    ) -> FanOutResult<Events> {
        let request = |peer| async move { (peer, self.events(peer, options).await) };
        fan_out(peers, request).await
    }

    /// Requests the status of `seeds` and then of up to [`MAX_POLLED_NODES`] of the nodes that they list.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let client = hitch_ctl::admin_client::AdminClient::default();
    /// let (polled, fleet) = client.discover(&[]).await;
    /// assert_eq!((polled.responses.len(), fleet.present().count()), (0, 0));
    /// # }
    /// ```
    pub async fn discover(&self, seeds: &[SocketAddr]) -> (FanOutResult<Status>, Fleet) {
        let mut polled = self.statuses(seeds.iter().copied()).await;
        let mut fleet = Fleet::default();
        for (peer, status) in &polled.responses {
            fleet.merge_report(*peer, status);
        }
        let seeds: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
        let found = fleet.present().filter_map(|n| n.admin);
        let found = found.filter(|peer| !seeds.contains(peer));
        let found: Vec<_> = found.take(MAX_POLLED_NODES).collect();
        let more = self.statuses(found).await;
        for (peer, status) in &more.responses {
            fleet.merge_report(*peer, status);
        }
        polled.responses.extend(more.responses);
        polled.errors.extend(more.errors);
        (polled, fleet)
    }
}

async fn fan_out<T, F: Future<Output = (SocketAddr, Result<T, Error>)>>(
    peers: impl IntoIterator<Item = SocketAddr>,
    request: impl FnMut(SocketAddr) -> F,
) -> FanOutResult<T> {
    let mut merged = FanOutResult {
        responses: Vec::new(),
        errors: Vec::new(),
    };
    let peers: BTreeSet<SocketAddr> = peers.into_iter().collect();
    let requests: Vec<F> = peers.into_iter().map(request).collect();
    let mut results = futures::stream::iter(requests).buffer_unordered(MAX_CONCURRENT_REQUESTS);
    while let Some((peer, result)) = results.next().await {
        match result {
            Ok(response) => merged.responses.push((peer, response)),
            Err(err) => merged.errors.push(err),
        }
    }
    merged.responses.sort_by_key(|(peer, _)| *peer);
    merged.errors.sort_by_key(|err| err.peer);
    merged
}
