//! A problem in a file, for the error report.

use std::fmt;

use serde::Serialize;

/// Length to which the value in a problem is truncated, in characters.
const MAX_VALUE_CHARS: usize = 160;

/// One problem in a settings file or a contract.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Line of the value, counted from 1, or 0 if there is none.
    pub line: u64,
    /// Path of the field that holds the value, such as `backend.service`; `file` for the whole file.
    pub field: Box<str>,
    /// The invalid value, truncated, or a description of it.
    pub value: Box<str>,
    /// Description of the allowed values.
    pub allowed: Box<str>,
}

impl Problem {
    /// Creates a problem. A long value is truncated, so that the report stays readable.
    ///
    /// ```
    /// let problem = hitch_settings::Problem::new(3, "threads", "many", "a whole number");
    /// assert_eq!(problem.to_string(), r#"line 3: threads: saw "many", allowed: a whole number"#);
    /// ```
    pub fn new(line: u64, field: &str, value: &str, allowed: &str) -> Problem {
        Problem {
            line,
            field: field.into(),
            value: truncate(value).into(),
            allowed: allowed.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem {
            line,
            field,
            value,
            allowed,
        } = self;
        write!(f, "line {line}: {field}: saw {value:?}, allowed: {allowed}")
    }
}

/// Returns the number of problems with its unit, such as `1 problem`.
///
/// ```
/// assert_eq!(hitch_settings::problem::count(&[]), "0 problems");
/// ```
pub fn count(problems: &[Problem]) -> String {
    match problems.len() {
        1 => "1 problem".to_owned(),
        n => format!("{n} problems"),
    }
}

/// Formats problems as one line, separated by semicolons.
///
/// ```
/// let problem = hitch_settings::Problem::new(3, "a", "b", "c");
/// assert!(hitch_settings::problem::join(&[problem.clone(), problem]).contains("; line 3"));
/// ```
pub fn join(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("; ")
}

fn truncate(value: &str) -> String {
    let mut out: String = value.chars().take(MAX_VALUE_CHARS).collect();
    if out.len() < value.len() {
        out.push_str("...");
    }
    out
}
