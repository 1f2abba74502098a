//! State of the simulated backend server. It reads no clock; callers pass the current time.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::answer::Answer;
use crate::control::Control;
use crate::control::Faults;
use crate::ledger::Ledger;
use crate::load_history::LoadHistory;
use crate::settings::Settings;

/// Events counted since the start, as `GET /counters` returns them. Crashes do not reset them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Calls whose request was received completely, including those that did not run.
    pub calls: u64,
    /// Calls shed because all slots were in use.
    pub shed: u64,
    /// Calls whose deadline passed before they started or while they ran.
    pub expired: u64,
    /// Calls answered immediately with status 500, without running.
    pub failed_fast: u64,
    /// Downstream requests sent, including retries.
    pub next_calls: u64,
    /// Crashes.
    pub crashes: u64,
    /// Connections accepted and served.
    pub connections: u64,
    /// Connections closed when accepted because of the connection limit.
    pub connections_refused: u64,
    /// Maximum number of calls in flight at any time.
    pub peak_running: u32,
    /// Calls started while draining.
    pub started_draining: u64,
    /// Longest time from the start of a drain to the start of a call, in milliseconds.
    pub latest_start_after_drain_ms: u64,
}

/// Load of a backend server, as `GET /load` returns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls in flight, as delayed or replaced by injected faults.
    pub running: u32,
    /// Maximum number of calls that run concurrently.
    pub slots: u32,
}

/// Admission decision for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The call runs for its service time; `generation` identifies the process that runs it.
    Run {
        service_time: Duration,
        generation: u64,
    },
    /// All slots are in use.
    Shed,
    /// The call fails immediately, as an injected fault demands.
    FailFast,
    /// The backend server has crashed and not restarted yet.
    Down,
}

/// How an answer is sent, as determined by the injected faults.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct Delivery {
    /// Time to wait before the answer is sent.
    pub(crate) delay: Duration,
    /// Whether the connection is closed instead.
    pub(crate) lost: bool,
    /// Whether the body ends before its content-length.
    pub(crate) truncated: bool,
    /// Answer to the previous call, which is sent in place of this one.
    pub(crate) crossed: Option<Answer>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) faults: Faults,
    pub(crate) ledger: Ledger,
    pub(crate) counters: Counters,
    /// Calls in flight, each of which holds a slot.
    pub(crate) running: u32,
    /// Number of crashes so far. A run that started in an earlier generation was ended by a crash
    /// and holds no slot.
    pub(crate) generation: u64,
    /// Whether the backend server has crashed and not restarted yet.
    down: bool,
    /// Time of the last start or restart, at which the cold start began.
    started_at: Duration,
    draining_since: Option<Duration>,
    load_history: LoadHistory,
    rng: ChaCha8Rng,
    /// The most recent answer, sent again by the crossed-answer fault.
    last_answer: Option<Answer>,
}

impl State {
    pub(crate) fn new(settings: Settings) -> State {
        State {
            faults: Faults::new(settings.crash_ms, settings.via.clone()),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            ledger: Ledger::default(),
            counters: Counters::default(),
            running: 0,
            generation: 0,
            down: false,
            started_at: Duration::ZERO,
            draining_since: None,
            load_history: LoadHistory::default(),
            last_answer: None,
        }
    }

    /// Decides whether a call runs. If so, the call takes a slot and its start is recorded.
    pub(crate) fn admit(&mut self, now: Duration, work_ms: u64, key: Option<&str>) -> Admission {
        if self.down {
            return Admission::Down;
        }
        if self.faults.fail_fast {
            self.counters.failed_fast += 1;
            return Admission::FailFast;
        }
        if self.running >= self.settings.slots {
            self.counters.shed += 1;
            return Admission::Shed;
        }
        self.running += 1;
        self.counters.peak_running = self.counters.peak_running.max(self.running);
        self.load_history.push(now, self.running);
        self.ledger.start(key);
        if let Some(since) = self.draining_since {
            let after_ms = now.saturating_sub(since).as_millis() as u64;
            let latest = &mut self.counters.latest_start_after_drain_ms;
            *latest = after_ms.max(*latest);
            self.counters.started_draining += 1;
        }
        Admission::Run {
            service_time: self.service_time(now, work_ms),
            generation: self.generation,
        }
    }

    /// Returns the service time of a call after jitter, slowdown and cold start.
    fn service_time(&mut self, now: Duration, work_ms: u64) -> Duration {
        let mut us = work_ms * 1_000;
        let jitter = u64::from(self.settings.jitter_percent.min(100));
        if jitter > 0 {
            us = us * self.rng.random_range(100 - jitter..=100 + jitter) / 100;
        }
        us = us * u64::from(self.faults.slow_percent) / 100;
        let age_ms = now.saturating_sub(self.started_at).as_millis() as u64;
        let cold_ms = self.settings.cold_start_ms;
        if age_ms < cold_ms {
            let extra = u64::from(self.settings.cold_factor_percent.max(100) - 100);
            let percent = 100 + extra * (cold_ms - age_ms) / cold_ms;
            us = us * percent / 100;
        }
        Duration::from_micros(us)
    }

    /// Records that a run finished; returns false if a crash ended it before.
    pub(crate) fn finish(&mut self, now: Duration, generation: u64, key: Option<&str>) -> bool {
        if generation != self.generation {
            self.ledger.stop(key);
            return false;
        }
        self.release_slot(now);
        self.ledger.finish(key);
        true
    }

    /// Records that a run was stopped before it finished.
    pub(crate) fn stop(&mut self, now: Duration, generation: u64, key: Option<&str>) {
        self.ledger.stop(key);
        if generation == self.generation {
            self.release_slot(now);
        }
    }

    fn release_slot(&mut self, now: Duration) {
        self.running -= 1;
        self.load_history.push(now, self.running);
    }

    /// Returns how to send `answer`; each fault that applies to it is used up once.
    pub(crate) fn plan_delivery(&mut self, answer: &Answer) -> Delivery {
        let mut delivery = Delivery::default();
        let previous = self.last_answer.replace(answer.clone());
        let faults = &mut self.faults;
        if use_up_fault(&mut faults.late_answers) {
            delivery.delay = Duration::from_millis(faults.late_ms);
        }
        // The first answer has no previous one that could replace it, so it uses up no crossed
        // answer.
        if let Some(previous) = previous
            && use_up_fault(&mut faults.crossed_answers)
        {
            delivery.crossed = Some(previous);
        }
        delivery.truncated = use_up_fault(&mut faults.short_bodies);
        delivery.lost = use_up_fault(&mut faults.lose_answers);
        delivery
    }

    /// Applies an update of the injected faults; a drain that starts with it starts at `now`.
    pub(crate) fn update_faults(&mut self, now: Duration, control: &Control) {
        self.faults.apply(control);
        if !self.faults.draining {
            self.draining_since = None;
        } else if self.draining_since.is_none() {
            self.draining_since = Some(now);
        }
    }

    /// Resets the state that a process loses when it crashes. The ledger, the counters and the
    /// injected faults other than draining are kept.
    pub(crate) fn crash(&mut self, now: Duration) {
        self.counters.crashes += 1;
        self.generation += 1;
        self.running = 0;
        self.load_history.push(now, 0);
        self.last_answer = None;
        self.faults.draining = false;
        self.draining_since = None;
        self.down = true;
    }

    /// Restarts after a crash, with a cold start.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.down = false;
        self.started_at = now;
    }

    /// Returns the load to report, as delayed or replaced by injected faults.
    pub(crate) fn load(&self, now: Duration) -> Load {
        let lag = Duration::from_millis(self.faults.load_lag_ms);
        let running = match self.faults.reported_load {
            Some(reported_load) => reported_load,
            None if lag.is_zero() => self.running,
            None => self.load_history.at(now.saturating_sub(lag)),
        };
        Load {
            running,
            slots: self.settings.slots,
        }
    }
}

/// Uses up one of `count` pending faults; returns false if there is none.
fn use_up_fault(count: &mut u64) -> bool {
    if *count == 0 {
        return false;
    }
    *count -= 1;
    true
}
