//! Metric and log line of each limit that acts on what the node holds for callers.

use hitch_edge::bounds::Limit;

use crate::mesh::Mesh;
use crate::metrics::Limited;

/// Counts and logs a limit that acted.
pub(crate) fn report(mesh: &Mesh, limit: Limit, detail: &str) {
    let labels = Limited {
        limit: limit.label(),
    };
    mesh.metrics.limited.get_or_create(&labels).inc();
    if let Some(suppressed) = mesh.reporter.try_write(limit.label(), mesh.now()) {
        slog::warn!(mesh.reporter.log(), "bounds: {}", limit.label(); "detail" => detail,
            "held_bytes" => mesh.bounds.account.used(), "account_bytes" => mesh.bounds.account.total(),
            "connections" => mesh.bounds.connection_count(), "suppressed" => suppressed);
    }
}
