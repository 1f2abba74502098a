//! Exit codes of the process. Scripts depend on them.

use std::process::ExitCode;

/// Result of a command, as its exit code reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The contract is invalid or the change is refused.
    Refused,
    /// The command line is wrong.
    Usage,
    /// Another operator's change was accepted first.
    Conflict,
    /// It is unknown whether the change was appended to the log or accepted.
    Unknown,
    /// The version was not in force on every node before the timeout.
    TimedOut,
    /// The log or the nodes could not be reached, and nothing was changed.
    Unreachable,
}

impl Exit {
    /// Returns the exit code of the process.
    ///
    /// ```
    /// assert_eq!(hitch_ctl::Exit::Conflict.code(), 3);
    /// ```
    pub fn code(self) -> u8 {
        match self {
            Exit::Done => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Conflict => 3,
            Exit::Unknown => 4,
            Exit::TimedOut => 5,
            Exit::Unreachable => 6,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit.code())
    }
}
