//! Waiting until a version is in force on every known node.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hitch_admin::Status;
use serde::Serialize;
use tokio::time::Instant;

use crate::admin_client::AdminClient;
use crate::admin_client::FanOutResult;
use crate::admin_client::MAX_DIRECT;
use crate::fleet::Fleet;
use crate::fleet::Node;

/// Pause between two rounds of polling.
pub const INTERVAL: Duration = Duration::from_millis(200);
/// Time after which progress is shown again though no node changed.
const SHOW_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which a node must answer a poll. A frozen node delays each round by it.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Laggards that a line of progress names.
const NAMED_LAGGARDS: usize = 8;

/// What to wait for.
#[derive(Debug, Clone)]
pub struct Options {
    /// Version that must be in force.
    pub version: u64,
    /// Time to wait.
    pub within: Duration,
}

/// How far a version is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// Version that must be in force.
    pub version: u64,
    /// Time since the wait began, in milliseconds.
    pub elapsed_ms: u64,
    /// Nodes on which the version is in force.
    pub in_force: usize,
    /// All known nodes.
    pub known: usize,
    /// Nodes on which it is not.
    pub laggards: Vec<Laggard>,
}

/// A node on which the version is not in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Laggard {
    /// Instance of the node, or its admin address when it never answered.
    pub instance: Box<str>,
    /// Why the version is not in force there, as far as it is known.
    pub reason: Box<str>,
}

impl Progress {
    /// Returns whether the version is in force on every known node, and there is one.
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
    /// Returns whether this is worth a line after `last` was shown: nodes changed, or time passed.
    fn is_news_after(&self, last: &Progress) -> bool {
        let same_nodes = self.laggards.len() == last.laggards.len()
            && self
                .laggards
                .iter()
                .zip(&last.laggards)
                .all(|(a, b)| a.instance == b.instance);
        let old = self.elapsed_ms >= last.elapsed_ms + SHOW_INTERVAL.as_millis() as u64;
        !same_nodes || self.known != last.known || (old && !self.laggards.is_empty())
    }
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "version {} in force on {} of {} nodes after {} ms",
            self.version, self.in_force, self.known, self.elapsed_ms
        )?;
        for laggard in self.laggards.iter().take(NAMED_LAGGARDS) {
            write!(f, "\n  {}: {}", laggard.instance, laggard.reason)?;
        }
        match self.laggards.len().saturating_sub(NAMED_LAGGARDS) {
            0 => Ok(()),
            more => write!(f, "\n  and {more} more"),
        }
    }
}

/// Polls until the version is in force on every known node or the time is over.
///
/// `progress` is called when the laggards change, and once a second while there are any. The last progress is returned.
///
/// ```
/// # use std::time::Duration;
/// # use hitch_ctl::wait;
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let nodes = hitch_ctl::admin_client::AdminClient::default();
/// let options = wait::Options { version: 1, within: Duration::ZERO };
/// // Nothing listens on port 1.
/// let seeds = ["127.0.0.1:1".parse().unwrap()];
/// let last = wait::until_in_force(&nodes, &seeds, &options, |_| {}).await;
/// assert_eq!(last.laggards.len(), 1);
/// # }
/// ```
pub async fn until_in_force(
    nodes: &AdminClient,
    seeds: &[SocketAddr],
    options: &Options,
    mut progress: impl FnMut(&Progress),
) -> Progress {
    let start = Instant::now();
    let nodes = &nodes.with_timeout(POLL_TIMEOUT);
    let mut fleet = Fleet::default();
    let mut shown: Option<Progress> = None;
    let mut rounds = 0;
    loop {
        let answers = round(nodes, seeds, options.version, &mut fleet, rounds).await;
        rounds += 1;
        let mut now = judge(&answers, &fleet, options.version);
        now.elapsed_ms = start.elapsed().as_millis() as u64;
        let is_news = shown.as_ref().is_none_or(|last| now.is_news_after(last));
        if is_news {
            progress(&now);
            shown = Some(now.clone());
        }
        if now.is_done() || start.elapsed() + INTERVAL > options.within {
            return now;
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Asks the seeds, and then nodes that are behind or whose version no report holds.
///
/// Rounds take turns through these nodes, so that some that stay behind do not hide the others.
async fn round(
    nodes: &AdminClient,
    seeds: &[SocketAddr],
    version: u64,
    fleet: &mut Fleet,
    number: usize,
) -> FanOutResult<Status> {
    fleet.start_round();
    let mut answers = nodes.statuses(seeds.iter().copied()).await;
    for (peer, status) in &answers.responses {
        fleet.observe(*peer, status);
    }
    let behind = fleet
        .present()
        .filter(|node| node.version_in_force < version);
    let behind = behind
        .filter_map(|node| node.admin)
        .filter(|peer| !seeds.contains(peer));
    let mut behind: Vec<_> = behind.collect();
    let turn = (number * MAX_DIRECT) % behind.len().max(1);
    behind.rotate_left(turn);
    behind.truncate(MAX_DIRECT);
    let more = nodes.statuses(behind).await;
    for (peer, status) in &more.responses {
        fleet.observe(*peer, status);
    }
    answers.responses.extend(more.responses);
    answers.errors.extend(more.errors);
    answers
}

fn judge(answers: &FanOutResult<Status>, fleet: &Fleet, version: u64) -> Progress {
    let mut out = Progress {
        version,
        elapsed_ms: 0,
        in_force: 0,
        known: 0,
        laggards: Vec::new(),
    };
    for node in fleet.present() {
        out.known += 1;
        if node.version_in_force >= version {
            out.in_force += 1;
            continue;
        }
        out.laggards.push(Laggard {
            instance: node.instance.clone(),
            reason: reason(node, answers, version),
        });
    }
    for err in &answers.errors {
        if fleet.present().any(|node| node.admin == Some(err.peer)) {
            continue;
        }
        out.known += 1;
        out.laggards.push(Laggard {
            instance: err.peer.to_string().into(),
            reason: err.to_string().into(),
        });
    }
    out
}

fn reason(node: &Node, answers: &FanOutResult<Status>, version: u64) -> Box<str> {
    let err = answers.errors.iter().find(|e| Some(e.peer) == node.admin);
    if let Some(err) = err {
        return format!("{}, {err}", node.state).into();
    }
    let Some(own) = &node.own else {
        let at = node.version_in_force;
        return format!("{}, reported at version {at}", node.state).into();
    };
    let mut text = match own.version_known >= version {
        true => format!("knows it, but is at version {}", node.version_in_force),
        false => format!("knows only version {}", own.version_known),
    };
    if let Some(age) = own.confirmed_age_ms {
        text.push_str(&format!(", confirmed with the log {age} ms ago"));
    }
    if !own.not_ready_reason.is_empty() {
        text.push_str(&format!(", not ready: {}", own.not_ready_reason));
    }
    text.into()
}
