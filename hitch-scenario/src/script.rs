//! The language of scenarios.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use snafu::ResultExt;
use snafu::Snafu;

/// A scenario: a fleet and what happens to it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of everything random in the run.
    #[serde(default)]
    pub seed: u64,
    /// The fleet.
    pub nodes: Nodes,
    /// What happens, in the order of time.
    pub steps: Vec<Step>,
}

/// Size of the fleet.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// Number of nodes; every second one is beside a backend server of `ledger`, the others of `registry`.
    pub count: usize,
    /// Number of availability zones.
    pub zones: usize,
}

/// One step.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time since the start of the run. A step with `before` is armed at this time.
    #[serde(deserialize_with = "duration")]
    pub at: Duration,
    /// Moment before which the action strikes, once, at the node that reaches it first.
    #[serde(default)]
    pub before: Option<Point>,
    /// What is done.
    #[serde(default, rename = "do")]
    pub action: Option<Action>,
    /// What must hold.
    #[serde(default)]
    pub expect: Option<Expect>,
}

/// A moment in the work of a node or an operator at which a fault can strike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Point {
    /// An operator publishes a change.
    Publish,
    /// A record is appended to the log.
    Append,
    /// A reader reads the log.
    Read,
    /// A snapshot is written to the log.
    Snapshot,
    /// Records or a notice of them are sent to peers.
    Spread,
    /// Records are applied.
    Apply,
    /// A node exchanges members with a peer.
    Announce,
    /// A call is routed by its first node.
    Route,
    /// A call is offered to the queue.
    Admit,
    /// A call is handed to the backend server.
    HandOver,
    /// The backend server begins to run a call.
    Run,
    /// The answer of a backend server arrives at its node.
    Answer,
    /// A caller resends a call.
    Resend,
    /// A node begins to drain.
    Drain,
}

/// Something that is done. Where `node` is missing, it is the node that reached the moment, or node 0.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Action {
    /// An operator publishes the next revision of the contract.
    Publish,
    /// An operator publishes a contract that is not valid.
    PublishBad,
    /// Two operators amend the same version.
    Race,
    /// The process of a node ends without notice.
    Kill(Target),
    /// The same, and the node starts again at once, with empty memory.
    Restart(Target),
    /// The first nodes end and start again half a second later.
    Herd {
        /// How many.
        count: usize,
    },
    /// A node stops for a time and resumes.
    Freeze {
        /// Which node.
        #[serde(default)]
        node: Option<usize>,
        /// For how long.
        #[serde(deserialize_with = "duration")]
        length: Duration,
    },
    /// A node loses all connections, also to the log.
    Cut(Target),
    /// What a node sends is lost; it still receives.
    CutOneWay(Target),
    /// Everything to and from a node takes longer.
    Slow {
        /// Which node.
        #[serde(default)]
        node: Option<usize>,
        /// How much longer.
        #[serde(deserialize_with = "duration")]
        by: Duration,
    },
    /// The log answers nothing.
    LogDown,
    /// The log answers again, and at once.
    LogUp,
    /// The log answers late.
    LogSlow {
        /// How much later.
        #[serde(deserialize_with = "duration")]
        by: Duration,
    },
    /// The next append takes effect, and is answered, late.
    AppendLate {
        /// How much later.
        #[serde(deserialize_with = "duration")]
        by: Duration,
    },
    /// The next append takes effect and its answer is lost.
    AppendLost,
    /// The log drops the records that a snapshot covers.
    Trim,
    /// The clock of a node jumps.
    Clocks {
        /// Which node.
        #[serde(default)]
        node: Option<usize>,
        /// By how much, in milliseconds.
        ms: i64,
    },
    /// A caller makes a call.
    Call {
        /// Name of the call in the scenario.
        id: Box<str>,
        /// Node that it enters at.
        via: usize,
        /// Whether it may run more than once.
        #[serde(default)]
        idempotent: bool,
        /// Whether it crashes every backend server that runs it.
        #[serde(default)]
        crashes: bool,
    },
    /// A caller sends a call again.
    Resend {
        /// Name of the call.
        id: Box<str>,
        /// Node that it enters at.
        via: usize,
    },
    /// The next call crashes the backend server that runs it.
    CrashNext,
    /// The next call is answered after its deadline.
    LateNext,
    /// The next call is answered with the answer to another one.
    CrossNext,
    /// A node stops by plan.
    Drain(Target),
    /// Connections, the log, clocks and nodes that are down come back; nodes that left stay away.
    Recover,
}

/// Names a node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Which node.
    #[serde(default)]
    pub node: Option<usize>,
}

/// Something that must hold.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// The version in force on the nodes that run, by the number of accepted changes.
    Accepted(usize),
    /// How the last submission of a call ended: `answered`, `not-run`, `unknown` or `open`.
    Outcome {
        /// Name of the call.
        id: Box<str>,
        /// Names that are allowed.
        any: Vec<Box<str>>,
    },
    /// How often a call ran.
    Runs {
        /// Name of the call.
        id: Box<str>,
        /// How often.
        count: usize,
    },
    /// Number of keys that ran twice.
    Duplicates(usize),
    /// A node got no work after this time of the run.
    NoWorkAt {
        /// Which node.
        node: usize,
        /// Time since the start of the run.
        #[serde(deserialize_with = "duration")]
        since: Duration,
    },
    /// Every node that runs and can be reached holds the newest version within this time.
    Converged {
        /// Longest time from now.
        #[serde(deserialize_with = "duration")]
        within: Duration,
    },
}

/// A document that is no scenario.
#[derive(Debug, Snafu)]
#[snafu(
    context(name(ReadSnafu)),
    display("cannot read the scenario: {source}")
)]
pub struct Error {
    /// What the decoder found.
    #[snafu(source(from(serde_saphyr::Error, Box::new)))]
    source: Box<serde_saphyr::Error>,
}

impl Scenario {
    /// Reads a scenario from YAML.
    ///
    /// ```
    /// let text = "nodes: { count: 2, zones: 1 }\nsteps:\n  - { at: 1s, do: publish }\n";
    /// let scenario = hitch_scenario::Scenario::from_yaml(text)?;
    /// assert_eq!(scenario.steps.len(), 1);
    /// # Ok::<(), hitch_scenario::script::Error>(())
    /// ```
    pub fn from_yaml(text: &str) -> Result<Scenario, Error> {
        serde_saphyr::from_str(text).context(ReadSnafu)
    }
}

fn duration<'de, D: Deserializer<'de>>(de: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(de)?;
    humantime::parse_duration(&text).map_err(serde::de::Error::custom)
}
