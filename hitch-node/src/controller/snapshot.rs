//! Writes configuration snapshots to the log, so that nodes can recover after records were trimmed.

use std::sync::Arc;
use std::time::Duration;

use hitch_admin::recorder::Subject;
use hitch_event::Kind;

use crate::controller::reader::SNAPSHOT_STREAM;
use crate::controller::reader::newest_snapshot;
use crate::node::Node;
use crate::shards::lock;

/// Number of records after the last snapshot at which the next one is due.
const RECORD_THRESHOLD: u64 = 256;
/// Time after the last snapshot at which the next one is due if any record followed.
const MAX_AGE: Duration = Duration::from_secs(600);
/// Interval at which the node checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Writes snapshots whenever the roster selects this node as the writer, for as long as it runs.
///
/// Two nodes that both consider themselves selected write two snapshots, which is harmless.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::snapshot::run(node).await
/// # }
/// ```
pub async fn run(node: Arc<Node>) {
    let mut last: Option<LastSnapshot> = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !is_writer(&node) {
            last = None;
            continue;
        }
        let known = match last.take() {
            Some(known) => known,
            None => read_last(&node).await,
        };
        last = Some(write_if_due(&node, known).await);
    }
}

#[derive(Debug, Clone, Copy)]
struct LastSnapshot {
    next_offset: u64,
    written_at: Duration,
}

fn is_writer(node: &Node) -> bool {
    let roster = lock(&node.board.roster);
    roster.snapshot_writer() == Some(roster.own_key())
}

async fn read_last(node: &Node) -> LastSnapshot {
    let next_offset = newest_snapshot(node)
        .await
        .map_or(0, |state| state.next_offset());
    LastSnapshot {
        next_offset,
        written_at: node.time.now(),
    }
}

async fn write_if_due(node: &Node, last: LastSnapshot) -> LastSnapshot {
    let now = node.time.now();
    let (next_offset, version, bytes) = {
        let config = lock(&node.board.config);
        let next_offset = config.state.next_offset();
        let new = next_offset.saturating_sub(last.next_offset);
        if new < RECORD_THRESHOLD && (new == 0 || now < last.written_at + MAX_AGE) {
            return last;
        }
        (next_offset, config.state.version(), config.state.snapshot())
    };
    node.metrics.log_appends.inc();
    match node.log.append(SNAPSHOT_STREAM, bytes.into()).await {
        Ok(_) => {
            let subject = Subject {
                version,
                call_id: "",
            };
            node.recorder
                .record(Kind::Snapshot, subject, "snapshot: written to the log");
            LastSnapshot {
                next_offset,
                written_at: now,
            }
        }
        // The snapshot may have been appended if only the answer was lost; writing another one is
        // harmless.
        Err(err) => {
            slog::warn!(
                node.recorder.log(),
                "snapshot: append to the log failed: {}",
                err
            );
            last
        }
    }
}
