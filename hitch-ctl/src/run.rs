//! Runs a command.

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
use crate::contract::Loaded;
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

/// A command that could not do what it was asked.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The contract file cannot be read.
    #[snafu(display("read contract {file}: {source}"))]
    File {
        /// File that was to be read.
        file: Box<str>,
        /// What the system reports.
        source: std::io::Error,
    },
    /// The contract is invalid.
    #[snafu(display("{source}"), context(false))]
    Invalid {
        /// Every problem of the contract.
        source: hitch_contract::read::Error,
    },
    /// The URL of the log cannot be used.
    #[snafu(display("{source}"), context(false))]
    LogUrl {
        /// What the client of the log reports.
        source: hitch_log::client::Error,
    },
    /// The log could not be read.
    #[snafu(display("{source}"), context(false))]
    Replay {
        /// What the replay reports.
        source: replay::Error,
    },
    /// No node answered.
    #[snafu(display("no node answered: {}", list(errors)))]
    NodesUnreachable {
        /// What each node reports.
        errors: Vec<admin_client::Error>,
    },
    /// A command needs a node and none is given.
    #[snafu(display("this command needs at least one --node ADDRESS"))]
    NoNode,
    /// The customer has no contract.
    #[snafu(display("customer {customer:?} has no contract, use publish"))]
    UnknownCustomer {
        /// The customer.
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

fn list(errors: &[admin_client::Error]) -> String {
    let lines: Vec<String> = errors.iter().map(admin_client::Error::to_string).collect();
    lines.join("; ")
}

/// Runs a command. Results go to `out`, progress and errors to `err`.
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
        Command::Diff(cmd) => compare(cmd, &args, out).await,
        Command::History(cmd) => show_history(cmd, &args, out).await,
        Command::Timeline(cmd) => show_timeline(cmd, &args, out, err).await,
        Command::Explain(cmd) => show_request(cmd, &args, out, err),
    };
    let failure = match result {
        Ok(exit) => return exit,
        Err(failure) => failure,
    };
    let exit = failure.exit();
    match failure {
        Error::Invalid { source } => {
            let validation = Validation {
                file: source.file,
                valid: false,
                problems: source.problems,
            };
            print(out, &args, &validation);
        }
        failure => note(err, &format!("hitch: {failure}")),
    }
    exit
}

/// Prints a result. A reader that left, as `head` does, is no reason to fail.
fn print<T: Serialize + Display>(out: &mut impl Write, args: &Args, result: &T) {
    note(out, &view::render(result, args.format));
}

fn note(to: &mut impl Write, text: &str) {
    let _ = writeln!(to, "{text}");
    let _ = to.flush();
}

fn patience(args: &Args) -> Duration {
    Duration::from_secs(args.patience)
}

fn log_of(args: &Args) -> Result<Client, Error> {
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
    let Loaded { text, contract } = contract::load(&cmd.file)?;
    let change = Change {
        change_id: cmd.change_id.unwrap_or_else(Uuid::now_v7),
        customer: contract.customer.clone(),
        based_on: 0,
        operator: cmd.operator.clone(),
        contract: text,
    };
    let job = Job {
        change,
        contract,
        resume: cmd.change_id.is_some(),
        wait: cmd.wait,
        command: format!("hitch publish {}", cmd.file).into(),
    };
    run_job(job, args, out, err).await
}

async fn publish_amended(
    cmd: &args::Amend,
    args: &Args,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Result<Exit, Error> {
    let Loaded { text, contract } = contract::load(&cmd.file)?;
    let based_on = match cmd.based_on {
        Some(version) => version,
        None => {
            let nodes = AdminClient::default();
            let log = log_of(args)?;
            let customer = &contract.customer;
            in_force::find(&nodes, &args.node, &log, patience(args), customer)
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
    let job = Job {
        change,
        contract,
        resume: cmd.change_id.is_some(),
        wait: cmd.wait,
        command: format!("hitch amend {} --based-on {based_on}", cmd.file).into(),
    };
    run_job(job, args, out, err).await
}

/// A change to publish and what follows.
struct Job {
    change: Change,
    contract: Contract,
    resume: bool,
    wait: Option<Wait>,
    command: Box<str>,
}

async fn run_job(
    job: Job,
    args: &Args,
    out: &mut impl Write,
    err: &mut impl Write,
) -> Result<Exit, Error> {
    if job.wait.is_some() && args.node.is_empty() {
        return Err(Error::NoNode);
    }
    let change_id = job.change.change_id;
    // An operator who interrupts the command needs the id to find out what became of the change.
    note(err, &format!("change id {change_id}"));
    let log = log_of(args)?;
    let options = publish::Options {
        patience: patience(args),
        resume: job.resume,
    };
    let outcome = publish::publish(&log, &job.change, &options).await;
    let mut exit = outcome.exit();
    let resume = format!("{} --log {} --change-id {change_id}", job.command, args.log);
    let mut result = Published::new(&job.change, outcome, resume.into());
    if let (Outcome::Accepted { version }, Some(wait)) = (&result.outcome, job.wait) {
        note(err, &result.outcome.to_string());
        let options = wait::Options {
            version: *version,
            within: wait.within(job.contract.lands_within),
        };
        let show = |progress: &_| note(err, &view::render(progress, args.format));
        let nodes = AdminClient::default();
        let last = wait::until_in_force(&nodes, &args.node, &options, show).await;
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
    let (answers, fleet) = AdminClient::default().discover(&args.node).await;
    if answers.responses.is_empty() {
        return Err(Error::NodesUnreachable {
            errors: answers.errors,
        });
    }
    for error in &answers.errors {
        note(err, &format!("hitch: {error}"));
    }
    let nodes = fleet.present().map(NodeView::from).collect();
    print(out, args, &Statuses { nodes });
    Ok(Exit::Done)
}

async fn compare(cmd: &args::Diff, args: &Args, out: &mut impl Write) -> Result<Exit, Error> {
    let Loaded { contract, .. } = contract::load(&cmd.file)?;
    let log = log_of(args)?;
    let customer = &contract.customer;
    let nodes = AdminClient::default();
    let found = in_force::find(&nodes, &args.node, &log, patience(args), customer).await?;
    let file = format!("version {}", found.version);
    let old = hitch_contract::from_bytes(&file, found.text.as_bytes())?;
    let result = Differences {
        customer: customer.clone(),
        version: found.version,
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
    let log = log_of(args)?;
    let customer = cmd.customer.as_deref();
    let outcome = history::read(&log, patience(args), customer).await?;
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
        note(err, &format!("hitch: {error}"));
    }
    if outcome.malformed > 0 {
        let text = format!("hitch: {} events could not be decoded", outcome.malformed);
        note(err, &text);
    }
    print(out, args, &outcome);
    Ok(Exit::Done)
}

fn show_request(
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
        note(err, &format!("hitch: {lines} lines could not be read"));
    }
    if outcome.lines.is_empty() {
        note(err, "hitch: no line names the request");
    }
    print(out, args, &outcome);
    Ok(Exit::Done)
}
