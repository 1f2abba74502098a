//! Requests that crash backend servers: who ran what when one went down, and the news of it.

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

/// Time between two looks at whether a suspect may be handed over.
const WAIT: Duration = Duration::from_millis(5);
/// Connections that are tried after a broken one, and the time between them. A backend server that
/// refuses one has crashed; otherwise only a connection broke.
const PROBES: u32 = 2;
const PROBE_PAUSE: Duration = Duration::from_millis(30);
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest time that a node takes to answer.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// A call that is handed over. Dropping it counts as an end without an answer.
#[derive(Debug)]
pub(crate) struct Watched {
    node: Arc<Node>,
    fingerprint: Option<Fingerprint>,
}

/// Decides whether a call may be handed over, and waits while another suspect runs.
pub(crate) async fn begin(
    node: &Arc<Node>,
    req: &CallRequest,
    deadline: Instant,
) -> Result<Watched, NotRun> {
    let path = &req.path_and_query;
    let fingerprint = Fingerprint::of(&req.customer, &req.method, path, &req.body);
    loop {
        let verdict = lock(&node.board.suspicion).begin(fingerprint, node.time.now());
        match verdict {
            Verdict::Run => {
                return Ok(Watched {
                    node: node.clone(),
                    fingerprint: Some(fingerprint),
                });
            }
            Verdict::Refuse => return Err(NotRun::CrashSuspect),
            Verdict::Wait if Instant::now() + WAIT >= deadline => return Err(NotRun::Deadline),
            Verdict::Wait => tokio::time::sleep(WAIT).await,
        }
    }
}

impl Watched {
    /// Notes how the call ended; `lost` means that its connection broke.
    pub(crate) async fn end(mut self, answered: bool, lost: bool) {
        if lost && backend_is_down(&self.node).await {
            self.crashed();
        }
        let Some(fingerprint) = self.fingerprint.take() else {
            return;
        };
        let now = self.node.time.now();
        let news = lock(&self.node.board.suspicion).end(fingerprint, answered, now);
        spread(&self.node, news);
    }

    fn crashed(&mut self) {
        let site = CrashedBackend {
            instance: self.node.settings.instance.clone(),
            incarnation: self.node.incarnation,
        };
        let now = self.node.time.now();
        let news = lock(&self.node.board.suspicion).crashed(&site, now);
        if news.is_empty() {
            return;
        }
        let text = format!(
            "suspects: {} requests ran when the backend server crashed",
            news.len()
        );
        self.node
            .recorder
            .record(Kind::Member, Default::default(), text);
        spread(&self.node, news);
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        let Some(fingerprint) = self.fingerprint.take() else {
            return;
        };
        let now = self.node.time.now();
        lock(&self.node.board.suspicion).end(fingerprint, false, now);
    }
}

async fn backend_is_down(node: &Node) -> bool {
    for _ in 0..PROBES {
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

/// Sends evidence to the other nodes of the service, which are the only ones that would run the request.
fn spread(node: &Arc<Node>, news: Vec<Evidence>) {
    if news.is_empty() {
        return;
    }
    let req = SuspectRequest {
        stamp: wire::stamp(&node.recorder),
        suspicions: news.iter().map(to_wire).collect(),
    };
    let mut addresses = Vec::new();
    for (_, member) in lock(&node.board.roster).members() {
        let contact = &member.contact;
        let other = contact.instance != node.settings.instance;
        if other && contact.service == node.settings.backend.service && member.state != State::Gone
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
    node.metrics.control("suspect", "sent", req.encoded_len());
    if let Err(status) = client.suspect(req).await {
        slog::debug!(node.recorder.log(), "suspects: {}", status; "peer" => address);
    }
}

/// Takes in evidence of another node of the service.
pub(crate) fn receive(node: &Node, req: SuspectRequest) {
    node.metrics
        .control("suspect", "received", req.encoded_len());
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
