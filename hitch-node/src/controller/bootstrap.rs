//! Bootstraps the membership of a node that starts without a reachable seed.
//!
//! Nodes append contact records with their peer addresses to a stream of the log. In a large fleet
//! only some do, so that a mass restart does not exceed the append rate of the log.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

use crate::controller::exchange;
use crate::node::Node;
use crate::shards::lock;

/// Stream of the log that holds contact records.
pub const STREAM: &str = "roster";
/// Expected number of contact records from a fleet that starts all at once.
const TARGET_RECORDS: usize = 64;
/// Number of latest contact records that a node tries.
const MAX_CANDIDATES: u64 = 32;
/// Time for finding peers through the seeds before the node reads the log.
const SEED_PHASE: Duration = Duration::from_millis(1500);
/// Maximum random delay before a node appends its contact record.
const APPEND_JITTER: Duration = Duration::from_secs(5);
/// Interval at which the node checks whether it knows any peer.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Offset beyond the end of every stream.
const BEYOND_END: u64 = u64::MAX / 2;

#[derive(Debug, Serialize, Deserialize)]
struct ContactRecord {
    address: Box<str>,
}

/// Appends the contact record of this node, and reads peers from the log while it knows none.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::bootstrap::run(node).await
/// # }
/// ```
pub async fn run(node: Arc<Node>) {
    tokio::time::sleep(SEED_PHASE).await;
    find_peers(&node).await;
    let jitter = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(APPEND_JITTER.mul_f64(jitter)).await;
    append_record(&node).await;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        find_peers(&node).await;
    }
}

fn live_count(node: &Node) -> usize {
    lock(&node.board.roster).live_count()
}

async fn append_record(node: &Node) {
    let probability = TARGET_RECORDS as f64 / live_count(node).max(1) as f64;
    if !rand::rng().random_bool(probability.min(1.0)) {
        return;
    }
    let contact = ContactRecord {
        address: node.settings.peer.to_string().into(),
    };
    let data = serde_json::to_vec(&contact).expect("a contact has text keys only");
    node.metrics.log_appends.inc();
    if let Err(err) = node.log.append(STREAM, data.into()).await {
        slog::debug!(
            node.recorder.log(),
            "bootstrap: contact record not appended: {}",
            err
        );
    }
}

async fn find_peers(node: &Arc<Node>) {
    if live_count(node) > 1 {
        return;
    }
    node.metrics.log_reads.inc();
    let Ok(end) = node.log.read(STREAM, BEYOND_END, 1, Duration::ZERO).await else {
        return;
    };
    let from = end.next.saturating_sub(MAX_CANDIDATES).max(end.first);
    node.metrics.log_reads.inc();
    let Ok(outcome) = node
        .log
        .read(STREAM, from, MAX_CANDIDATES as u32, Duration::ZERO)
        .await
    else {
        return;
    };
    let own = node.settings.peer.to_string();
    for record in outcome.records.iter().rev() {
        let Ok(contact) = serde_json::from_slice::<ContactRecord>(&record.data) else {
            continue;
        };
        if *contact.address == *own {
            continue;
        }
        if exchange::with_address(node, &contact.address).await && live_count(node) > 1 {
            return;
        }
    }
}
