//! Settings of a backend server.

use serde::Deserialize;
use snafu::Snafu;

/// Settings of a backend server; a field that is absent in the YAML file has its default value.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Name of the instance, as answers carry it.
    pub instance: Box<str>,
    /// Calls that run at once; further calls are shed.
    pub slots: u32,
    /// Connections that are open at once; further ones are closed at once.
    pub connections: usize,
    /// Service time of a call, in milliseconds.
    pub work_ms: u64,
    /// Service times by path; the longest prefix wins.
    pub paths: Vec<PathWork>,
    /// Largest deviation of a service time, in percent of it.
    pub jitter_percent: u32,
    /// Seed of the deviations.
    pub seed: u64,
    /// Time from the start until service times are normal, in milliseconds.
    pub cold_start_ms: u64,
    /// Factor on service times at the start, in percent; it falls linearly to 100.
    pub cold_factor_percent: u32,
    /// Time for which connections are refused after a crash, in milliseconds.
    pub crash_ms: u64,
    /// Time before the first request of a new connection is read, in milliseconds.
    pub connect_ms: u64,
    /// Time before `GET /health` and `GET /load` are answered, in milliseconds.
    pub probe_ms: u64,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time for which a planned stop waits for calls in progress, in milliseconds.
    pub drain_ms: u64,
    /// Caller address of the own node, to which next calls go; `x-hitch-via` where it is absent.
    pub via: Option<Box<str>>,
}

/// Service time of the calls to a path.
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
    /// Returns the service time of a path, in milliseconds.
    ///
    /// ```
    /// let settings = hitch_standin_backend::Settings::default();
    /// assert_eq!(settings.path_work_ms("/fees"), 5);
    /// ```
    pub fn path_work_ms(&self, path: &str) -> u64 {
        let mut best: Option<&PathWork> = None;
        for candidate in &self.paths {
            let longer = best.is_none_or(|best| candidate.path.len() > best.path.len());
            if longer && path.starts_with(&*candidate.path) {
                best = Some(candidate);
            }
        }
        best.map_or(self.work_ms, |best| best.work_ms)
    }
}

/// Settings that cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("backend stand-in: read settings {file}: {detail}"))]
pub struct Error {
    /// File that was read.
    pub file: Box<str>,
    /// What the parser found.
    pub detail: Box<str>,
}

/// Reads settings from YAML; `file` names the source in errors.
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
