//! Result of a call, as seen by the node where it entered the mesh.

use std::time::Duration;

use crate::frame::Answer;
use crate::frame::Verdict;

/// What had no room for a call that was not executed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) enum Cause {
    /// The call was not executed for another reason.
    #[default]
    Other,
    /// The backend server of the call. Another one may have room.
    NoRoom,
    /// The named service, which the run of the call would call. No other backend server of the call's own service can run
    /// it.
    Behind(Box<str>),
}

/// Result of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Outcome {
    /// The backend server answered.
    Answered(Answer),
    /// The call was not executed and will not be.
    NotRun {
        /// Whether the backend server received and rejected the call, so that the attempt counts towards the route's
        /// maximum.
        rejected: bool,
        /// Reason, as shown to the caller.
        reason: Box<str>,
        /// Time after which a new request may succeed.
        retry_after: Duration,
        /// What had no room, if that is the reason.
        cause: Cause,
    },
    /// The call may have been executed, and there is no answer.
    Unknown {
        /// Reason, as shown to the caller.
        reason: Box<str>,
    },
}

impl Outcome {
    pub(crate) fn not_run(reason: &str, retry_after: Duration) -> Outcome {
        Outcome::NotRun {
            rejected: false,
            reason: reason.into(),
            retry_after,
            cause: Cause::Other,
        }
    }

    /// As [`Outcome::not_run`], for lack of room at the backend server.
    pub(crate) fn no_room(reason: &str, retry_after: Duration) -> Outcome {
        Outcome::NotRun {
            rejected: false,
            reason: reason.into(),
            retry_after,
            cause: Cause::NoRoom,
        }
    }

    /// Returns whether a service which the run of the call would call has no room, so that no other backend server can run
    /// it either.
    pub(crate) fn is_no_room_behind(&self) -> bool {
        let Outcome::NotRun { cause, .. } = self else {
            return false;
        };
        matches!(cause, Cause::Behind(_))
    }

    /// Returns this outcome, with the earlier time to come back if `other` is for lack of room as well.
    pub(crate) fn or_earlier_room(mut self, other: Outcome) -> Outcome {
        if let (
            Outcome::NotRun {
                cause: Cause::NoRoom,
                retry_after,
                ..
            },
            Outcome::NotRun {
                cause: Cause::NoRoom,
                retry_after: earlier,
                ..
            },
        ) = (&mut self, other)
        {
            *retry_after = earlier.min(*retry_after);
        }
        self
    }

    pub(crate) fn unknown(reason: &str) -> Outcome {
        Outcome::Unknown {
            reason: reason.into(),
        }
    }

    pub(crate) fn from_answer(answer: Answer) -> Outcome {
        let retry_after = Duration::from_millis(answer.retry_after_ms.into());
        match answer.verdict() {
            Verdict::Answered => Outcome::Answered(answer),
            Verdict::Unknown => Outcome::Unknown {
                reason: answer.reason.into(),
            },
            verdict => Outcome::NotRun {
                rejected: verdict == Verdict::Rejected,
                cause: match (answer.behind.is_empty(), answer.no_room) {
                    (false, _) => Cause::Behind(answer.behind.into()),
                    (true, true) => Cause::NoRoom,
                    (true, false) => Cause::Other,
                },
                reason: answer.reason.into(),
                retry_after,
            },
        }
    }

    pub(crate) fn into_answer(self) -> Answer {
        match self {
            Outcome::Answered(answer) => answer,
            Outcome::NotRun {
                rejected,
                reason,
                retry_after,
                cause,
            } => {
                let verdict = match rejected {
                    true => Verdict::Rejected,
                    false => Verdict::NotRun,
                };
                Answer {
                    verdict: verdict.into(),
                    reason: reason.into(),
                    retry_after_ms: retry_after.as_millis() as u32,
                    no_room: cause == Cause::NoRoom,
                    behind: match cause {
                        Cause::Behind(service) => service.into(),
                        Cause::Other | Cause::NoRoom => String::new(),
                    },
                    ..Answer::default()
                }
            }
            Outcome::Unknown { reason } => Answer {
                verdict: Verdict::Unknown.into(),
                reason: reason.into(),
                ..Answer::default()
            },
        }
    }
}
