//! Parsing of a contract.

use hitch_settings::Field;
use hitch_settings::problem::count;
use hitch_settings::problem::join;
use hitch_settings::read::Options;
use hitch_settings::read::from_bytes_checked;
use serde::Deserialize;
use snafu::Snafu;

use crate::check::check;
use crate::model::Contract;

pub use hitch_settings::Problem;

/// Maximum size of a contract, in bytes.
pub const MAX_BYTES: usize = 256 * 1024;

/// All problems found in an invalid contract.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{file}: {} in the contract: {}", count(problems), join(problems)))]
pub struct Error {
    /// Name of the file, as passed in by the caller.
    pub file: Box<str>,
    /// Every problem found, in the order of lines.
    pub problems: Vec<Problem>,
}

#[derive(Deserialize)]
pub(crate) struct RawContract {
    pub(crate) customer: Field<Box<str>>,
    pub(crate) lands_within: Field<Box<str>>,
    pub(crate) stale_after: Field<Box<str>>,
    pub(crate) when_stale: Field<RawWhenStale>,
    pub(crate) key_interval: Field<Box<str>>,
    pub(crate) ranks: Field<Vec<Field<RawRank>>>,
    pub(crate) services: Field<Vec<Field<RawService>>>,
    pub(crate) routes: Field<Vec<Field<RawRoute>>>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RawWhenStale {
    Serve,
    Refuse,
}

#[derive(Deserialize)]
pub(crate) struct RawRank {
    pub(crate) name: Field<Box<str>>,
    pub(crate) target_latency: Field<Box<str>>,
    pub(crate) worth: Field<u32>,
    pub(crate) share: Field<Box<str>>,
    pub(crate) admit: Field<Box<str>>,
}

#[derive(Deserialize)]
pub(crate) struct RawService {
    pub(crate) name: Field<Box<str>>,
    pub(crate) slots: Field<u32>,
    pub(crate) connections: Field<u32>,
}

#[derive(Deserialize)]
pub(crate) struct RawRoute {
    pub(crate) method: Field<Box<str>>,
    pub(crate) path: Field<Box<str>>,
    pub(crate) service: Field<Box<str>>,
    pub(crate) idempotent: Field<bool>,
    pub(crate) deadline: Field<Box<str>>,
}

/// Parses a contract from YAML and validates all of it.
///
/// `file` names the source in errors. The error contains every problem found, with its line and
/// field.
///
/// ```
/// let err = hitch_contract::from_bytes("c.yaml", b"customer: 1").unwrap_err();
/// assert_eq!(&*err.file, "c.yaml");
/// ```
pub fn from_bytes(file: &str, bytes: &[u8]) -> Result<Contract, Error> {
    let options = Options {
        max_bytes: MAX_BYTES,
    };
    from_bytes_checked(file, bytes, &options, check).map_err(|err| Error {
        file: file.into(),
        problems: err.problems().to_vec(),
    })
}
