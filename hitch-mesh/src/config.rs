//! The configuration: newer versions replace older ones, wherever they come from.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hitch_gate::shards::lock;
use hitch_route::hosts::Table;

use crate::execute;
use crate::frame::Kind;
use crate::frame::PullConfig;
use crate::link::Link;
use crate::mesh::Mesh;

/// Time that the store has to deliver a version of which a peer is known to have it, before it is asked of the peer.
/// The store answers every node within milliseconds; this keeps configurations off the links between zones.
const STORE_HEAD_START: Duration = Duration::from_millis(300);

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
    let version = config.version;
    let routes = config.routes.len();
    mesh.table.store(Some(Arc::new(Table::new(config))));
    *raw = Some(data);
    mesh.newest_seen.fetch_max(version, Ordering::Relaxed);
    drop(raw);
    execute::reconfigure(mesh);
    mesh.metrics.version.set(version as i64);
    slog::info!(mesh.reporter.log(), "config: in force"; "version" => version, "routes" => routes,
        "source" => source);
}

/// Notes that a peer has a version, and asks it for that version if the store does not deliver it soon.
pub(crate) fn note_version(mesh: &Arc<Mesh>, version: u64, link: &Arc<Link>) {
    if version <= mesh.version()
        || mesh.newest_seen.fetch_max(version, Ordering::Relaxed) >= version
    {
        return;
    }
    let has_none = mesh.version() == 0;
    let (mesh, link) = (mesh.clone(), link.clone());
    tokio::spawn(async move {
        if !has_none {
            tokio::time::sleep(STORE_HEAD_START).await;
        }
        let have = mesh.version();
        if have >= version {
            return;
        }
        link.send(Kind::PullConfig(PullConfig { have }));
        // The peer may be gone by now; then the next one that names the version is asked.
        tokio::time::sleep(STORE_HEAD_START).await;
        if mesh.version() < version {
            mesh.newest_seen.store(mesh.version(), Ordering::Relaxed);
        }
    });
}
