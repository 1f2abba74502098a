//! Requests that crash backend servers: records which requests ran when a backend server crashed,
//! and shares this evidence with the other nodes of the service.

use std::sync::Arc;
use std::time::Duration;

use hitch_event::Kind;
use hitch_proto::peer::CallRequest;
use hitch_proto::peer::SuspectRequest;
use hitch_retry::Fingerprint;
use hitch_retry::NotRun;
use hitch_retry::suspicion::CrashedBackend;
use hitch_retry::suspicion::Evidence;
use hitch_retry::suspicion::Verdict;
use hitch_roster::State;
use prost::Message;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::node::Node;
use crate::peers::Class;
use crate::shards::lock;
use crate::wire;

/// Interval at which a waiting suspect checks whether it may run.
const INTERVAL: Duration = Duration::from_millis(5);
/// Probe connections after a broken connection, and the pause between them. If the backend server
/// does not accept one, it has crashed; otherwise only the connection broke.
const PROBE_COUNT: u32 = 2;
const PROBE_PAUSE: Duration = Duration::from_millis(30);
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for sending evidence to one node.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// A call that is tracked while it runs. Dropping it counts as an end without an answer.
#[derive(Debug)]
pub(crate) struct TrackedCall {
    node: Arc<Node>,
    fingerprint: Option<Fingerprint>,
}

/// Decides whether a call may run, and waits while another suspect runs.
pub(crate) async fn begin(
    node: &Arc<Node>,
    req: &CallRequest,
    deadline: Instant,
) -> Result<TrackedCall, NotRun> {
    let path = &req.path_and_query;
    let fingerprint = Fingerprint::of(&req.customer, &req.method, path, &req.body);
    loop {
        let verdict = lock(&node.board.suspicion).begin(fingerprint, node.time.now());
        match verdict {
            Verdict::Run => {
                return Ok(TrackedCall {
                    node: node.clone(),
                    fingerprint: Some(fingerprint),
                });
            }
            Verdict::Refuse => return Err(NotRun::CrashSuspect),
            Verdict::Wait if Instant::now() + INTERVAL >= deadline => return Err(NotRun::Deadline),
            Verdict::Wait => tokio::time::sleep(INTERVAL).await,
        }
    }
}

impl TrackedCall {
    /// Records how the call ended; `lost` means that its connection broke.
    pub(crate) async fn end(mut self, answered: bool, lost: bool) {
        if lost && backend_is_down(&self.node).await {
            self.record_crash();
        }
        let Some(fingerprint) = self.fingerprint.take() else {
            return;
        };
        let now = self.node.time.now();
        let evidence = lock(&self.node.board.suspicion).end(fingerprint, answered, now);
        broadcast(&self.node, evidence);
    }

    fn record_crash(&mut self) {
        let crashed_backend = CrashedBackend {
            instance: self.node.settings.instance.clone(),
            incarnation: self.node.incarnation,
        };
        let now = self.node.time.now();
        let evidence = lock(&self.node.board.suspicion).crashed(&crashed_backend, now);
        if evidence.is_empty() {
            return;
        }
        let text = format!(
            "crash suspects: {} requests ran when the backend server crashed",
            evidence.len()
        );
        self.node
            .recorder
            .record(Kind::Member, Default::default(), text);
        broadcast(&self.node, evidence);
    }
}

impl Drop for TrackedCall {
    fn drop(&mut self) {
        let Some(fingerprint) = self.fingerprint.take() else {
            return;
        };
        let now = self.node.time.now();
        lock(&self.node.board.suspicion).end(fingerprint, false, now);
    }
}

async fn backend_is_down(node: &Node) -> bool {
    for _ in 0..PROBE_COUNT {
        let connect = TcpStream::connect(node.settings.backend.address);
        if !matches!(
            tokio::time::timeout(PROBE_TIMEOUT, connect).await,
            Ok(Ok(_))
        ) {
            return true;
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
    false
}

/// Sends evidence to the other nodes of the service, which are the only ones that would run the
/// request.
fn broadcast(node: &Arc<Node>, evidence: Vec<Evidence>) {
    if evidence.is_empty() {
        return;
    }
    let req = SuspectRequest {
        stamp: wire::stamp(&node.recorder),
        suspicions: evidence.iter().map(to_wire).collect(),
    };
    let mut addresses = Vec::new();
    for (_, member) in lock(&node.board.roster).members() {
        let contact = &member.contact;
        let is_other = contact.instance != node.settings.instance;
        if is_other
            && contact.service == node.settings.backend.service
            && member.state != State::Gone
        {
            addresses.push(contact.address.clone());
        }
    }
    for address in addresses {
        let (node, req) = (node.clone(), req.clone());
        tokio::spawn(async move {
            let _ = tokio::time::timeout(SEND_TIMEOUT, send(&node, &address, req)).await;
        });
    }
}

async fn send(node: &Node, address: &str, req: SuspectRequest) {
    let Ok(mut client) = node.peers.client(address, Class::Control).await else {
        return;
    };
    node.metrics
        .count_control_message("suspect", "sent", req.encoded_len());
    if let Err(status) = client.suspect(req).await {
        slog::debug!(node.recorder.log(),
            "crash suspects: evidence not delivered: {}", status; "peer" => address);
    }
}

/// Merges evidence received from another node of the service.
pub(crate) fn receive(node: &Node, req: SuspectRequest) {
    node.metrics
        .count_control_message("suspect", "received", req.encoded_len());
    let now = node.time.now();
    let mut suspicion = lock(&node.board.suspicion);
    for wire in req.suspicions {
        let Ok(incarnation) = wire.incarnation.as_slice().try_into() else {
            continue;
        };
        let evidence = Evidence {
            fingerprint: Fingerprint(wire.fingerprint),
            backend: CrashedBackend {
                instance: wire.instance.into(),
                incarnation,
            },
            cleared: wire.cleared,
            ttl: Duration::from_millis(wire.ttl_ms.into()),
        };
        suspicion.merge(&evidence, now);
    }
}

fn to_wire(evidence: &Evidence) -> hitch_proto::peer::Suspicion {
    hitch_proto::peer::Suspicion {
        fingerprint: evidence.fingerprint.0,
        instance: evidence.backend.instance.to_string(),
        incarnation: evidence.backend.incarnation.to_vec(),
        cleared: evidence.cleared,
        ttl_ms: evidence.ttl.as_millis() as u32,
    }
}
