//! One fault in a file.

use std::fmt;

/// Longest value that a problem repeats, in characters.
const MAX_VALUE_CHARS: usize = 160;

/// One problem in a file of settings or in a contract.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Line of the value, from 1, or 0 where there is none.
    pub line: u64,
    /// Field that holds the value.
    pub field: Box<str>,
    /// The value seen.
    pub value: Box<str>,
    /// What is allowed.
    pub allowed: Box<str>,
}

impl Problem {
    /// Makes a problem; a long value is cut, so that a report stays readable.
    ///
    /// ```
    /// let problem = hitch_settings::Problem::new(3, "threads", "many", "a whole number");
    /// assert_eq!(problem.to_string(), r#"line 3: threads: saw "many", allowed: a whole number"#);
    /// ```
    pub fn new(line: u64, field: &str, value: &str, allowed: &str) -> Problem {
        Problem {
            line,
            field: field.into(),
            value: shortened(value).into(),
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

/// Returns the number of problems as text.
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

/// Joins problems into one line.
///
/// ```
/// let problem = hitch_settings::Problem::new(3, "a", "b", "c");
/// assert!(hitch_settings::problem::join(&[problem.clone(), problem]).contains("; line 3"));
/// ```
pub fn join(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("; ")
}

fn shortened(value: &str) -> String {
    let mut out: String = value.chars().take(MAX_VALUE_CHARS).collect();
    if out.len() < value.len() {
        out.push_str("...");
    }
    out
}
