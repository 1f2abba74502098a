//! The listener for operators.

use std::sync::Arc;

use hitch_admin::Status;
use hitch_admin::serve;
use hitch_admin::status::Contract;
use hitch_admin::status::Member;
use tokio::net::TcpListener;

use crate::node::Node;
use crate::shards::lock;
use crate::wire::state_name;

/// Serves operators until `stop` resolves.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) -> std::io::Result<()> {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:7103").await?;
/// hitch_node::listener::admin::serve(node, listener, std::future::pending()).await
/// # }
/// ```
pub async fn serve(
    node: Arc<Node>,
    listener: TcpListener,
    stop: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let (reason, status, events) = (node.clone(), node.clone(), node.clone());
    let (metrics, drain) = (node.clone(), node);
    let options = serve::Handlers {
        not_ready_reason: Box::new(move || reason.not_ready_reason().map(Box::from)),
        status: Box::new(move || to_status(&status)),
        events: Box::new(move || events.recorder.events()),
        metrics: Box::new(move || to_metrics(&metrics)),
        drain: Box::new(move || drain.drain()),
    };
    serve::until(options, listener, stop).await
}

fn to_metrics(node: &Node) -> String {
    let load = node.load();
    node.metrics.queued.set(load.queued.into());
    node.metrics.running.set(load.running.into());
    node.metrics.held_bytes.set(node.bounds.account.used());
    let connections = node.bounds.connection_count() as u64;
    node.metrics.caller_connections.set(connections);
    node.metrics
        .members
        .set(lock(&node.board.roster).live_count() as u64);
    node.metrics.version_in_force.set(node.table().version());
    node.metrics.to_text()
}

fn to_status(node: &Node) -> Status {
    let settings = &node.settings;
    let mut status = Status {
        instance: settings.instance.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        confirmed_age_ms: Some(node.confirmed_age().as_millis() as u64),
        service: settings.backend.service.clone(),
        customer: settings.backend.customer.clone(),
        backend_up: lock(&node.board.local).backend_up,
        control_bytes: Some(node.metrics.control_bytes_total()),
        log_reads: node.metrics.log_reads.get(),
        ..Status::default()
    };
    let reason = node.not_ready_reason();
    status.ready = reason.is_none();
    status.not_ready_reason = Some(reason.unwrap_or_default().into());
    let table = node.table();
    status.version_in_force = table.version();
    status.inactive_routes = table.inactive().map(Box::from).collect();
    add_config(node, &mut status);
    add_members(node, &mut status);
    status
}

fn add_config(node: &Node, status: &mut Status) {
    let config = lock(&node.board.config);
    status.version_known = config.state.version();
    status.next_offset = config.state.next_offset();
    status.state_hash = format!("{:016x}", config.state.hash()).into();
    status.in_force_at_ms = Some(config.in_force_at_ms);
    for (customer, accepted) in config.state.customers() {
        status.contracts.push(Contract {
            customer: customer.into(),
            version: accepted.version,
            text: accepted.text.clone(),
        });
    }
}

fn add_members(node: &Node, status: &mut Status) {
    let roster = lock(&node.board.roster);
    status.state = state_name(roster.own().state).into();
    for (_, member) in roster.members() {
        status.members.push(Member {
            instance: member.contact.instance.clone(),
            zone: member.contact.zone.clone(),
            service: member.contact.service.clone(),
            state: state_name(member.state).into(),
            admin: member.contact.admin.clone(),
            address: member.contact.address.clone(),
            version_in_force: 0,
        });
    }
    drop(roster);
    status.members.sort_by(|a, b| a.instance.cmp(&b.instance));
}
