//! The change records in the stream `config` of the log.

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use uuid::Uuid;

/// One change that an operator published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Id of the change, generated once by the operator's command, so that a retried append is
    /// recognized.
    pub change_id: Uuid,
    /// Customer whose contract is changed.
    pub customer: Box<str>,
    /// Version of the customer's contract that the change amends, 0 for a new customer.
    pub based_on: u64,
    /// Name of the operator who published the change.
    pub operator: Box<str>,
    /// The contract as YAML text.
    pub contract: Box<str>,
}

/// A record that cannot be decoded as a change.
#[derive(Debug, Snafu)]
#[snafu(display("cannot decode a change record: {source}"))]
pub struct Error {
    /// Error of the JSON decoder.
    source: serde_json::Error,
}

impl Change {
    /// Decodes a record of the log.
    ///
    /// ```
    /// assert!(hitch_config::Change::from_bytes(b"{}").is_err());
    /// ```
    pub fn from_bytes(data: &[u8]) -> Result<Change, Error> {
        serde_json::from_slice(data).map_err(|source| Error { source })
    }

    /// Encodes the change as a record of the log.
    ///
    /// ```
    /// # let change = hitch_config::Change { change_id: uuid::Uuid::nil(), customer: "a".into(),
    /// #     based_on: 0, operator: "o".into(), contract: "".into() };
    /// let decoded = hitch_config::Change::from_bytes(&change.to_bytes())?;
    /// assert_eq!(decoded, change);
    /// # Ok::<(), hitch_config::change::Error>(())
    /// ```
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a change has no map with keys other than strings")
    }
}
