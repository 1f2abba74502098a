//! The configuration: newer versions replace older ones, wherever they come from.

use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use hitch_admin::recorder::Subject;
use hitch_event::Kind as EventKind;
use hitch_gate::shards::lock;
use hitch_gate::time::wall_ms;
use hitch_route::hosts::Table;

use crate::execute;
use crate::frame::Kind;
use crate::frame::Notice;
use crate::frame::PullConfig;
use crate::frame::RawConfig;
use crate::link::Link;
use crate::mesh::Mesh;

/// Time that a version has to come from the store or by a notice, once a peer is known to have it, before it is asked
/// of that peer. It keeps configurations off the links between zones.
pub(crate) const HEAD_START: Duration = Duration::from_millis(300);
/// Nodes of the zone that each node tells of a new version. With 4, a zone of 1,000 nodes is reached in 5 steps, and the
/// slowest link carries four configurations.
const FAN_OUT: usize = 4;
/// Nodes of an availability zone that follow the store for the others. The second one covers the time until the loss of
/// the first is noticed.
pub(crate) const READERS_PER_ZONE: usize = 2;
/// Source of a configuration that this node read itself.
pub(crate) const STORE: &str = "store";
/// Longest configuration that is taken from a peer, in bytes. The store's records are shorter.
const MAX_BYTES: u64 = 16 * 1024 * 1024;

/// Brings a configuration into force if it is newer than the one in force.
pub(crate) fn apply(mesh: &Arc<Mesh>, data: Bytes, source: &'static str) {
    let config = match (mesh.decode)(&data) {
        Ok(config) => config,
        Err(reason) => {
            slog::error!(mesh.reporter.log(), "config: unreadable, the last good one stays in force";
                "source" => source, "reason" => %reason, "in_force" => mesh.version());
            return;
        }
    };
    // The lock spans the comparison and the swap, so that of two versions at a time the newer one wins.
    let mut raw = lock(&mesh.raw_config);
    if config.version <= mesh.version() {
        return;
    }
    let is_first = mesh.version() == 0;
    let version = config.version;
    let routes = config.routes.len();
    mesh.table.store(Some(Arc::new(Table::new(config))));
    *raw = Some(data);
    mesh.newest_seen.fetch_max(version, Ordering::Relaxed);
    drop(raw);
    match is_first {
        true => drop(tokio::spawn(execute::find(mesh.clone()))),
        false => execute::reconfigure(mesh),
    }
    tell(mesh, version, source == STORE);
    mesh.metrics.version.set(version as i64);
    *lock(&mesh.in_force_at_ms) = Some(wall_ms());
    let subject = Subject {
        version,
        call_id: "",
    };
    let text = format!("config: in force, {routes} routes, from {source}");
    mesh.reporter
        .recorder()
        .record_unlogged(EventKind::InForce, subject, text);
    slog::info!(mesh.reporter.log(), "config: in force"; "version" => version, "routes" => routes,
        "source" => source);
}

/// Takes in a configuration that a peer sent.
pub(crate) fn apply_packed(mesh: &Arc<Mesh>, raw: &RawConfig) {
    if raw.version <= mesh.version() {
        return;
    }
    let mut data = Vec::new();
    let mut reader = DeflateDecoder::new(&raw.data[..]).take(MAX_BYTES);
    match reader.read_to_end(&mut data) {
        Ok(_) => {
            apply(mesh, data.into(), "peer");
        }
        Err(err) => slog::error!(mesh.reporter.log(), "config: a peer's is unreadable";
            "version" => raw.version, "error" => %err),
    }
}

/// Returns the configuration in force for a peer that has an older one.
pub(crate) fn packed_newer_than(mesh: &Mesh, have: u64) -> Option<RawConfig> {
    let (data, version) = {
        // Under the lock that spans the swap, so that the bytes are those of the version.
        let raw = lock(&mesh.raw_config);
        (raw.clone()?, mesh.version())
    };
    if version <= have {
        return None;
    }
    let mut packed = lock(&mesh.packed_config);
    if packed.version != version {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        // Writing to memory cannot fail.
        let _ = encoder.write_all(&data);
        packed.data = encoder.finish().unwrap_or_default().into();
        packed.version = version;
    }
    Some(packed.clone())
}

/// Tells the children of this node in its zone of the configuration in force, and the readers of the other zones when it
/// came from the store: a store that is silent to all readers of a zone keeps them waiting for seconds.
fn tell(mesh: &Mesh, version: u64, is_from_store: bool) {
    let own = mesh.own_address();
    let zone = &mesh.settings.zone;
    let mut told = lock(&mesh.members).children(&own, zone, FAN_OUT);
    if is_from_store {
        told.extend(lock(&mesh.members).readers_elsewhere(zone, READERS_PER_ZONE));
    }
    for address in told {
        if let Some(link) = mesh.try_link(&address) {
            link.send(Kind::Notice(Notice {
                version,
                address: own.to_string(),
            }));
        }
    }
}

/// Notes that a peer has a version, and asks it for that version if it does not come another way within `head_start`.
pub(crate) fn note_version(mesh: &Arc<Mesh>, version: u64, link: &Arc<Link>, head_start: Duration) {
    if version <= mesh.version() {
        return;
    }
    let seen = mesh.newest_seen.fetch_max(version, Ordering::Relaxed);
    if seen >= version && !head_start.is_zero() {
        return;
    }
    let head_start = match mesh.version() {
        // A node that has started serves nobody until it has a version.
        0 => Duration::ZERO,
        _ => head_start,
    };
    let (mesh, link) = (mesh.clone(), link.clone());
    tokio::spawn(async move {
        tokio::time::sleep(head_start).await;
        let have = mesh.version();
        if have >= version {
            return;
        }
        link.send(Kind::PullConfig(PullConfig { have }));
        // The peer may be gone by now; then the next one that names the version is asked.
        tokio::time::sleep(HEAD_START).await;
        if mesh.version() < version {
            mesh.newest_seen.store(mesh.version(), Ordering::Relaxed);
        }
    });
}
