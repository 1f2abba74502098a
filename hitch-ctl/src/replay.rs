//! The log folded into versions, as every node folds it.

use std::time::Duration;

use hitch_config::State;
use hitch_config::Verdict;
use hitch_log::Client;
use hitch_log::read;
use hitch_log::read::Record;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::time::Instant;

/// Stream of the changes.
pub const CONFIG: &str = "config";
/// Stream of the snapshots.
pub const SNAPSHOTS: &str = "snapshots";

/// Records asked for in one read.
const PAGE: u32 = 1000;
/// Snapshots asked for in one read; each holds all contracts.
const SNAPSHOT_PAGE: u32 = 16;
/// Times that the start of the stream may be trimmed while it is read.
const MAX_STARTS: u32 = 4;
/// First pause after a failed read; it doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed read.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// A log that cannot be replayed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The log did not answer in time.
    #[snafu(display("replay: read stream {stream}: {source}"))]
    Read {
        /// Stream that was read.
        stream: &'static str,
        /// What the client of the log reports.
        source: read::Error,
    },
    /// The start of the stream is trimmed and no snapshot covers it.
    #[snafu(display("replay: stream config starts at offset {first}, and no snapshot reaches it"))]
    NoSnapshot {
        /// First offset that the log retains.
        first: u64,
    },
    /// A snapshot cannot be decoded.
    #[snafu(display("replay: decode snapshot at offset {offset}: {source}"))]
    Snapshot {
        /// Offset of the snapshot.
        offset: u64,
        /// What the decoder found.
        source: hitch_config::snapshot::Error,
    },
    /// The records do not follow each other.
    #[snafu(display("replay: apply record: {source}"))]
    Apply {
        /// What the state reports.
        source: hitch_config::apply::Error,
    },
    /// The stream is trimmed faster than it is read.
    #[snafu(display("replay: stream config was trimmed {MAX_STARTS} times while it was read"))]
    Trimmed,
}

/// One record and what became of it.
#[derive(Debug, Clone, Copy)]
pub struct Step<'a> {
    /// The record.
    pub record: &'a Record,
    /// What became of it.
    pub verdict: &'a Verdict,
    /// The state after the record.
    pub state: &'a State,
}

/// A replay of the stream `config` that can be continued.
#[derive(Debug)]
pub struct Replay {
    log: Client,
    patience: Duration,
    state: State,
}

impl Replay {
    /// Makes a replay that reads nothing yet. A read of the log that fails is repeated for
    /// `patience` at most.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let log = hitch_log::Client::at("http://127.0.0.1:1", hitch_log::Options::default())?;
    /// let replay = hitch_ctl::replay::Replay::of(&log, Duration::ZERO);
    /// assert_eq!(replay.state().version(), 0);
    /// # Ok::<(), hitch_log::client::Error>(())
    /// ```
    pub fn of(log: &Client, patience: Duration) -> Replay {
        Replay {
            log: log.clone(),
            patience,
            state: State::default(),
        }
    }

    /// Returns the state after the last record read.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let log = hitch_log::Client::at("http://127.0.0.1:1", hitch_log::Options::default())?;
    /// # let replay = hitch_ctl::replay::Replay::of(&log, Duration::ZERO);
    /// assert_eq!(replay.state().next_offset(), 0);
    /// # Ok::<(), hitch_log::client::Error>(())
    /// ```
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Applies all records up to the end of the stream and calls `each` for every one.
    ///
    /// Starts from the latest snapshot when the next record is trimmed.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// # let log = hitch_log::Client::at("http://127.0.0.1:1", hitch_log::Options::default()).unwrap();
    /// # let mut replay = hitch_ctl::replay::Replay::of(&log, Duration::ZERO);
    /// // Nothing listens on port 1.
    /// assert!(replay.advance(|_| {}).await.is_err());
    /// # }
    /// ```
    pub async fn advance(&mut self, mut each: impl FnMut(Step<'_>)) -> Result<(), Error> {
        let mut starts = 0;
        loop {
            let from = self.state.next_offset();
            let page = match self.page(CONFIG, from, PAGE).await {
                Ok(page) => page,
                Err(read::Error::Trimmed { first, .. }) if starts < MAX_STARTS => {
                    starts += 1;
                    self.state = self.latest_snapshot(first).await?;
                    continue;
                }
                Err(read::Error::Trimmed { .. }) => return TrimmedSnafu.fail(),
                Err(source) => return Err(source).context(ReadSnafu { stream: CONFIG }),
            };
            if page.records.is_empty() {
                return Ok(());
            }
            for record in &page.records {
                let verdict = self.state.apply(record.offset, &record.data);
                each(Step {
                    record,
                    verdict: &verdict.context(ApplySnafu)?,
                    state: &self.state,
                });
            }
        }
    }

    /// Reads the newest snapshot, which must reach the record at `first`.
    async fn latest_snapshot(&self, first: u64) -> Result<State, Error> {
        let mut from = 0;
        let mut latest = None;
        loop {
            let page = match self.page(SNAPSHOTS, from, SNAPSHOT_PAGE).await {
                Ok(page) => page,
                Err(read::Error::Trimmed { first, .. }) if first > from => {
                    from = first;
                    continue;
                }
                Err(source) => return Err(source).context(ReadSnafu { stream: SNAPSHOTS }),
            };
            let Some(last) = page.records.last() else {
                break;
            };
            from = last.offset + 1;
            latest = Some(last.clone());
        }
        let Some(record) = latest else {
            return NoSnapshotSnafu { first }.fail();
        };
        let offset = record.offset;
        let state = State::from_snapshot(&record.data).context(SnapshotSnafu { offset })?;
        match state.next_offset() >= first {
            true => Ok(state),
            false => NoSnapshotSnafu { first }.fail(),
        }
    }

    /// Reads one page and repeats a read that may succeed later.
    async fn page(&self, stream: &str, from: u64, max: u32) -> Result<read::Page, read::Error> {
        let deadline = Instant::now() + self.patience;
        let mut pause = MIN_PAUSE;
        loop {
            let err = match self.log.read(stream, from, max, Duration::ZERO).await {
                Ok(page) => return Ok(page),
                Err(err) => err,
            };
            let passing = matches!(
                err,
                read::Error::Unreachable { .. }
                    | read::Error::TimedOut { .. }
                    | read::Error::Outage { .. }
            );
            if !passing || Instant::now() + pause > deadline {
                return Err(err);
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }
}
