//! Execution of the commands.

use std::fmt::Display;
use std::io::Write;
use std::time::Duration;

use hitch_config::Change;
use hitch_contract::Contract;
use hitch_event::timeline::Options as TimelineOptions;
use hitch_log::Client;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use uuid::Uuid;

use crate::admin_client;
use crate::admin_client::AdminClient;
use crate::args;
use crate::args::Args;
use crate::args::Command;
use crate::args::Wait;
use crate::contract;
use crate::contract::ContractFile;
use crate::diff;
use crate::exit::Exit;
use crate::explain;
use crate::history;
use crate::in_force;
use crate::publish;
use crate::publish::Outcome;
use crate::replay;
use crate::timeline;
use crate::view;
use crate::view::Differences;
use crate::view::NodeView;
use crate::view::Published;
use crate::view::Statuses;
use crate::view::Validation;
use crate::wait;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The contract file cannot be read.
    #[snafu(display("read contract {file}: {source}"))]
    File {
        /// Path of the file.
        file: Box<str>,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The contract is invalid.
    #[snafu(display("{source}"), context(false))]
    Invalid {
        /// All problems of the contract.
        source: hitch_contract::read::Error,
    },
    /// The URL of the log cannot be used.
    #[snafu(display("{source}"), context(false))]
    LogUrl {
        /// Error of the log client.
        source: hitch_log::client::Error,
    },
    /// The log could not be read.
    #[snafu(display("{source}"), context(false))]
    Replay {
        /// Error of the replay.
        source: replay::Error,
    },
    /// No node answered.
    #[snafu(display("no node answered: {}", join_errors(errors)))]
    NodesUnreachable {
        /// Error of the request to each node.
        errors: Vec<admin_client::Error>,
    },
    /// The command needs a node and the command line names none.
    #[snafu(display("this command needs at least one --node ADDRESS"))]
    NoNode,
    /// The customer has no contract.
    #[snafu(display("customer {customer:?} has no contract, use publish"))]
    UnknownCustomer {
        /// Name of the customer.
        customer: Box<str>,
    },
}

impl Error {
    /// Returns the exit code of the command.
    ///
    /// ```
    /// assert_eq!(hitch_ctl::run::Error::NoNode.exit(), hitch_ctl::Exit::Usage);
    /// ```
    pub fn exit(&self) -> Exit {
        match self {
            Error::File { .. } | Error::LogUrl { .. } | Error::NoNode => Exit::Usage,
            Error::Invalid { .. } | Error::UnknownCustomer { .. } => Exit::Refused,
            Error::Replay { .. } | Error::NodesUnreachable { .. } => Exit::Unreachable,
        }
    }
}

fn join_errors(errors: &[admin_client::Error]) -> String {
    let lines: Vec<String> = errors.iter().map(admin_client::Error::to_string).collect();
    lines.join("; ")
}

/// Runs a command. Writes results to `out`, and progress and errors to `err`.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let args = hitch_ctl::args::parse(&["validate", "no/such/file.yaml"]).unwrap();
/// let exit = hitch_ctl::run(args, &mut Vec::new(), &mut Vec::new()).await;
/// assert_eq!(exit, hitch_ctl::Exit::Usage);
/// # }
/// ```
pub async fn run(args: Args, out: &mut impl Write, err: &mut impl Write) -> Exit {
    let result = match &args.command {
        Command::Validate(cmd) => validate(cmd, &args, out),
        Command::Publish(cmd) => publish_new(cmd, &args, out, err).await,
        Command::Amend(cmd) => publish_amended(cmd, &args, out, err).await,
        Command::Status(_) => status(&args, out, err).await,
        Command::Diff(cmd) => diff_with_in_force(cmd, &args, out).await,
        Command::History(cmd) => show_history(cmd, &args, out).await,
        Command::Timeline(cmd) => show_timeline(cmd, &args, out, err).await,
        Command::Explain(cmd) => explain_request(cmd, &args, out, err),
    };
    let error = match result {
        Ok(exit) => return exit,
        Err(error) => error,
    };
    let exit = error.exit();
    match error {
        Error::Invalid { source } => {
            let validation = Validation {
                file: source.file,
                valid: false,
                problems: source.problems,
            };
            print(out, &args, &validation);
        }
        error => write_line(err, &format!("hitch: {error}")),
    }
    exit
}

/// Prints a result in the format of the command line.
fn print<T: Serialize + Display>(out: &mut impl Write, args: &Args, result: &T) {
    write_line(out, &view::render(result, args.format));
}

/// Writes a line and flushes it. Ignores errors: a reader may close the pipe early, as `head` does.
fn write_line(stream: &mut impl Write, text: &str) {
    let _ = writeln!(stream, "{text}");
    let _ = stream.flush();
}

fn log_timeout(args: &Args) -> Duration {
    Duration::from_secs(args.patience)
}

fn log_client(args: &Args) -> Result<Client, Error> {
    Ok(Client::at(&args.log, hitch_log::Options::default())?)
}

fn validate(cmd: &args::Validate, args: &Args, out: &mut impl Write) -> Result<Exit, Error> {
    contract::load(&cmd.file)?;
    let validation = Validation {
        file: cmd.file.clone(),
        valid: true,
        problems: Vec::new(),
    };
    print(out, args, &validation);
    Ok(Exit::Done)
}

async fn publish_new(
    cmd: &args::Publish,
    args: &Args,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Result<Exit, Error> {
    let ContractFile { text, contract } = contract::load(&cmd.file)?;
    let change = Change {
        change_id: cmd.change_id.unwrap_or_else(Uuid::now_v7),
        customer: contract.customer.clone(),
        based_on: 0,
        operator: cmd.operator.clone(),
        contract: text,
    };
    let publication = Publication {
        change,
        contract,
        resume: cmd.change_id.is_some(),
        wait: cmd.wait,
        command: format!("hitch publish {}", cmd.file).into(),
    };
    publish_change(publication, args, out, err).await
}

async fn publish_amended(
    cmd: &args::Amend,
    args: &Args,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Result<Exit, Error> {
    let ContractFile { text, contract } = contract::load(&cmd.file)?;
    let based_on = match cmd.based_on {
        Some(version) => version,
        None => {
            let client = AdminClient::default();
            let log = log_client(args)?;
            let customer = &contract.customer;
            in_force::find(&client, &args.node, &log, log_timeout(args), customer)
                .await?
                .version
        }
    };
    let change = Change {
        change_id: cmd.change_id.unwrap_or_else(Uuid::now_v7),
        customer: contract.customer.clone(),
        based_on,
        operator: cmd.operator.clone(),
        contract: text,
    };
    let publication = Publication {
        change,
        contract,
        resume: cmd.change_id.is_some(),
        wait: cmd.wait,
        command: format!("hitch amend {} --based-on {based_on}", cmd.file).into(),
    };
    publish_change(publication, args, out, err).await
}

/// A change to publish and how to do it.
struct Publication {
    change: Change,
    contract: Contract,
    /// Whether an earlier attempt may have appended the change.
    resume: bool,
    wait: Option<Wait>,
    /// Command line without the options that [`publish_change`] adds for a resumption.
    command: Box<str>,
}

async fn publish_change(
    publication: Publication,
    args: &Args,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Result<Exit, Error> {
    if publication.wait.is_some() && args.node.is_empty() {
        return Err(Error::NoNode);
    }
    let change_id = publication.change.change_id;
    // An operator who interrupts the command needs the id to resume it or to find the change in the log.
    write_line(err, &format!("change id {change_id}"));
    let log = log_client(args)?;
    let options = publish::Options {
        log_timeout: log_timeout(args),
        resume: publication.resume,
    };
    let outcome = publish::publish(&log, &publication.change, &options).await;
    let mut exit = outcome.exit();
    let resume = format!(
        "{} --log {} --change-id {change_id}",
        publication.command, args.log
    );
    let mut result = Published::new(&publication.change, outcome, resume.into());
    if let (Outcome::Accepted { version }, Some(wait)) = (&result.outcome, publication.wait) {
        write_line(err, &result.outcome.to_string());
        let options = wait::Options {
            version: *version,
            timeout: wait.timeout(publication.contract.lands_within),
        };
        let report_progress = |progress: &_| write_line(err, &view::render(progress, args.format));
        let client = AdminClient::default();
        let last = wait::until_in_force(&client, &args.node, &options, report_progress).await;
        if !last.is_done() {
            exit = Exit::TimedOut;
        }
        result.progress = Some(last);
    }
    print(out, args, &result);
    Ok(exit)
}

async fn status(args: &Args, out: &mut impl Write, err: &mut impl Write) -> Result<Exit, Error> {
    if args.node.is_empty() {
        return Err(Error::NoNode);
    }
    let (polled, fleet) = AdminClient::default().discover(&args.node).await;
    if polled.responses.is_empty() {
        return Err(Error::NodesUnreachable {
            errors: polled.errors,
        });
    }
    for error in &polled.errors {
        write_line(err, &format!("hitch: {error}"));
    }
    let nodes = fleet.present().map(NodeView::from).collect();
    print(out, args, &Statuses { nodes });
    Ok(Exit::Done)
}

async fn diff_with_in_force(
    cmd: &args::Diff,
    args: &Args,
    out: &mut impl Write,
) -> Result<Exit, Error> {
    let ContractFile { contract, .. } = contract::load(&cmd.file)?;
    let log = log_client(args)?;
    let customer = &contract.customer;
    let client = AdminClient::default();
    let current = in_force::find(&client, &args.node, &log, log_timeout(args), customer).await?;
    let file = format!("version {}", current.version);
    let old = hitch_contract::from_bytes(&file, current.text.as_bytes())?;
    let result = Differences {
        customer: customer.clone(),
        version: current.version,
        differences: diff::between(&old, &contract),
    };
    print(out, args, &result);
    Ok(Exit::Done)
}

async fn show_history(
    cmd: &args::History,
    args: &Args,
    out: &mut impl Write,
) -> Result<Exit, Error> {
    let log = log_client(args)?;
    let customer = cmd.customer.as_deref();
    let outcome = history::read(&log, log_timeout(args), customer).await?;
    print(out, args, &outcome);
    Ok(Exit::Done)
}

async fn show_timeline(
    cmd: &args::Timeline,
    args: &Args,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Result<Exit, Error> {
    if args.node.is_empty() {
        return Err(Error::NoNode);
    }
    let options = TimelineOptions {
        version: cmd.version,
        call_id: cmd.call.clone(),
        instance: cmd.instance.clone(),
    };
    let outcome = timeline::read(&AdminClient::default(), &args.node, &options).await;
    if outcome.nodes == 0 {
        return Err(Error::NodesUnreachable {
            errors: outcome.errors,
        });
    }
    for error in &outcome.errors {
        write_line(err, &format!("hitch: {error}"));
    }
    if outcome.malformed > 0 {
        let text = format!("hitch: {} events could not be decoded", outcome.malformed);
        write_line(err, &text);
    }
    print(out, args, &outcome);
    Ok(Exit::Done)
}

fn explain_request(
    cmd: &args::Explain,
    args: &Args,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Result<Exit, Error> {
    let mut text = String::new();
    if cmd.files.is_empty() {
        let read = std::io::Read::read_to_string(&mut std::io::stdin(), &mut text);
        read.context(FileSnafu {
            file: "standard input",
        })?;
    }
    for path in &cmd.files {
        let log = std::fs::read_to_string(path).context(FileSnafu {
            file: path.display().to_string(),
        })?;
        text.push_str(&log);
        text.push('\n');
    }
    let outcome = explain::from_lines(text.lines(), &cmd.request);
    if outcome.unreadable > 0 {
        let lines = outcome.unreadable;
        write_line(err, &format!("hitch: {lines} lines could not be parsed"));
    }
    if outcome.lines.is_empty() {
        write_line(err, "hitch: no log line names the request");
    }
    print(out, args, &outcome);
    Ok(Exit::Done)
}
