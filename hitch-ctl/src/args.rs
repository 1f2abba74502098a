//! The command line.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use argh::EarlyExit;
use argh::FromArgs;
use uuid::Uuid;

/// Options that may stand before or after the command.
const COMMON: [&str; 4] = ["--log", "--node", "--format", "--patience"];

/// Publishes contracts and shows what the mesh does with them. The options of this level may also
/// follow the command.
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
    /// admin address of a node, such as 127.0.0.1:7102; may be repeated, and one node suffices to
    /// find the others
    #[argh(option)]
    pub node: Vec<SocketAddr>,
    /// text or json, default text
    #[argh(option, default = "Format::Text")]
    pub format: Format,
    /// seconds for which the log is tried before the command gives up, default 10
    #[argh(option, default = "10")]
    pub patience: u64,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Format of the results on standard output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Lines for people.
    Text,
    /// One JSON value.
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

/// The commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Checks a file.
    Validate(Validate),
    /// Publishes a new customer.
    Publish(Publish),
    /// Amends a contract.
    Amend(Amend),
    /// Shows the nodes.
    Status(Status),
    /// Compares a file with the contract in force.
    Diff(Diff),
    /// Shows the changes in the log.
    History(History),
    /// Shows events in causal order.
    Timeline(Timeline),
    /// Gathers the log lines of one request.
    Explain(Explain),
}

/// Check a contract and list every problem.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "validate")]
pub struct Validate {
    /// contract in YAML
    #[argh(positional, from_str_fn(text))]
    pub file: Box<str>,
}

/// Publish the contract of a new customer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// contract in YAML
    #[argh(positional, from_str_fn(text))]
    pub file: Box<str>,
    /// wait until the version is in force on every node; seconds, or `lands_within` of the contract
    /// when no number follows
    #[argh(option)]
    pub wait: Option<Wait>,
    /// resume an earlier attempt: look for this change in the log before it is appended
    #[argh(option)]
    pub change_id: Option<Uuid>,
    /// who publishes, default the environment variable USER
    #[argh(option, from_str_fn(text), default = "user()")]
    pub operator: Box<str>,
}

/// Amend the contract of a customer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "amend")]
pub struct Amend {
    /// contract in YAML
    #[argh(positional, from_str_fn(text))]
    pub file: Box<str>,
    /// version of the customer's contract that is amended; by default the one that the nodes know,
    /// or the one in the log when no node is given
    #[argh(option)]
    pub based_on: Option<u64>,
    /// wait until the version is in force on every node; seconds, or `lands_within` of the contract
    /// when no number follows
    #[argh(option)]
    pub wait: Option<Wait>,
    /// resume an earlier attempt: look for this change in the log before it is appended
    #[argh(option)]
    pub change_id: Option<Uuid>,
    /// who amends, default the environment variable USER
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
    /// contract in YAML
    #[argh(positional, from_str_fn(text))]
    pub file: Box<str>,
}

/// Show the changes in the log and what became of each.
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

/// Gather the log lines of one request from all nodes, causes before effects.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// identity of the request
    #[argh(positional, from_str_fn(text))]
    pub request: Box<str>,
    /// log files of the nodes, default standard input
    #[argh(positional)]
    pub files: Vec<std::path::PathBuf>,
}

/// How long to wait for a version to be in force everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// As long as `lands_within` of the contract.
    LandsWithin,
    /// This long.
    For(Duration),
}

impl Wait {
    /// Returns the time to wait for a contract that must land within `lands_within`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use hitch_ctl::args::Wait;
    ///
    /// let promised = Duration::from_secs(10);
    /// assert_eq!(Wait::LandsWithin.within(promised), promised);
    /// ```
    pub fn within(self, lands_within: Duration) -> Duration {
        match self {
            Wait::LandsWithin => lands_within,
            Wait::For(time) => time,
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

/// Value that stands for `--wait` without a number.
const LANDS_WITHIN: &str = "lands_within";

/// Parses the arguments that follow the name of the program.
///
/// ```
/// let args = hitch_ctl::args::parse(&["publish", "a.yaml", "--wait", "--log", "http://log:1"]);
/// assert_eq!(&*args.unwrap().log, "http://log:1");
/// ```
pub fn parse(args: &[&str]) -> Result<Args, EarlyExit> {
    Args::from_args(&["hitch"], &normalized(args))
}

/// Moves common options in front of the command and gives a bare `--wait` its value, because the
/// parser takes options only at their own level and never without a value.
fn normalized<'a>(args: &[&'a str]) -> Vec<&'a str> {
    let mut common = Vec::new();
    let mut rest = Vec::new();
    let mut args = args.iter().copied().peekable();
    while let Some(arg) = args.next() {
        if arg == "--" {
            rest.push(arg);
            rest.extend(args);
            break;
        }
        if COMMON.contains(&arg) {
            common.push(arg);
            common.extend(args.next());
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
    common.extend(rest);
    common
}

fn text(value: &str) -> Result<Box<str>, String> {
    Ok(value.into())
}

fn user() -> Box<str> {
    std::env::var("USER").unwrap_or_default().into()
}
