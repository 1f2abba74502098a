//! Limits of the log.

use serde::Deserialize;
use snafu::Snafu;

/// Limits of the log; a field that is absent in the YAML file has its default value.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Records that a stream retains at most.
    pub retain_records: usize,
    /// Bytes of records that a stream retains at most.
    pub retain_bytes: usize,
    /// Time for which a record is retained, in milliseconds; 0 for no limit.
    pub retain_ms: u64,
    /// Appends accepted per second over all streams.
    pub appends_per_second: u32,
    /// Largest record, in bytes.
    pub max_record_bytes: usize,
    /// Bytes of records in one answer at most, except that an answer holds at least one record.
    pub max_answer_bytes: usize,
    /// Longest time that a read is held at the end of a stream, in milliseconds.
    pub max_wait_ms: u64,
    /// Streams at most.
    pub max_streams: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            retain_records: 100_000,
            retain_bytes: 256 * 1024 * 1024,
            retain_ms: 0,
            appends_per_second: 500,
            max_record_bytes: 4 * 1024 * 1024,
            max_answer_bytes: 8 * 1024 * 1024,
            max_wait_ms: 60_000,
            max_streams: 64,
        }
    }
}

/// Settings that cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("log stand-in: read settings {file}: {detail}"))]
pub struct Error {
    /// File that was read.
    pub file: Box<str>,
    /// What the parser found.
    pub detail: Box<str>,
}

/// Reads settings from YAML; `file` names the source in errors.
///
/// ```
/// let settings = hitch_standin_log::settings::from_str("log.yaml", "retain_records: 10")?;
/// assert_eq!(settings.retain_records, 10);
/// # Ok::<(), hitch_standin_log::settings::Error>(())
/// ```
pub fn from_str(file: &str, text: &str) -> Result<Settings, Error> {
    if text.trim().is_empty() {
        return Ok(Settings::default());
    }
    serde_saphyr::from_str(text).map_err(|err| Error {
        file: file.into(),
        detail: err.to_string().into(),
    })
}
