//! Reads of records, and their errors.

use std::sync::atomic::Ordering;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::client::Client;
use crate::exchange::Answer;
use crate::exchange::Failure;

/// Result of a read: consecutive records of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Lowest offset that the log retains.
    pub first: u64,
    /// Offset at which the next read continues. If there are no records, it is the end of the stream.
    pub next: u64,
    /// The records, by ascending offset.
    pub records: Vec<Record>,
}

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream, from 0.
    pub offset: u64,
    /// Wall-clock time of the append at the log, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Content, as it was appended.
    pub data: Bytes,
}

/// Why a read failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The log no longer retains the record at the requested offset.
    #[snafu(display("log read: {step} {peer}: trimmed, the first retained offset is {first}"))]
    Trimmed {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// Lowest offset that the log retains.
        first: u64,
    },
    /// No connection could be opened, the connection failed, or the answer was malformed as HTTP or too large.
    #[snafu(display("log read: {step} {peer}: {detail}"))]
    Unreachable {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// Why there is no complete answer.
        detail: Box<str>,
    },
    /// No complete answer arrived within the timeout.
    #[snafu(display("log read: {step} {peer}: no answer within {timeout:?}"))]
    TimedOut {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// Timeout that was exceeded, including the `wait` of the read.
        timeout: Duration,
    },
    /// The log has an outage.
    #[snafu(display("log read: {step} {peer}: the log has an outage"))]
    Outage {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
    },
    /// The log refused the read.
    #[snafu(display("log read: {step} {peer}: refused with status {status}: {detail}"))]
    Refused {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// Status of the answer.
        status: u16,
        /// Start of the answer's body.
        detail: Box<str>,
    },
    /// The answer is not valid JSON of the expected form.
    #[snafu(display("log read: {step} {peer}: the answer cannot be decoded: {source}"))]
    Malformed {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// The data of a record is not valid base64.
    #[snafu(display(
        "log read: {step} {peer}: the data of record {offset} is not valid base64: {source}"
    ))]
    InvalidBase64 {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// Offset of the record.
        offset: u64,
        /// Error of the base64 decoder.
        source: base64::DecodeError,
    },
    /// The records of the answer are not consecutive from the requested offset on.
    #[snafu(display(
        "log read: {step} {peer}: found a record with offset {offset}, expected offset {expected}"
    ))]
    OutOfOrder {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// Offset of the record in the answer.
        offset: u64,
        /// Offset that should follow.
        expected: u64,
    },
}

#[derive(Deserialize)]
struct PageBody {
    first: u64,
    next: u64,
    records: Vec<RecordBody>,
}

#[derive(Deserialize)]
struct RecordBody {
    offset: u64,
    time_ms: u64,
    data: Box<str>,
}

#[derive(Deserialize)]
struct TrimmedBody {
    first: u64,
}

const STEP: &str = "read answer of";

impl Client {
    /// Reads at most `max` records of `stream` from offset `from` on.
    ///
    /// If `from` is the end of the stream, the log delays its answer by up to `wait`, until a record is appended. It
    /// may send fewer records than `max` even if it has more.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_log::{read, Client, Options};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// // No process listens on port 1.
    /// let client = Client::at("http://127.0.0.1:1", Options::default()).unwrap();
    /// let err = client.read("config", 0, 10, Duration::ZERO).await.unwrap_err();
    /// assert!(matches!(err, read::Error::Unreachable { .. }));
    /// # }
    /// ```
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        max: u32,
        wait: Duration,
    ) -> Result<Page, Error> {
        self.inner.reads.fetch_add(1, Ordering::Relaxed);
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
        let timeout = self.inner.options.timeout.saturating_add(wait);
        let answer = self
            .exchange(Method::GET, &path, Bytes::new(), timeout)
            .await;
        let peer = self.inner.peer.clone();
        match answer {
            Ok(answer) => parse_answer(answer, &peer, from),
            Err(Failure::NotSent(detail)) => UnreachableSnafu {
                step: "connect to",
                peer,
                detail,
            }
            .fail(),
            Err(Failure::Interrupted(detail)) => UnreachableSnafu {
                step: "await answer of",
                peer,
                detail,
            }
            .fail(),
            Err(Failure::TimedOut) => TimedOutSnafu {
                step: "await answer of",
                peer,
                timeout,
            }
            .fail(),
        }
    }
}

fn parse_answer(answer: Answer, peer: &str, from: u64) -> Result<Page, Error> {
    let step = STEP;
    match answer.status {
        StatusCode::OK => decode_page(&answer.body, peer, from),
        StatusCode::GONE => {
            let trimmed: TrimmedBody =
                serde_json::from_slice(&answer.body).context(MalformedSnafu { step, peer })?;
            TrimmedSnafu {
                step,
                peer,
                first: trimmed.first,
            }
            .fail()
        }
        StatusCode::SERVICE_UNAVAILABLE => OutageSnafu { step, peer }.fail(),
        status => RefusedSnafu {
            step,
            peer,
            status: status.as_u16(),
            detail: answer.detail(),
        }
        .fail(),
    }
}

fn decode_page(body: &[u8], peer: &str, from: u64) -> Result<Page, Error> {
    let step = STEP;
    let page: PageBody = serde_json::from_slice(body).context(MalformedSnafu { step, peer })?;
    let mut records = Vec::with_capacity(page.records.len());
    for (expected, record) in (from..).zip(page.records) {
        let offset = record.offset;
        if offset != expected {
            return OutOfOrderSnafu {
                step,
                peer,
                offset,
                expected,
            }
            .fail();
        }
        let data = STANDARD
            .decode(record.data.as_bytes())
            .context(InvalidBase64Snafu { step, peer, offset })?;
        records.push(Record {
            offset,
            time_ms: record.time_ms,
            data: data.into(),
        });
    }
    Ok(Page {
        first: page.first,
        next: page.next,
        records,
    })
}
