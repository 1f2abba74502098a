//! Parsing of the command line.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use argh::EarlyExit;
use argh::FromArgs;
use uuid::Uuid;

/// Options that are accepted before and after the command.
const GLOBAL_OPTIONS: [&str; 4] = ["--log", "--node", "--format", "--patience"];

/// Publishes contracts and shows the state of the nodes. The options of this level may also follow
/// the command.
#[derive(Debug, FromArgs)]
#[argh(
    name = "hitch",
    error_code(0, "done"),
    error_code(1, "the contract is invalid or the change is refused"),
    error_code(2, "wrong command line"),
    error_code(3, "conflict: another change was accepted first"),
    error_code(4, "outcome unknown: run again with --change-id"),
    error_code(5, "the version was not in force everywhere in time"),
    error_code(6, "log or nodes not reachable, nothing was changed")
)]
pub struct Args {
    /// base URL of the log, default http://127.0.0.1:7000
    #[argh(
        option,
        from_str_fn(text),
        default = "\"http://127.0.0.1:7000\".into()"
    )]
    pub log: Box<str>,
    /// admin address of a node, such as 127.0.0.1:7102; may be repeated, and one node is enough to
    /// discover the others
    #[argh(option)]
    pub node: Vec<SocketAddr>,
    /// text or json, default text
    #[argh(option, default = "Format::Text")]
    pub format: Format,
    /// seconds for which requests to the log are retried before the command fails, default 10
    #[argh(option, default = "10")]
    pub patience: u64,
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Format of the results that are written to standard output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Human-readable lines.
    Text,
    /// One JSON value on a line.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err("expected text or json".to_owned()),
        }
    }
}

/// The commands of the tool.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Validates a contract file.
    Validate(Validate),
    /// Publishes the contract of a new customer.
    Publish(Publish),
    /// Publishes a new version of a customer's contract.
    Amend(Amend),
    /// Shows the state of every known node.
    Status(Status),
    /// Compares a contract file with the contract in force.
    Diff(Diff),
    /// Shows the changes that the log retains.
    History(History),
    /// Shows the events of all known nodes in causal order.
    Timeline(Timeline),
    /// Shows the log lines of one request.
    Explain(Explain),
}

/// Validate a contract and list every problem.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "validate")]
pub struct Validate {
    /// contract file in YAML
    #[argh(positional, from_str_fn(text))]
    pub file: Box<str>,
}

/// Publish the contract of a new customer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// contract file in YAML
    #[argh(positional, from_str_fn(text))]
    pub file: Box<str>,
    /// wait until the version is in force on every node; timeout in seconds, or `lands_within` of
    /// the contract when no number follows
    #[argh(option)]
    pub wait: Option<Wait>,
    /// resume an earlier attempt: search the log for this change before appending it
    #[argh(option)]
    pub change_id: Option<Uuid>,
    /// name of the operator who publishes, default the environment variable USER
    #[argh(option, from_str_fn(text), default = "user()")]
    pub operator: Box<str>,
}

/// Amend the contract of a customer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "amend")]
pub struct Amend {
    /// contract file in YAML
    #[argh(positional, from_str_fn(text))]
    pub file: Box<str>,
    /// version of the customer's contract that is amended; by default the newest that the nodes
    /// know, or the newest in the log when no node is given
    #[argh(option)]
    pub based_on: Option<u64>,
    /// wait until the version is in force on every node; timeout in seconds, or `lands_within` of
    /// the contract when no number follows
    #[argh(option)]
    pub wait: Option<Wait>,
    /// resume an earlier attempt: search the log for this change before appending it
    #[argh(option)]
    pub change_id: Option<Uuid>,
    /// name of the operator who amends, default the environment variable USER
    #[argh(option, from_str_fn(text), default = "user()")]
    pub operator: Box<str>,
}

/// Show every known node, its version in force and its state.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Compare a contract with the one in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// contract file in YAML
    #[argh(positional, from_str_fn(text))]
    pub file: Box<str>,
}

/// Show the changes in the log and whether each was accepted or refused.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct History {
    /// show only changes of this customer
    #[argh(option, from_str_fn(text))]
    pub customer: Option<Box<str>>,
}

/// Show the events of all known nodes, causes before effects.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct Timeline {
    /// show only events of this version
    #[argh(option)]
    pub version: Option<u64>,
    /// show only events of this call
    #[argh(option, from_str_fn(text))]
    pub call: Option<Box<str>>,
    /// show only events of this instance
    #[argh(option, from_str_fn(text))]
    pub instance: Option<Box<str>>,
}

/// Show the log lines of one request from all nodes, causes before effects.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// id of the request
    #[argh(positional, from_str_fn(text))]
    pub request: Box<str>,
    /// log files of the nodes, default standard input
    #[argh(positional)]
    pub files: Vec<std::path::PathBuf>,
}

/// Timeout of the wait for a version to be in force on every node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// The `lands_within` of the contract.
    LandsWithin,
    /// A duration from the command line.
    For(Duration),
}

impl Wait {
    /// Returns the timeout for a contract whose `lands_within` is given.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use hitch_ctl::args::Wait;
    ///
    /// let lands_within = Duration::from_secs(10);
    /// assert_eq!(Wait::LandsWithin.timeout(lands_within), lands_within);
    /// ```
    pub fn timeout(self, lands_within: Duration) -> Duration {
        match self {
            Wait::LandsWithin => lands_within,
            Wait::For(duration) => duration,
        }
    }
}

impl FromStr for Wait {
    type Err = String;

    fn from_str(text: &str) -> Result<Wait, String> {
        if text == LANDS_WITHIN {
            return Ok(Wait::LandsWithin);
        }
        match text.parse() {
            Ok(seconds) => Ok(Wait::For(Duration::from_secs(seconds))),
            Err(_) => Err("expected a number of seconds".to_owned()),
        }
    }
}

/// Value that [`normalize`] inserts after a `--wait` without a number.
const LANDS_WITHIN: &str = "lands_within";

/// Parses the arguments after the program name.
///
/// ```
/// let args = hitch_ctl::args::parse(&["publish", "a.yaml", "--wait", "--log", "http://log:1"]);
/// assert_eq!(&*args.unwrap().log, "http://log:1");
/// ```
pub fn parse(args: &[&str]) -> Result<Args, EarlyExit> {
    Args::from_args(&["hitch"], &normalize(args))
}

/// Moves the global options in front of the command and inserts the value of a `--wait` without a
/// number: the parser accepts options only at their own level and only with a value.
fn normalize<'a>(args: &[&'a str]) -> Vec<&'a str> {
    let mut global = Vec::new();
    let mut rest = Vec::new();
    let mut args = args.iter().copied().peekable();
    while let Some(arg) = args.next() {
        if arg == "--" {
            rest.push(arg);
            rest.extend(args);
            break;
        }
        if GLOBAL_OPTIONS.contains(&arg) {
            global.push(arg);
            global.extend(args.next());
            continue;
        }
        rest.push(arg);
        if arg != "--wait" {
            continue;
        }
        let has_number = args.peek().is_some_and(|next| next.parse::<u64>().is_ok());
        if !has_number {
            rest.push(LANDS_WITHIN);
        }
    }
    global.extend(rest);
    global
}

fn text(value: &str) -> Result<Box<str>, String> {
    Ok(value.into())
}

fn user() -> Box<str> {
    std::env::var("USER").unwrap_or_default().into()
}
