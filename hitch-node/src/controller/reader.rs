//! Reads the configuration from the log, on the nodes that the roster selects as readers.

use std::sync::Arc;
use std::time::Duration;

use hitch_config::State;
use hitch_event::Kind;
use hitch_log::read::Error;
use hitch_spread::Record;
use rand::RngExt;

use crate::controller::exchange;
use crate::node::Node;
use crate::shards::lock;

/// Stream of the log that holds configuration changes.
pub const CONFIG_STREAM: &str = "config";
/// Stream of the log that holds snapshots.
pub const SNAPSHOT_STREAM: &str = "snapshots";
/// Number of readers in each availability zone.
pub const READERS_PER_ZONE: usize = 2;
/// Maximum time that the log holds a read open for new records (long polling).
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of records of one read.
const MAX_RECORDS: u32 = 512;
/// Interval at which the node checks whether it has become a reader.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Offset beyond the end of every stream.
const BEYOND_END: u64 = u64::MAX / 2;
/// Maximum number of snapshots to try, newest first, when one cannot be decoded.
const MAX_SNAPSHOT_TRIES: usize = 3;
/// Initial and maximum backoff after a failed read.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Reads the log whenever this node is a reader, for as long as it runs.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::reader::run(node).await
/// # }
/// ```
pub async fn run(node: Arc<Node>) {
    let mut backoff = INITIAL_BACKOFF;
    let mut wait = Duration::ZERO;
    loop {
        if !is_reader(&node) {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        match read(&node, wait).await {
            Ok(at_end) => {
                // After records the next read does not wait, since there may be more: an answer is
                // limited in size, so only one without records shows the end.
                wait = if at_end {
                    LONG_POLL_TIMEOUT
                } else {
                    Duration::ZERO
                };
                set_log_up(&node, true, "reader: the log is available");
                backoff = INITIAL_BACKOFF;
            }
            Err(Error::Trimmed { first, .. }) => {
                recover(&node, first).await;
                tokio::time::sleep(backoff).await;
            }
            Err(err) => {
                set_log_up(&node, false, &format!("reader: cannot read the log: {err}"));
                let jitter = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Returns whether the roster selects this node as a reader of the log.
///
/// ```no_run
/// # fn run(node: hitch_node::Node) {
/// assert!(hitch_node::controller::reader::is_reader(&node));
/// # }
/// ```
pub fn is_reader(node: &Node) -> bool {
    lock(&node.board.roster).is_reader(node.time.now(), READERS_PER_ZONE)
}

/// Reads once, and returns whether the end of the log was reached.
async fn read(node: &Arc<Node>, wait: Duration) -> Result<bool, Error> {
    let from = lock(&node.board.spread).next_offset();
    let requested_at = node.time.now();
    node.metrics.log_reads.inc();
    let outcome = node
        .log
        .read(CONFIG_STREAM, from, MAX_RECORDS, wait)
        .await?;
    let at_end = outcome.records.is_empty();
    let next = outcome.next;
    let mut records = Vec::new();
    for record in outcome.records {
        records.push(Record {
            offset: record.offset,
            data: record.data.as_ref().into(),
        });
    }
    if !at_end {
        let text = format!("reader: read {} records", records.len());
        node.recorder.record(Kind::Read, Default::default(), text);
    }
    exchange::update_spread(node, |spread, now| {
        let outcome = spread.received_log_records(now, requested_at, records);
        if at_end {
            spread.received_log_end(now, requested_at, next);
        }
        outcome
    });
    Ok(at_end)
}

fn set_log_up(node: &Node, up: bool, text: &str) {
    let was_up = std::mem::replace(&mut lock(&node.board.local).log_up, up);
    if up != was_up {
        node.recorder.record(Kind::Log, Default::default(), text);
    }
}

/// Installs the newest snapshot in the log after the records that this node needs were trimmed.
async fn recover(node: &Arc<Node>, first: u64) {
    let text = format!("reader: records before {first} were trimmed, recovering from a snapshot");
    node.recorder.record(Kind::Log, Default::default(), text);
    let Some(state) = newest_snapshot(node).await else {
        return;
    };
    if state.next_offset() < first {
        slog::warn!(
            node.recorder.log(),
            "reader: the newest snapshot ends before the first retained record {}",
            first
        );
    }
    exchange::install_snapshot(node, None, state);
}

/// Reads the newest snapshot in the log that can be decoded.
///
/// A read beyond the end returns the offset of the end, so the older snapshots are not read.
pub(crate) async fn newest_snapshot(node: &Node) -> Option<State> {
    node.metrics.log_reads.inc();
    let end = match node
        .log
        .read(SNAPSHOT_STREAM, BEYOND_END, 1, Duration::ZERO)
        .await
    {
        Ok(outcome) => outcome.next,
        Err(err) => {
            slog::warn!(
                node.recorder.log(),
                "reader: cannot read the snapshots: {}",
                err
            );
            return None;
        }
    };
    for offset in (0..end).rev().take(MAX_SNAPSHOT_TRIES) {
        node.metrics.log_reads.inc();
        let outcome = node
            .log
            .read(SNAPSHOT_STREAM, offset, 1, Duration::ZERO)
            .await
            .ok()?;
        let Some(record) = outcome.records.first() else {
            continue;
        };
        match State::from_snapshot(&record.data) {
            Ok(state) => return Some(state),
            Err(err) => slog::warn!(
                node.recorder.log(),
                "reader: cannot decode a snapshot: {}",
                err
            ),
        }
    }
    None
}
