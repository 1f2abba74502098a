//! Publishing of a change: append it once and find out what became of it.

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
use crate::replay::CONFIG;
use crate::replay::Replay;
use crate::replay::Step;

/// Attempts of an append that the log refuses by its rate limit.
const RATE_ATTEMPTS: u32 = 6;
/// Pause after the first refusal by the rate limit; it doubles.
const RATE_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two looks for a change whose append was not answered.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// How a change is published.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time for which the log is tried before the outcome counts as unknown.
    pub patience: Duration,
    /// Whether an earlier attempt may have appended the change: the log is searched first.
    pub resume: bool,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum Outcome {
    /// The change is accepted.
    Accepted {
        /// The version that it became.
        version: u64,
    },
    /// Another change of the customer was accepted first.
    Conflict {
        /// The change that won.
        winner: Uuid,
        /// Who published it.
        operator: Box<str>,
        /// Version of the customer's contract in force.
        version: u64,
    },
    /// The change is refused on every node.
    Refused {
        /// Why.
        detail: Box<str>,
        /// Problems of the contract.
        problems: Vec<Problem>,
    },
    /// The change is not appended, now or later; it may be published again.
    NotAppended {
        /// Why.
        detail: Box<str>,
    },
    /// The log did not say whether the change is appended or what became of it.
    Unknown {
        /// Why.
        detail: Box<str>,
    },
}

impl Outcome {
    /// Returns the exit code of the command.
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

/// Appends `change` at most once and reports what became of it.
///
/// When the answer to the append is lost, the stream is read for the id of the change. The change is
/// not appended a second time: the operator resumes with the same id, and a second record with that
/// id would be a duplicate that changes nothing.
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
/// let options = publish::Options { patience: Duration::ZERO, resume: false };
/// let outcome = publish::publish(&log, &change, &options).await;
/// assert!(matches!(outcome, publish::Outcome::NotAppended { .. }));
/// # }
/// ```
pub async fn publish(log: &Client, change: &Change, options: &Options) -> Outcome {
    let mut search = Search {
        replay: Replay::of(log, options.patience),
        change,
        found: None,
    };
    if options.resume {
        match search.look().await {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => {}
            Err(err) => {
                let detail = format!("cannot look for the change in the log: {err}").into();
                return Outcome::Unknown { detail };
            }
        }
    }
    match append(log, change).await {
        Ok(offset) => search.judge(offset).await,
        Err(err) if err.is_not_appended() => Outcome::NotAppended {
            detail: err.to_string().into(),
        },
        Err(err) => search.resolve(&err, options.patience).await,
    }
}

/// Appends the change, and again only after the rate limit refused it, which leaves no record.
async fn append(log: &Client, change: &Change) -> Result<u64, append::Error> {
    let data = bytes::Bytes::from(change.to_bytes());
    let mut pause = RATE_PAUSE;
    for _ in 1..RATE_ATTEMPTS {
        match log.append(CONFIG, data.clone()).await {
            Err(append::Error::RateLimited { .. }) => {}
            result => return result,
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
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
    /// Reads to the end of the stream and returns what became of the change, if it is there.
    async fn look(&mut self) -> Result<Option<Outcome>, replay::Error> {
        let Search {
            replay,
            change,
            found,
        } = self;
        replay
            .advance(|step| {
                let Some(outcome) = outcome_of(change, &step) else {
                    return;
                };
                // A record that was refused may be followed by one with the same id that is not.
                if !matches!(found, Some(Outcome::Accepted { .. })) {
                    *found = Some(outcome);
                }
            })
            .await?;
        if let Some(version) = replay.state().try_find_change(change.change_id) {
            // The record itself may be trimmed; then the snapshot tells.
            found.get_or_insert(Outcome::Accepted { version });
        }
        Ok(found.clone())
    }

    /// Finds the verdict on the record that was appended at `offset`.
    async fn judge(&mut self, offset: u64) -> Outcome {
        let detail = match self.look().await {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => format!("the log does not show the record that it appended at {offset}"),
            Err(err) => format!("appended at offset {offset}, but the verdict is missing: {err}"),
        };
        Outcome::Unknown {
            detail: detail.into(),
        }
    }

    /// Looks for the change until `patience` is over, because a slow log may append it late.
    async fn resolve(&mut self, err: &append::Error, patience: Duration) -> Outcome {
        let deadline = Instant::now() + patience;
        loop {
            let detail = match self.look().await {
                Ok(Some(outcome)) => return outcome,
                Ok(None) => format!("{err}; the log does not show the change yet"),
                Err(look) => format!("{err}; {look}"),
            };
            if Instant::now() + LOOK_PAUSE > deadline {
                return Outcome::Unknown {
                    detail: detail.into(),
                };
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }
}

/// Returns what became of `change`, if the record of `step` holds its id.
fn outcome_of(change: &Change, step: &Step<'_>) -> Option<Outcome> {
    let read = Change::from_bytes(&step.record.data).ok()?;
    if read.change_id != change.change_id {
        return None;
    }
    if read.customer != change.customer || read.contract != change.contract {
        return Some(Outcome::Refused {
            detail: "the change id belongs to another change".into(),
            problems: Vec::new(),
        });
    }
    match step.verdict {
        Verdict::Accepted { version } => Some(Outcome::Accepted { version: *version }),
        Verdict::AlreadyApplied => None,
        Verdict::Refused(refusal) => Some(refused(change, refusal, step)),
    }
}

fn refused(change: &Change, refusal: &Refusal, step: &Step<'_>) -> Outcome {
    match refusal {
        Refusal::Duplicate { first } => Outcome::Accepted { version: *first },
        Refusal::Conflict { winner, version } => Outcome::Conflict {
            winner: *winner,
            operator: match step.state.try_find(&change.customer) {
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
