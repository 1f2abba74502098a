//! Sending of the scheduled calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hitch_standin_backend::body_hash;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::runtime::Handle;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use uuid::Uuid;

use crate::call;
use crate::call::Identity;
use crate::call::Outcome;
use crate::plan::Plan;
use crate::pool::Pool;
use crate::record::Recording;
use crate::schedule::Schedule;
use crate::schedule::Slot;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 2 * 1024 * 1024;
/// Pause before a call is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(50);

/// A run that could not take place.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The plan exceeds a limit.
    #[snafu(display("load: check plan for {targets:?}: {}", problems.join("; ")))]
    Refused {
        /// Targets of the run.
        targets: Vec<SocketAddr>,
        /// Every problem found.
        problems: Vec<Box<str>>,
    },
    /// The thread that sends the calls failed.
    #[snafu(display("load: send calls to {targets:?}: {source}"))]
    Send {
        /// Targets of the run.
        targets: Vec<SocketAddr>,
        /// What was found.
        source: tokio::task::JoinError,
    },
}

/// Connections to a set of targets, which are kept from run to run.
#[derive(Debug)]
pub struct Engine {
    targets: Vec<SocketAddr>,
    pools: Arc<Vec<Pool>>,
    /// Whether calls carry a call id, as backend servers expect and nodes assign.
    with_call_id: bool,
}

struct Run {
    plan: Plan,
    pools: Arc<Vec<Pool>>,
    with_call_id: bool,
    started: Instant,
    sequence: AtomicU64,
    recording: Mutex<Recording>,
}

impl Run {
    fn recording(&self) -> MutexGuard<'_, Recording> {
        self.recording
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Engine {
    /// Makes an engine that calls nodes.
    ///
    /// ```
    /// let text = "{ targets: ['127.0.0.1:8000'], duration_ms: 1, streams: [] }";
    /// let plan = hitch_load::plan::from_str("plan.yaml", text).unwrap();
    /// let engine = hitch_load::Engine::to_nodes(&plan);
    /// assert_eq!(engine.targets(), plan.targets);
    /// ```
    pub fn to_nodes(plan: &Plan) -> Engine {
        Engine::new(plan, plan.targets.clone(), false)
    }

    /// Makes an engine that calls backend servers without a node.
    ///
    /// ```
    /// let text = "{ targets: [], direct: ['127.0.0.1:1'], duration_ms: 1, streams: [] }";
    /// let plan = hitch_load::plan::from_str("plan.yaml", text).unwrap();
    /// assert_eq!(hitch_load::Engine::direct(&plan).targets(), plan.direct);
    /// ```
    pub fn direct(plan: &Plan) -> Engine {
        Engine::new(plan, plan.direct.clone(), true)
    }

    fn new(plan: &Plan, targets: Vec<SocketAddr>, with_call_id: bool) -> Engine {
        let mut pools = Vec::new();
        for target in &targets {
            pools.push(Pool::new(*target, plan.connections, MAX_ANSWER_BYTES));
        }
        Engine {
            targets,
            pools: Arc::new(pools),
            with_call_id,
        }
    }

    /// Returns the targets.
    ///
    /// ```
    /// let text = "{ targets: ['127.0.0.1:8000'], duration_ms: 1, streams: [] }";
    /// let plan = hitch_load::plan::from_str("plan.yaml", text).unwrap();
    /// assert_eq!(hitch_load::Engine::to_nodes(&plan).targets().len(), 1);
    /// ```
    pub fn targets(&self) -> &[SocketAddr] {
        &self.targets
    }

    /// Sends every call of the plan and returns what was measured. Every call ends at the latest
    /// shortly after its deadline, so the run ends by itself.
    ///
    /// ```
    /// # #[tokio::main]
    /// # async fn main() {
    /// let text = "
    /// targets: ['127.0.0.1:1']
    /// duration_ms: 100
    /// streams:
    ///   - { name: a, customer: c, rank: r, method: GET, path: /, rate: 100 }
    /// ";
    /// let plan = hitch_load::plan::from_str("plan.yaml", text).unwrap();
    /// let recording = hitch_load::Engine::to_nodes(&plan).run(&plan).await.unwrap();
    /// // Nothing listens on port 1.
    /// assert!(recording.cells.values().all(|cell| cell.not_run == cell.offered));
    /// # }
    /// ```
    pub async fn run(&self, plan: &Plan) -> Result<Recording, Error> {
        let targets = self.targets.clone();
        let mut problems = plan.problems();
        if self.targets.is_empty() {
            problems.push("there is no target".into());
        }
        for target in &self.targets {
            if !target.ip().is_loopback() {
                problems.push(format!("{target} is no loopback address").into());
            }
        }
        if !problems.is_empty() {
            return RefusedSnafu { targets, problems }.fail();
        }
        let run = Arc::new(Run {
            plan: plan.clone(),
            pools: self.pools.clone(),
            with_call_id: self.with_call_id,
            started: Instant::now(),
            sequence: AtomicU64::new(0),
            recording: Mutex::new(Recording::default()),
        });
        let in_flight = Arc::new(Semaphore::new(plan.in_flight));
        let handle = Handle::current();
        let sender = tokio::task::spawn_blocking({
            let run = run.clone();
            let in_flight = in_flight.clone();
            move || send_all(&run, &in_flight, &handle)
        });
        sender.await.context(SendSnafu { targets })?;
        // Every call in flight holds a permit, so all permits are free once all calls have ended.
        let all = plan.in_flight as u32;
        let _ended = in_flight.acquire_many(all).await;
        let recording = run.recording().clone();
        Ok(recording)
    }
}

/// Starts every call at its time. It sleeps on a thread of its own, because the timer of the
/// runtime has a resolution of 1 ms, which would show in the latency.
fn send_all(run: &Arc<Run>, in_flight: &Arc<Semaphore>, handle: &Handle) {
    for slot in Schedule::new(&run.plan) {
        let wait = slot.at.saturating_sub(run.started.elapsed());
        if !wait.is_zero() {
            std::thread::sleep(wait);
        }
        let stream = &run.plan.streams[slot.stream];
        let phase = run.plan.phase(slot.at);
        let permit = in_flight.clone().try_acquire_owned().ok();
        {
            let mut recording = run.recording();
            let lag = run.started.elapsed().saturating_sub(slot.at);
            recording.send_lag.saturating_record(lag.as_micros() as u64);
            let cell = recording.cell(&stream.name, &phase);
            cell.offered += 1;
            if permit.is_none() {
                cell.dropped += 1;
            }
        }
        if let Some(permit) = permit {
            handle.spawn(one_call(run.clone(), slot, phase, permit));
        }
    }
}

async fn one_call(run: Arc<Run>, slot: Slot, phase: Box<str>, permit: OwnedSemaphorePermit) {
    let stream = &run.plan.streams[slot.stream];
    let sequence = run.sequence.fetch_add(1, Ordering::Relaxed);
    let identity = identity(&run, stream.keyed, stream.body_bytes, sequence);
    let due = run.started + slot.at + Duration::from_millis(stream.deadline_ms);
    let mut attempts = 0;
    let judgement = loop {
        let pool = &run.pools[(sequence as usize + attempts as usize) % run.pools.len()];
        let judgement = call::attempt(pool, stream, &identity, due).await;
        attempts += 1;
        if let Some(key) = &identity.key {
            run.recording().record_key_outcome(key, judgement.outcome);
        }
        let again = matches!(judgement.outcome, Outcome::NotRun | Outcome::Unknown);
        let in_time = Instant::now() + RESEND_PAUSE < due;
        if !again || !in_time || attempts > stream.resends {
            break judgement;
        }
        tokio::time::sleep(RESEND_PAUSE).await;
    };
    let latency = run.started.elapsed().saturating_sub(slot.at);
    {
        let mut recording = run.recording();
        let cell = recording.cell(&stream.name, &phase);
        cell.attempts += u64::from(attempts);
        cell.end(judgement, latency);
    }
    drop(permit);
}

fn identity(run: &Run, keyed: bool, body_bytes: usize, sequence: u64) -> Identity {
    let mut body = vec![0; body_bytes];
    let mut rng = ChaCha8Rng::seed_from_u64(run.plan.seed);
    rng.set_stream(sequence);
    rng.fill_bytes(&mut body);
    Identity {
        key: keyed.then(|| Uuid::now_v7().to_string().into()),
        call_id: run.with_call_id.then(|| Uuid::now_v7().to_string().into()),
        body_hash: body_hash(&body),
        body: Bytes::from(body),
    }
}
