//! Checks of single fields, which add problems to a report.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::field::Field;
use crate::problem::Problem;

/// Collects the problems of a file.
#[derive(Debug, Default)]
pub struct Report {
    pub(crate) problems: RefCell<Vec<Problem>>,
}

impl Report {
    /// Returns the checks for the fields of the map `path` that starts on `line`. `path` is empty for the
    /// top-level map of the file.
    ///
    /// ```
    /// let mut report = hitch_settings::Report::default();
    /// report.scope("ranks", 4).add(5, "name", "Fee", "lower-case letters");
    /// assert_eq!(&*report.problems()[0].field, "ranks.name");
    /// ```
    pub fn scope<'a>(&'a mut self, path: &'a str, line: u64) -> Scope<'a> {
        Scope {
            report: self,
            path,
            line,
        }
    }

    /// Returns the problems that were reported so far, in the order in which they were found.
    ///
    /// ```
    /// assert!(hitch_settings::Report::default().problems().is_empty());
    /// ```
    pub fn problems(&mut self) -> &[Problem] {
        self.problems.get_mut()
    }
}

/// Checks for the fields of one map.
///
/// Each check returns the value. If the value is invalid or absent, the check reports a problem and
/// returns a placeholder, so that the remaining fields can be checked.
#[derive(Debug)]
pub struct Scope<'a> {
    report: &'a mut Report,
    path: &'a str,
    line: u64,
}

impl Scope<'_> {
    /// Reports a problem of a field of this map.
    ///
    /// ```
    /// let mut report = hitch_settings::Report::default();
    /// report.scope("", 0).add(1, "threads", "0", "at least 1");
    /// assert_eq!(report.problems().len(), 1);
    /// ```
    pub fn add(&mut self, line: u64, field: &str, value: &str, allowed: &str) {
        let field = match self.path {
            "" => field.to_owned(),
            path => format!("{path}.{field}"),
        };
        let problem = Problem::new(line, &field, value, allowed);
        self.report.problems.get_mut().push(problem);
    }

    /// Returns the value of a required field. Reports a problem if the field is absent; a value of the
    /// wrong type has been reported before.
    ///
    /// ```
    /// let absent = hitch_settings::Field::<u32> { value: None, line: 0, absent: true };
    /// let mut report = hitch_settings::Report::default();
    /// assert_eq!(report.scope("", 0).required(&absent, "threads"), None);
    /// assert_eq!(report.problems().len(), 1);
    /// ```
    pub fn required<'f, T>(&mut self, raw: &'f Field<T>, field: &str) -> Option<&'f T> {
        if raw.absent {
            self.add(self.line, field, "nothing", "a value, it is required");
        }
        raw.value.as_ref()
    }

    /// Returns the text of a required field, or empty text.
    ///
    /// ```
    /// let raw = hitch_settings::Field { value: Some("x".into()), line: 1, absent: false };
    /// assert_eq!(&*hitch_settings::Report::default().scope("", 0).text(&raw, "name"), "x");
    /// ```
    pub fn text(&mut self, raw: &Field<Box<str>>, field: &str) -> Box<str> {
        self.required(raw, field).cloned().unwrap_or_default()
    }

    /// Checks a name: 1 to 63 characters out of `a` to `z`, `0` to `9` and `-`. Returns an invalid name as it is.
    ///
    /// ```
    /// let raw = hitch_settings::Field { value: Some("Ledger".into()), line: 1, absent: false };
    /// let mut report = hitch_settings::Report::default();
    /// report.scope("", 0).name(&raw, "name");
    /// assert_eq!(&*report.problems()[0].value, "Ledger");
    /// ```
    pub fn name(&mut self, raw: &Field<Box<str>>, field: &str) -> Box<str> {
        /// Length limit of a host name label (RFC 1035), so that a name can be used as a label.
        const MAX_CHARS: usize = 63;
        let name = self.text(raw, field);
        let is_allowed = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-';
        let ok = !name.is_empty() && name.len() <= MAX_CHARS && name.bytes().all(is_allowed);
        if raw.value.is_some() && !ok {
            let allowed = "1 to 63 characters of a to z, 0 to 9 and -";
            self.add(raw.line, field, &name, allowed);
        }
        name
    }

    /// Checks a whole number. The placeholder is the lowest allowed number.
    ///
    /// ```
    /// let raw = hitch_settings::Field { value: Some(0), line: 1, absent: false };
    /// let mut report = hitch_settings::Report::default();
    /// assert_eq!(report.scope("", 0).number(&raw, "threads", &(1..=64)), 1);
    /// assert_eq!(&*report.problems()[0].allowed, "1 to 64");
    /// ```
    pub fn number(&mut self, raw: &Field<u32>, field: &str, allowed: &RangeInclusive<u32>) -> u32 {
        let Some(value) = self.required(raw, field) else {
            return *allowed.start();
        };
        if allowed.contains(value) {
            return *value;
        }
        let range = format!("{} to {}", allowed.start(), allowed.end());
        self.add(raw.line, field, &value.to_string(), &range);
        *allowed.start()
    }

    /// Checks a duration such as `150ms` or `2s`. The placeholder is the shortest allowed duration.
    ///
    /// ```
    /// let raw = hitch_settings::Field { value: Some("2s".into()), line: 1, absent: false };
    /// let any = &hitch_settings::read::ANY_DURATION;
    /// let wait = hitch_settings::Report::default().scope("", 0).duration(&raw, "wait", any);
    /// assert_eq!(wait.as_secs(), 2);
    /// ```
    pub fn duration(
        &mut self,
        raw: &Field<Box<str>>,
        field: &str,
        allowed: &RangeInclusive<Duration>,
    ) -> Duration {
        let Some(text) = self.required(raw, field) else {
            return *allowed.start();
        };
        let value = humantime::parse_duration(text).ok();
        if let Some(value) = value.filter(|v| allowed.contains(v)) {
            return value;
        }
        let bounds = format!(
            "a duration with its unit such as 150ms or 2s, from {} to {}",
            humantime::format_duration(*allowed.start()),
            humantime::format_duration(*allowed.end())
        );
        self.add(raw.line, field, text, &bounds);
        *allowed.start()
    }

    /// Checks a whole percentage from 0 to 100 such as `30%`. The placeholder is 0.
    ///
    /// ```
    /// let raw = hitch_settings::Field { value: Some("30%".into()), line: 1, absent: false };
    /// assert_eq!(hitch_settings::Report::default().scope("", 0).percent(&raw, "share"), 30);
    /// ```
    pub fn percent(&mut self, raw: &Field<Box<str>>, field: &str) -> u8 {
        let Some(text) = self.required(raw, field) else {
            return 0;
        };
        let value = text.strip_suffix('%').and_then(parse_digits);
        if let Some(value) = value.filter(|n| *n <= 100) {
            return value as u8;
        }
        self.add(raw.line, field, text, "a percentage from 0% to 100%");
        0
    }

    /// Checks a rate per second such as `200/s`, which must not be zero. The placeholder is 1.
    ///
    /// ```
    /// let raw = hitch_settings::Field { value: Some("0/s".into()), line: 1, absent: false };
    /// let mut report = hitch_settings::Report::default();
    /// report.scope("", 0).rate(&raw, "admit");
    /// assert_eq!(&*report.problems()[0].value, "0/s");
    /// ```
    pub fn rate(&mut self, raw: &Field<Box<str>>, field: &str) -> u32 {
        let Some(text) = self.required(raw, field) else {
            return 1;
        };
        let value = text.strip_suffix("/s").and_then(parse_digits);
        if let Some(value) = value.filter(|n| *n > 0) {
            return value;
        }
        let allowed = "a rate from 1/s to 4294967295/s such as 200/s";
        self.add(raw.line, field, text, allowed);
        1
    }

    /// Checks a socket address such as `10.0.0.1:7100`.
    ///
    /// ```
    /// let raw = hitch_settings::Field { value: Some("node-1".into()), line: 1, absent: false };
    /// let mut report = hitch_settings::Report::default();
    /// assert_eq!(report.scope("", 0).address(&raw, "peer"), None);
    /// assert_eq!(report.problems().len(), 1);
    /// ```
    pub fn address(&mut self, raw: &Field<Box<str>>, field: &str) -> Option<SocketAddr> {
        let text = self.required(raw, field)?;
        if let Ok(address) = text.parse::<SocketAddr>() {
            return Some(address);
        }
        let allowed = "an IP address with a port such as 10.0.0.1:7100";
        self.add(raw.line, field, text, allowed);
        None
    }

    /// Checks an `http` URL of a host and port without a path, such as `http://10.0.0.9:7000`.
    ///
    /// ```
    /// let raw = hitch_settings::Field { value: Some("ftp://a".into()), line: 1, absent: false };
    /// let mut report = hitch_settings::Report::default();
    /// report.scope("", 0).url(&raw, "log");
    /// assert_eq!(report.problems().len(), 1);
    /// ```
    pub fn url(&mut self, raw: &Field<Box<str>>, field: &str) -> Box<str> {
        let Some(text) = self.required(raw, field) else {
            return Box::default();
        };
        let host = text.strip_prefix("http://").unwrap_or_default();
        let host = host.strip_suffix('/').unwrap_or(host);
        if is_authority(host) {
            return format!("http://{host}").into();
        }
        let allowed = "an http URL without a path such as http://10.0.0.9:7000";
        self.add(raw.line, field, text, allowed);
        Box::default()
    }
}

/// Returns whether `host` is a host name or address with an optional port, 80 by default.
fn is_authority(host: &str) -> bool {
    if host.parse::<SocketAddr>().is_ok() {
        return true;
    }
    let (name, port) = host.rsplit_once(':').unwrap_or((host, "80"));
    let is_allowed = |c: u8| c.is_ascii_alphanumeric() || c == b'-' || c == b'.';
    !name.is_empty()
        && name.bytes().all(is_allowed)
        && parse_digits(port).is_some_and(|p| p <= 65_535)
}

/// Parses a number of digits only; `str::parse` alone would accept a sign.
fn parse_digits(text: &str) -> Option<u32> {
    let only_digits = text.bytes().all(|c| c.is_ascii_digit());
    text.parse().ok().filter(|_| only_digits)
}
