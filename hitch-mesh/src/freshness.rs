//! Driver of the proofs of how recent the configuration is: checks requests with an organisation, asks peers for proofs
//! and answers theirs. The decisions are made by [`hitch_fresh`].

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hitch_admin::recorder::Subject;
use hitch_event::Kind as EventKind;
use hitch_fresh::Bounds;
use hitch_fresh::EraChange;
use hitch_fresh::Fresh;
use hitch_fresh::Peer;
use hitch_fresh::PeerAnswer;
use hitch_fresh::PeerProof;
use hitch_fresh::Position;
use hitch_fresh::Refusal;
use hitch_fresh::StoreAnswer;
use hitch_gate::shards::lock;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::config;
use crate::frame;
use crate::frame::FreshnessRequest;
use crate::frame::Kind;
use crate::link::FrameSender;
use crate::mesh::Mesh;
use crate::metrics::Asked;
use crate::metrics::Unproved;

/// Interval at which the state is checked while no question to a peer is due. It bounds the time until changed settings
/// apply and the age of the gauge.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two checks, so that a node without peers does not spin.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time that a request waits for a proof when the node has just started or was frozen. A peer answers in
/// milliseconds, and 100 ms later on an instance that has used up its CPU quota.
const MAX_WAIT: Duration = Duration::from_millis(120);
/// Services of the configuration whose nodes a node without sources of proofs connects to, beside its own: 24 nodes each.
const MAX_SOURCE_SERVICES: usize = 2;
/// Age that the gauge shows while there is no proof, in seconds.
const NO_AGE: f64 = -1.0;

/// What a node knows about how recent its configuration is, and the wake-ups that go with it.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    state: Mutex<Fresh>,
    /// Number of times that the era of the store has risen.
    pub(crate) rises: watch::Sender<u64>,
    /// Wakes the task that asks peers.
    wake: Notify,
    /// Number of times that there may have been a new proof.
    changes: watch::Sender<u64>,
    /// Whether requests with an organisation are refused at present.
    is_lacking: AtomicBool,
    /// Newest era that this node has announced to others.
    announced_era: Mutex<Option<u64>>,
}

/// Why a request with an organisation is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Stale {
    /// Reason, as shown to the caller.
    pub(crate) reason: &'static str,
    /// Time after which a new request may succeed.
    pub(crate) retry_after: Duration,
}

/// Returns the times that follow from the settings, or `None` if revocations are not enforced strictly.
pub(crate) fn bounds(mesh: &Mesh) -> Option<Bounds> {
    mesh.runtime.load().revocation.map(Bounds::new)
}

/// Checks that the version by which a request with an organisation was authorised was the newest one recently enough.
pub(crate) fn check(mesh: &Mesh, step: &'static str, version: u64) -> Result<(), Stale> {
    match (bounds(mesh), refusal(mesh, version)) {
        (Some(bounds), Some(refusal)) => Err(refuse(mesh, bounds, step, version, refusal)),
        _ => Ok(()),
    }
}

/// As [`check`], for a request that enters here. While the node can expect a proof, the request waits for it.
pub(crate) async fn admit(mesh: &Mesh, version: u64) -> Result<(), Stale> {
    if refusal(mesh, version).is_none() {
        return Ok(());
    }
    let mut changes = mesh.freshness.changes.subscribe();
    let give_up_at = Instant::now() + MAX_WAIT;
    loop {
        let (Some(bounds), Some(refusal)) = (bounds(mesh), refusal(mesh, version)) else {
            return Ok(());
        };
        // A node that was frozen asks a peer as soon as it finds its proof too old.
        wake(mesh);
        let expects_proof = lock(&mesh.freshness.state).expects_proof();
        let may_change = expects_proof
            && tokio::time::timeout_at(give_up_at, changes.changed())
                .await
                .is_ok();
        if !may_change {
            return Err(refuse(mesh, bounds, "entry", version, refusal));
        }
    }
}

/// Returns why a request that was authorised by a version must not run now, if it must not.
fn refusal(mesh: &Mesh, version: u64) -> Option<Refusal> {
    let bounds = bounds(mesh)?;
    let state = lock(&mesh.freshness.state);
    state.check(mesh.now(), bounds, version).err()
}

fn refuse(
    mesh: &Mesh,
    bounds: Bounds,
    step: &'static str,
    version: u64,
    refusal: Refusal,
) -> Stale {
    let now = mesh.now();
    let (retry_after, age) = {
        let state = lock(&mesh.freshness.state);
        (state.retry_after(now, bounds), state.age(now))
    };
    let reason = refusal.reason();
    let labels = Unproved { step, reason };
    mesh.metrics.freshness_refusals.get_or_create(&labels).inc();
    if let Some(suppressed) = mesh.reporter.try_write("freshness refusal", now) {
        slog::info!(mesh.reporter.log(), "freshness: request with an API key refused"; "step" => step,
            "reason" => reason, "version" => version, "in_force" => mesh.version(),
            "age_ms" => age.map(|age| age.as_millis() as u64), "suppressed" => suppressed);
    }
    wake(mesh);
    Stale {
        reason,
        retry_after,
    }
}

/// Records an answer of the store, whose records have been applied. Returns what it says about the era, and where the
/// next read begins.
pub(crate) fn store_answered(mesh: &Mesh, answer: StoreAnswer) -> (EraChange, Option<Position>) {
    let (change, next, has_proof) = {
        let mut state = lock(&mesh.freshness.state);
        let (change, next) = state.store_answered(answer, mesh.version());
        (change, next, state.proof().is_some())
    };
    let era = answer.next.era;
    notify_changed(mesh);
    on_era_change(mesh, change, era);
    // Nodes that learn of the era ask for a proof of it.
    if change != EraChange::Old && has_proof {
        announce_era(mesh, era);
    }
    (change, next)
}

/// Records the era of an answer of the store, and returns how it compares to the known one.
pub(crate) fn observe_era(mesh: &Mesh, era: u64) -> EraChange {
    let change = lock(&mesh.freshness.state).observe_era(era);
    on_era_change(mesh, change, era);
    change
}

/// Returns the newest known era of the store.
pub(crate) fn known_era(mesh: &Mesh) -> Option<u64> {
    lock(&mesh.freshness.state).era()
}

/// Returns the longest pause between attempts to read the store if it is shorter than usual: requests are about to be
/// refused, or are refused, until someone reads the store.
pub(crate) fn max_backoff(mesh: &Mesh) -> Option<Duration> {
    let bounds = bounds(mesh)?;
    let age = lock(&mesh.freshness.state).age(mesh.now());
    let is_urgent = age.is_none_or(|age| age >= bounds.urgent_age());
    is_urgent.then(|| bounds.max_urgent_backoff())
}

fn on_era_change(mesh: &Mesh, change: EraChange, era: u64) {
    if !matches!(change, EraChange::First | EraChange::Risen) {
        return;
    }
    mesh.store_era.send_if_modified(|known| {
        let has_risen = era > *known;
        *known = era.max(*known);
        has_risen
    });
    mesh.metrics.store_era.set(era as i64);
    if change == EraChange::First {
        let mut announced = lock(&mesh.freshness.announced_era);
        *announced = (*announced).max(Some(era));
    }
    if change == EraChange::Risen {
        slog::warn!(mesh.reporter.log(), "store: came back from an older copy"; "era" => era,
            "version" => mesh.version());
        let text = format!("store: came back from an older copy, era {era}");
        mesh.reporter
            .recorder()
            .record_unlogged(EventKind::Log, Subject::default(), text);
        mesh.freshness.rises.send_modify(|rises| *rises += 1);
        wake(mesh);
    }
}

/// Tells nodes that do not ask for proofs of a risen era.
fn announce_era(mesh: &Mesh, era: u64) {
    let is_news = {
        let mut announced = lock(&mesh.freshness.announced_era);
        let known = *announced;
        *announced = known.max(Some(era));
        known.is_some_and(|known| era > known)
    };
    if is_news {
        let news = Kind::Freshness(frame::Freshness {
            number: 0,
            version: mesh.version(),
            era,
            age_ms: frame::Freshness::NO_PROOF,
        });
        mesh.spread(&news);
        mesh.spread_to_other_zones(&news);
    }
}

/// Records that a version has come into force.
pub(crate) fn on_version_in_force(mesh: &Mesh, version: u64) {
    lock(&mesh.freshness.state).set_in_force(version);
    notify_changed(mesh);
    wake(mesh);
}

/// Returns the answer to a peer's question.
pub(crate) fn answer(mesh: &Arc<Mesh>, request: FreshnessRequest, peer: &FrameSender) -> Kind {
    config::on_peer_version(mesh, request.version, peer, config::PULL_DELAY);
    let (proof, now) = {
        let state = lock(&mesh.freshness.state);
        (state.proof(), mesh.now())
    };
    let mut answer = frame::Freshness {
        number: request.number,
        version: mesh.version(),
        era: 0,
        age_ms: frame::Freshness::NO_PROOF,
    };
    if let Some((proof, era)) = proof {
        answer.version = proof.version;
        answer.era = era;
        // Rounded up: a proof must not become younger on its way.
        let age_ms = proof.age_at(now).as_millis() + 1;
        answer.age_ms = u32::try_from(age_ms).unwrap_or(frame::Freshness::NO_PROOF);
    }
    Kind::Freshness(answer)
}

/// Handles a peer's answer, or the announcement of an era.
pub(crate) fn on_answer(mesh: &Arc<Mesh>, answer: frame::Freshness, peer: &FrameSender) {
    let Some(bounds) = bounds(mesh) else {
        // Nodes that ask for proofs learn the era with the first proof of it, so that they are not without one between.
        if answer.number == 0 && observe_era(mesh, answer.era) == EraChange::Risen {
            announce_era(mesh, answer.era);
        }
        return;
    };
    if answer.number == 0 {
        return;
    }
    let (proof, change) = {
        let mut state = lock(&mesh.freshness.state);
        let era = state.era();
        let peer_answer = PeerAnswer {
            number: answer.number,
            version: answer.version,
            era: answer.era,
            age: Duration::from_millis(answer.age_ms.into()),
        };
        let proof = state.answered(mesh.now(), bounds, peer_answer, mesh.version());
        let change = match (era, state.era()) {
            (None, Some(_)) => EraChange::First,
            (Some(before), Some(after)) if after > before => EraChange::Risen,
            _ => EraChange::Same,
        };
        (proof, change)
    };
    on_era_change(mesh, change, answer.era);
    let outcome = match proof {
        PeerProof::Accepted => "accepted",
        PeerProof::Awaits { version } => {
            config::on_peer_version(mesh, version, peer, Duration::ZERO);
            "awaits"
        }
        PeerProof::Useless => "useless",
        PeerProof::OldEra => "old era",
    };
    count_ask(mesh, outcome);
    notify_changed(mesh);
    wake(mesh);
}

/// Lets the task that asks peers check whether it can and must ask one.
pub(crate) fn wake(mesh: &Mesh) {
    mesh.freshness.wake.notify_one();
}

/// Lets waiting requests check again.
fn notify_changed(mesh: &Mesh) {
    mesh.freshness.changes.send_modify(|changes| *changes += 1);
}

fn count_ask(mesh: &Mesh, outcome: &'static str) {
    let labels = Asked { outcome };
    mesh.metrics.freshness_asks.get_or_create(&labels).inc();
}

/// Asks peers for proofs for as long as the process runs.
pub(crate) async fn run(mesh: Arc<Mesh>) {
    loop {
        let wait = ask_if_due(&mesh);
        let woken = mesh.freshness.wake.notified();
        let _ = tokio::time::timeout(wait, woken).await;
    }
}

/// Asks a peer if it is time to, and returns the time until the next check.
fn ask_if_due(mesh: &Mesh) -> Duration {
    let Some(bounds) = bounds(mesh) else {
        mesh.freshness.is_lacking.store(false, Ordering::Relaxed);
        return CHECK_INTERVAL;
    };
    let due = lock(&mesh.freshness.state).next_ask_at(bounds);
    if mesh.now() >= due {
        let age = lock(&mesh.freshness.state).age(mesh.now());
        connect_if_urgent(mesh, bounds, age);
        let peers = peers(mesh);
        let ask = lock(&mesh.freshness.state).ask(mesh.now(), bounds, &peers);
        let Some(ask) = ask else {
            report_age(mesh, bounds, age);
            return bounds.ask_interval().max(MIN_CHECK_INTERVAL);
        };
        if let Some(link) = mesh.try_link(&ask.address) {
            link.send(Kind::FreshnessRequest(FreshnessRequest {
                number: ask.number,
                version: mesh.version(),
            }));
            count_ask(mesh, "sent");
        }
    }
    let (next, age) = {
        let state = lock(&mesh.freshness.state);
        (state.next_ask_at(bounds), state.age(mesh.now()))
    };
    report_age(mesh, bounds, age);
    let wait = next.saturating_sub(mesh.now());
    wait.clamp(MIN_CHECK_INTERVAL, CHECK_INTERVAL)
}

/// Connects to nodes of a few services as if they had been called, if no peer has supplied a proof for long. In a mesh of
/// many services, a node that calls none of them is connected only to its neighbours in the ring of its zone.
fn connect_if_urgent(mesh: &Mesh, bounds: Bounds, age: Option<Duration>) {
    let is_urgent = match age {
        Some(age) => age >= bounds.urgent_age(),
        // A node that has just started asks the peers that it is connected to first.
        None => !lock(&mesh.freshness.state).expects_proof(),
    };
    if !is_urgent {
        return;
    }
    let Some(table) = mesh.table.load_full() else {
        return;
    };
    let listed = table.config().services.keys().take(MAX_SOURCE_SERVICES);
    let services: Vec<&str> = listed
        .map(|service| &**service)
        .chain([&*mesh.settings.service])
        .collect();
    let now = mesh.now();
    let has_new = {
        let mut members = lock(&mesh.members);
        let new = services
            .iter()
            .filter(|service| members.called(now, service));
        new.count() > 0
    };
    if has_new {
        mesh.dial_wake.notify_one();
    }
}

/// Returns the peers that can be asked.
fn peers(mesh: &Mesh) -> Vec<Peer> {
    let reader = lock(&mesh.members).reader();
    let links = lock(&mesh.links);
    let open = links
        .iter()
        .filter(|(_, link)| !link.is_closed() && !link.is_retired());
    let peers = open.map(|(address, link)| {
        let member = link.state().member;
        Peer {
            address: address.clone(),
            is_near: member.is_some_and(|member| *member.zone == *mesh.settings.zone),
            is_reader: reader.as_ref() == Some(address),
        }
    });
    peers.collect()
}

/// Updates the gauge, and logs when the proof expires and when there is a valid one again.
fn report_age(mesh: &Mesh, bounds: Bounds, age: Option<Duration>) {
    let seconds = age.map_or(NO_AGE, |age| age.as_secs_f64());
    mesh.metrics.freshness_age_seconds.set(seconds);
    // A node without a configuration serves nobody, so it lacks nothing.
    let is_lacking = mesh.version() > 0 && age.is_none_or(|age| age >= bounds.max_age());
    if mesh
        .freshness
        .is_lacking
        .swap(is_lacking, Ordering::Relaxed)
        == is_lacking
    {
        return;
    }
    let text = match is_lacking {
        true => "freshness: no valid proof, requests with API keys are refused",
        false => "freshness: valid proof, requests with API keys are served",
    };
    if let Some(suppressed) = mesh.reporter.try_write("freshness", mesh.now()) {
        slog::warn!(mesh.reporter.log(), "{}", text; "version" => mesh.version(),
            "age_ms" => age.map(|age| age.as_millis() as u64), "suppressed" => suppressed);
        mesh.reporter
            .recorder()
            .record_unlogged(EventKind::Log, Subject::default(), text);
    }
}
