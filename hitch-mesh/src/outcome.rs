//! Result of a call, as seen by the node where it entered the mesh.

use std::time::Duration;

use crate::frame::Answer;
use crate::frame::Verdict;

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
        }
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
            } => {
                let verdict = match rejected {
                    true => Verdict::Rejected,
                    false => Verdict::NotRun,
                };
                Answer {
                    verdict: verdict.into(),
                    reason: reason.into(),
                    retry_after_ms: retry_after.as_millis() as u32,
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
