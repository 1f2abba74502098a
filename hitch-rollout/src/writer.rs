//! Writes the status record of a service by compare-and-append.
//!
//! The writer says which operation of the store comes next, and its owner tells it how that ended. A record is appended
//! only where the topic ended when the writer read it, so that of two writers one loses and reads again. A call without
//! an answer may have taken effect, so the writer reads the record back.

use crate::order::State;
use crate::order::Status;

/// What is to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Goal {
    /// The state `running`, by which a controller takes over.
    Claim,
    /// A final state.
    End(State),
}

impl Goal {
    fn state(self) -> State {
        match self {
            Goal::Claim => State::Running,
            Goal::End(state) => state,
        }
    }
}

/// Next operation of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the newest status record of the service and the end of the topic.
    Read,
    /// Append a status record if the topic ends at the given offset.
    Append {
        /// The status.
        status: Status,
        /// Offset at which the topic must end.
        at: u64,
    },
}

/// How an operation ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The records were read.
    Read {
        /// Offset at which the topic ends.
        end: u64,
        /// Status of the service, if there is one.
        status: Option<Status>,
    },
    /// The record was appended.
    Appended,
    /// The topic ends elsewhere; the record was not appended.
    Conflict,
    /// The store refused the operation; it had no effect.
    Refused,
    /// There was no answer, and an append may have taken effect or may do so later.
    NoAnswer,
}

/// What follows from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The next operation follows at once.
    Continue,
    /// The next operation follows after a pause.
    Retry,
    /// The record is written. Its term is one more than its offset.
    Written {
        /// The term.
        term: u64,
        /// Whether a record of an earlier controller of the order preceded it.
        was_running: bool,
    },
    /// The order has ended already in the given state.
    Ended {
        /// Final state of the order.
        state: State,
        /// A term that is not smaller than the one of that record.
        term: u64,
    },
}

/// Writes the status of one order.
#[derive(Debug, Clone)]
pub struct Writer {
    target_version: Box<str>,
    end: Option<u64>,
    was_running: bool,
    ignores_final: bool,
}

impl Writer {
    /// Creates a writer. `is_repeated` states that the version was ordered again after an earlier order of it ended, so
    /// that a final state does not prevent the claim. `end` is the end of the topic if it is known.
    ///
    /// ```
    /// use hitch_rollout::writer::*;
    /// assert_eq!(Writer::new("v2", false, None).next(Goal::Claim), Action::Read);
    /// ```
    pub fn new(target_version: &str, is_repeated: bool, end: Option<u64>) -> Writer {
        Writer {
            target_version: target_version.into(),
            end,
            was_running: false,
            ignores_final: is_repeated,
        }
    }

    /// Returns the version that was ordered.
    ///
    /// ```
    /// assert_eq!(hitch_rollout::writer::Writer::new("v2", false, None).target_version(), "v2");
    /// ```
    pub fn target_version(&self) -> &str {
        &self.target_version
    }

    /// Returns the next operation.
    ///
    /// ```
    /// use hitch_rollout::writer::*;
    /// assert!(matches!(Writer::new("v2", false, Some(4)).next(Goal::Claim), Action::Append { at: 4, .. }));
    /// ```
    pub fn next(&self, goal: Goal) -> Action {
        match self.end {
            None => Action::Read,
            Some(at) => Action::Append {
                status: Status {
                    state: goal.state(),
                    target_version: self.target_version.clone(),
                },
                at,
            },
        }
    }

    /// Takes in how the operation ended.
    ///
    /// ```
    /// use hitch_rollout::writer::*;
    /// let mut writer = Writer::new("v2", false, Some(4));
    /// assert_eq!(writer.answered(Goal::Claim, Answer::Appended), Progress::Written { term: 5, was_running: false });
    /// ```
    pub fn answered(&mut self, goal: Goal, answer: Answer) -> Progress {
        match answer {
            Answer::Read { end, status } => {
                self.end = Some(end);
                let status = status.filter(|status| status.target_version == self.target_version);
                let Some(Status { state, .. }) = status else {
                    return Progress::Continue;
                };
                self.was_running |= state == State::Running;
                let is_ignored = self.ignores_final && goal == Goal::Claim;
                match state != State::Running && !is_ignored {
                    true => Progress::Ended { state, term: end },
                    false => Progress::Continue,
                }
            }
            Answer::Appended => {
                let term = self.end.map_or(0, |at| at + 1);
                let was_running = self.was_running;
                self.end = Some(term);
                Progress::Written { term, was_running }
            }
            Answer::Conflict => {
                self.end = None;
                Progress::Continue
            }
            Answer::Refused => Progress::Retry,
            Answer::NoAnswer => {
                self.end = None;
                Progress::Retry
            }
        }
    }
}
