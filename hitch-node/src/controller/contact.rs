//! Finds the first peers of a node that starts without a reachable seed.
//!
//! Nodes append contact records to a stream of the log. In a large fleet only some do, so that a mass
//! restart does not use up the append rate of the log.

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
/// Contact records that are wanted of a fleet which starts as a whole.
const WANTED: usize = 64;
/// Latest contact records that a node tries.
const TRIED: u64 = 32;
/// Time in which a node finds peers by its seeds before it asks the log.
const SEED_TIME: Duration = Duration::from_millis(1500);
/// Longest random wait before a node appends its contact record.
const APPEND_JITTER: Duration = Duration::from_secs(5);
/// Time between two looks at whether this node is alone.
const PERIOD: Duration = Duration::from_secs(5);
/// Offset that no stream reaches.
const BEYOND_END: u64 = u64::MAX / 2;

#[derive(Debug, Serialize, Deserialize)]
struct Contact {
    address: Box<str>,
}

/// Appends the contact record of this node, and looks for peers in the log while it knows none.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::contact::run(node).await
/// # }
/// ```
pub async fn run(node: Arc<Node>) {
    tokio::time::sleep(SEED_TIME).await;
    find(&node).await;
    let jitter = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(APPEND_JITTER.mul_f64(jitter)).await;
    append(&node).await;
    loop {
        tokio::time::sleep(PERIOD).await;
        find(&node).await;
    }
}

fn live_count(node: &Node) -> usize {
    lock(&node.board.roster).live_count()
}

async fn append(node: &Node) {
    let chance = WANTED as f64 / live_count(node).max(1) as f64;
    if !rand::rng().random_bool(chance.min(1.0)) {
        return;
    }
    let contact = Contact {
        address: node.settings.peer.to_string().into(),
    };
    let data = serde_json::to_vec(&contact).expect("a contact has text keys only");
    node.metrics.log_appends.inc();
    if let Err(err) = node.log.append(STREAM, data.into()).await {
        slog::debug!(node.recorder.log(), "roster: {}", err);
    }
}

async fn find(node: &Arc<Node>) {
    if live_count(node) > 1 {
        return;
    }
    node.metrics.log_reads.inc();
    let Ok(end) = node.log.read(STREAM, BEYOND_END, 1, Duration::ZERO).await else {
        return;
    };
    let from = end.next.saturating_sub(TRIED).max(end.first);
    node.metrics.log_reads.inc();
    let Ok(outcome) = node
        .log
        .read(STREAM, from, TRIED as u32, Duration::ZERO)
        .await
    else {
        return;
    };
    let own = node.settings.peer.to_string();
    for record in outcome.records.iter().rev() {
        let Ok(contact) = serde_json::from_slice::<Contact>(&record.data) else {
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
