//! What the node reads from the store and writes to it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hitch_admin::recorder::Subject;
use hitch_event::Kind;
use hitch_gate::shards::lock;
use prost::Message;
use rand::RngExt;

use crate::config;
use crate::frame::Member;
use crate::frame::Members;
use crate::mesh::Mesh;
use crate::peer;
use crate::store::Error;
use crate::store::Page;
use crate::store::Record;
use crate::store::Topic;

/// Longest wait of one read for a new record; a call to the store is charged, a waiting one costs nothing more.
const LONGEST_WAIT: Duration = Duration::from_secs(25);
/// Least time between the ends of two reads. Versions that follow each other faster are read together; it stays far
/// below the time within which a version has to be in force.
const COALESCE: Duration = Duration::from_millis(500);
/// First pause after an operation failed.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after operations that failed; after an outage, news is read within this time.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);

/// Follows the configuration in the store for as long as the process runs, as a reader of the zone or as a node that
/// relies on the readers.
pub(crate) async fn follow_config(mesh: Arc<Mesh>) {
    let mut from: Option<u64> = None;
    let mut failures = 0;
    loop {
        // Every node reads once at its start, when it has no peers to rely on.
        if from.is_some() && await_turn(&mesh).await {
            // The offset is old by now; the newest record is all that counts.
            from = None;
        }
        let (operation, result) = match from {
            None => ("newest", (mesh.store.newest)(Topic::Config).await),
            Some(from) => {
                let read = (mesh.store.read)(Topic::Config, from, LONGEST_WAIT);
                ("read", read.await)
            }
        };
        mesh.metrics.store_call(operation, result.is_ok());
        match result {
            Ok(page) => {
                regained(&mesh, &mut failures);
                set_lacks_store(&mesh, false);
                let is_news = !page.records.is_empty();
                from = Some(page.end);
                take_config(&mesh, page);
                if is_news {
                    tokio::time::sleep(COALESCE).await;
                }
            }
            Err(Error::Trimmed { .. }) => from = None,
            Err(err) => {
                set_lacks_store(&mesh, true);
                lost(&mesh, &err, &mut failures).await;
                // The topic may have changed in ways that a read from an old offset does not show.
                from = None;
            }
        }
    }
}

/// Waits until this node is a reader of its zone, and returns whether it was none at first.
async fn await_turn(mesh: &Mesh) -> bool {
    let mut waited = false;
    loop {
        let changed = mesh.readers_changed.notified();
        let own = mesh.own_address();
        if lock(&mesh.members).is_reader(&own, &mesh.settings.zone, config::READERS_PER_ZONE) {
            return waited;
        }
        waited = true;
        changed.await;
    }
}

fn set_lacks_store(mesh: &Mesh, lacks_store: bool) {
    mesh.state.send_if_modified(|state| {
        let changed = state.lacks_store != lacks_store;
        state.lacks_store = lacks_store;
        changed
    });
}

fn take_config(mesh: &Arc<Mesh>, page: Page) {
    let newest = page
        .records
        .into_iter()
        .rev()
        .find(|record| record.key == mesh.store.config_key);
    if let Some(Record {
        value: Some(data), ..
    }) = newest
    {
        config::apply(mesh, data, config::STORE);
    }
}

/// Enters this node into the list of nodes and reads the others, once. Later nodes announce themselves to this one.
pub(crate) async fn enter(mesh: Arc<Mesh>) {
    let mut failures = 0;
    let member = mesh.state.borrow().member.clone().unwrap_or_default();
    let record = Record {
        key: mesh.own_address(),
        value: Some(member.encode_to_vec().into()),
    };
    // Written before the list is read: of two nodes that start together, at least one reads the other.
    loop {
        let result = (mesh.store.put)(Topic::Members, record.clone()).await;
        mesh.metrics.store_call("put", result.is_ok());
        match result {
            Ok(()) => break,
            Err(err) => lost(&mesh, &err, &mut failures).await,
        }
    }
    loop {
        let result = (mesh.store.newest)(Topic::Members).await;
        mesh.metrics.store_call("newest", result.is_ok());
        match result {
            Ok(page) => {
                take_members(&mesh, page);
                break;
            }
            Err(err) => lost(&mesh, &err, &mut failures).await,
        }
    }
    regained(&mesh, &mut failures);
    mesh.is_listed.store(true, Ordering::Relaxed);
}

fn take_members(mesh: &Mesh, page: Page) {
    let mut members = Vec::new();
    for record in page.records {
        let Some(value) = record.value else { continue };
        match Member::decode(value) {
            Ok(member) if *member.address == *record.key => members.push(member),
            _ => {
                slog::warn!(mesh.reporter.log(), "members: a record is unreadable"; "key" => %record.key)
            }
        }
    }
    slog::info!(mesh.reporter.log(), "members: read from the store"; "count" => members.len());
    peer::learn(mesh, Members { members });
}

fn note(mesh: &Mesh, text: String) {
    mesh.reporter
        .recorder()
        .record_unlogged(Kind::Log, Subject::default(), text);
}

async fn lost(mesh: &Mesh, err: &Error, failures: &mut u32) {
    if *failures == 0 {
        slog::warn!(mesh.reporter.log(), "store: lost"; "error" => %err);
        note(mesh, format!("store: lost, {err}"));
    }
    let pause = FIRST_PAUSE * 2u32.saturating_pow((*failures).min(8));
    *failures += 1;
    // Spread over time, so that nodes do not return to the store together.
    let part = rand::rng().random_range(0.7..1.3);
    tokio::time::sleep(pause.min(LONGEST_PAUSE).mul_f64(part)).await;
}

fn regained(mesh: &Mesh, failures: &mut u32) {
    if *failures > 0 {
        slog::info!(mesh.reporter.log(), "store: regained"; "failures" => *failures);
        note(mesh, "store: regained".into());
    }
    *failures = 0;
}
