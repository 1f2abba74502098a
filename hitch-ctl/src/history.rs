//! The changes that the log retains and the verdict on each.

use std::fmt;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use hitch_config::Change;
use hitch_config::Verdict;
use hitch_log::Client;
use serde::Serialize;
use uuid::Uuid;

use crate::replay;
use crate::replay::AppliedRecord;
use crate::replay::Replay;

/// One record of the stream `config`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Offset of the record.
    pub offset: u64,
    /// Wall-clock time of the append at the log, in milliseconds since the Unix epoch of 1970.
    pub time_ms: u64,
    /// The change, `None` when the record cannot be decoded.
    pub change: Option<Summary>,
    /// Version that the change created, `None` when it was not accepted.
    pub version: Option<u64>,
    /// Why the change was refused, `None` when it was not refused.
    pub refusal: Option<Box<str>>,
}

/// Metadata of a change, without the text of its contract.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Id of the change.
    pub change_id: Uuid,
    /// Customer whose contract changes.
    pub customer: Box<str>,
    /// Version that the change amends.
    pub based_on: u64,
    /// Operator who published the change.
    pub operator: Box<str>,
}

/// The changes that the log retains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Offset of the first record that was read; earlier records are trimmed.
    pub first: u64,
    /// The records, sorted by offset.
    pub entries: Vec<Entry>,
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = UNIX_EPOCH + Duration::from_millis(self.time_ms);
        let time = humantime::format_rfc3339_millis(time);
        write!(f, "{time} offset {}", self.offset)?;
        if let Some(change) = &self.change {
            let Summary {
                change_id,
                customer,
                based_on,
                operator,
            } = change;
            write!(
                f,
                " {customer} based on {based_on} by {operator:?} ({change_id})"
            )?;
        }
        match (&self.version, &self.refusal) {
            (Some(version), _) => write!(f, ": accepted as version {version}"),
            (None, Some(refusal)) => write!(f, ": refused: {refusal}"),
            (None, None) => Ok(()),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.first > 0 {
            writeln!(f, "records before offset {} are trimmed", self.first)?;
        }
        let lines: Vec<String> = self.entries.iter().map(Entry::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Reads the changes of `customer`, or of all customers when it is `None`. Failed reads are retried for `log_timeout`.
///
/// ```
/// # use std::time::Duration;
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// // Nothing listens on port 1.
/// let log = hitch_log::Client::at("http://127.0.0.1:1", hitch_log::Options::default()).unwrap();
/// assert!(hitch_ctl::history::read(&log, Duration::ZERO, None).await.is_err());
/// # }
/// ```
pub async fn read(
    log: &Client,
    log_timeout: Duration,
    customer: Option<&str>,
) -> Result<Outcome, replay::Error> {
    let mut first = None;
    let mut entries = Vec::new();
    let mut replay = Replay::new(log, log_timeout);
    replay
        .advance(|applied| {
            first.get_or_insert(applied.record.offset);
            let entry = entry(&applied);
            let changed_customer = entry.change.as_ref().map(|change| &*change.customer);
            if customer.is_none() || customer == changed_customer {
                entries.push(entry);
            }
        })
        .await?;
    Ok(Outcome {
        first: first.unwrap_or(replay.state().next_offset()),
        entries,
    })
}

fn entry(applied: &AppliedRecord<'_>) -> Entry {
    let change = Change::from_bytes(&applied.record.data).ok();
    let (version, refusal) = match applied.verdict {
        Verdict::Accepted { version } => (Some(*version), None),
        Verdict::Refused(refusal) => (None, Some(refusal.to_string().into())),
        Verdict::AlreadyApplied => (None, None),
    };
    Entry {
        offset: applied.record.offset,
        time_ms: applied.record.time_ms,
        change: change.map(|change| Summary {
            change_id: change.change_id,
            customer: change.customer,
            based_on: change.based_on,
            operator: change.operator,
        }),
        version,
        refusal,
    }
}
