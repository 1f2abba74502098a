//! Appends of records, and their errors.

use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use snafu::Snafu;

use crate::client::Client;
use crate::exchange::Answer;
use crate::exchange::Failure;

/// Why an append returned no offset.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No connection to the log could be opened; the record is not appended.
    #[snafu(display("log append: {step} {peer}: not appended: {detail}"))]
    NotAppended {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// Why nothing was sent.
        detail: Box<str>,
    },
    /// No usable answer arrived within the timeout. The log may have appended the record or may append it later.
    #[snafu(display("log append: {step} {peer}: the record may have been appended: {detail}"))]
    Ambiguous {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
        /// Why there is no usable answer.
        detail: Box<str>,
    },
    /// The append rate is exceeded; the record is not appended.
    #[snafu(display("log append: {step} {peer}: not appended: the append rate is exceeded"))]
    RateLimited {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
    },
    /// The log has an outage; the record is not appended.
    #[snafu(display("log append: {step} {peer}: not appended: the log has an outage"))]
    Outage {
        /// Step that failed.
        step: &'static str,
        /// Address of the log.
        peer: Box<str>,
    },
    /// The log refused the record and would refuse it again; it is not appended.
    #[snafu(display(
        "log append: {step} {peer}: not appended: refused with status {status}: {detail}"
    ))]
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
}

impl Error {
    /// Returns whether it is certain that the record is not appended and will not be.
    ///
    /// ```
    /// use hitch_log::append::Error;
    ///
    /// let err = Error::RateLimited { step: "read answer of", peer: "127.0.0.1:7000".into() };
    /// assert!(err.is_not_appended());
    /// ```
    pub fn is_not_appended(&self) -> bool {
        !matches!(self, Error::Ambiguous { .. })
    }
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

impl Client {
    /// Appends one record to `stream` and returns its offset.
    ///
    /// The client makes one attempt. After [`Error::Ambiguous`] the caller must read the stream to learn whether it
    /// holds the record, before it appends the record again.
    ///
    /// ```
    /// # use hitch_log::{append, Client, Options};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() {
    /// // No process listens on port 1, so the record is certainly not appended.
    /// let client = Client::at("http://127.0.0.1:1", Options::default()).unwrap();
    /// let err = client.append("config", "data".into()).await.unwrap_err();
    /// assert!(err.is_not_appended());
    /// # }
    /// ```
    pub async fn append(&self, stream: &str, data: Bytes) -> Result<u64, Error> {
        self.inner.appends.fetch_add(1, Ordering::Relaxed);
        let path = format!("/streams/{stream}/records");
        let timeout = self.inner.options.timeout;
        let answer = self.exchange(Method::POST, &path, data, timeout).await;
        let peer = self.inner.peer.clone();
        match answer {
            Ok(answer) => parse_answer(answer, peer),
            Err(Failure::NotSent(detail)) => NotAppendedSnafu {
                step: "connect to",
                peer,
                detail,
            }
            .fail(),
            Err(Failure::TimedOut) => AmbiguousSnafu {
                step: "await answer of",
                peer,
                detail: format!("no answer within {timeout:?}"),
            }
            .fail(),
            Err(Failure::Interrupted(detail)) => AmbiguousSnafu {
                step: "await answer of",
                peer,
                detail,
            }
            .fail(),
        }
    }
}

fn parse_answer(answer: Answer, peer: Box<str>) -> Result<u64, Error> {
    let step = "read answer of";
    match answer.status {
        StatusCode::CREATED => match serde_json::from_slice::<Appended>(&answer.body) {
            Ok(appended) => Ok(appended.offset),
            Err(err) => AmbiguousSnafu {
                step,
                peer,
                detail: err.to_string(),
            }
            .fail(),
        },
        StatusCode::TOO_MANY_REQUESTS => RateLimitedSnafu { step, peer }.fail(),
        StatusCode::SERVICE_UNAVAILABLE => OutageSnafu { step, peer }.fail(),
        status if status.is_client_error() => RefusedSnafu {
            step,
            peer,
            status: status.as_u16(),
            detail: answer.detail(),
        }
        .fail(),
        // The protocol defines no other status, so it is unknown whether the record was appended.
        status => AmbiguousSnafu {
            step,
            peer,
            detail: format!("unexpected status {status}"),
        }
        .fail(),
    }
}
