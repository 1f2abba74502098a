//! What the node shows to operators.

use std::sync::Arc;

use hitch_admin::Status;
use hitch_admin::serve;
use hitch_admin::status::Member as MemberStatus;
use hitch_gate::shards::lock;
use tokio::net::TcpListener;

use crate::backend::Standing;
use crate::frame::Member;
use crate::mesh::Mesh;
use crate::metrics::Service;

/// Serves operators until the process ends, and says so if it cannot.
pub(crate) async fn run(mesh: Arc<Mesh>) {
    let address = mesh.settings.admin;
    let served = match TcpListener::bind(address).await {
        Ok(listener) => serve::until(options(&mesh), listener, std::future::pending()).await,
        Err(err) => Err(err),
    };
    // Callers are served all the same.
    if let Err(err) = served {
        slog::error!(mesh.reporter.log(), "admin: operators are not served"; "address" => %address,
            "error" => %err);
    }
}

fn options(mesh: &Arc<Mesh>) -> serve::Handlers {
    let (reason, status, events) = (mesh.clone(), mesh.clone(), mesh.clone());
    let (metrics, drain) = (mesh.clone(), mesh.clone());
    serve::Handlers {
        not_ready_reason: Box::new(move || reason.not_ready_reason().map(Box::from)),
        status: Box::new(move || to_status(&status)),
        events: Box::new(move || events.reporter.recorder().events()),
        metrics: Box::new(move || to_metrics(&metrics)),
        drain: Box::new(move || drain.stop_asked.notify_one()),
    }
}

fn to_metrics(mesh: &Mesh) -> String {
    let metrics = &mesh.metrics;
    metrics
        .peers
        .set(lock(&mesh.members).connected_count() as i64);
    metrics
        .config_age_seconds
        .set(mesh.config_age().as_secs_f64());
    let load = mesh.server.load().as_ref().map(|s| s.gate.load());
    metrics.queued.set(load.unwrap_or_default().queued.into());
    mesh.pools.for_each(|shard| {
        for (service, pool) in shard.iter() {
            let label = Service::from(&**service);
            let under_way = i64::from(pool.in_flight());
            metrics.under_way.get_or_create(&label).set(under_way);
        }
    });
    mesh.buckets.for_each(|shard| {
        for (service, bucket) in shard.iter() {
            let label = Service::from(&**service);
            let left = f64::from(bucket.milli()) / 1_000.0;
            metrics.repeats_left.get_or_create(&label).set(left);
        }
    });
    metrics.to_text()
}

fn to_status(mesh: &Mesh) -> Status {
    let settings = &mesh.settings;
    let reason = mesh.not_ready_reason();
    let state = match (mesh.is_draining(), reason) {
        (true, _) => "draining",
        (false, None) => "ready",
        (false, Some(_)) => "starting",
    };
    let in_force_at = lock(&mesh.in_force_at_ms).to_owned();
    Status {
        instance: settings.instance.clone(),
        zone: settings.zone.clone(),
        state: state.into(),
        ready: reason.is_none(),
        not_ready_reason: Some(reason.unwrap_or_default().into()),
        version_in_force: mesh.version(),
        version_known: mesh.newest_seen.load(std::sync::atomic::Ordering::Relaxed),
        in_force_at_ms: in_force_at,
        service: settings.service.clone(),
        backend_up: lock(&mesh.beside).standing() == Standing::Accepting,
        log_reads: mesh.metrics.reads.get(),
        members: members(mesh),
        ..Status::default()
    }
}

fn members(mesh: &Mesh) -> Vec<MemberStatus> {
    let mut shown = Vec::new();
    for (member, is_connected) in lock(&mesh.members).all() {
        let version_in_force = mesh
            .try_link(&member.address)
            .map_or(0, |link| link.state().version);
        shown.push(MemberStatus {
            instance: (*member.instance).into(),
            zone: (*member.zone).into(),
            service: (*member.service).into(),
            state: if is_connected { "ready" } else { "suspect" }.into(),
            admin: admin_address(&member),
            address: (*member.address).into(),
            version_in_force,
        });
    }
    shown.sort_by(|a, b| a.instance.cmp(&b.instance));
    shown
}

/// Returns where a node serves operators, or nothing when it says no port.
fn admin_address(member: &Member) -> Box<str> {
    match (member.address.rsplit_once(':'), member.admin_port) {
        (Some((ip, _)), port) if port > 0 => format!("{ip}:{port}").into(),
        _ => "".into(),
    }
}
