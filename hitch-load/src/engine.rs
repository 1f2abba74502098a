//! Sends the scheduled calls of a plan and records how they end.

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
use crate::schedule::ScheduledCall;

/// Largest answer body that is accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 2 * 1024 * 1024;
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a run failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The plan is invalid for these targets.
    #[snafu(display("load: invalid plan for {targets:?}: {}", problems.join("; ")))]
    Invalid {
        /// Targets of the run.
        targets: Vec<SocketAddr>,
        /// All problems found.
        problems: Vec<Box<str>>,
    },
    /// The thread that sends the calls panicked or was cancelled.
    #[snafu(display("load: send calls to {targets:?}: {source}"))]
    Send {
        /// Targets of the run.
        targets: Vec<SocketAddr>,
        /// Error of the task.
        source: tokio::task::JoinError,
    },
}

/// Connections to a set of targets, which stay open between runs.
#[derive(Debug)]
pub struct Engine {
    targets: Vec<SocketAddr>,
    pools: Arc<Vec<Pool>>,
    /// Whether calls carry a call id. Backend servers expect one; nodes assign it themselves.
    with_call_id: bool,
}

/// State shared by the sending thread and the tasks of the calls.
struct RunState {
    plan: Plan,
    pools: Arc<Vec<Pool>>,
    with_call_id: bool,
    started: Instant,
    /// Sequence number of the next call.
    sequence: AtomicU64,
    recording: Mutex<Recording>,
}

impl RunState {
    fn recording(&self) -> MutexGuard<'_, Recording> {
        self.recording
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Engine {
    /// Creates an engine whose calls go through the nodes of a plan.
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

    /// Creates an engine that calls the backend servers of a plan directly.
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

    /// Returns the addresses to which calls are sent.
    ///
    /// ```
    /// let text = "{ targets: ['127.0.0.1:8000'], duration_ms: 1, streams: [] }";
    /// let plan = hitch_load::plan::from_str("plan.yaml", text).unwrap();
    /// assert_eq!(hitch_load::Engine::to_nodes(&plan).targets().len(), 1);
    /// ```
    pub fn targets(&self) -> &[SocketAddr] {
        &self.targets
    }

    /// Sends every call of the plan and returns the measurements. The run always terminates,
    /// because every call ends no later than a grace period after its deadline.
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
    /// assert!(recording.stats.values().all(|stats| stats.not_run == stats.offered));
    /// # }
    /// ```
    pub async fn run(&self, plan: &Plan) -> Result<Recording, Error> {
        let targets = self.targets.clone();
        let mut problems = plan.problems();
        if self.targets.is_empty() {
            problems.push("no target is set".into());
        }
        for target in &self.targets {
            if !target.ip().is_loopback() {
                problems.push(format!("{target} is not a loopback address").into());
            }
        }
        if !problems.is_empty() {
            return InvalidSnafu { targets, problems }.fail();
        }
        let run = Arc::new(RunState {
            plan: plan.clone(),
            pools: self.pools.clone(),
            with_call_id: self.with_call_id,
            started: Instant::now(),
            sequence: AtomicU64::new(0),
            recording: Mutex::new(Recording::default()),
        });
        let in_flight = Arc::new(Semaphore::new(plan.in_flight));
        let handle = Handle::current();
        let send_task = tokio::task::spawn_blocking({
            let run = run.clone();
            let in_flight = in_flight.clone();
            move || send_all(&run, &in_flight, &handle)
        });
        send_task.await.context(SendSnafu { targets })?;
        // Every call in flight holds a permit, so all permits are available only when no call is.
        let max_in_flight = plan.in_flight as u32;
        let _all_permits = in_flight.acquire_many(max_in_flight).await;
        let recording = run.recording().clone();
        Ok(recording)
    }
}

/// Starts every call at its scheduled time. Runs on a dedicated thread that sleeps between calls,
/// because the timer of the runtime has a resolution of 1 ms, which would add to the latency.
fn send_all(run: &Arc<RunState>, in_flight: &Arc<Semaphore>, handle: &Handle) {
    for scheduled in Schedule::new(&run.plan) {
        let wait = scheduled.at.saturating_sub(run.started.elapsed());
        if !wait.is_zero() {
            std::thread::sleep(wait);
        }
        let stream = &run.plan.streams[scheduled.stream];
        let phase = run.plan.phase(scheduled.at);
        let permit = in_flight.clone().try_acquire_owned().ok();
        {
            let mut recording = run.recording();
            let lag = run.started.elapsed().saturating_sub(scheduled.at);
            recording.send_lag.saturating_record(lag.as_micros() as u64);
            let stats = recording.stats_mut(&stream.name, &phase);
            stats.offered += 1;
            if permit.is_none() {
                stats.dropped += 1;
            }
        }
        if let Some(permit) = permit {
            handle.spawn(run_call(run.clone(), scheduled, phase, permit));
        }
    }
}

/// Makes the attempts of one call and records how it ended.
async fn run_call(
    run: Arc<RunState>,
    scheduled: ScheduledCall,
    phase: Box<str>,
    permit: OwnedSemaphorePermit,
) {
    let stream = &run.plan.streams[scheduled.stream];
    let sequence = run.sequence.fetch_add(1, Ordering::Relaxed);
    let identity = new_identity(&run, stream.keyed, stream.body_bytes, sequence);
    let deadline = run.started + scheduled.at + Duration::from_millis(stream.deadline_ms);
    let mut attempts = 0;
    let result = loop {
        let pool = &run.pools[(sequence as usize + attempts as usize) % run.pools.len()];
        let result = call::attempt(pool, stream, &identity, deadline).await;
        attempts += 1;
        if let Some(key) = &identity.key {
            run.recording().record_key_outcome(key, result.outcome);
        }
        let retryable = matches!(result.outcome, Outcome::NotRun | Outcome::Unknown);
        let before_deadline = Instant::now() + RETRY_DELAY < deadline;
        if !retryable || !before_deadline || attempts > stream.resends {
            break result;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    };
    let latency = run.started.elapsed().saturating_sub(scheduled.at);
    {
        let mut recording = run.recording();
        let stats = recording.stats_mut(&stream.name, &phase);
        stats.attempts += u64::from(attempts);
        stats.record_call(result, latency);
    }
    drop(permit);
}

/// Returns the key, call id and body of a new call. The body depends only on the seed of the plan
/// and the sequence number.
fn new_identity(run: &RunState, keyed: bool, body_bytes: usize, sequence: u64) -> Identity {
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
