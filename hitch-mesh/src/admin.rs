//! Operators' interface: readiness, status, events, metrics and drain.

use std::sync::Arc;

use hitch_admin::Status;
use hitch_admin::serve;
use hitch_admin::status::Member as MemberStatus;
use hitch_gate::shards::lock;
use tokio::net::TcpListener;

use crate::backend::Availability;
use crate::frame::Member;
use crate::members::Contact;
use crate::mesh::Mesh;
use crate::metrics::Service;

/// Serves operators until the process exits. An error is logged and does not stop the node.
pub(crate) async fn run(mesh: Arc<Mesh>) {
    let address = mesh.settings.admin;
    let served = match TcpListener::bind(address).await {
        Ok(listener) => serve::until(handlers(&mesh), listener, std::future::pending()).await,
        Err(err) => Err(err),
    };
    // The node serves callers nevertheless.
    if let Err(err) = served {
        slog::error!(mesh.reporter.log(), "admin: cannot serve operators"; "address" => %address,
            "error" => %err);
    }
}

fn handlers(mesh: &Arc<Mesh>) -> serve::Handlers {
    let (reason, status, events) = (mesh.clone(), mesh.clone(), mesh.clone());
    let (metrics, drain) = (mesh.clone(), mesh.clone());
    serve::Handlers {
        not_ready_reason: Box::new(move || reason.not_ready_reason().map(Box::from)),
        status: Box::new(move || to_status(&status)),
        events: Box::new(move || events.reporter.recorder().events()),
        metrics: Box::new(move || to_metrics(&metrics)),
        drain: Box::new(move || drain.stop_requested.notify_one()),
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
    let held_bytes = i64::try_from(mesh.bounds.account.used());
    metrics.held_bytes.set(held_bytes.unwrap_or(i64::MAX));
    let connections = mesh.bounds.connection_count() as i64;
    metrics.caller_connections.set(connections);
    let load = mesh.server.load().as_ref().map(|s| s.gate.load());
    metrics.queued.set(load.unwrap_or_default().queued.into());
    mesh.pools.for_each(|shard| {
        for (service, pool) in shard.iter() {
            let label = Service::from(&**service);
            let in_flight = i64::from(pool.in_flight());
            metrics.in_flight.get_or_create(&label).set(in_flight);
        }
    });
    mesh.retry_buckets.for_each(|shard| {
        for (service, bucket) in shard.iter() {
            let label = Service::from(&**service);
            let allowed = f64::from(bucket.milli()) / 1_000.0;
            metrics.retry_budget.get_or_create(&label).set(allowed);
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
        version_known: mesh
            .newest_known_version
            .load(std::sync::atomic::Ordering::Relaxed),
        in_force_at_ms: in_force_at,
        service: settings.service.clone(),
        backend_up: lock(&mesh.local_backend).availability() == Availability::Accepting,
        log_reads: mesh.metrics.reads.get(),
        members: members(mesh),
        ..Status::default()
    }
}

fn members(mesh: &Mesh) -> Vec<MemberStatus> {
    let mut statuses = Vec::new();
    for (member, contact) in lock(&mesh.members).all() {
        let version_in_force = mesh
            .try_link(&member.address)
            .map_or(0, |link| link.state().version);
        statuses.push(MemberStatus {
            instance: (*member.instance).into(),
            zone: (*member.zone).into(),
            service: (*member.service).into(),
            state: match contact {
                Contact::Connected => "ready",
                Contact::Listed => "listed",
                Contact::Unreachable => "suspect",
            }
            .into(),
            admin: admin_address(&member),
            address: (*member.address).into(),
            version_in_force,
        });
    }
    statuses.sort_by(|a, b| a.instance.cmp(&b.instance));
    statuses
}

/// Returns the address of a node's listener for operators, or an empty string if the node states no port.
fn admin_address(member: &Member) -> Box<str> {
    match (member.address.rsplit_once(':'), member.admin_port) {
        (Some((ip, _)), port) if port > 0 => format!("{ip}:{port}").into(),
        _ => "".into(),
    }
}
