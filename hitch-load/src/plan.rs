//! The plan of a run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use snafu::Snafu;

/// Longest run, in milliseconds.
pub const MAX_DURATION_MS: u64 = 30 * 60 * 1_000;
/// Most calls of a run.
pub const MAX_CALLS: f64 = 20_000_000.0;
/// Most calls in flight at once.
pub const MAX_IN_FLIGHT: usize = 20_000;
/// Most connections to one target.
pub const MAX_CONNECTIONS: usize = 1_024;

/// What to send, where and when.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Caller addresses of nodes.
    pub targets: Vec<SocketAddr>,
    /// Addresses of backend servers, for `direct` and `compare`.
    #[serde(default)]
    pub direct: Vec<SocketAddr>,
    /// Addresses of backend servers whose ledgers are checked after the run.
    #[serde(default)]
    pub ledgers: Vec<SocketAddr>,
    /// Length of the run, in milliseconds.
    pub duration_ms: u64,
    /// Time at the start that is reported as a phase of its own, in milliseconds.
    #[serde(default)]
    pub warmup_ms: u64,
    /// Seed of arrivals and bodies.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Distribution of the arrivals.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// Connections to each target at most.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Calls in flight at most; further calls are dropped and counted.
    #[serde(default = "default_in_flight")]
    pub in_flight: usize,
    /// Streams of calls.
    pub streams: Vec<Stream>,
    /// Floods.
    #[serde(default)]
    pub floods: Vec<Flood>,
    /// Settings of `compare`.
    #[serde(default)]
    pub compare: Compare,
}

/// Distribution of the arrivals of a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// Independent callers.
    #[default]
    Poisson,
    /// Equal distances.
    Even,
}

/// A stream of like calls.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name of the stream, unique in its plan.
    pub name: Box<str>,
    /// Customer of the calls.
    pub customer: Box<str>,
    /// Rank of the calls.
    pub rank: Box<str>,
    /// Method of the calls.
    pub method: Box<str>,
    /// Path of the calls.
    pub path: Box<str>,
    /// Calls per second.
    pub rate: f64,
    /// Length of the request body, whose bytes differ from call to call. Through a node only the hash
    /// of the body tells the answers to two calls apart, which takes 8 bytes or more.
    #[serde(default)]
    pub body_bytes: usize,
    /// Time for a call, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether each call carries an idempotency key of its own (UUIDv7).
    #[serde(default)]
    pub keyed: bool,
    /// How often a call that was not run, or whose outcome is unknown, is sent again.
    #[serde(default)]
    pub resends: u32,
    /// Service time that the backend server is asked for, in milliseconds.
    pub work_ms: Option<u64>,
    /// Further header fields.
    #[serde(default)]
    pub headers: BTreeMap<Box<str>, Box<str>>,
}

/// A time window in which a stream has a multiple of its rate.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flood {
    /// Name of the phase in the report.
    pub name: Box<str>,
    /// Stream that floods.
    pub stream: Box<str>,
    /// Start, in milliseconds from the start of the run.
    pub from_ms: u64,
    /// End, in milliseconds from the start of the run.
    pub until_ms: u64,
    /// Factor on the rate.
    pub factor: f64,
}

/// Settings of `compare`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Compare {
    /// Factors on every rate, one for each step.
    pub steps: Vec<f64>,
    /// Length of a block, in milliseconds.
    pub block_ms: u64,
    /// Pairs of blocks in each step.
    pub pairs: u32,
}

impl Default for Compare {
    fn default() -> Self {
        Compare {
            steps: vec![1.0],
            block_ms: 1_000,
            pairs: 5,
        }
    }
}

fn default_seed() -> u64 {
    1
}

fn default_connections() -> usize {
    64
}

fn default_in_flight() -> usize {
    4_096
}

fn default_deadline_ms() -> u64 {
    2_000
}

/// A plan that is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text is no plan.
    #[snafu(display("load: parse plan {file}: {detail}"))]
    Parse {
        /// File that was read.
        file: Box<str>,
        /// What the parser found.
        detail: Box<str>,
    },
    /// Values of the plan are not allowed.
    #[snafu(display("load: check plan {file}: {}", problems.join("; ")))]
    Invalid {
        /// File that was read.
        file: Box<str>,
        /// Every problem found.
        problems: Vec<Box<str>>,
    },
}

/// Reads a plan from YAML and checks its limits; `file` names the source in errors.
///
/// ```
/// let plan = "{ targets: ['192.0.2.1:80'], duration_ms: 1, streams: [] }";
/// let err = hitch_load::plan::from_str("plan.yaml", plan).unwrap_err();
/// assert!(err.to_string().contains("192.0.2.1:80 is no loopback address"));
/// ```
pub fn from_str(file: &str, text: &str) -> Result<Plan, Error> {
    let plan: Plan = serde_saphyr::from_str(text).map_err(|err| Error::Parse {
        file: file.into(),
        detail: err.to_string().into(),
    })?;
    let problems = plan.problems();
    if problems.is_empty() {
        return Ok(plan);
    }
    let file = file.into();
    Err(Error::Invalid { file, problems })
}

impl Plan {
    /// Returns everything in the plan that is not allowed.
    pub(crate) fn problems(&self) -> Vec<Box<str>> {
        let mut problems: Vec<Box<str>> = Vec::new();
        let addresses = self.targets.iter().chain(&self.direct).chain(&self.ledgers);
        for address in addresses {
            if !address.ip().is_loopback() {
                problems.push(format!("{address} is no loopback address").into());
            }
        }
        if self.duration_ms > MAX_DURATION_MS {
            let text = format!(
                "duration_ms is {}, allowed are {MAX_DURATION_MS}",
                self.duration_ms
            );
            problems.push(text.into());
        }
        if self.in_flight == 0 || self.in_flight > MAX_IN_FLIGHT {
            let text = format!(
                "in_flight is {}, allowed are 1 to {MAX_IN_FLIGHT}",
                self.in_flight
            );
            problems.push(text.into());
        }
        if self.connections == 0 || self.connections > MAX_CONNECTIONS {
            let text = format!(
                "connections is {}, allowed are 1 to {MAX_CONNECTIONS}",
                self.connections
            );
            problems.push(text.into());
        }
        self.check_streams(&mut problems);
        self.check_compare(&mut problems);
        problems
    }

    fn check_streams(&self, problems: &mut Vec<Box<str>>) {
        let mut names = BTreeSet::new();
        for stream in &self.streams {
            if !names.insert(&stream.name) {
                problems.push(format!("stream {} is defined twice", stream.name).into());
            }
            if !stream.rate.is_finite() || stream.rate < 0.0 {
                let text = format!("stream {}: rate {} is no rate", stream.name, stream.rate);
                problems.push(text.into());
            }
            if !stream.path.starts_with('/') {
                let text = format!("stream {}: path {:?} lacks its /", stream.name, stream.path);
                problems.push(text.into());
            }
        }
        for flood in &self.floods {
            if !names.contains(&flood.stream) {
                let text = format!("flood {}: no stream {}", flood.name, flood.stream);
                problems.push(text.into());
            }
            if flood.from_ms >= flood.until_ms || !flood.factor.is_finite() || flood.factor < 0.0 {
                problems.push(format!("flood {}: empty window or no factor", flood.name).into());
            }
        }
        if self.calls() > MAX_CALLS {
            let text = format!("{:.0} calls, allowed are {MAX_CALLS}", self.calls());
            problems.push(text.into());
        }
    }

    fn check_compare(&self, problems: &mut Vec<Box<str>>) {
        let compare = &self.compare;
        let blocks = compare.steps.len() as u64 * u64::from(compare.pairs) * 2;
        if blocks.saturating_mul(compare.block_ms) > MAX_DURATION_MS {
            let text = format!("compare takes {blocks} blocks of {} ms", compare.block_ms);
            problems.push(text.into());
        }
        for step in &compare.steps {
            if !step.is_finite() || *step <= 0.0 {
                problems.push(format!("compare: step {step} is no factor").into());
            }
        }
    }

    /// Returns the expected number of calls.
    fn calls(&self) -> f64 {
        let mut calls = 0.0;
        for stream in &self.streams {
            calls += stream.rate * self.duration_ms as f64 / 1_000.0;
            for flood in &self.floods {
                if flood.stream != stream.name {
                    continue;
                }
                let until_ms = flood.until_ms.min(self.duration_ms);
                let ms = until_ms.saturating_sub(flood.from_ms) as f64;
                calls += stream.rate * (flood.factor - 1.0).max(0.0) * ms / 1_000.0;
            }
        }
        calls
    }

    /// Returns the length of the run.
    ///
    /// ```
    /// let text = "{ targets: [], duration_ms: 10, streams: [] }";
    /// let plan = hitch_load::plan::from_str("plan.yaml", text).unwrap();
    /// assert_eq!(plan.duration().as_millis(), 10);
    /// ```
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    /// Returns the name of the phase at a time of the run: `warmup`, the names of the floods in
    /// progress, or `base`.
    ///
    /// ```
    /// # let text = "{ targets: [], duration_ms: 10, warmup_ms: 5, streams: [] }";
    /// let plan = hitch_load::plan::from_str("plan.yaml", text).unwrap();
    /// assert_eq!(&*plan.phase(std::time::Duration::from_millis(4)), "warmup");
    /// assert_eq!(&*plan.phase(std::time::Duration::from_millis(5)), "base");
    /// ```
    pub fn phase(&self, at: Duration) -> Box<str> {
        let at_ms = at.as_millis() as u64;
        if at_ms < self.warmup_ms {
            return "warmup".into();
        }
        let mut names = Vec::new();
        for flood in &self.floods {
            if (flood.from_ms..flood.until_ms).contains(&at_ms) {
                names.push(&*flood.name);
            }
        }
        if names.is_empty() {
            return "base".into();
        }
        names.join("+").into()
    }

    /// Returns the times at which a phase or a rate changes, in milliseconds, in order.
    pub(crate) fn boundaries(&self) -> BTreeSet<u64> {
        let mut times = BTreeSet::from([0, self.warmup_ms, self.duration_ms]);
        for flood in &self.floods {
            times.insert(flood.from_ms);
            times.insert(flood.until_ms);
        }
        times.retain(|ms| *ms <= self.duration_ms);
        times
    }

    /// Returns the rate of a stream at a time, in calls per second.
    pub(crate) fn rate_at(&self, stream: &Stream, at_ms: u64) -> f64 {
        let mut rate = stream.rate;
        for flood in &self.floods {
            let active = (flood.from_ms..flood.until_ms).contains(&at_ms);
            if active && flood.stream == stream.name {
                rate *= flood.factor;
            }
        }
        rate
    }
}
