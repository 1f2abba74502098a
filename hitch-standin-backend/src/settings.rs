//! Settings of the simulated backend server.

use serde::Deserialize;
use snafu::Snafu;

/// Settings of a simulated backend server; fields absent from the YAML file take their defaults.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Name of the instance, included in every answer.
    pub instance: Box<str>,
    /// Maximum number of calls that run concurrently; further calls are shed.
    pub slots: u32,
    /// Maximum number of open connections; further ones are closed as soon as they are accepted.
    pub connections: usize,
    /// Service time of a call, in milliseconds.
    pub work_ms: u64,
    /// Service times by path prefix; the longest matching prefix applies.
    pub paths: Vec<PathWork>,
    /// Maximum random deviation of a service time in either direction, in percent of it, up to 100.
    pub jitter_percent: u32,
    /// Seed of the random deviations.
    pub seed: u64,
    /// Duration of the cold start, during which service times are longer, in milliseconds.
    pub cold_start_ms: u64,
    /// Factor on service times at the beginning of the cold start, in percent; it falls linearly to
    /// 100 during the cold start.
    pub cold_factor_percent: u32,
    /// Time for which connections are refused after a crash, in milliseconds.
    pub crash_ms: u64,
    /// Delay before the first request of an accepted connection is read, in milliseconds.
    pub connect_ms: u64,
    /// Delay before `GET /health` and `GET /load` are answered, in milliseconds.
    pub probe_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time that a graceful shutdown waits for calls in flight, in milliseconds.
    pub drain_ms: u64,
    /// Address at which the local node accepts calls, used for downstream calls. If absent, the
    /// `x-hitch-via` field of each request gives the address.
    pub via: Option<Box<str>>,
}

/// Service time of the calls whose path has a given prefix.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PathWork {
    /// Prefix of the path.
    pub path: Box<str>,
    /// Service time, in milliseconds.
    pub work_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            instance: "backend".into(),
            slots: 13,
            connections: 130,
            work_ms: 5,
            paths: Vec::new(),
            jitter_percent: 0,
            seed: 1,
            cold_start_ms: 0,
            cold_factor_percent: 500,
            crash_ms: 1_000,
            connect_ms: 0,
            probe_ms: 0,
            max_body_bytes: 1024 * 1024,
            drain_ms: 10_000,
            via: None,
        }
    }
}

impl Settings {
    /// Returns the service time of calls to `path`, in milliseconds, before any factor is applied.
    ///
    /// ```
    /// let settings = hitch_standin_backend::Settings::default();
    /// assert_eq!(settings.path_work_ms("/fees"), 5);
    /// ```
    pub fn path_work_ms(&self, path: &str) -> u64 {
        let mut longest: Option<&PathWork> = None;
        for candidate in &self.paths {
            let is_longer = longest.is_none_or(|longest| candidate.path.len() > longest.path.len());
            if is_longer && path.starts_with(&*candidate.path) {
                longest = Some(candidate);
            }
        }
        longest.map_or(self.work_ms, |longest| longest.work_ms)
    }
}

/// The settings file is not valid YAML or has unknown or invalid fields.
#[derive(Debug, Snafu)]
#[snafu(display("invalid backend server settings in {file}: {detail}"))]
pub struct Error {
    /// Name of the settings file.
    pub file: Box<str>,
    /// Error of the YAML parser, with its position.
    pub detail: Box<str>,
}

/// Parses settings from YAML; an empty text gives the defaults. `file` names the source in errors.
///
/// ```
/// let settings = hitch_standin_backend::settings::from_str("b.yaml", "slots: 18")?;
/// assert_eq!(settings.slots, 18);
/// # Ok::<(), hitch_standin_backend::settings::Error>(())
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
