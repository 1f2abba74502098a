//! How a call ended, as the node where it entered sees it.

use std::time::Duration;

use crate::frame::Answer;
use crate::frame::Verdict;

/// How an attempt at a call ended.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Outcome {
    /// The backend server answered.
    Answered(Answer),
    /// The call has not run and never will.
    NotRun {
        /// Whether a backend server got it and rejected it, which counts as an arrival there.
        arrived: bool,
        /// Why.
        reason: Box<str>,
        /// When it may be worth to come back.
        retry_after: Duration,
    },
    /// The call may have run, and there is no answer.
    Unknown {
        /// Why.
        reason: Box<str>,
    },
}

impl Outcome {
    pub(crate) fn not_run(reason: &str, retry_after: Duration) -> Outcome {
        Outcome::NotRun {
            arrived: false,
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
                arrived: verdict == Verdict::Rejected,
                reason: answer.reason.into(),
                retry_after,
            },
        }
    }

    pub(crate) fn into_answer(self) -> Answer {
        match self {
            Outcome::Answered(answer) => answer,
            Outcome::NotRun {
                arrived,
                reason,
                retry_after,
            } => {
                let verdict = match arrived {
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
