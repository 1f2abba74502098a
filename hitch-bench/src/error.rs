//! Why an experiment could not be carried out.

use snafu::Snafu;

/// An experiment that could not be carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file cannot be read or written.
    #[snafu(display("bench: {step} {file}: {source}"))]
    File {
        /// What was tried.
        step: &'static str,
        /// Path of the file.
        file: Box<str>,
        /// What the system reported.
        source: std::io::Error,
    },
    /// A file has the wrong content.
    #[snafu(display("bench: read {file}: {detail}"))]
    Content {
        /// Path of the file.
        file: Box<str>,
        /// What is wrong.
        detail: Box<str>,
    },
    /// A process cannot be started, signalled or ended.
    #[snafu(display("bench: {step} {process}: {source}"))]
    Process {
        /// What was tried.
        step: &'static str,
        /// Name of the process.
        process: Box<str>,
        /// What the system reported.
        source: std::io::Error,
    },
    /// A process answers wrongly or not at all.
    #[snafu(display("bench: ask {peer}: {detail}"))]
    Ask {
        /// Address and path.
        peer: Box<str>,
        /// What was found.
        detail: Box<str>,
    },
    /// A condition did not hold in time.
    #[snafu(display("bench: waited over {seconds} s for {what}"))]
    Timeout {
        /// Condition.
        what: Box<str>,
        /// Time waited, in seconds.
        seconds: u64,
    },
    /// A command of the operator failed.
    #[snafu(display("bench: hitch {command}: {detail}"))]
    Operator {
        /// Command.
        command: Box<str>,
        /// What it printed.
        detail: Box<str>,
    },
    /// The load tool failed.
    #[snafu(display("bench: load: {detail}"))]
    Load {
        /// What it reported.
        detail: Box<str>,
    },
}

impl Error {
    pub(crate) fn load(err: &dyn std::error::Error) -> Error {
        Error::Load {
            detail: err.to_string().into(),
        }
    }
}
