//! Requests to nodes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use hitch_admin::Status;
use hitch_event::Event;
use hitch_event::timeline;
use snafu::Snafu;

use crate::fleet::Fleet;
use crate::http::Http;

/// Time within which a node must answer, unless the caller sets another.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Requests in flight at once, which keeps a command from disturbing a large fleet.
const CONCURRENCY: usize = 16;

/// Nodes other than the given ones that are asked for their status. A status lists all members, so
/// that asking every node would cost the square of the fleet.
pub const MAX_DIRECT: usize = 64;

/// A node that gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{step} {peer}: {detail}"))]
pub struct Error {
    /// Step that failed.
    pub step: &'static str,
    /// Admin address of the node.
    pub peer: SocketAddr,
    /// What was found.
    pub detail: Box<str>,
}

/// The answers of several nodes.
#[derive(Debug, Clone)]
pub struct FanOutResult<T> {
    /// Answers, by the admin address of the node.
    pub responses: Vec<(SocketAddr, T)>,
    /// Nodes without an answer.
    pub errors: Vec<Error>,
}

/// Events of a node.
#[derive(Debug, Clone, Default)]
pub struct Events {
    /// The events that could be decoded.
    pub events: Vec<Event>,
    /// Number of lines that could not be decoded.
    pub malformed: usize,
}

/// A client of nodes.
#[derive(Debug, Clone)]
pub struct AdminClient {
    http: Http,
    timeout: Duration,
}

impl Default for AdminClient {
    fn default() -> AdminClient {
        AdminClient {
            http: Http::default(),
            timeout: TIMEOUT,
        }
    }
}

impl AdminClient {
    /// Returns a client on the same connections that awaits each answer for `timeout` at most.
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

    /// Asks one node for its status.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// // Nothing listens on port 1.
    /// let nodes = hitch_ctl::admin_client::AdminClient::default();
    /// let err = nodes.status("127.0.0.1:1".parse().unwrap()).await.unwrap_err();
    /// assert_eq!(err.peer.port(), 1);
    /// # }
    /// ```
    pub async fn status(&self, peer: SocketAddr) -> Result<Status, Error> {
        let step = "read status of";
        let body = self.http.get(peer, "/status", self.timeout).await;
        let body = body.map_err(|detail| Error { step, peer, detail })?;
        serde_json::from_slice(&body).map_err(|err| Error {
            step,
            peer,
            detail: err.to_string().into(),
        })
    }

    /// Asks one node for those of its latest events that `options` keep.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let nodes = hitch_ctl::admin_client::AdminClient::default();
    /// let options = hitch_event::timeline::Options::default();
    /// assert!(nodes.events("127.0.0.1:1".parse().unwrap(), &options).await.is_err());
    /// # }
    /// ```
    pub async fn events(
        &self,
        peer: SocketAddr,
        options: &timeline::Options,
    ) -> Result<Events, Error> {
        let body = self.http.get(peer, "/events", self.timeout).await;
        let step = "read events of";
        let body = body.map_err(|detail| Error { step, peer, detail })?;
        let mut out = Events::default();
        for line in body.split(|b| *b == b'\n') {
            if line.trim_ascii().is_empty() {
                continue;
            }
            match serde_json::from_slice(line) {
                Ok(event) => out.events.push(event),
                Err(_) => out.malformed += 1,
            }
        }
        out.events = timeline::merge(out.events, options);
        Ok(out)
    }

    /// Asks several nodes for their status.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let nodes = hitch_ctl::admin_client::AdminClient::default();
    /// assert!(nodes.statuses([]).await.responses.is_empty());
    /// # }
    /// ```
    pub async fn statuses(
        &self,
        peers: impl IntoIterator<Item = SocketAddr>,
    ) -> FanOutResult<Status> {
        ask(peers, |peer| async move { (peer, self.status(peer).await) }).await
    }

    /// Asks several nodes for those of their latest events that `options` keep.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let nodes = hitch_ctl::admin_client::AdminClient::default();
    /// let options = hitch_event::timeline::Options::default();
    /// assert!(nodes.all_events([], &options).await.responses.is_empty());
    /// # }
    /// ```
    pub async fn all_events(
        &self,
        peers: impl IntoIterator<Item = SocketAddr>,
        options: &timeline::Options,
    ) -> FanOutResult<Events> {
        let one = |peer| async move { (peer, self.events(peer, options).await) };
        ask(peers, one).await
    }

    /// Asks `seeds` and then up to [`MAX_DIRECT`] of the nodes that they know.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// let nodes = hitch_ctl::admin_client::AdminClient::default();
    /// let (answers, fleet) = nodes.discover(&[]).await;
    /// assert_eq!((answers.responses.len(), fleet.present().count()), (0, 0));
    /// # }
    /// ```
    pub async fn discover(&self, seeds: &[SocketAddr]) -> (FanOutResult<Status>, Fleet) {
        let mut answers = self.statuses(seeds.iter().copied()).await;
        let mut fleet = Fleet::default();
        for (peer, status) in &answers.responses {
            fleet.observe(*peer, status);
        }
        let asked: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
        let found = fleet.present().filter_map(|n| n.admin);
        let found = found.filter(|peer| !asked.contains(peer));
        let found: Vec<_> = found.take(MAX_DIRECT).collect();
        let more = self.statuses(found).await;
        for (peer, status) in &more.responses {
            fleet.observe(*peer, status);
        }
        answers.responses.extend(more.responses);
        answers.errors.extend(more.errors);
        (answers, fleet)
    }
}

async fn ask<T, F: Future<Output = (SocketAddr, Result<T, Error>)>>(
    peers: impl IntoIterator<Item = SocketAddr>,
    one: impl FnMut(SocketAddr) -> F,
) -> FanOutResult<T> {
    let mut out = FanOutResult {
        responses: Vec::new(),
        errors: Vec::new(),
    };
    let peers: BTreeSet<SocketAddr> = peers.into_iter().collect();
    let requests: Vec<F> = peers.into_iter().map(one).collect();
    let mut results = futures::stream::iter(requests).buffer_unordered(CONCURRENCY);
    while let Some((peer, result)) = results.next().await {
        match result {
            Ok(answer) => out.responses.push((peer, answer)),
            Err(err) => out.errors.push(err),
        }
    }
    out.responses.sort_by_key(|(peer, _)| *peer);
    out.errors.sort_by_key(|err| err.peer);
    out
}
