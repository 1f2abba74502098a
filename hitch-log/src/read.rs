//! Reading records.

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

/// Records of a stream, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Lowest offset that the log retains.
    pub first: u64,
    /// Offset to read from next; with no records it is the end of the stream.
    pub next: u64,
    /// The records, by rising offset.
    pub records: Vec<Record>,
}

/// One record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream, from 0.
    pub offset: u64,
    /// Wall-clock time of the append at the log, in milliseconds since 1970.
    pub time_ms: u64,
    /// The record as it was appended.
    pub data: Bytes,
}

/// A read without records.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The offset was trimmed.
    #[snafu(display("log read: {step} {peer}: trimmed, the first retained offset is {first}"))]
    Trimmed {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// Lowest offset that the log retains.
        first: u64,
    },
    /// The log could not be reached or the connection failed.
    #[snafu(display("log read: {step} {peer}: {detail}"))]
    Unreachable {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// What was found.
        detail: Box<str>,
    },
    /// The time was over.
    #[snafu(display("log read: {step} {peer}: no answer within {timeout:?}"))]
    TimedOut {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// Time that was allowed.
        timeout: Duration,
    },
    /// The log has an outage.
    #[snafu(display("log read: {step} {peer}: outage"))]
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
    /// The answer is no page of records.
    #[snafu(display("log read: {step} {peer}: {source}"))]
    Malformed {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// What the decoder found.
        source: serde_json::Error,
    },
    /// The data of a record is no base64.
    #[snafu(display("log read: {step} {peer}: record {offset}: {source}"))]
    Encoding {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// Offset of the record.
        offset: u64,
        /// What the decoder found.
        source: base64::DecodeError,
    },
    /// The records of the answer are not in order.
    #[snafu(display("log read: {step} {peer}: offset {offset} where {expected} was expected"))]
    Disordered {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// Offset found.
        offset: u64,
        /// Offset that would be next.
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
    /// At the end of the stream the log holds the answer for up to `wait`, until there is a
    /// record. The log may send fewer records than there are.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_log::{read, Client, Options};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// // Nothing listens on port 1.
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
            Ok(answer) => judge(answer, &peer, from),
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

fn judge(answer: Answer, peer: &str, from: u64) -> Result<Page, Error> {
    let step = STEP;
    match answer.status {
        StatusCode::OK => decode(&answer.body, peer, from),
        StatusCode::GONE => {
            let gone: TrimmedBody =
                serde_json::from_slice(&answer.body).context(MalformedSnafu { step, peer })?;
            TrimmedSnafu {
                step,
                peer,
                first: gone.first,
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

fn decode(body: &[u8], peer: &str, from: u64) -> Result<Page, Error> {
    let step = STEP;
    let page: PageBody = serde_json::from_slice(body).context(MalformedSnafu { step, peer })?;
    let mut records = Vec::with_capacity(page.records.len());
    for (expected, record) in (from..).zip(page.records) {
        let offset = record.offset;
        if offset != expected {
            return DisorderedSnafu {
                step,
                peer,
                offset,
                expected,
            }
            .fail();
        }
        let data = STANDARD
            .decode(record.data.as_bytes())
            .context(EncodingSnafu { step, peer, offset })?;
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
