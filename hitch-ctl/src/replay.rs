//! Replay of the log into the versions of the configuration, by the same rules as on every node.

use std::time::Duration;

use hitch_config::State;
use hitch_config::Verdict;
use hitch_log::Client;
use hitch_log::read;
use hitch_log::read::Record;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::time::Instant;

/// Stream that holds the changes.
pub const CONFIG: &str = "config";
/// Stream that holds the snapshots of the state.
pub const SNAPSHOTS: &str = "snapshots";

/// Records requested by one read of the changes.
const PAGE_RECORDS: u32 = 1000;
/// Snapshots requested by one read, fewer because every snapshot holds all contracts.
const SNAPSHOT_PAGE_RECORDS: u32 = 16;
/// Limit for loading a snapshot because the next record was trimmed, in one [`Replay::advance`].
const MAX_SNAPSHOT_LOADS: u32 = 4;
/// Backoff after the first failed read; it doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the backoff between reads.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Why the log cannot be replayed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A read of the log failed, after retries until the timeout if the error was transient.
    #[snafu(display("replay: read stream {stream}: {source}"))]
    Read {
        /// Stream that was read.
        stream: &'static str,
        /// Error of the log client.
        source: read::Error,
    },
    /// The next record is trimmed and the latest snapshot does not cover it.
    #[snafu(display("replay: stream config starts at offset {first}, and no snapshot reaches it"))]
    NoSnapshot {
        /// Offset of the first record that the log retains.
        first: u64,
    },
    /// A snapshot cannot be decoded.
    #[snafu(display("replay: decode snapshot at offset {offset}: {source}"))]
    Snapshot {
        /// Offset of the snapshot.
        offset: u64,
        /// Error of the decoder.
        source: hitch_config::snapshot::Error,
    },
    /// A record is not the next one for the state.
    #[snafu(display("replay: apply record: {source}"))]
    Apply {
        /// Error of the state.
        source: hitch_config::apply::Error,
    },
    /// The stream is trimmed faster than it is read, so that loading a snapshot does not help.
    #[snafu(display(
        "replay: stream config was trimmed {MAX_SNAPSHOT_LOADS} times while it was read"
    ))]
    Trimmed,
}

/// One record and the verdict of the state on it.
#[derive(Debug, Clone, Copy)]
pub struct AppliedRecord<'a> {
    /// The record.
    pub record: &'a Record,
    /// The verdict on the record.
    pub verdict: &'a Verdict,
    /// The state after the record was applied.
    pub state: &'a State,
}

/// A replay of the stream `config` that can be continued from the last record read.
#[derive(Debug)]
pub struct Replay {
    log: Client,
    log_timeout: Duration,
    state: State,
}

impl Replay {
    /// Creates a replay without reading. A read that fails because the log is unreachable, does not
    /// answer or has an outage is retried for `log_timeout` at most.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let log = hitch_log::Client::at("http://127.0.0.1:1", hitch_log::Options::default())?;
    /// let replay = hitch_ctl::replay::Replay::new(&log, Duration::ZERO);
    /// assert_eq!(replay.state().version(), 0);
    /// # Ok::<(), hitch_log::client::Error>(())
    /// ```
    pub fn new(log: &Client, log_timeout: Duration) -> Replay {
        Replay {
            log: log.clone(),
            log_timeout,
            state: State::default(),
        }
    }

    /// Returns the state after the last record read.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # let log = hitch_log::Client::at("http://127.0.0.1:1", hitch_log::Options::default())?;
    /// # let replay = hitch_ctl::replay::Replay::new(&log, Duration::ZERO);
    /// assert_eq!(replay.state().next_offset(), 0);
    /// # Ok::<(), hitch_log::client::Error>(())
    /// ```
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Applies all records up to the end of the stream and calls `on_record` for each of them.
    ///
    /// Loads the latest snapshot and continues from there when the next record is trimmed.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// # let log = hitch_log::Client::at("http://127.0.0.1:1", hitch_log::Options::default()).unwrap();
    /// # let mut replay = hitch_ctl::replay::Replay::new(&log, Duration::ZERO);
    /// // Nothing listens on port 1.
    /// assert!(replay.advance(|_| {}).await.is_err());
    /// # }
    /// ```
    pub async fn advance(
        &mut self,
        mut on_record: impl FnMut(AppliedRecord<'_>),
    ) -> Result<(), Error> {
        let mut snapshot_loads = 0;
        loop {
            let from = self.state.next_offset();
            let page = match self.read_page(CONFIG, from, PAGE_RECORDS).await {
                Ok(page) => page,
                Err(read::Error::Trimmed { first, .. }) if snapshot_loads < MAX_SNAPSHOT_LOADS => {
                    snapshot_loads += 1;
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
                on_record(AppliedRecord {
                    record,
                    verdict: &verdict.context(ApplySnafu)?,
                    state: &self.state,
                });
            }
        }
    }

    /// Loads the latest snapshot. Fails unless it covers every record before the one at `first`.
    async fn latest_snapshot(&self, first: u64) -> Result<State, Error> {
        let mut from = 0;
        let mut latest = None;
        loop {
            let page = match self.read_page(SNAPSHOTS, from, SNAPSHOT_PAGE_RECORDS).await {
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

    /// Reads one page and retries transient errors with backoff until the timeout.
    async fn read_page(
        &self,
        stream: &str,
        from: u64,
        max: u32,
    ) -> Result<read::Page, read::Error> {
        let deadline = Instant::now() + self.log_timeout;
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let err = match self.log.read(stream, from, max, Duration::ZERO).await {
                Ok(page) => return Ok(page),
                Err(err) => err,
            };
            let is_transient = matches!(
                err,
                read::Error::Unreachable { .. }
                    | read::Error::TimedOut { .. }
                    | read::Error::Outage { .. }
            );
            if !is_transient || Instant::now() + backoff > deadline {
                return Err(err);
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}
