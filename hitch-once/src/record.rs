//! The records of the log stream `ownership`.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use snafu::ensure;

use crate::key::BUCKETS;

/// Longest ownership interval that is planned, in milliseconds.
pub const MAX_INTERVAL_MS: u64 = 3_600_000;

/// How far after its append a record may grant keys, in milliseconds.
///
/// A record is planned at most half an interval before the interval that it grants, and clocks and
/// appends may be late. The bound lets a reader that lacks trimmed records know from which key time on
/// none of them matters.
pub const MAX_GRANT_AHEAD_MS: u64 = 2 * MAX_INTERVAL_MS;

/// Ordered identity of one run of a node on its instance, never used twice.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct Incarnation(pub [u8; 16]);

/// A node incarnation that can own keys.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the instance.
    pub instance: Box<str>,
    /// The run of the node.
    pub incarnation: Incarnation,
}

/// Ownership of some buckets over an interval of key time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// First bucket.
    pub first_bucket: u8,
    /// Last bucket, included.
    pub last_bucket: u8,
    /// First key time, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End of the key times, excluded, in milliseconds since the Unix epoch.
    pub to_ms: u64,
    /// The owner.
    pub holder: Holder,
}

/// The end of ownership that a node declares for its own incarnation before it leaves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// First key time that the incarnation no longer owns, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// The incarnation that leaves.
    pub holder: Holder,
}

/// One record of the stream.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Service whose keys it concerns.
    pub service: Box<str>,
    /// Number of records of the service before it, as far as its writer knew.
    pub sequence: u64,
    /// What the writer gives up, applied before the grants.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub release: Option<Release>,
    /// Who owns what from now on, unless an earlier record says otherwise.
    #[serde(default)]
    pub grants: Vec<Grant>,
}

/// A record that every reader passes over.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes are no record.
    #[snafu(display("cannot decode an ownership record: {source}"))]
    Malformed {
        /// What the decoder found.
        source: serde_json::Error,
    },
    /// A grant is empty or names buckets that don't exist.
    #[snafu(display("grant {index} of the ownership record is empty or out of range"))]
    BadGrant {
        /// Position of the grant.
        index: usize,
    },
    /// A grant reaches further than the bound on which readers of a trimmed log rely.
    #[snafu(display("the ownership record grants keys {ahead_ms} ms after its append"))]
    TooFarAhead {
        /// Distance from the append to the last key granted, in milliseconds.
        ahead_ms: u64,
    },
}

impl Record {
    /// Decodes a record that a peer passed on.
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
            ensure!(valid, BadGrantSnafu { index });
        }
        Ok(record)
    }

    /// Decodes a record that was read from the log, where it was appended at `time_ms` of the log's
    /// clock.
    ///
    /// A reader passes on only records that this function accepts.
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
        let last = record.grants.iter().map(|g| g.to_ms).max().unwrap_or(0);
        let ahead_ms = last.saturating_sub(time_ms);
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
        serde_json::to_vec(self).expect("a record has no map with keys other than text")
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
        let wanted = "an incarnation is 32 hexadecimal digits";
        if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(wanted);
        }
        let number = u128::from_str_radix(&text, 16).map_err(|_| wanted)?;
        Ok(Incarnation(number.to_be_bytes()))
    }
}
