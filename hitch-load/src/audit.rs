//! Comparison of what callers were told with the ledgers of the backend servers.

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

/// Time within which a ledger must be read.
const FETCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest ledger that is read, in bytes.
const MAX_LEDGER_BYTES: usize = 1024 * 1024 * 1024;
/// Keys that the report names for each kind of fault.
const MAX_NAMED: usize = 10;

/// A ledger that cannot be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// There is no answer with status 200.
    #[snafu(display("load: read ledger of {peer}: {detail}"))]
    Fetch {
        /// Address of the backend server.
        peer: SocketAddr,
        /// What was found.
        detail: Box<str>,
    },
    /// The answer is no ledger.
    #[snafu(display("load: decode ledger of {peer}: {source}"))]
    Decode {
        /// Address of the backend server.
        peer: SocketAddr,
        /// What the decoder found.
        source: serde_json::Error,
    },
}

/// Faults of one kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Faults {
    /// Keys with the fault.
    pub count: u64,
    /// The first of these keys.
    pub keys: Vec<Box<str>>,
}

impl Faults {
    fn push(&mut self, key: &str) {
        self.count += 1;
        if self.keys.len() < MAX_NAMED {
            self.keys.push(key.into());
        }
    }
}

/// Result of the comparison.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Keys sent.
    pub keys: u64,
    /// Keys in the ledgers.
    pub keys_run: u64,
    /// Keys that were started more than once.
    pub duplicates: Faults,
    /// Keys that were started although every attempt was said not to have run.
    pub false_not_run: Faults,
    /// Keys that were answered although no run of them finished.
    pub answered_without_run: Faults,
}

/// Reads the ledgers of backend servers and adds them up.
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
    let mut sum = Ledger::default();
    for peer in ledgers {
        let body = fetch_one(*peer).await.map_err(|detail| Error::Fetch {
            peer: *peer,
            detail,
        })?;
        let ledger = serde_json::from_slice(&body).context(DecodeSnafu { peer: *peer })?;
        sum.merge(&ledger);
    }
    Ok(sum)
}

async fn fetch_one(peer: SocketAddr) -> Result<Bytes, Box<str>> {
    let pool = Pool::new(peer, 1, MAX_LEDGER_BYTES);
    let make = || {
        let req = Request::get("/ledger").header(HOST, peer.to_string());
        req.body(Full::new(Bytes::new())).ok()
    };
    let exchange = pool.exchange(FETCH_TIMEOUT, make);
    match tokio::time::timeout(FETCH_TIMEOUT, exchange).await {
        Ok(Ok(answer)) if answer.status.is_success() => Ok(answer.body),
        Ok(Ok(answer)) => Err(format!("status {}", answer.status).into()),
        Ok(Err(failure)) => Err(format!("{failure:?}").into()),
        Err(_) => Err(format!("no answer within {FETCH_TIMEOUT:?}").into()),
    }
}

/// Compares the claims made to callers with the sum of the ledgers.
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
