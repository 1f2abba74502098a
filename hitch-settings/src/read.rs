//! Parsing of a settings file and validation of its values.

use std::io::Read;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::de::TreeDeserializer;
use crate::problem::Problem;
use crate::problem::count;
use crate::problem::join;
use crate::report::Report;
use crate::tree::Tree;

/// Size limit of a settings file, in bytes.
pub const MAX_BYTES: usize = 64 * 1024;

/// Bounds for a duration without a tighter limit: 1 ms to 24 hours.
pub const ANY_DURATION: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(24 * 3600);

/// Options of [`from_bytes_checked`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Size limit of the file, in bytes.
    pub max_bytes: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            max_bytes: MAX_BYTES,
        }
    }
}

/// Why settings could not be loaded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be opened or read.
    #[snafu(display("cannot read settings from {file}: {source}"))]
    Open {
        /// Path of the file.
        file: Box<str>,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file has problems.
    #[snafu(display("{file}: {} in the settings: {}", count(problems), join(problems)))]
    Invalid {
        /// Name of the file.
        file: Box<str>,
        /// All problems of the file.
        problems: Vec<Problem>,
    },
}

impl Error {
    /// Returns all problems of the file; empty when the file could not be read.
    ///
    /// ```
    /// let err = hitch_settings::from_bytes::<u32>("a.yaml", b"many").unwrap_err();
    /// assert_eq!(err.problems()[0].line, 1);
    /// ```
    pub fn problems(&self) -> &[Problem] {
        match self {
            Error::Open { .. } => &[],
            Error::Invalid { problems, .. } => problems,
        }
    }
}

/// Parses the settings file at `path`; see [`from_bytes`].
///
/// ```
/// let err = hitch_settings::from_file::<u32>("no/such/file.yaml").unwrap_err();
/// assert!(err.to_string().starts_with("cannot read settings from no/such/file.yaml"));
/// ```
pub fn from_file<T: DeserializeOwned>(path: impl AsRef<Path>) -> Result<T, Error> {
    let path = path.as_ref();
    let file = path.display().to_string();
    match read_file(path) {
        Ok(bytes) => from_bytes(&file, &bytes),
        Err(source) => Err(Error::Open {
            file: file.into(),
            source,
        }),
    }
}

/// Reads the file at `path`, at most one byte more than [`MAX_BYTES`], which is enough to see that it
/// is too large.
pub(crate) fn read_file(path: &Path) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let file = std::fs::File::open(path)?;
    file.take(MAX_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Parses settings of type `T` from YAML.
///
/// `file` is the name of the source in errors. Unknown fields and duplicate keys are errors, even if
/// `T` does not deny them.
///
/// ```
/// #[derive(serde::Deserialize)]
/// struct Settings {
///     threads: u32,
/// }
/// let settings: Settings = hitch_settings::from_bytes("a.yaml", b"threads: 4")?;
/// assert_eq!(settings.threads, 4);
/// # Ok::<(), hitch_settings::read::Error>(())
/// ```
pub fn from_bytes<T: DeserializeOwned>(file: &str, bytes: &[u8]) -> Result<T, Error> {
    from_bytes_checked(file, bytes, &Options::default(), |raw: T, _| raw)
}

/// Parses `Raw` from YAML and converts it to `T` with `check`, which adds problems to the report.
///
/// Returns an error with the problems of both steps if there are any, sorted by line.
///
/// ```
/// # use hitch_settings::read;
/// let options = read::Options::default();
/// let list = read::from_bytes_checked("a.yaml", b"[1, 2]", &options, |raw: Vec<u32>, _| raw)?;
/// assert_eq!(list, [1, 2]);
/// # Ok::<(), read::Error>(())
/// ```
pub fn from_bytes_checked<Raw: DeserializeOwned, T>(
    file: &str,
    bytes: &[u8],
    options: &Options,
    check: impl FnOnce(Raw, &mut Report) -> T,
) -> Result<T, Error> {
    let mut report = Report::default();
    let value = parse_and_check(bytes, options, &mut report, check);
    let mut problems = report.problems.into_inner();
    match value {
        Some(value) if problems.is_empty() => Ok(value),
        _ => {
            problems.sort_by_key(|p| p.line);
            Err(Error::Invalid {
                file: file.into(),
                problems,
            })
        }
    }
}

fn parse_and_check<Raw: DeserializeOwned, T>(
    bytes: &[u8],
    options: &Options,
    report: &mut Report,
    check: impl FnOnce(Raw, &mut Report) -> T,
) -> Option<T> {
    if bytes.len() > options.max_bytes {
        let value = format!("over {} bytes", options.max_bytes);
        let allowed = format!("at most {} bytes", options.max_bytes);
        report.scope("", 0).add(0, "file", &value, &allowed);
        return None;
    }
    let text = match std::str::from_utf8(bytes) {
        Ok(text) => text,
        Err(err) => {
            let (valid, _) = bytes.split_at(err.valid_up_to());
            let line = 1 + valid.iter().filter(|b| **b == b'\n').count() as u64;
            let value = format!("a byte that is not UTF-8, at offset {}", err.valid_up_to());
            report.scope("", 0).add(line, "file", &value, "UTF-8 text");
            return None;
        }
    };
    let tree = match Tree::from_text(text) {
        Ok(tree) => tree,
        Err(err) => {
            let line = err.location().map_or(0, |l| l.line());
            let found = err.without_snippet().to_string();
            let allowed = "one YAML document of bounded depth and aliases";
            report.scope("", 0).add(line, "file", &found, allowed);
            return None;
        }
    };
    let deserializer = TreeDeserializer {
        tree: &tree,
        path: "",
        problems: &report.problems,
    };
    let raw = deserializer.read(std::marker::PhantomData::<Raw>).ok()?;
    Some(check(raw, report))
}
