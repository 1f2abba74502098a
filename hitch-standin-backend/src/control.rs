//! Faults, as `POST /control` sets them.

use serde::Deserialize;
use serde::Serialize;

/// What `GET /health` reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The truth: draining or not.
    #[default]
    Truth,
    /// Healthy in any case.
    Ok,
    /// Failing in any case.
    Failing,
}

/// A change of the faults in force; absent fields stay as they are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Whether the backend server is draining.
    pub draining: Option<bool>,
    /// What `GET /health` reports.
    pub health: Option<Health>,
    /// Age of the load that is reported, in milliseconds.
    pub load_lag_ms: Option<u64>,
    /// Calls in progress that are reported in place of the truth; a negative number ends the lie.
    pub load_lie: Option<i64>,
    /// Whether every call is answered with status 500 at once, without running.
    pub fail_fast: Option<bool>,
    /// Factor on service times, in percent.
    pub slow_percent: Option<u32>,
    /// How many of the next answers are late.
    pub late_answers: Option<u64>,
    /// Time by which an answer is late, in milliseconds.
    pub late_ms: Option<u64>,
    /// How many of the next answers are those of the call answered before.
    pub crossed_answers: Option<u64>,
    /// How many of the next answers end before their announced length.
    pub short_bodies: Option<u64>,
    /// How many of the next calls run without an answer: the connection is closed.
    pub lose_answers: Option<u64>,
    /// Time for which connections are refused after a crash, in milliseconds.
    pub crash_ms: Option<u64>,
    /// Crashes the backend server now if true.
    pub crash: Option<bool>,
    /// Caller address of the own node, to which next calls go.
    pub via: Option<Box<str>>,
}

/// Faults in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Whether the backend server is draining.
    pub draining: bool,
    /// What `GET /health` reports.
    pub health: Health,
    /// Age of the load that is reported, in milliseconds.
    pub load_lag_ms: u64,
    /// Calls in progress that are reported in place of the truth.
    pub load_lie: Option<u32>,
    /// Whether every call is answered with status 500 at once, without running.
    pub fail_fast: bool,
    /// Factor on service times, in percent.
    pub slow_percent: u32,
    /// How many of the next answers are late.
    pub late_answers: u64,
    /// Time by which an answer is late, in milliseconds.
    pub late_ms: u64,
    /// How many of the next answers are those of the call answered before.
    pub crossed_answers: u64,
    /// How many of the next answers end before their announced length.
    pub short_bodies: u64,
    /// How many of the next calls run without an answer.
    pub lose_answers: u64,
    /// Time for which connections are refused after a crash, in milliseconds.
    pub crash_ms: u64,
    /// Caller address of the own node, to which next calls go.
    pub via: Option<Box<str>>,
}

impl Faults {
    pub(crate) fn new(crash_ms: u64, via: Option<Box<str>>) -> Faults {
        Faults {
            draining: false,
            health: Health::Truth,
            load_lag_ms: 0,
            load_lie: None,
            fail_fast: false,
            slow_percent: 100,
            late_answers: 0,
            late_ms: 1_000,
            crossed_answers: 0,
            short_bodies: 0,
            lose_answers: 0,
            crash_ms,
            via,
        }
    }

    pub(crate) fn change(&mut self, control: &Control) {
        self.draining = control.draining.unwrap_or(self.draining);
        self.health = control.health.unwrap_or(self.health);
        self.load_lag_ms = control.load_lag_ms.unwrap_or(self.load_lag_ms);
        self.fail_fast = control.fail_fast.unwrap_or(self.fail_fast);
        self.slow_percent = control.slow_percent.unwrap_or(self.slow_percent);
        self.late_answers = control.late_answers.unwrap_or(self.late_answers);
        self.late_ms = control.late_ms.unwrap_or(self.late_ms);
        self.crossed_answers = control.crossed_answers.unwrap_or(self.crossed_answers);
        self.short_bodies = control.short_bodies.unwrap_or(self.short_bodies);
        self.lose_answers = control.lose_answers.unwrap_or(self.lose_answers);
        self.crash_ms = control.crash_ms.unwrap_or(self.crash_ms);
        if let Some(lie) = control.load_lie {
            self.load_lie = u32::try_from(lie).ok();
        }
        if let Some(via) = &control.via {
            self.via = Some(via.clone());
        }
    }
}
