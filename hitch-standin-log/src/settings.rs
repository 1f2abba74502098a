//! Settings of the log.

use serde::Deserialize;
use snafu::Snafu;

/// Limits of the log; fields absent from the YAML file take their defaults.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Maximum number of records that a stream retains.
    pub retain_records: usize,
    /// Maximum total size of the records that a stream retains, in bytes.
    pub retain_bytes: usize,
    /// Time for which a record is retained, in milliseconds; 0 means no limit. Expired records are
    /// removed by the next append to the stream.
    pub retain_ms: u64,
    /// Maximum rate of appends over all streams, per second.
    pub appends_per_second: u32,
    /// Maximum size of a record, in bytes.
    pub max_record_bytes: usize,
    /// Maximum total size of the records in one answer, in bytes; a larger record is returned
    /// alone.
    pub max_answer_bytes: usize,
    /// Maximum time that a read waits for a record at the end of a stream, in milliseconds.
    pub max_wait_ms: u64,
    /// Maximum number of streams.
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

/// The settings file is not valid YAML or has unknown or invalid fields.
#[derive(Debug, Snafu)]
#[snafu(display("invalid log settings in {file}: {detail}"))]
pub struct Error {
    /// Name of the settings file.
    pub file: Box<str>,
    /// Error of the YAML parser, with its position.
    pub detail: Box<str>,
}

/// Parses settings from YAML; an empty text gives the defaults. `file` names the source in errors.
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
