//! Errors of experiments.

use snafu::Snafu;

/// Why an experiment could not be completed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file cannot be read or written.
    #[snafu(display("bench: {step} {file}: {source}"))]
    File {
        /// Operation that failed.
        step: &'static str,
        /// Path of the file.
        file: Box<str>,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file, setting or answer is missing or has an invalid value.
    #[snafu(display("bench: {what}: {detail}"))]
    Invalid {
        /// Name of the file, setting or field.
        what: Box<str>,
        /// Why it is invalid.
        detail: Box<str>,
    },
    /// A process cannot be started, signalled or waited for.
    #[snafu(display("bench: {step} {process}: {source}"))]
    Process {
        /// Operation that failed.
        step: &'static str,
        /// Name of the process, unique in its deployment.
        process: Box<str>,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A request to a process failed or got an invalid answer.
    #[snafu(display("bench: request to {target}: {detail}"))]
    Request {
        /// Address and path of the request.
        target: Box<str>,
        /// Status, invalid content or connection error.
        detail: Box<str>,
    },
    /// A condition was not met within its timeout.
    #[snafu(display("bench: timed out after {seconds} s while waiting for {what}"))]
    Timeout {
        /// Condition that was not met.
        what: Box<str>,
        /// Timeout, in seconds.
        seconds: u64,
    },
    /// A command of the command-line tool `hitch` failed.
    #[snafu(display("bench: hitch {command}: {detail}"))]
    Operator {
        /// Name of the command.
        command: Box<str>,
        /// Output of the command.
        detail: Box<str>,
    },
    /// The load generator failed.
    #[snafu(display("bench: load: {detail}"))]
    Load {
        /// Error message of the load generator.
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
