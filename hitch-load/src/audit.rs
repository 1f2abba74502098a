//! Compares the outcomes that callers received with the ledgers of the backend servers, in which
//! the backend servers count the executions of every idempotency key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hitch_standin_backend::Ledger;
use http::Request;
use http::header::HOST;
use http_body_util::Full;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::pool::Pool;
use crate::record::KeyOutcomes;

/// Timeout for reading a ledger.
const FETCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest ledger that is accepted, in bytes.
const MAX_LEDGER_BYTES: usize = 1024 * 1024 * 1024;
/// Number of keys listed for each kind of violation.
const MAX_REPORTED_KEYS: usize = 10;

/// Why a ledger cannot be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The backend server did not answer with status 2xx.
    #[snafu(display("load: read ledger of {address}: {detail}"))]
    Fetch {
        /// Address of the backend server.
        address: SocketAddr,
        /// Status or connection failure.
        detail: Box<str>,
    },
    /// The answer is not a ledger in JSON.
    #[snafu(display("load: decode ledger of {address}: {source}"))]
    Decode {
        /// Address of the backend server.
        address: SocketAddr,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
}

/// Violations of one kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Number of keys with this violation.
    pub count: u64,
    /// The first of these keys, at most `MAX_REPORTED_KEYS`.
    pub keys: Vec<Box<str>>,
}

impl Violations {
    fn push(&mut self, key: &str) {
        self.count += 1;
        if self.keys.len() < MAX_REPORTED_KEYS {
            self.keys.push(key.into());
        }
    }
}

/// Result of the comparison.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Number of keys that were sent.
    pub keys: u64,
    /// Number of these keys with at least one execution in the ledgers.
    pub keys_run: u64,
    /// Keys whose call was started more than once.
    pub duplicates: Violations,
    /// Keys whose call was started although every attempt was reported as not run.
    pub false_not_run: Violations,
    /// Keys whose call was answered although no execution finished.
    pub answered_without_run: Violations,
}

/// Reads the ledgers of backend servers and merges them into one.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// // Nothing listens on port 1.
/// let err = hitch_load::audit::fetch(&["127.0.0.1:1".parse().unwrap()]).await.unwrap_err();
/// assert!(err.to_string().contains("read ledger of 127.0.0.1:1"));
/// # }
/// ```
pub async fn fetch(ledgers: &[SocketAddr]) -> Result<Ledger, Error> {
    let mut total = Ledger::default();
    for address in ledgers {
        let body = fetch_one(*address).await.map_err(|detail| Error::Fetch {
            address: *address,
            detail,
        })?;
        let ledger = serde_json::from_slice(&body).context(DecodeSnafu { address: *address })?;
        total.merge(&ledger);
    }
    Ok(total)
}

async fn fetch_one(address: SocketAddr) -> Result<Bytes, Box<str>> {
    let pool = Pool::new(address, 1, MAX_LEDGER_BYTES);
    let build = || {
        let req = Request::get("/ledger").header(HOST, address.to_string());
        req.body(Full::new(Bytes::new())).ok()
    };
    let exchange = pool.exchange(FETCH_TIMEOUT, build);
    match tokio::time::timeout(FETCH_TIMEOUT, exchange).await {
        Ok(Ok(answer)) if answer.status.is_success() => Ok(answer.body),
        Ok(Ok(answer)) => Err(format!("status {}", answer.status).into()),
        Ok(Err(failure)) => Err(format!("{failure:?}").into()),
        Err(_) => Err(format!("no answer within {FETCH_TIMEOUT:?}").into()),
    }
}

/// Compares the outcomes that callers received with the merged ledgers.
///
/// ```
/// use std::collections::BTreeMap;
/// use hitch_load::record::KeyOutcomes;
///
/// let mut ledger = hitch_standin_backend::Ledger::default();
/// ledger.start(Some("k"));
/// let outcomes = KeyOutcomes { not_run: 1, ..KeyOutcomes::default() };
/// let outcome = hitch_load::audit::compare(&BTreeMap::from([("k".into(), outcomes)]), &ledger);
/// assert_eq!(outcome.false_not_run.count, 1);
/// ```
pub fn compare(key_outcomes: &BTreeMap<Box<str>, KeyOutcomes>, ledger: &Ledger) -> Outcome {
    let mut outcome = Outcome {
        keys: key_outcomes.len() as u64,
        ..Outcome::default()
    };
    for (key, outcomes) in key_outcomes {
        let runs = ledger.keys.get(key).copied().unwrap_or_default();
        if runs.started > 0 {
            outcome.keys_run += 1;
        }
        if runs.started > 1 {
            outcome.duplicates.push(key);
        }
        if runs.started > 0 && outcomes.answered == 0 && outcomes.other == 0 {
            outcome.false_not_run.push(key);
        }
        if outcomes.answered > 0 && runs.finished == 0 {
            outcome.answered_without_run.push(key);
        }
    }
    outcome
}
