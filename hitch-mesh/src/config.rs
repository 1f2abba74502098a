//! Distribution of the configuration: a newer version replaces an older one, whether it comes from the store or from a
//! peer.

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
use hitch_route::hosts::Config;
use hitch_route::hosts::Table;

use crate::execute;
use crate::frame::Kind;
use crate::frame::Notice;
use crate::frame::PullConfig;
use crate::frame::RawConfig;
use crate::freshness;
use crate::link::FrameSender;
use crate::mesh::Mesh;

/// Delay before a version that a peer is known to have is requested from that peer, so that it can arrive from the
/// store or by a notice first. This saves transfers between zones.
pub(crate) const PULL_DELAY: Duration = Duration::from_millis(300);
/// Source of a configuration that this node read from the store itself.
pub(crate) const SOURCE_STORE: &str = "store";
/// Longest decompressed configuration that is accepted from a peer, in bytes. The store's records are shorter.
const MAX_CONFIG_BYTES: u64 = 16 * 1024 * 1024;

/// Brings a configuration into force if it is newer than the one in force.
pub(crate) fn apply(mesh: &Arc<Mesh>, data: Bytes, source: &'static str) {
    let config = match (mesh.decode)(&data) {
        Ok(config) => config,
        Err(reason) => {
            slog::error!(mesh.reporter.log(), "config: cannot be decoded, the version in force stays";
                "source" => source, "reason" => %reason, "in_force" => mesh.version());
            return;
        }
    };
    // The lock covers the comparison and the swap: when two versions arrive at once, the newer one wins.
    let mut raw = lock(&mesh.raw_config);
    if config.version <= mesh.version() {
        return;
    }
    let is_first = mesh.version() == 0;
    let version = config.version;
    let routes = config.routes.len();
    connect_to_services(mesh, &config);
    mesh.table.store(Some(Arc::new(Table::new(config))));
    *raw = Some(data);
    mesh.newest_known_version
        .fetch_max(version, Ordering::Relaxed);
    drop(raw);
    freshness::on_version_in_force(mesh, version);
    match is_first {
        true => drop(tokio::spawn(execute::check_backend(mesh.clone()))),
        false => execute::reconfigure(mesh),
    }
    notify(mesh, version, source == SOURCE_STORE);
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

/// Connects to nodes of the services that the routes lead to.
fn connect_to_services(mesh: &Mesh, config: &Config) {
    let parts = config.routes.iter().flat_map(|route| &route.split);
    let services = parts
        .filter(|part| part.weight > 0)
        .map(|part| &*part.service);
    lock(&mesh.members).set_services(services);
    mesh.dial_wake.notify_one();
}

/// Decompresses and applies a configuration that a peer sent.
pub(crate) fn apply_compressed(mesh: &Arc<Mesh>, raw: &RawConfig) {
    if raw.version <= mesh.version() {
        return;
    }
    let mut data = Vec::new();
    let mut reader = DeflateDecoder::new(&raw.data[..]).take(MAX_CONFIG_BYTES);
    match reader.read_to_end(&mut data) {
        Ok(_) => {
            apply(mesh, data.into(), "peer");
        }
        Err(err) => slog::error!(mesh.reporter.log(), "config: cannot decompress a peer's version";
            "version" => raw.version, "error" => %err),
    }
}

/// Returns the configuration in force, compressed, if it is newer than the version `have`.
pub(crate) fn compressed_newer_than(mesh: &Mesh, have: u64) -> Option<RawConfig> {
    let (data, version) = {
        // Under the lock that covers the swap, so that the data and the version belong together.
        let raw = lock(&mesh.raw_config);
        (raw.clone()?, mesh.version())
    };
    if version <= have {
        return None;
    }
    let mut compressed = lock(&mesh.compressed_config);
    if compressed.version != version {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        // Writing to memory cannot fail.
        let _ = encoder.write_all(&data);
        compressed.data = encoder.finish().unwrap_or_default().into();
        compressed.version = version;
    }
    Some(compressed.clone())
}

/// Passes on that a configuration is in force here. If it came from the store, notifies nodes of the other zones as well:
/// readers that the store does not answer would otherwise wait for seconds.
fn notify(mesh: &Mesh, version: u64, is_from_store: bool) {
    let notice = Kind::Notice(Notice {
        version,
        address: mesh.own_address().into(),
    });
    mesh.spread(&notice);
    if is_from_store {
        mesh.spread_to_other_zones(&notice);
    }
}

/// Requests a version that a peer is known to have from that peer, unless it arrives another way within `delay`. While a
/// request for the version is open, another one is sent only if it is not answered within [`PULL_DELAY`].
pub(crate) fn on_peer_version(mesh: &Arc<Mesh>, version: u64, peer: &FrameSender, delay: Duration) {
    let in_force = mesh.version();
    if version <= in_force {
        return;
    }
    let known = mesh
        .newest_known_version
        .fetch_max(version, Ordering::Relaxed);
    // A node that has just started serves no caller until it has a version.
    let is_urgent = delay.is_zero() || in_force == 0;
    if known >= version && !is_urgent {
        return;
    }
    let delay = match is_urgent {
        true if mesh.requested_version.fetch_max(version, Ordering::Relaxed) < version => {
            Duration::ZERO
        }
        true => PULL_DELAY,
        false => delay,
    };
    let (mesh, peer) = (mesh.clone(), peer.clone());
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let have = mesh.version();
        if have >= version {
            return;
        }
        // Sending fails only if the connection has ended.
        let _ = peer.send(Kind::PullConfig(PullConfig { have }));
        // The peer may be gone by now. Then the next peer that names the version is asked.
        tokio::time::sleep(PULL_DELAY).await;
        let have = mesh.version();
        if have < version {
            mesh.newest_known_version.store(have, Ordering::Relaxed);
            mesh.requested_version.store(have, Ordering::Relaxed);
        }
    });
}
