//! Reads the configuration from the store, and asks again while an answer is missing.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hitch_gate::shards::lock;

use crate::freshness;
use crate::mesh::Mesh;
use crate::store::Error;
use crate::store::Page;
use crate::store::Topic;
use crate::sync;

/// Longest time that a read waits for a new record (long polling). The store charges for each request, so a long wait is
/// cheaper. But a read that the store loses in an outage ends only with its timeout, 1.5 s after this wait, and by then
/// the store may have a version that must be in force within 5 s after the outage.
const MAX_POLL_WAIT: Duration = Duration::from_millis(2_500);

/// How a read ended.
pub(crate) enum Polled {
    /// The store answered.
    Answered {
        /// When the store was asked.
        asked: Duration,
        /// Its answer.
        page: Page,
    },
    /// The store did not answer, or refused.
    Failed(Error),
    /// The node need not read any more, or must read from the start, because the era of the store has risen.
    Stopped,
}

/// Reads the configuration from an offset on, or the newest one.
///
/// While revocations are enforced strictly, the store is asked once more in intervals as long as an answer is missing:
/// the proof that its next answer brings must not wait for the timeout of a read that was lost.
pub(crate) async fn config(mesh: &Mesh, from: Option<u64>) -> Polled {
    let bounds = freshness::bounds(mesh);
    let wait = match (from, bounds) {
        (None, _) => Duration::ZERO,
        (Some(_), None) => MAX_POLL_WAIT,
        (Some(_), Some(bounds)) => bounds.poll_wait().min(MAX_POLL_WAIT),
    };
    let mut rises = mesh.freshness.rises.subscribe();
    let mut open = FuturesUnordered::new();
    open.push(ask(mesh, from, wait));
    let mut repeat_after = bounds.map(|bounds| wait + bounds.repeat_interval());
    loop {
        let repeat = async {
            match repeat_after {
                Some(time) => tokio::time::sleep(time).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            Some((asked, result)) = open.next() => match result {
                Ok(page) => return Polled::Answered { asked, page },
                // The others may still be answered.
                Err(Error::NoAnswer { .. }) if !open.is_empty() => {
                    sync::set_lacks_store(mesh, true);
                }
                Err(err) => return Polled::Failed(err),
            },
            _ = rises.changed() => return Polled::Stopped,
            () = repeat => {
                if mesh.version() > 0 && !lock(&mesh.members).is_reader() {
                    return Polled::Stopped;
                }
                open.push(ask(mesh, from, Duration::ZERO));
                repeat_after = bounds.map(|bounds| bounds.repeat_interval());
            }
        }
    }
}

async fn ask(mesh: &Mesh, from: Option<u64>, wait: Duration) -> (Duration, Result<Page, Error>) {
    // The proof counts from here: the store's answer may be of any time after this.
    let asked = mesh.now();
    let (operation, result) = match from {
        None => ("newest", (mesh.store.newest)(Topic::Config).await),
        Some(from) => {
            let read = (mesh.store.read)(Topic::Config, from, wait);
            ("read", read.await)
        }
    };
    mesh.metrics.store_call(operation, result.is_ok());
    (asked, result)
}
