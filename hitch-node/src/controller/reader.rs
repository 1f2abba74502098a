//! Reads the configuration from the log, on the nodes that the roster picks.

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

/// Stream of the log that holds change records.
pub const CONFIG_STREAM: &str = "config";
/// Stream of the log that holds snapshots.
pub const SNAPSHOT_STREAM: &str = "snapshots";
/// Readers in each availability zone.
pub const READERS_PER_ZONE: usize = 2;
/// Longest time that the log holds a read open for new records.
const WAIT: Duration = Duration::from_secs(2);
/// Most records of one read.
const MAX_RECORDS: u32 = 512;
/// Time between two looks at whether this node is a reader.
const IDLE: Duration = Duration::from_millis(200);
/// Offset that no stream reaches.
const BEYOND_END: u64 = u64::MAX / 2;
/// Snapshots that are tried, the newest first, when one cannot be decoded.
const SNAPSHOT_TRIES: usize = 3;
/// First and longest pause after a failed read.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Reads the log whenever this node is a reader, for as long as it runs.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::reader::run(node).await
/// # }
/// ```
pub async fn run(node: Arc<Node>) {
    let mut pause = FIRST_PAUSE;
    let mut wait = Duration::ZERO;
    loop {
        if !is_reader(&node) {
            tokio::time::sleep(IDLE).await;
            continue;
        }
        match read(&node, wait).await {
            Ok(at_end) => {
                // After records the log is asked at once whether there are more. An answer may be cut
                // short by its size, so only one without records shows the end.
                wait = if at_end { WAIT } else { Duration::ZERO };
                note_log(&node, true, "reader: the log answers");
                pause = FIRST_PAUSE;
            }
            Err(Error::Trimmed { first, .. }) => {
                recover(&node, first).await;
                tokio::time::sleep(pause).await;
            }
            Err(err) => {
                note_log(&node, false, &format!("reader: {err}"));
                let jitter = rand::rng().random_range(0.5..1.0);
                tokio::time::sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Returns whether the roster picks this node to read the log.
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
    let asked_at = node.time.now();
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
    exchange::take_in(node, |spread, now| {
        let outcome = spread.received_log_records(now, asked_at, records);
        if at_end {
            spread.received_log_end(now, asked_at, next);
        }
        outcome
    });
    Ok(at_end)
}

fn note_log(node: &Node, up: bool, text: &str) {
    let was_up = std::mem::replace(&mut lock(&node.board.own).log_up, up);
    if up != was_up {
        node.recorder.record(Kind::Log, Default::default(), text);
    }
}

/// Takes over the newest snapshot in the log after the records that this node needs were trimmed.
async fn recover(node: &Arc<Node>, first: u64) {
    let text = format!("reader: records before {first} are trimmed, looking for a snapshot");
    node.recorder.record(Kind::Log, Default::default(), text);
    let Some(state) = newest_snapshot(node).await else {
        return;
    };
    if state.next_offset() < first {
        slog::warn!(
            node.recorder.log(),
            "reader: the newest snapshot ends before record {}",
            first
        );
    }
    exchange::take_snapshot(node, None, state);
}

/// Reads the newest snapshot in the log that can be decoded.
///
/// A read beyond the end answers where the end is, so the older snapshots are not read.
pub(crate) async fn newest_snapshot(node: &Node) -> Option<State> {
    node.metrics.log_reads.inc();
    let end = match node
        .log
        .read(SNAPSHOT_STREAM, BEYOND_END, 1, Duration::ZERO)
        .await
    {
        Ok(outcome) => outcome.next,
        Err(err) => {
            slog::warn!(node.recorder.log(), "reader: {}", err);
            return None;
        }
    };
    for offset in (0..end).rev().take(SNAPSHOT_TRIES) {
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
            Err(err) => slog::warn!(node.recorder.log(), "reader: {}", err),
        }
    }
    None
}
