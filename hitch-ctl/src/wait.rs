//! Waiting until a version is in force on every known node.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hitch_admin::Status;
use serde::Serialize;
use tokio::time::Instant;

use crate::admin_client::AdminClient;
use crate::admin_client::FanOutResult;
use crate::admin_client::MAX_POLLED_NODES;
use crate::fleet::Fleet;
use crate::fleet::Node;

/// Pause between two polling rounds.
pub const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which progress is reported again although the known nodes and the laggards did not change.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a status request during the wait. A frozen node delays every polling round by it.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit for the laggards that the text form of [`Progress`] lists.
const MAX_NAMED_LAGGARDS: usize = 8;

/// Options of [`until_in_force`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Version that must be in force.
    pub version: u64,
    /// Maximum duration of the wait.
    pub timeout: Duration,
}

/// Progress of a version towards being in force on every known node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// Version that must be in force.
    pub version: u64,
    /// Time since the wait began, in milliseconds.
    pub elapsed_ms: u64,
    /// Number of nodes on which the version is in force.
    pub in_force: usize,
    /// Number of known nodes, including seeds that did not answer and whose instance is unknown.
    pub known: usize,
    /// Nodes on which the version is not in force.
    pub laggards: Vec<Laggard>,
}

/// A node on which the version is not in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Laggard {
    /// Instance of the node, or its admin address when its instance is unknown.
    pub instance: Box<str>,
    /// Why the version is not in force on the node, as far as the reports tell.
    pub reason: Box<str>,
}

impl Progress {
    /// Returns whether the version is in force on every known node and at least one node is known.
    ///
    /// ```
    /// # use hitch_ctl::wait::Progress;
    /// let progress = Progress { version: 1, elapsed_ms: 0, in_force: 0, known: 0, laggards: vec![] };
    /// assert!(!progress.is_done());
    /// ```
    pub fn is_done(&self) -> bool {
        self.known > 0 && self.laggards.is_empty()
    }
}

impl Progress {
    /// Returns whether to report this progress after `last` was reported: the known nodes or the
    /// laggards changed, or [`PROGRESS_INTERVAL`] passed and there are still laggards.
    fn should_report_after(&self, last: &Progress) -> bool {
        let same_laggards = self.laggards.len() == last.laggards.len()
            && self
                .laggards
                .iter()
                .zip(&last.laggards)
                .all(|(a, b)| a.instance == b.instance);
        let is_due = self.elapsed_ms >= last.elapsed_ms + PROGRESS_INTERVAL.as_millis() as u64;
        !same_laggards || self.known != last.known || (is_due && !self.laggards.is_empty())
    }
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "version {} in force on {} of {} nodes after {} ms",
            self.version, self.in_force, self.known, self.elapsed_ms
        )?;
        for laggard in self.laggards.iter().take(MAX_NAMED_LAGGARDS) {
            write!(f, "\n  {}: {}", laggard.instance, laggard.reason)?;
        }
        match self.laggards.len().saturating_sub(MAX_NAMED_LAGGARDS) {
            0 => Ok(()),
            more => write!(f, "\n  and {more} more"),
        }
    }
}

/// Polls until the version is in force on every known node or the timeout expires, and returns the
/// last progress.
///
/// Calls `on_progress` when the known nodes or the laggards change, and once a second while there are
/// laggards.
///
/// ```
/// # use std::time::Duration;
/// # use hitch_ctl::wait;
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let client = hitch_ctl::admin_client::AdminClient::default();
/// let options = wait::Options { version: 1, timeout: Duration::ZERO };
/// // Nothing listens on port 1.
/// let seeds = ["127.0.0.1:1".parse().unwrap()];
/// let last = wait::until_in_force(&client, &seeds, &options, |_| {}).await;
/// assert_eq!(last.laggards.len(), 1);
/// # }
/// ```
pub async fn until_in_force(
    client: &AdminClient,
    seeds: &[SocketAddr],
    options: &Options,
    mut on_progress: impl FnMut(&Progress),
) -> Progress {
    let start = Instant::now();
    let client = &client.with_timeout(POLL_TIMEOUT);
    let mut fleet = Fleet::default();
    let mut reported: Option<Progress> = None;
    let mut round_number = 0;
    loop {
        let polled = poll_round(client, seeds, options.version, &mut fleet, round_number).await;
        round_number += 1;
        let mut current = progress_of(&polled, &fleet, options.version);
        current.elapsed_ms = start.elapsed().as_millis() as u64;
        let should_report = reported
            .as_ref()
            .is_none_or(|last| current.should_report_after(last));
        if should_report {
            on_progress(&current);
            reported = Some(current.clone());
        }
        if current.is_done() || start.elapsed() + POLL_INTERVAL > options.timeout {
            return current;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Polls the seeds, and then nodes for which the reports give an older version or none.
///
/// At most [`MAX_POLLED_NODES`] of the latter are polled in a round. Consecutive rounds rotate through
/// them, so that nodes that stay behind do not keep the others from being polled.
async fn poll_round(
    client: &AdminClient,
    seeds: &[SocketAddr],
    version: u64,
    fleet: &mut Fleet,
    round: usize,
) -> FanOutResult<Status> {
    fleet.start_round();
    let mut polled = client.statuses(seeds.iter().copied()).await;
    for (peer, status) in &polled.responses {
        fleet.merge_report(*peer, status);
    }
    let behind = fleet
        .present()
        .filter(|node| node.version_in_force < version);
    let behind = behind
        .filter_map(|node| node.admin)
        .filter(|peer| !seeds.contains(peer));
    let mut behind: Vec<_> = behind.collect();
    let first = (round * MAX_POLLED_NODES) % behind.len().max(1);
    behind.rotate_left(first);
    behind.truncate(MAX_POLLED_NODES);
    let more = client.statuses(behind).await;
    for (peer, status) in &more.responses {
        fleet.merge_report(*peer, status);
    }
    polled.responses.extend(more.responses);
    polled.errors.extend(more.errors);
    polled
}

fn progress_of(polled: &FanOutResult<Status>, fleet: &Fleet, version: u64) -> Progress {
    let mut progress = Progress {
        version,
        elapsed_ms: 0,
        in_force: 0,
        known: 0,
        laggards: Vec::new(),
    };
    for node in fleet.present() {
        progress.known += 1;
        if node.version_in_force >= version {
            progress.in_force += 1;
            continue;
        }
        progress.laggards.push(Laggard {
            instance: node.instance.clone(),
            reason: reason(node, polled, version),
        });
    }
    for err in &polled.errors {
        if fleet.present().any(|node| node.admin == Some(err.peer)) {
            continue;
        }
        progress.known += 1;
        progress.laggards.push(Laggard {
            instance: err.peer.to_string().into(),
            reason: err.to_string().into(),
        });
    }
    progress
}

fn reason(node: &Node, polled: &FanOutResult<Status>, version: u64) -> Box<str> {
    let err = polled.errors.iter().find(|e| Some(e.peer) == node.admin);
    if let Some(err) = err {
        return format!("{}, {err}", node.state).into();
    }
    let Some(own) = &node.own else {
        let reported = node.version_in_force;
        return format!(
            "{}, last reported version in force is {reported}",
            node.state
        )
        .into();
    };
    let mut text = match own.version_known >= version {
        true => format!(
            "knows version {version}, but version {} is in force",
            node.version_in_force
        ),
        false => format!("knows only version {}", own.version_known),
    };
    if let Some(age) = own.confirmed_age_ms {
        text.push_str(&format!(", last confirmed with the log {age} ms ago"));
    }
    if !own.not_ready_reason.is_empty() {
        text.push_str(&format!(", not ready: {}", own.not_ready_reason));
    }
    text.into()
}
