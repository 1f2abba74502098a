//! Limits of organisations over all nodes: passes time and messages to and from the state machine of [`hitch_quota`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hitch_admin::recorder::Subject;
use hitch_event::Kind as EventKind;
use hitch_gate::shards::lock;
use hitch_quota::Bounds;
use hitch_quota::Fallback;
use hitch_quota::Limit;
use hitch_quota::Node;
use hitch_quota::Output;
use hitch_quota::Status;
use hitch_quota::Taken;
use hitch_quota::Token;
use hitch_quota::message;
use hitch_route::hosts::Table;
use rand::RngExt;
use tokio::sync::oneshot;

use crate::frame::Kind;
use crate::frame::QuotaCandidacy;
use crate::frame::QuotaGrant;
use crate::frame::QuotaGranted;
use crate::frame::QuotaItem;
use crate::frame::QuotaRequest;
use crate::frame::QuotaVote;
use crate::mesh::Mesh;
use crate::metrics::QuotaEvent;
use crate::settings::QuotaBounds;
use crate::settings::Settings;

/// Interval of the work that is due by time, see [`Node::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the configuration is checked while it limits no organisation.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Least interval at which the members are read, and time for each of them: their list changes rarely, and one of 5,600
/// nodes takes milliseconds to copy.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
const INTERVAL_PER_MEMBER: Duration = Duration::from_millis(1);
/// Longest wait of a request for a token. Between availability zones an answer takes 5 ms, and up to 50 ms more if the
/// request has to wait for the answer to an earlier one. With 60 ms, nodes that stall for 20 to 90 ms twice a second denied
/// 0.61 % of the requests below the limits, with 100 ms 0.025 %.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// `Retry-After` of a request for which no home could be asked in time. Another node becomes the home within 0.5 s.
const RETRY_NO_HOME: Duration = Duration::from_millis(500);

/// Reasons of a refusal.
const OVER_LIMIT: &str = "the organisation is over its limit";
const NO_HOME: &str = "the limit of the organisation could not be checked in time";

/// State of the limits of organisations at this node.
pub(crate) struct Quota(Mutex<State>);

struct State {
    node: Node,
    /// Version of the configuration whose limits the node has.
    version: u64,
    is_limited: bool,
    /// Limits of the organisations, in requests per second.
    rates: BTreeMap<Box<str>, f64>,
    fallback: Fallback,
    members_due: Duration,
    waiting: BTreeMap<u64, oneshot::Sender<Result<Token, Duration>>>,
    /// Counts at the last update of the metrics.
    counted: Status,
}

/// A refused request, which has not run.
#[derive(Debug)]
pub(crate) struct Refused {
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Duration,
}

impl Quota {
    pub(crate) fn new(settings: &Settings, now: Duration) -> Quota {
        let own = settings.peers.to_string();
        let bounds = bounds(settings.runtime.quota);
        let node = Node::new(&own, &settings.zone, rand::random(), bounds, now);
        Quota(Mutex::new(State {
            node,
            version: 0,
            is_limited: false,
            rates: BTreeMap::new(),
            fallback: Fallback::default(),
            members_due: now,
            waiting: BTreeMap::new(),
            counted: Status::default(),
        }))
    }
}

fn bounds(quota: QuotaBounds) -> Bounds {
    Bounds {
        window: quota.window,
        overage: quota.overage,
        slack: quota.slack,
    }
}

fn limits(table: &Table) -> BTreeMap<Box<str>, Limit> {
    let organisations = table.config().organisations.iter().flatten();
    let limits = organisations.map(|organisation| {
        let limit = Limit {
            rate: organisation.rate_per_second.into(),
            burst: organisation.burst.into(),
        };
        (organisation.name.clone(), limit)
    });
    limits.collect()
}

impl State {
    /// Applies the limits of the configuration in force.
    fn update_limits(&mut self, mesh: &Mesh) {
        let table = mesh.table.load();
        let Some(table) = &*table else { return };
        if table.config().version == self.version {
            return;
        }
        self.version = table.config().version;
        let limits = limits(table);
        self.is_limited = limits.values().any(|limit| limit.rate > 0.0);
        let rates = limits
            .iter()
            .map(|(name, limit)| (name.clone(), limit.rate));
        self.rates = rates.collect();
        self.node.set_limits(mesh.now(), limits);
        self.members_due = Duration::ZERO;
    }

    /// Sends requests and ends waits.
    fn apply(&mut self, mesh: &Mesh, output: Output) {
        for (to, request) in output.requests {
            if let Some(link) = mesh.try_link(&to) {
                link.send(Kind::QuotaRequest(to_frame(request)));
            }
        }
        for resolution in output.resolved {
            // A request whose wait ended meanwhile has taken itself out of the list.
            if let Some(tx) = self.waiting.remove(&resolution.ticket) {
                let _ = tx.send(resolution.result);
            }
        }
    }
}

/// A request that waits for a token. It forgets its ticket when it is dropped, as when its caller leaves.
struct Wait<'a> {
    mesh: &'a Mesh,
    organisation: &'a str,
    ticket: u64,
    rx: oneshot::Receiver<Result<Token, Duration>>,
    has_ended: bool,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let mut state = lock(&self.mesh.quota.0);
        state.waiting.remove(&self.ticket);
        state.node.cancel(self.organisation, self.ticket);
        if let Ok(Ok(token)) = self.rx.try_recv() {
            state.node.give_back(self.organisation, token);
        }
    }
}

/// Takes a token for a request on behalf of an organisation. Returns `None` if the organisation has no limit.
pub(crate) async fn admit(mesh: &Mesh, organisation: &str) -> Result<Option<Token>, Refused> {
    if organisation.is_empty() {
        return Ok(None);
    }
    let mut wait = {
        let mut state = lock(&mesh.quota.0);
        state.update_limits(mesh);
        let now = mesh.now();
        let ticket = match state.node.take(now, organisation) {
            Taken::Unlimited => return Ok(None),
            Taken::Token(token) => return Ok(Some(token)),
            Taken::Denied { retry_after } => {
                return Err(refuse(mesh, organisation, OVER_LIMIT, retry_after));
            }
            Taken::Waiting { ticket } => ticket,
        };
        let (tx, rx) = oneshot::channel();
        state.waiting.insert(ticket, tx);
        let output = state.node.flush(now, &reachable(mesh));
        state.apply(mesh, output);
        Wait {
            mesh,
            organisation,
            ticket,
            rx,
            has_ended: false,
        }
    };
    match tokio::time::timeout(MAX_WAIT, &mut wait.rx).await {
        Ok(Ok(result)) => {
            wait.has_ended = true;
            lock(&mesh.quota.0).fallback.answered(organisation);
            let denied = |retry_after| refuse(mesh, organisation, OVER_LIMIT, retry_after);
            result.map(Some).map_err(denied)
        }
        _ if admit_without_home(mesh, organisation) => Ok(None),
        _ => Err(refuse(mesh, organisation, NO_HOME, RETRY_NO_HOME)),
    }
}

/// Returns whether a request is admitted although no home answered.
fn admit_without_home(mesh: &Mesh, organisation: &str) -> bool {
    // The number of nodes is not known before the list of members was read.
    if !mesh.is_registered.load(Ordering::Relaxed) {
        return false;
    }
    let nodes = lock(&mesh.members).listed() + 1;
    let mut state = lock(&mesh.quota.0);
    let rate = state.rates.get(organisation).copied().unwrap_or_default();
    let (now, random) = (mesh.now(), rand::rng().random());
    let is_admitted = state.fallback.admit(now, organisation, rate, nodes, random);
    drop(state);
    if is_admitted {
        count(mesh, "without home", 1);
    }
    is_admitted
}

/// Returns the token of a request that did not run.
pub(crate) fn give_back(mesh: &Mesh, organisation: &str, token: Option<Token>) {
    if let Some(token) = token {
        lock(&mesh.quota.0).node.give_back(organisation, token);
        count(mesh, "given back", 1);
    }
}

fn refuse(mesh: &Mesh, organisation: &str, reason: &'static str, retry_after: Duration) -> Refused {
    let event = match reason {
        OVER_LIMIT => "denied",
        _ => "unanswered",
    };
    count(mesh, event, 1);
    if let Some(suppressed) = mesh.reporter.try_write(reason, mesh.now()) {
        slog::info!(mesh.reporter.log(), "quota: request refused"; "reason" => reason,
            "organisation" => organisation, "version" => mesh.version(),
            "retry_after_ms" => retry_after.as_millis() as u64, "suppressed" => suppressed);
        let subject = Subject {
            version: mesh.version(),
            call_id: "",
        };
        let text = format!("quota: request of {organisation} refused, {reason}");
        let recorder = mesh.reporter.recorder();
        recorder.record_unlogged(EventKind::NotRun, subject, text);
    }
    Refused {
        reason,
        retry_after,
    }
}

fn count(mesh: &Mesh, event: &'static str, by: u64) {
    if by > 0 {
        let labels = QuotaEvent { event };
        mesh.metrics.quota.get_or_create(&labels).inc_by(by);
    }
}

/// Returns a function that tells whether a request can be sent to a node.
fn reachable(mesh: &Mesh) -> impl Fn(&str) -> bool {
    |address: &str| {
        mesh.try_link(address)
            .is_some_and(|link| !link.is_retired())
    }
}

/// Does the work that is due by time for as long as the process runs.
pub(crate) async fn run(mesh: Arc<Mesh>) {
    loop {
        let is_limited = tick(&mesh);
        tokio::time::sleep(match is_limited {
            true => TICK_INTERVAL,
            false => IDLE_INTERVAL,
        })
        .await;
    }
}

/// Returns whether any organisation is limited.
fn tick(mesh: &Mesh) -> bool {
    let now = mesh.now();
    let mut state = lock(&mesh.quota.0);
    state.update_limits(mesh);
    if !state.is_limited {
        drop(state);
        // The configuration may have limited organisations before.
        if lock(&mesh.members).set_required("limits", BTreeSet::new()) {
            mesh.dial_wake.notify_one();
        }
        mesh.metrics.quota_home_of.set(0);
        return false;
    }
    if now >= state.members_due {
        drop(state);
        let members = update_members(mesh, now);
        let interval = INTERVAL_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX);
        state = lock(&mesh.quota.0);
        state.members_due = now + interval.max(MEMBERS_INTERVAL);
    }
    state.node.set_bounds(bounds(mesh.runtime.load().quota));
    state.node.set_retiring(mesh.is_draining());
    let output = state.node.tick(now, &reachable(mesh));
    state.apply(mesh, output);
    let status = state.node.status();
    let counted = std::mem::replace(&mut state.counted, status);
    drop(state);
    count(mesh, "leased", status.leased - counted.leased);
    count(mesh, "returned", status.returned - counted.returned);
    mesh.metrics.quota_waiting.set(status.waiting as i64);
    mesh.metrics.quota_home_of.set(status.home_of as i64);
    if status.home_of != counted.home_of {
        slog::info!(mesh.reporter.log(), "quota: home of organisations"; "count" => status.home_of);
    }
    true
}

/// Passes the members on to the state machine, and lets this node connect to the homes that it chose. Returns the number
/// of members.
fn update_members(mesh: &Mesh, now: Duration) -> usize {
    // Members that this node learned of without the list of the store may lack others.
    let is_complete = mesh.is_registered.load(Ordering::Relaxed);
    let members = lock(&mesh.members).present(now);
    let listed = members.iter();
    let listed = listed.map(|member| (&*member.address, &*member.zone));
    let needed: BTreeSet<Box<str>> = {
        let mut state = lock(&mesh.quota.0);
        let node = &mut state.node;
        node.set_members(now, listed, is_complete, &reachable(mesh));
        node.needed()
    };
    if lock(&mesh.members).set_required("limits", needed) {
        mesh.dial_wake.notify_one();
    }
    members.len()
}

/// Answers a request of another node.
pub(crate) fn on_request(mesh: &Mesh, request: QuotaRequest) -> Option<Kind> {
    let request = from_frame(request);
    let mut state = lock(&mesh.quota.0);
    state.update_limits(mesh);
    let grant = state.node.on_request(mesh.now(), &request)?;
    Some(Kind::QuotaGrant(grant_to_frame(grant)))
}

/// Handles the answer of another node.
pub(crate) fn on_grant(mesh: &Mesh, grant: QuotaGrant) {
    let grant = grant_from_frame(grant);
    let mut state = lock(&mesh.quota.0);
    let output = state.node.on_grant(mesh.now(), &grant, &reachable(mesh));
    state.apply(mesh, output);
}

fn to_frame(request: message::Request) -> QuotaRequest {
    let candidacy = request.candidacy.map(|candidacy| QuotaCandidacy {
        address: candidacy.address.into(),
        view: candidacy.view,
    });
    let items = request.items.into_iter().map(|item| QuotaItem {
        organisation: item.organisation.into(),
        waiting: item.waiting,
        ahead: item.ahead,
        returned: item.returned,
    });
    QuotaRequest {
        session: request.session,
        number: request.number,
        candidacy,
        items: items.collect(),
    }
}

fn from_frame(request: QuotaRequest) -> message::Request {
    let candidacy = request.candidacy.map(|candidacy| message::Candidacy {
        address: candidacy.address.into(),
        view: candidacy.view,
    });
    let items = request.items.into_iter().map(|item| message::Item {
        organisation: item.organisation.into(),
        waiting: item.waiting,
        ahead: item.ahead,
        returned: item.returned,
    });
    message::Request {
        session: request.session,
        number: request.number,
        candidacy,
        items: items.collect(),
    }
}

fn grant_to_frame(grant: message::Grant) -> QuotaGrant {
    let vote = grant.vote.map(|vote| QuotaVote {
        supports: vote.supports,
        epoch: vote.epoch,
        down: vote.down.into_iter().map(String::from).collect(),
    });
    let items = grant.items.into_iter().map(|item| QuotaGranted {
        organisation: item.organisation.into(),
        granted: item.granted,
        // Rounded up: a retry that comes too early is denied again.
        retry_after_ms: item.retry_after.as_micros().div_ceil(1_000) as u32,
        elsewhere: item.elsewhere.map(String::from),
    });
    QuotaGrant {
        number: grant.number,
        vote,
        items: items.collect(),
    }
}

fn grant_from_frame(grant: QuotaGrant) -> message::Grant {
    let vote = grant.vote.map(|vote| message::Vote {
        supports: vote.supports,
        epoch: vote.epoch,
        down: vote.down.into_iter().map(Box::from).collect(),
    });
    let items = grant.items.into_iter().map(|item| message::Granted {
        organisation: item.organisation.into(),
        granted: item.granted,
        retry_after: Duration::from_millis(item.retry_after_ms.into()),
        elsewhere: item.elsewhere.map(Box::from),
    });
    message::Grant {
        number: grant.number,
        vote,
        items: items.collect(),
    }
}
