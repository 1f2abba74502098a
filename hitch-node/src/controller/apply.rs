//! Applies records of the log and brings configuration versions into force.

use std::sync::Arc;
use std::time::Duration;

use hitch_admin::recorder::Subject;
use hitch_config::State;
use hitch_config::Verdict;
use hitch_contract::Contract;
use hitch_contract::Service;
use hitch_edge::Backend;
use hitch_edge::backend::Options;
use hitch_edge::body::Memory;
use hitch_event::Kind;
use hitch_route::Table;
use hitch_spread::Record;
use http::HeaderName;

use crate::blackboard::Config;
use crate::execute;
use crate::gate::Gate;
use crate::node::Node;
use crate::shards::lock;
use crate::time::wall_ms;

/// Interval at which a routing table that waits for backend servers is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for opening a connection to the local backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Brings routing tables into force as soon as that is allowed, for as long as the node runs.
///
/// ```no_run
/// # async fn run(node: std::sync::Arc<hitch_node::Node>) {
/// hitch_node::controller::apply::run(node).await
/// # }
/// ```
pub async fn run(node: Arc<Node>) {
    loop {
        let changed = tokio::time::timeout(CHECK_INTERVAL, node.board.changed.notified())
            .await
            .is_ok();
        if changed || lock(&node.board.config).switch.is_waiting() {
            activate_table(&node);
        }
    }
}

/// Verdicts on the records that were applied, with their offsets.
pub(crate) type Verdicts = Vec<(u64, Verdict)>;

/// Applies records in the order of their offsets. Records that were applied before change nothing.
pub(crate) fn records(node: &Node, config: &mut Config, records: &[Record]) -> Verdicts {
    let mut verdicts = Vec::new();
    for record in records {
        match config.state.apply(record.offset, &record.data) {
            Ok(Verdict::AlreadyApplied) => continue,
            Ok(verdict) => verdicts.push((record.offset, verdict)),
            Err(err) => {
                slog::warn!(node.recorder.log(), "apply: cannot apply a record: {}", err);
                break;
            }
        }
    }
    if !verdicts.is_empty() {
        offer_table(node, config);
    }
    verdicts
}

/// Adopts a snapshot if it is newer than the configuration state.
pub(crate) fn adopt_snapshot(node: &Node, config: &mut Config, state: State) {
    if config.state.adopt(state) {
        offer_table(node, config);
    }
}

fn offer_table(node: &Node, config: &mut Config) {
    let table = Table::compile(&config.state);
    config.switch.offer(node.time.now(), table);
}

/// Records the verdicts as events, and brings the newest routing table into force if that is
/// allowed.
pub(crate) fn record_and_activate(node: &Node, verdicts: Verdicts) {
    for (offset, verdict) in verdicts {
        record_verdict(node, offset, verdict);
    }
    activate_table(node);
}

fn record_verdict(node: &Node, offset: u64, verdict: Verdict) {
    match verdict {
        Verdict::Accepted { version } => {
            let subject = Subject {
                version,
                call_id: "",
            };
            node.recorder
                .record(Kind::Accepted, subject, "apply: change accepted");
        }
        Verdict::Refused(refusal) => {
            let subject = Subject {
                version: offset + 1,
                call_id: "",
            };
            node.recorder.record(
                Kind::Refused,
                subject,
                format!("apply: change refused: {refusal}"),
            );
        }
        Verdict::AlreadyApplied => {}
    }
}

/// Brings the newest routing table into force if that is allowed. Activates routes whose service
/// got its first backend server, and deactivates those whose service lost its last one.
pub(crate) fn activate_table(node: &Node) {
    let has_backend = |service: &str| {
        node.board
            .pools
            .lock(service)
            .get(service)
            .is_some_and(|pool| !pool.is_empty())
    };
    let mut config = lock(&node.board.config);
    let next = config.switch.poll(node.time.now(), has_backend);
    let changed = next.is_some();
    let current = node.table();
    let next = match next {
        Some(next) => next,
        None if current.inactive_matches(has_backend) => return,
        None => Table::clone(&current).with_services(has_backend),
    };
    if changed {
        config.in_force_at_ms = wall_ms();
    }
    let version = next.version();
    configure_backend(node, &next);
    // The lock on the configuration is still held, so that an older table never replaces a newer
    // one.
    node.board.table.store(Arc::new(next));
    drop(config);
    if changed {
        let subject = Subject {
            version,
            call_id: "",
        };
        node.recorder
            .record(Kind::InForce, subject, "apply: version in force");
    }
}

/// Configures the queue and the connections of the local backend server.
fn configure_backend(node: &Node, table: &Table) {
    let settings = &node.settings.backend;
    let Some(contract) = table.try_contract(&settings.customer) else {
        return;
    };
    let Some(service) = contract
        .services
        .iter()
        .find(|s| s.name == settings.service)
    else {
        return;
    };
    match node.board.gate.load_full() {
        Some(gate) => {
            if let Some(backend) = node.board.backend.load_full() {
                backend.raise_max_connections(service.connections as usize);
            }
            gate.reconfigure(service, &contract.ranks);
        }
        None => create_gate(node, contract, service),
    }
}

fn create_gate(node: &Node, contract: &Contract, service: &Service) {
    let gate = Arc::new(Gate::new(
        node.time,
        service,
        &contract.ranks,
        Default::default(),
    ));
    let options = Options {
        refusal_header: Some(HeaderName::from_static(execute::SHED)),
        ..Options::new(service.connections as usize, CONNECT_TIMEOUT)
    };
    let address = node.settings.backend.address.to_string();
    let memory = Memory {
        account: node.bounds.account.clone(),
        clock: node.time,
    };
    node.board.backend.store(Some(Arc::new(Backend::charged_to(
        memory, &address, options,
    ))));
    node.board.gate.store(Some(gate.clone()));
    tokio::spawn(async move { gate.drive().await });
}
