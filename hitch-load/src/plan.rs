//! The plan of a run: what is sent, to which targets, and at which rates.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use snafu::Snafu;

/// Longest allowed run, in milliseconds.
pub const MAX_DURATION_MS: u64 = 30 * 60 * 1_000;
/// Largest allowed expected number of calls in a run.
pub const MAX_CALLS: f64 = 20_000_000.0;
/// Largest allowed limit on calls in flight.
pub const MAX_IN_FLIGHT: usize = 20_000;
/// Largest allowed number of connections to one target.
pub const MAX_CONNECTIONS: usize = 1_024;

/// Targets, streams and limits of a run, as read from a plan file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Addresses on which nodes accept calls.
    pub targets: Vec<SocketAddr>,
    /// Addresses of backend servers, which `direct` and `compare` call without a node.
    #[serde(default)]
    pub direct: Vec<SocketAddr>,
    /// Addresses of backend servers whose ledgers of executed calls are checked after the run.
    #[serde(default)]
    pub ledgers: Vec<SocketAddr>,
    /// Length of the run, in milliseconds.
    pub duration_ms: u64,
    /// Time from the start of the run that is reported as a separate phase, in milliseconds.
    #[serde(default)]
    pub warmup_ms: u64,
    /// Seed of the random generators for arrival times and request bodies.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Distribution of the arrival times.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// Maximum number of connections to each target.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Maximum number of calls in flight; calls above it are not sent and are counted as dropped.
    #[serde(default = "default_in_flight")]
    pub in_flight: usize,
    /// Streams of calls, each with its own rate.
    pub streams: Vec<Stream>,
    /// Time windows in which the rate of a stream is multiplied.
    #[serde(default)]
    pub floods: Vec<Flood>,
    /// Settings of `compare`.
    #[serde(default)]
    pub compare: Compare,
}

/// Distribution of the arrival times of a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// Poisson process, as independent callers produce.
    #[default]
    Poisson,
    /// Equal intervals.
    Even,
}

/// A stream of calls with the same method, path, customer and rank.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name of the stream, unique in its plan.
    pub name: Box<str>,
    /// Customer on whose behalf the calls are made.
    pub customer: Box<str>,
    /// Rank of the calls, which sets their priority.
    pub rank: Box<str>,
    /// HTTP method.
    pub method: Box<str>,
    /// Path, with the query if there is one.
    pub path: Box<str>,
    /// Calls per second.
    pub rate: f64,
    /// Length of the random request body, in bytes. When calls go through a node, answers are
    /// matched to calls only by the hash of the body, so bodies need 8 bytes or more to be
    /// distinct.
    #[serde(default)]
    pub body_bytes: usize,
    /// Time from the scheduled time of a call to its deadline, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Whether each call carries its own idempotency key (UUIDv7).
    #[serde(default)]
    pub keyed: bool,
    /// Maximum number of retries of a call that was not run or whose outcome is unknown.
    #[serde(default)]
    pub resends: u32,
    /// Service time requested from the backend server, in milliseconds.
    pub work_ms: Option<u64>,
    /// Additional header fields by name.
    #[serde(default)]
    pub headers: BTreeMap<Box<str>, Box<str>>,
}

/// A time window in which the rate of a stream is multiplied, to cause overload.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flood {
    /// Name of the phase in the report.
    pub name: Box<str>,
    /// Name of the stream.
    pub stream: Box<str>,
    /// Start of the window, in milliseconds from the start of the run.
    pub from_ms: u64,
    /// End of the window (exclusive), in milliseconds from the start of the run.
    pub until_ms: u64,
    /// Factor by which the rate is multiplied.
    pub factor: f64,
}

/// Settings of `compare`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Compare {
    /// Factors by which the rates of all streams are multiplied, one for each step.
    pub steps: Vec<f64>,
    /// Length of a block of calls, in milliseconds.
    pub block_ms: u64,
    /// Number of pairs of blocks (one direct, one through nodes) in each step.
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

/// Why a plan cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text is not YAML or does not have the fields of a plan.
    #[snafu(display("load: parse plan {file}: {detail}"))]
    Parse {
        /// Name of the source of the plan.
        file: Box<str>,
        /// Message of the YAML parser.
        detail: Box<str>,
    },
    /// Values of the plan are inconsistent or exceed a limit.
    #[snafu(display("load: invalid plan {file}: {}", problems.join("; ")))]
    Invalid {
        /// Name of the source of the plan.
        file: Box<str>,
        /// All problems found.
        problems: Vec<Box<str>>,
    },
}

/// Parses a plan from YAML and validates it; `file` names the source in errors.
///
/// ```
/// let plan = "{ targets: ['192.0.2.1:80'], duration_ms: 1, streams: [] }";
/// let err = hitch_load::plan::from_str("plan.yaml", plan).unwrap_err();
/// assert!(err.to_string().contains("192.0.2.1:80 is not a loopback address"));
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
    /// Returns a message for each invalid value in the plan.
    pub(crate) fn problems(&self) -> Vec<Box<str>> {
        let mut problems: Vec<Box<str>> = Vec::new();
        let addresses = self.targets.iter().chain(&self.direct).chain(&self.ledgers);
        for address in addresses {
            if !address.ip().is_loopback() {
                problems.push(format!("{address} is not a loopback address").into());
            }
        }
        if self.duration_ms > MAX_DURATION_MS {
            let text = format!(
                "duration_ms is {}, must be at most {MAX_DURATION_MS}",
                self.duration_ms
            );
            problems.push(text.into());
        }
        if self.in_flight == 0 || self.in_flight > MAX_IN_FLIGHT {
            let text = format!(
                "in_flight is {}, must be 1 to {MAX_IN_FLIGHT}",
                self.in_flight
            );
            problems.push(text.into());
        }
        if self.connections == 0 || self.connections > MAX_CONNECTIONS {
            let text = format!(
                "connections is {}, must be 1 to {MAX_CONNECTIONS}",
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
                let text = format!(
                    "stream {}: rate is {}, must be finite and not negative",
                    stream.name, stream.rate
                );
                problems.push(text.into());
            }
            if !stream.path.starts_with('/') {
                let text = format!(
                    "stream {}: path {:?} does not start with /",
                    stream.name, stream.path
                );
                problems.push(text.into());
            }
        }
        for flood in &self.floods {
            if !names.contains(&flood.stream) {
                let text = format!(
                    "flood {}: the plan has no stream {}",
                    flood.name, flood.stream
                );
                problems.push(text.into());
            }
            if flood.from_ms >= flood.until_ms || !flood.factor.is_finite() || flood.factor < 0.0 {
                problems.push(format!("flood {}: from_ms must be less than until_ms, and factor finite and not negative", flood.name).into());
            }
        }
        if self.expected_calls() > MAX_CALLS {
            let text = format!(
                "the streams add up to {:.0} calls, must be at most {MAX_CALLS}",
                self.expected_calls()
            );
            problems.push(text.into());
        }
    }

    fn check_compare(&self, problems: &mut Vec<Box<str>>) {
        let compare = &self.compare;
        let blocks = compare.steps.len() as u64 * u64::from(compare.pairs) * 2;
        if blocks.saturating_mul(compare.block_ms) > MAX_DURATION_MS {
            let text = format!(
                "compare takes {blocks} blocks of {} ms, must be at most {MAX_DURATION_MS} ms in total",
                compare.block_ms
            );
            problems.push(text.into());
        }
        for step in &compare.steps {
            if !step.is_finite() || *step <= 0.0 {
                problems
                    .push(format!("compare: step is {step}, must be finite and positive").into());
            }
        }
    }

    /// Returns the number of calls of all streams, floods included.
    fn expected_calls(&self) -> f64 {
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

    /// Returns the name of the phase at a time from the start of the run: `warmup`, the names of
    /// the active floods joined by `+`, or `base`.
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

    /// Returns the times at which a phase or a rate changes, in milliseconds from the start of the
    /// run, the start and the end included.
    pub(crate) fn boundaries(&self) -> BTreeSet<u64> {
        let mut times = BTreeSet::from([0, self.warmup_ms, self.duration_ms]);
        for flood in &self.floods {
            times.insert(flood.from_ms);
            times.insert(flood.until_ms);
        }
        times.retain(|ms| *ms <= self.duration_ms);
        times
    }

    /// Returns the rate of a stream at a time of the run, in calls per second.
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
