//! The records of the log stream `ownership`.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use snafu::ensure;

use crate::key::BUCKETS;

/// Longest ownership interval that a planner may use, in milliseconds.
pub const MAX_INTERVAL_MS: u64 = 3_600_000;

/// How far after its append a record may grant keys, in milliseconds.
///
/// A record is planned at most half an interval before the interval that it grants, and clocks and
/// appends may be late. With this bound, a reader that lacks the trimmed records can compute the key time
/// from which on none of them has an effect.
pub const MAX_GRANT_AHEAD_MS: u64 = 2 * MAX_INTERVAL_MS;

/// Identity of one run of a node process on its instance. Never reused; ordered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct Incarnation(pub [u8; 16]);

/// A node incarnation that can own keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Identity of the run of the node process.
    pub incarnation: Incarnation,
}

/// Ownership of some buckets over an interval of key time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// First bucket.
    pub first_bucket: u8,
    /// Last bucket (inclusive).
    pub last_bucket: u8,
    /// Start of the key times (inclusive), in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End of the key times (exclusive), in milliseconds since the Unix epoch.
    pub to_ms: u64,
    /// The owner.
    pub holder: Holder,
}

/// Ends the ownership of an incarnation from a key time on. A node releases its own incarnation before it
/// shuts down.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// First key time that the incarnation no longer owns, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// The incarnation that shuts down.
    pub holder: Holder,
}

/// One record of the stream `ownership`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Service to whose keys the record applies.
    pub service: Box<str>,
    /// Number of records of the service before this one that its writer had read.
    pub sequence: u64,
    /// Ownership that the writer gives up. Applied before the grants.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub release: Option<Release>,
    /// New ownership. The parts that an earlier record already granted are ignored.
    #[serde(default)]
    pub grants: Vec<Grant>,
}

/// Why a record is invalid. Every reader skips such a record.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes are not an encoded record.
    #[snafu(display("cannot decode an ownership record: {source}"))]
    Malformed {
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// A grant has no key times, no buckets, or buckets outside of `0..BUCKETS`.
    #[snafu(display(
        "grant {index} of the ownership record has an empty or invalid range of buckets or key times"
    ))]
    InvalidGrant {
        /// Index of the grant in the record.
        index: usize,
    },
    /// A grant ends more than [`MAX_GRANT_AHEAD_MS`] after the append. Readers of a trimmed log rely on
    /// this bound.
    #[snafu(display(
        "the ownership record grants keys {ahead_ms} ms after its append, allowed are {MAX_GRANT_AHEAD_MS} ms"
    ))]
    TooFarAhead {
        /// Time from the append to the end of the last grant, in milliseconds.
        ahead_ms: u64,
    },
}

impl Record {
    /// Decodes a record that a peer forwarded.
    ///
    /// ```
    /// assert!(hitch_once::Record::from_bytes(b"{}").is_err());
    /// ```
    pub fn from_bytes(data: &[u8]) -> Result<Record, Error> {
        let record: Record =
            serde_json::from_slice(data).map_err(|source| Error::Malformed { source })?;
        for (index, grant) in record.grants.iter().enumerate() {
            let valid = grant.first_bucket <= grant.last_bucket
                && grant.last_bucket < BUCKETS
                && grant.from_ms < grant.to_ms;
            ensure!(valid, InvalidGrantSnafu { index });
        }
        Ok(record)
    }

    /// Decodes a record that was read from the log, where it was appended at `time_ms` by the log's
    /// clock.
    ///
    /// A reader forwards only records that this function accepts.
    ///
    /// ```
    /// use hitch_once::Record;
    ///
    /// let record = Record { service: "ledger".into(), sequence: 0, release: None, grants: vec![] };
    /// assert_eq!(Record::from_log(&record.to_bytes(), 0)?, record);
    /// # Ok::<(), hitch_once::record::Error>(())
    /// ```
    pub fn from_log(data: &[u8], time_ms: u64) -> Result<Record, Error> {
        let record = Record::from_bytes(data)?;
        let last_ms = record.grants.iter().map(|g| g.to_ms).max().unwrap_or(0);
        let ahead_ms = last_ms.saturating_sub(time_ms);
        ensure!(
            ahead_ms <= MAX_GRANT_AHEAD_MS,
            TooFarAheadSnafu { ahead_ms }
        );
        Ok(record)
    }

    /// Encodes the record.
    ///
    /// ```
    /// # use hitch_once::Record;
    /// let record = Record { service: "ledger".into(), sequence: 0, release: None, grants: vec![] };
    /// assert_eq!(record.to_bytes(), br#"{"service":"ledger","sequence":0,"grants":[]}"#);
    /// ```
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self)
            .expect("an ownership record has no map with keys that are not strings")
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Incarnation({self})")
    }
}

impl From<Incarnation> for Box<str> {
    fn from(incarnation: Incarnation) -> Box<str> {
        incarnation.to_string().into()
    }
}

impl TryFrom<Box<str>> for Incarnation {
    type Error = &'static str;

    fn try_from(text: Box<str>) -> Result<Incarnation, &'static str> {
        let expected = "an incarnation is 32 hexadecimal digits";
        if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(expected);
        }
        let number = u128::from_str_radix(&text, 16).map_err(|_| expected)?;
        Ok(Incarnation(number.to_be_bytes()))
    }
}
