//! The state of a backend server. It reads no clock.

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
use crate::load::History;
use crate::settings::Settings;

/// What happened so far, as `GET /counters` returns it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Calls that arrived, including those that did not run.
    pub calls: u64,
    /// Calls shed because every slot was taken.
    pub shed: u64,
    /// Calls that arrived with no time left, or whose time was over before the end.
    pub expired: u64,
    /// Calls answered with status 500 at once.
    pub failed_fast: u64,
    /// Next calls sent.
    pub next_calls: u64,
    /// Crashes.
    pub crashes: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Connections closed at once because of the limit.
    pub connections_refused: u64,
    /// Most calls in progress at once.
    pub peak_running: u32,
    /// Calls started while draining.
    pub started_draining: u64,
    /// Longest time between the start of a drain and the start of a call, in milliseconds.
    pub latest_start_after_drain_ms: u64,
}

/// Load of a backend server, as `GET /load` returns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls in progress, possibly in the past or not true.
    pub running: u32,
    /// Calls that run at once.
    pub slots: u32,
}

/// What becomes of a call on arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It runs for this time.
    Run { work: Duration, generation: u64 },
    /// Every slot is taken.
    Shed,
    /// It fails at once.
    FailFast,
    /// The process has crashed and not started again.
    Down,
}

/// What becomes of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct Delivery {
    pub(crate) delay: Duration,
    pub(crate) lost: bool,
    pub(crate) short: bool,
    pub(crate) crossed: Option<Answer>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) faults: Faults,
    pub(crate) ledger: Ledger,
    pub(crate) counters: Counters,
    pub(crate) running: u32,
    /// Number of the process life; a crash starts the next one.
    pub(crate) generation: u64,
    /// Whether the process has crashed and not started again.
    down: bool,
    born: Duration,
    drain_since: Option<Duration>,
    load: History,
    rng: ChaCha8Rng,
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
            born: Duration::ZERO,
            drain_since: None,
            load: History::default(),
            last_answer: None,
        }
    }

    /// Decides about a call and records the start of its run.
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
        self.load.push(now, self.running);
        self.ledger.start(key);
        if let Some(since) = self.drain_since {
            let after_ms = now.saturating_sub(since).as_millis() as u64;
            let latest = &mut self.counters.latest_start_after_drain_ms;
            *latest = after_ms.max(*latest);
            self.counters.started_draining += 1;
        }
        Admission::Run {
            work: self.service_time(now, work_ms),
            generation: self.generation,
        }
    }

    fn service_time(&mut self, now: Duration, work_ms: u64) -> Duration {
        let mut us = work_ms * 1_000;
        let jitter = u64::from(self.settings.jitter_percent.min(100));
        if jitter > 0 {
            us = us * self.rng.random_range(100 - jitter..=100 + jitter) / 100;
        }
        us = us * u64::from(self.faults.slow_percent) / 100;
        let age_ms = now.saturating_sub(self.born).as_millis() as u64;
        let cold_ms = self.settings.cold_start_ms;
        if age_ms < cold_ms {
            let extra = u64::from(self.settings.cold_factor_percent.max(100) - 100);
            let percent = 100 + extra * (cold_ms - age_ms) / cold_ms;
            us = us * percent / 100;
        }
        Duration::from_micros(us)
    }

    /// Records the end of a run; returns false if the process has crashed since its start.
    pub(crate) fn finish(&mut self, now: Duration, generation: u64, key: Option<&str>) -> bool {
        if generation != self.generation {
            self.ledger.stop(key);
            return false;
        }
        self.leave(now);
        self.ledger.finish(key);
        true
    }

    /// Records a run that was stopped early.
    pub(crate) fn stop(&mut self, now: Duration, generation: u64, key: Option<&str>) {
        self.ledger.stop(key);
        if generation == self.generation {
            self.leave(now);
        }
    }

    fn leave(&mut self, now: Duration) {
        self.running -= 1;
        self.load.push(now, self.running);
    }

    /// Decides how an answer goes out.
    pub(crate) fn deliver(&mut self, answer: &Answer) -> Delivery {
        let mut delivery = Delivery::default();
        let previous = self.last_answer.replace(answer.clone());
        let faults = &mut self.faults;
        if take(&mut faults.late_answers) {
            delivery.delay = Duration::from_millis(faults.late_ms);
        }
        // Without a previous answer there is nothing to cross with, so the count stays.
        if let Some(previous) = previous
            && take(&mut faults.crossed_answers)
        {
            delivery.crossed = Some(previous);
        }
        delivery.short = take(&mut faults.short_bodies);
        delivery.lost = take(&mut faults.lose_answers);
        delivery
    }

    pub(crate) fn control(&mut self, now: Duration, control: &Control) {
        self.faults.change(control);
        if !self.faults.draining {
            self.drain_since = None;
        } else if self.drain_since.is_none() {
            self.drain_since = Some(now);
        }
    }

    /// Forgets everything that a process restart forgets. Faults and the ledger stay.
    pub(crate) fn crash(&mut self, now: Duration) {
        self.counters.crashes += 1;
        self.generation += 1;
        self.running = 0;
        self.load.push(now, 0);
        self.last_answer = None;
        self.faults.draining = false;
        self.drain_since = None;
        self.down = true;
    }

    /// Starts a new process life, cold.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.down = false;
        self.born = now;
    }

    pub(crate) fn load(&self, now: Duration) -> Load {
        let lag = Duration::from_millis(self.faults.load_lag_ms);
        let running = match self.faults.load_lie {
            Some(lie) => lie,
            None if lag.is_zero() => self.running,
            None => self.load.at(now.saturating_sub(lag)),
        };
        Load {
            running,
            slots: self.settings.slots,
        }
    }
}

fn take(count: &mut u64) -> bool {
    if *count == 0 {
        return false;
    }
    *count -= 1;
    true
}
