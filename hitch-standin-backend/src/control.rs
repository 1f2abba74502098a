//! Injected faults and their updates through `POST /control`.

use serde::Deserialize;
use serde::Serialize;

/// Health that `GET /health` reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The actual state: draining or ok.
    #[default]
    Truth,
    /// Always healthy, even while draining.
    Ok,
    /// Always failing.
    Failing,
}

/// An update of the injected faults; absent fields leave the fault unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Whether the backend server is draining.
    pub draining: Option<bool>,
    /// Health that `GET /health` reports.
    pub health: Option<Health>,
    /// Delay of load reports, in milliseconds: the load of that long ago is reported.
    pub load_lag_ms: Option<u64>,
    /// Number of calls in flight to report in place of the actual one; a negative number restores
    /// the actual one.
    #[serde(rename = "load_lie")]
    pub reported_load: Option<i64>,
    /// Whether every call is answered immediately with status 500 and does not run.
    pub fail_fast: Option<bool>,
    /// Factor on service times, in percent.
    pub slow_percent: Option<u32>,
    /// Number of upcoming answers that are delayed by `late_ms`.
    pub late_answers: Option<u64>,
    /// Delay of a late answer, in milliseconds.
    pub late_ms: Option<u64>,
    /// Number of upcoming answers that are replaced by the answer to the previous call.
    pub crossed_answers: Option<u64>,
    /// Number of upcoming answers whose body is truncated: it is shorter than its content-length.
    pub short_bodies: Option<u64>,
    /// Number of upcoming calls that run but whose connection is closed without an answer.
    pub lose_answers: Option<u64>,
    /// Time for which connections are refused after a crash, in milliseconds.
    pub crash_ms: Option<u64>,
    /// Whether to crash the backend server immediately.
    pub crash: Option<bool>,
    /// Address at which the local node accepts calls, used for downstream calls.
    pub via: Option<Box<str>>,
}

/// The faults currently injected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Whether the backend server is draining.
    pub draining: bool,
    /// Health that `GET /health` reports.
    pub health: Health,
    /// Delay of load reports, in milliseconds: the load of that long ago is reported.
    pub load_lag_ms: u64,
    /// Number of calls in flight to report in place of the actual one.
    #[serde(rename = "load_lie")]
    pub reported_load: Option<u32>,
    /// Whether every call is answered immediately with status 500 and does not run.
    pub fail_fast: bool,
    /// Factor on service times, in percent.
    pub slow_percent: u32,
    /// Number of upcoming answers that are delayed by `late_ms`.
    pub late_answers: u64,
    /// Delay of a late answer, in milliseconds.
    pub late_ms: u64,
    /// Number of upcoming answers that are replaced by the answer to the previous call.
    pub crossed_answers: u64,
    /// Number of upcoming answers whose body is truncated: it is shorter than its content-length.
    pub short_bodies: u64,
    /// Number of upcoming calls that run but whose connection is closed without an answer.
    pub lose_answers: u64,
    /// Time for which connections are refused after a crash, in milliseconds.
    pub crash_ms: u64,
    /// Address at which the local node accepts calls, used for downstream calls.
    pub via: Option<Box<str>>,
}

impl Faults {
    pub(crate) fn new(crash_ms: u64, via: Option<Box<str>>) -> Faults {
        Faults {
            draining: false,
            health: Health::Truth,
            load_lag_ms: 0,
            reported_load: None,
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

    pub(crate) fn apply(&mut self, control: &Control) {
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
        if let Some(reported_load) = control.reported_load {
            self.reported_load = u32::try_from(reported_load).ok();
        }
        if let Some(via) = &control.via {
            self.via = Some(via.clone());
        }
    }
}
