//! Reads the configuration and the list of members from the store, and registers this node there.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hitch_admin::recorder::Subject;
use hitch_event::Kind;
use hitch_fresh::EraChange;
use hitch_fresh::Position;
use hitch_fresh::StoreAnswer;
use hitch_gate::shards::lock;
use prost::Message;
use rand::RngExt;

use crate::config;
use crate::frame::Member;
use crate::frame::Members;
use crate::freshness;
use crate::mesh::Mesh;
use crate::peer;
use crate::rollout;
use crate::store::Error;
use crate::store::Page;
use crate::store::Record;
use crate::store::Topic;
use crate::store_poll;
use crate::store_poll::Polled;

/// Least time between the ends of two reads, so that versions published in quick succession are read together. It is
/// far below the time within which a version must come into force.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for which a node waits for its first configuration from a peer when all nodes start for the first time.
/// Operators publish one some seconds before the first calls.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between the record of a node and its read of the list when all nodes start for the first time. They start within
/// 0.3 s of each other, so that the list is whole then, and each node chooses its connections only once.
const FIRST_LIST_DELAY: Duration = Duration::from_millis(700);
/// Time over which the nodes spread the writes of their records when the store has come back from an older copy.
const ERA_JITTER: Duration = Duration::from_secs(1);
/// Interval at which a waiting node checks whether it has a configuration or has become a reader.
const FIRST_CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Backoff after the first failed operation.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff after failed operations. After an outage of the store, a new version is read within this time.
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);

/// Follows the configuration in the store for as long as the process runs. A node that is not a reader of its zone
/// reads once, if no peer supplies a configuration first, and then waits until it becomes one.
pub(crate) async fn follow_config(mesh: Arc<Mesh>) {
    let mut from: Option<Position> = None;
    let mut failures = 0;
    if mesh.settings.is_first_start {
        await_first_config(&mesh).await;
    }
    loop {
        // A node that restarts reads at once, when it has no peers to rely on yet: its callers wait.
        let has_config = from.is_some() || mesh.version() > 0;
        if has_config && await_reader_role(&mesh).await {
            // The offset dates from before the wait; only the newest record counts.
            from = None;
        }
        // The node may have learned of a later era from a peer.
        from = from.filter(|from| freshness::known_era(&mesh) == Some(from.era));
        let is_live = from.is_some();
        match store_poll::config(&mesh, from.map(|from| from.offset)).await {
            Polled::Answered { asked, page } => {
                reset_failures(&mesh, &mut failures);
                set_lacks_store(&mesh, false);
                let answer = StoreAnswer {
                    asked,
                    from,
                    next: Position {
                        offset: page.end,
                        era: page.era,
                    },
                    is_whole: page.is_whole,
                    is_empty: page.records.is_empty(),
                };
                rollout::learn_orders(&mesh, &page.records, is_live);
                apply_newest_config(&mesh, page);
                let (change, next) = freshness::store_answered(&mesh, answer);
                from = next;
                if change == EraChange::Old || (!answer.is_empty && from.is_some()) {
                    tokio::time::sleep(MIN_READ_INTERVAL).await;
                } else if let Some(bounds) = freshness::bounds(&mesh)
                    && from.is_some()
                {
                    tokio::time::sleep(bounds.poll_pause()).await;
                }
            }
            Polled::Failed(Error::Trimmed { .. }) | Polled::Stopped => from = None,
            Polled::Failed(err) => {
                set_lacks_store(&mesh, true);
                back_off(&mesh, &err, &mut failures).await;
                // The topic may have changed in ways that a read from an old offset does not show.
                from = None;
            }
        }
    }
}

/// Waits, when all nodes start for the first time, until this node is known to be a reader, has a configuration from a
/// peer, or has waited for long enough. So the readers ask the store on behalf of all.
async fn await_first_config(mesh: &Mesh) {
    let give_up_at = mesh.now() + FIRST_CONFIG_TIMEOUT;
    while mesh.now() < give_up_at && mesh.version() == 0 {
        let is_registered = mesh.is_registered.load(Ordering::Relaxed);
        if is_registered && lock(&mesh.members).is_reader() {
            return;
        }
        tokio::time::sleep(FIRST_CONFIG_POLL_INTERVAL).await;
    }
}

/// Waits until this node is a reader of its zone. Returns whether it had to wait.
async fn await_reader_role(mesh: &Mesh) -> bool {
    let mut waited = false;
    loop {
        let changed = mesh.readers_changed.notified();
        if lock(&mesh.members).is_reader() {
            return waited;
        }
        waited = true;
        changed.await;
    }
}

/// Tells the peers whether this node is unable to read the store.
pub(crate) fn set_lacks_store(mesh: &Mesh, lacks_store: bool) {
    mesh.state.send_if_modified(|state| {
        let changed = state.lacks_store != lacks_store;
        state.lacks_store = lacks_store;
        changed
    });
}

fn log_undecodable(mesh: &Mesh, page: &Page) {
    for key in &page.undecodable {
        slog::warn!(mesh.reporter.log(), "store: record cannot be decoded, ignored"; "key" => %key);
    }
}

fn apply_newest_config(mesh: &Arc<Mesh>, page: Page) {
    log_undecodable(mesh, &page);
    let newest = page
        .records
        .into_iter()
        .rev()
        .find(|record| record.key == mesh.store.config_key);
    if let Some(Record {
        value: Some(data), ..
    }) = newest
    {
        config::apply(mesh, data, config::SOURCE_STORE);
    }
}

/// Registers this node in the list of members and reads the other members, once. Nodes that start later connect to this
/// one by themselves. A node that restarts finds its record in the list and does not write it again.
pub(crate) async fn register(mesh: Arc<Mesh>) {
    let mut failures = 0;
    let mut member = mesh.state.borrow().member.clone().unwrap_or_default();
    // The version changes with the backend server. The record does not, so that a restarted node finds it as it is.
    member.software_version.clear();
    let mut needs_record = mesh.settings.is_first_start;
    let mut is_written = false;
    // The list is read after this node's record is in it: of two nodes that start together, at least one reads the
    // record of the other.
    loop {
        if needs_record {
            let record = Record {
                key: mesh.own_address(),
                value: Some(member.encode_to_vec().into()),
            };
            let result = (mesh.store.put)(Topic::Members, record).await;
            mesh.metrics.store_call("put", result.is_ok());
            match result {
                Ok(appended) => {
                    freshness::observe_era(&mesh, appended.era);
                }
                Err(err) => {
                    back_off(&mesh, &err, &mut failures).await;
                    continue;
                }
            }
            (needs_record, is_written) = (false, true);
            if mesh.settings.is_first_start {
                tokio::time::sleep(FIRST_LIST_DELAY).await;
            }
        }
        let result = (mesh.store.newest)(Topic::Members).await;
        mesh.metrics.store_call("newest", result.is_ok());
        match result {
            Ok(page) => {
                freshness::observe_era(&mesh, page.era);
                needs_record = !learn_members(&mesh, page, &member) && !is_written;
                if !needs_record {
                    break;
                }
            }
            Err(err) => back_off(&mesh, &err, &mut failures).await,
        }
    }
    reset_failures(&mesh, &mut failures);
    mesh.is_registered.store(true, Ordering::Relaxed);
}

/// Writes this node's record again each time that the era of the store has risen, for as long as the process runs: the
/// copy that the store came back from may lack it.
pub(crate) async fn follow_era(mesh: Arc<Mesh>) {
    let mut rises = mesh.freshness.rises.subscribe();
    let mut failures = 0;
    // The sender lives as long as the mesh.
    while rises.changed().await.is_ok() {
        let jitter = rand::rng().random_range(Duration::ZERO..ERA_JITTER);
        tokio::time::sleep(jitter).await;
        rises.mark_unchanged();
        while !mesh.is_draining() {
            let member = mesh.state.borrow().member.clone().unwrap_or_default();
            let record = Record {
                key: mesh.own_address(),
                value: Some(member.encode_to_vec().into()),
            };
            let result = (mesh.store.put)(Topic::Members, record).await;
            mesh.metrics.store_call("put", result.is_ok());
            match result {
                Ok(appended) => {
                    reset_failures(&mesh, &mut failures);
                    slog::info!(mesh.reporter.log(), "members: own record written again"; "era" => appended.era);
                    freshness::observe_era(&mesh, appended.era);
                    break;
                }
                Err(err) => back_off(&mesh, &err, &mut failures).await,
            }
        }
    }
}

/// Adds the members of the list, and returns whether this node's own entry is in it, up to the time of the start.
fn learn_members(mesh: &Mesh, page: Page, own: &Member) -> bool {
    log_undecodable(mesh, &page);
    let mut is_listed = false;
    let mut members = Vec::new();
    for record in page.records {
        let Some(value) = record.value else { continue };
        match Member::decode(value) {
            Ok(member) if *member.address == *record.key => {
                let incarnation = own.incarnation;
                is_listed |= Member {
                    incarnation,
                    ..member.clone()
                } == *own;
                members.push(member);
            }
            _ => {
                slog::warn!(mesh.reporter.log(), "members: record cannot be decoded, ignored"; "key" => %record.key)
            }
        }
    }
    slog::info!(mesh.reporter.log(), "members: read from the store"; "count" => members.len());
    peer::learn(mesh, Members { members });
    mesh.readers_changed.notify_one();
    is_listed
}

fn record_event(mesh: &Mesh, text: String) {
    mesh.reporter
        .recorder()
        .record_unlogged(Kind::Log, Subject::default(), text);
}

async fn back_off(mesh: &Mesh, err: &Error, failures: &mut u32) {
    if *failures == 0 {
        slog::warn!(mesh.reporter.log(), "store: unavailable"; "error" => %err);
        record_event(mesh, format!("store: unavailable, {err}"));
    }
    let backoff = INITIAL_BACKOFF * 2u32.saturating_pow((*failures).min(8));
    *failures += 1;
    // Jitter spreads the retries, so that the nodes do not return to the store all at once.
    let jitter = rand::rng().random_range(0.7..1.3);
    let max_backoff = freshness::max_backoff(mesh).unwrap_or(MAX_BACKOFF);
    tokio::time::sleep(backoff.min(max_backoff).mul_f64(jitter)).await;
}

fn reset_failures(mesh: &Mesh, failures: &mut u32) {
    if *failures > 0 {
        slog::info!(mesh.reporter.log(), "store: available again"; "failures" => *failures);
        record_event(mesh, "store: available again".into());
    }
    *failures = 0;
}
