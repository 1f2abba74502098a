//! Publishing of a change: appends it to the log at most once and determines its verdict.

use std::fmt;
use std::time::Duration;

use hitch_config::Change;
use hitch_config::Refusal;
use hitch_config::Verdict;
use hitch_log::Client;
use hitch_log::append;
use hitch_settings::Problem;
use serde::Serialize;
use tokio::time::Instant;
use uuid::Uuid;

use crate::exit::Exit;
use crate::replay;
use crate::replay::AppliedRecord;
use crate::replay::CONFIG;
use crate::replay::Replay;

/// Limit for the attempts of an append that the log refuses because of its rate limit.
const MAX_APPEND_ATTEMPTS: u32 = 6;
/// Backoff after the first rate-limited attempt; it doubles after each further one.
const INITIAL_APPEND_BACKOFF: Duration = Duration::from_millis(200);
/// Time between two searches of the log for a change whose append got no answer.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// Options of [`publish`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Time for which reads of the log are retried and the change is searched for, before its outcome
    /// counts as unknown.
    pub log_timeout: Duration,
    /// Whether an earlier attempt may have appended the change, so that the log is searched before an
    /// append.
    pub resume: bool,
}

/// Result of publishing a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum Outcome {
    /// The change is accepted.
    Accepted {
        /// Version that the change created.
        version: u64,
    },
    /// Another change of the customer was accepted first.
    Conflict {
        /// Id of the change that was accepted first.
        winner: Uuid,
        /// Operator who published that change.
        operator: Box<str>,
        /// Version of the customer's contract in force.
        version: u64,
    },
    /// The change is refused, with the same verdict on every node.
    Refused {
        /// Reason of the refusal.
        detail: Box<str>,
        /// Problems of the contract, empty when the refusal has another reason.
        problems: Vec<Problem>,
    },
    /// The change is not in the log and will not appear there later, so it may be published again.
    NotAppended {
        /// Why the append failed.
        detail: Box<str>,
    },
    /// It is unknown whether the change was appended, or what the verdict on it is.
    Unknown {
        /// Why the outcome is unknown.
        detail: Box<str>,
    },
}

impl Outcome {
    /// Returns the exit status of the command for this outcome.
    ///
    /// ```
    /// use hitch_ctl::publish::Outcome;
    ///
    /// assert_eq!(Outcome::Accepted { version: 1 }.exit().code(), 0);
    /// ```
    pub fn exit(&self) -> Exit {
        match self {
            Outcome::Accepted { .. } => Exit::Done,
            Outcome::Conflict { .. } => Exit::Conflict,
            Outcome::Refused { .. } => Exit::Refused,
            Outcome::NotAppended { .. } => Exit::Unreachable,
            Outcome::Unknown { .. } => Exit::Unknown,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Accepted { version } => write!(f, "accepted as version {version}"),
            Outcome::Conflict {
                winner,
                operator,
                version,
            } => write!(
                f,
                "conflict: change {winner} of operator {operator:?} was accepted first, the \
                 customer's contract is at version {version}"
            ),
            Outcome::Refused { detail, problems } => {
                write!(f, "refused: {detail}")?;
                for problem in problems {
                    write!(f, "\n  {problem}")?;
                }
                Ok(())
            }
            Outcome::NotAppended { detail } => write!(f, "not published: {detail}"),
            Outcome::Unknown { detail } => write!(f, "outcome unknown: {detail}"),
        }
    }
}

/// Appends `change` at most once and returns its outcome.
///
/// When the answer to the append is lost, the stream is searched for the id of the change. The change
/// is not appended again: the operator resumes with the same id, and a second record with that id
/// would be a duplicate without effect.
///
/// ```
/// # use std::time::Duration;
/// # use hitch_ctl::publish;
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// # let change = hitch_config::Change { change_id: uuid::Uuid::nil(), customer: "a".into(),
/// #     based_on: 0, operator: "o".into(), contract: "".into() };
/// // Nothing listens on port 1, so the change is certainly not appended.
/// let log = hitch_log::Client::at("http://127.0.0.1:1", hitch_log::Options::default()).unwrap();
/// let options = publish::Options { log_timeout: Duration::ZERO, resume: false };
/// let outcome = publish::publish(&log, &change, &options).await;
/// assert!(matches!(outcome, publish::Outcome::NotAppended { .. }));
/// # }
/// ```
pub async fn publish(log: &Client, change: &Change, options: &Options) -> Outcome {
    let mut search = Search {
        replay: Replay::new(log, options.log_timeout),
        change,
        found: None,
    };
    if options.resume {
        match search.read_to_end().await {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => {}
            Err(err) => {
                let detail = format!("cannot search the log for the change: {err}").into();
                return Outcome::Unknown { detail };
            }
        }
    }
    match append(log, change).await {
        Ok(offset) => search.outcome_at(offset).await,
        Err(err) if err.is_not_appended() => Outcome::NotAppended {
            detail: err.to_string().into(),
        },
        Err(err) => search.poll_until_timeout(&err, options.log_timeout).await,
    }
}

/// Appends the change. Retries only an attempt that the rate limit refused, because it certainly left no
/// record.
async fn append(log: &Client, change: &Change) -> Result<u64, append::Error> {
    let data = bytes::Bytes::from(change.to_bytes());
    let mut backoff = INITIAL_APPEND_BACKOFF;
    for _ in 1..MAX_APPEND_ATTEMPTS {
        match log.append(CONFIG, data.clone()).await {
            Err(append::Error::RateLimited { .. }) => {}
            result => return result,
        }
        tokio::time::sleep(backoff).await;
        backoff *= 2;
    }
    log.append(CONFIG, data).await
}

/// A search of the log for one change.
struct Search<'a> {
    replay: Replay,
    change: &'a Change,
    found: Option<Outcome>,
}

impl Search<'_> {
    /// Reads to the end of the stream and returns the outcome of the change, if it is there.
    async fn read_to_end(&mut self) -> Result<Option<Outcome>, replay::Error> {
        let Search {
            replay,
            change,
            found,
        } = self;
        replay
            .advance(|applied| {
                let Some(outcome) = outcome_of(change, &applied) else {
                    return;
                };
                // A refused record may be followed by an accepted one with the same id.
                if !matches!(found, Some(Outcome::Accepted { .. })) {
                    *found = Some(outcome);
                }
            })
            .await?;
        if let Some(version) = replay.state().try_find_change(change.change_id) {
            // The record may be trimmed, but the snapshot still holds the version of the change.
            found.get_or_insert(Outcome::Accepted { version });
        }
        Ok(found.clone())
    }

    /// Returns the outcome of the change whose record was appended at `offset`.
    async fn outcome_at(&mut self, offset: u64) -> Outcome {
        let detail = match self.read_to_end().await {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => {
                format!("appended at offset {offset}, but the log returns no record of the change")
            }
            Err(err) => {
                format!("appended at offset {offset}, but the verdict cannot be read: {err}")
            }
        };
        Outcome::Unknown {
            detail: detail.into(),
        }
    }

    /// Searches the log for the change until `log_timeout` expires, because a slow log may append it late.
    async fn poll_until_timeout(&mut self, err: &append::Error, log_timeout: Duration) -> Outcome {
        let deadline = Instant::now() + log_timeout;
        loop {
            let detail = match self.read_to_end().await {
                Ok(Some(outcome)) => return outcome,
                Ok(None) => format!("{err}; the change is not in the log yet"),
                Err(read_err) => format!("{err}; {read_err}"),
            };
            if Instant::now() + SEARCH_INTERVAL > deadline {
                return Outcome::Unknown {
                    detail: detail.into(),
                };
            }
            tokio::time::sleep(SEARCH_INTERVAL).await;
        }
    }
}

/// Returns the outcome of `change`, if the record of `applied` holds its id.
fn outcome_of(change: &Change, applied: &AppliedRecord<'_>) -> Option<Outcome> {
    let recorded = Change::from_bytes(&applied.record.data).ok()?;
    if recorded.change_id != change.change_id {
        return None;
    }
    if recorded.customer != change.customer || recorded.contract != change.contract {
        return Some(Outcome::Refused {
            detail: "the change id is in use by a change with another customer or contract".into(),
            problems: Vec::new(),
        });
    }
    match applied.verdict {
        Verdict::Accepted { version } => Some(Outcome::Accepted { version: *version }),
        Verdict::AlreadyApplied => None,
        Verdict::Refused(refusal) => Some(refusal_outcome(change, refusal, applied)),
    }
}

fn refusal_outcome(change: &Change, refusal: &Refusal, applied: &AppliedRecord<'_>) -> Outcome {
    match refusal {
        Refusal::Duplicate { first } => Outcome::Accepted { version: *first },
        Refusal::Conflict { winner, version } => Outcome::Conflict {
            winner: *winner,
            operator: match applied.state.try_find(&change.customer) {
                Some(accepted) => accepted.operator.clone(),
                None => Box::default(),
            },
            version: *version,
        },
        Refusal::Invalid { problems } => Outcome::Refused {
            detail: refusal.to_string().into(),
            problems: problems.clone(),
        },
        _ => Outcome::Refused {
            detail: refusal.to_string().into(),
            problems: Vec::new(),
        },
    }
}
