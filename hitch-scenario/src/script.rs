//! The YAML format of scenarios.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use snafu::ResultExt;
use snafu::Snafu;

/// A scenario: the size of the fleet and the timed steps that act on it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of the random number generator of the run.
    #[serde(default)]
    pub seed: u64,
    /// Size of the fleet.
    pub nodes: Nodes,
    /// Steps; each takes place at its own time, whatever its position.
    pub steps: Vec<Step>,
}

/// Size of the fleet.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// Number of nodes. The local backend server of an even node runs `ledger`, that of an odd node `registry`.
    pub count: usize,
    /// Number of availability zones.
    pub zones: usize,
}

/// A timed action, expectation or armed fault.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time since the start of the run. A step with `before` is armed from this time on.
    #[serde(deserialize_with = "duration")]
    pub at: Duration,
    /// Fault point just before which the action is performed, once, at the node that reaches the point first.
    #[serde(default)]
    pub before: Option<Point>,
    /// Action to perform.
    #[serde(default, rename = "do")]
    pub action: Option<Action>,
    /// Condition that must hold.
    #[serde(default)]
    pub expect: Option<Expect>,
}

/// A fault point: an operation of a node or an operator just before which an armed action can be performed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Point {
    /// An operator publishes a change.
    Publish,
    /// A record is appended to the log.
    Append,
    /// A reader node reads the changes from the log.
    Read,
    /// A snapshot is written to the log.
    Snapshot,
    /// A notice of new records is sent to peers.
    Spread,
    /// Records or a snapshot are applied.
    Apply,
    /// A node starts a membership exchange with a peer.
    Announce,
    /// A call is routed by the node that received it.
    Route,
    /// An attempt is offered to the admission queue.
    Admit,
    /// An attempt is handed to the backend server.
    HandOver,
    /// The backend server starts to run a call.
    Run,
    /// The answer of a backend server arrives at the node of its instance.
    Answer,
    /// A caller submits a call once more.
    Resend,
    /// A node starts to drain.
    Drain,
}

/// An action of a step. Without `node` it applies to the node that reached the fault point, or to node 0.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "kebab-case")]
pub enum Action {
    /// An operator publishes the next revision of the contract.
    Publish,
    /// An operator publishes an invalid contract.
    PublishBad,
    /// Two operators publish changes based on the same version.
    Race,
    /// The process of a node is killed.
    Kill(Target),
    /// The process of a node is killed and starts again after 200 ms with empty memory.
    Restart(Target),
    /// Nodes are killed and start again half a second later, beginning with the node that reached the fault point.
    Herd {
        /// Number of nodes.
        count: usize,
    },
    /// A node is suspended, then resumes with its memory intact.
    Freeze {
        /// Node to suspend.
        #[serde(default)]
        node: Option<usize>,
        /// Duration of the suspension.
        #[serde(deserialize_with = "duration")]
        length: Duration,
    },
    /// A node loses all connections, including the one to the log.
    Cut(Target),
    /// Everything that a node sends is lost; it still receives from its peers.
    CutOneWay(Target),
    /// Messages to and from a node are delayed.
    Slow {
        /// Node to slow down.
        #[serde(default)]
        node: Option<usize>,
        /// Delay added to each message.
        #[serde(deserialize_with = "duration")]
        by: Duration,
    },
    /// The log is unavailable.
    LogDown,
    /// The log is available again, without added latency.
    LogUp,
    /// The log answers with added latency.
    LogSlow {
        /// Latency added to each answer.
        #[serde(deserialize_with = "duration")]
        by: Duration,
    },
    /// The next append takes effect late and is not answered.
    AppendLate {
        /// Time until the append takes effect.
        #[serde(deserialize_with = "duration")]
        by: Duration,
    },
    /// The next append takes effect and its answer is lost.
    AppendLost,
    /// The log drops the change records that its newest snapshot covers.
    Trim,
    /// The wall clock of a node jumps.
    Clocks {
        /// Node whose clock jumps.
        #[serde(default)]
        node: Option<usize>,
        /// Offset from the true time, in milliseconds.
        ms: i64,
    },
    /// A caller submits a new call.
    Call {
        /// Id of the call in the scenario.
        id: Box<str>,
        /// Node that receives the call.
        via: usize,
        /// Whether the call may run more than once.
        #[serde(default)]
        idempotent: bool,
        /// Whether the call crashes every backend server that runs it.
        #[serde(default)]
        crashes: bool,
    },
    /// A caller submits a call once more, with the same idempotency key.
    Resend {
        /// Id of the call in the scenario.
        id: Box<str>,
        /// Node that receives the call.
        via: usize,
    },
    /// The next call crashes the backend server that runs it.
    CrashNext,
    /// The next call is answered after its deadline.
    LateNext,
    /// The next call is answered with the answer to another call (a crossed answer).
    CrossNext,
    /// A node drains and then stops.
    Drain(Target),
    /// Repairs the network, the log and the clocks, and starts the nodes that are down, except those that drained.
    Recover,
}

/// The node that an action applies to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Number of the node; the default is given at [`Action`].
    #[serde(default)]
    pub node: Option<usize>,
}

/// A condition that must hold.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// Number of accepted changes; every reachable node must have the newest of them in force.
    Accepted(usize),
    /// Outcome of the last submission of a call: `answered`, `not-run`, `unknown` or `open`.
    Outcome {
        /// Id of the call in the scenario.
        id: Box<str>,
        /// Allowed outcomes.
        any: Vec<Box<str>>,
    },
    /// Number of times that a call ran.
    Runs {
        /// Id of the call in the scenario.
        id: Box<str>,
        /// Exact number of runs.
        count: usize,
    },
    /// Number of idempotency keys that ran more than once.
    Duplicates(usize),
    /// A backend server started no run after a time.
    NoWorkAt {
        /// Node of the backend server's instance.
        node: usize,
        /// Time since the start of the run.
        #[serde(deserialize_with = "duration")]
        since: Duration,
    },
    /// Every running and reachable node has the newest version in force within a time.
    Converged {
        /// Time limit, counted from the time of the step.
        #[serde(deserialize_with = "duration")]
        within: Duration,
    },
}

/// The text is not a valid scenario.
#[derive(Debug, Snafu)]
#[snafu(
    context(name(ReadSnafu)),
    display("cannot read the scenario: {source}")
)]
pub struct Error {
    /// Error of the YAML decoder.
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
