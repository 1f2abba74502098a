//! Exit codes, which scripts depend on.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// The command did what it was asked.
    Done,
    /// The contract is invalid or the change is refused.
    Refused,
    /// The command line is wrong.
    Usage,
    /// Another operator's change was accepted first.
    Conflict,
    /// The log did not say whether the change is appended or accepted.
    Unknown,
    /// The version was not in force everywhere in time.
    TimedOut,
    /// A log or node could not be reached, and nothing was changed.
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
