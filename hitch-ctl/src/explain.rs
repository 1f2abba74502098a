//! Selection of the log lines that belong to one request, from the logs of all nodes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Context before the first and after the last line of a request, in milliseconds. Within it, lines of the involved
/// nodes that belong to no request are shown too. It covers about the longest time between a configuration change and
/// an answer that shows its effect.
const CONTEXT_MS: i64 = 2_500;
/// Prefix of the messages from the node that received the request from the caller. The last of them holds the outcome.
const ARRIVAL_PREFIX: &str = "arrival: ";
/// Messages with [`ARRIVAL_PREFIX`] that do not hold the outcome: further lines of the request follow.
const INTERMEDIATE_ARRIVALS: [&str; 1] = ["arrival: sent once more"];
/// Fields that [`Line`] holds as fields of its own or omits, so that they are not in [`Line::fields`].
const HEADER_FIELDS: [&str; 4] = ["msg", "level", "ts", "instance"];

/// One log line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Time at which the node wrote the line, by its own clock, in RFC 3339.
    pub at: Box<str>,
    /// Instance of the node, or `?` when the line names none.
    pub instance: Box<str>,
    /// Log message.
    pub message: Box<str>,
    /// Whether the line names the request. Other lines are context from the same node.
    pub of_request: bool,
    /// Remaining structured fields of the line, by name.
    pub fields: BTreeMap<Box<str>, Value>,
}

/// The log lines of a request and their context.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The lines, in the order that [`from_lines`] describes.
    pub lines: Vec<Line>,
    /// Number of input lines that hold a `{` but cannot be parsed.
    pub unreadable: usize,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, line) in self.lines.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            let marker = if line.of_request { '>' } else { ' ' };
            write!(f, "{marker} {} {} {}", line.at, line.instance, line.message)?;
            for (name, value) in &line.fields {
                write!(f, " {name}={value}")?;
            }
        }
        Ok(())
    }
}

/// Selects the lines of the request `id` from the logs of any number of nodes.
///
/// Lines are sorted by time, and lines of one node with the same time keep their order. The outcome from the node that
/// received the request from the caller comes last whatever its time is, because the clocks of nodes may disagree.
///
/// ```
/// let log = r#"{"msg":"arrival: refused","level":"INFO","ts":"2026-01-01T00:00:00.5Z","instance":"i-1","request":"r"}"#;
/// let outcome = hitch_ctl::explain::from_lines(log.lines(), "r");
/// assert_eq!(&*outcome.lines[0].message, "arrival: refused");
/// ```
pub fn from_lines(lines: impl IntoIterator<Item = impl AsRef<str>>, id: &str) -> Outcome {
    let mut outcome = Outcome::default();
    let mut all = Vec::new();
    for line in lines {
        let line = line.as_ref();
        // The log collector may have added a prefix to the line.
        let Some(start) = line.find('{') else {
            continue;
        };
        match serde_json::from_str(&line[start..]) {
            Ok(fields) => all.extend(parse_line(fields, id)),
            Err(_) => outcome.unreadable += 1,
        }
    }
    let involved: BTreeSet<&str> = all
        .iter()
        .filter(|(_, line)| line.of_request)
        .map(|(_, line)| &*line.instance)
        .collect();
    let times = all
        .iter()
        .filter(|(_, line)| line.of_request)
        .map(|(ms, _)| *ms);
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return outcome;
    };
    let is_shown = |ms: i64, line: &Line| {
        let in_window = (first - CONTEXT_MS..=last + CONTEXT_MS).contains(&ms);
        let is_of_other_request = !line.of_request && line.fields.contains_key("request");
        line.of_request || (in_window && !is_of_other_request && involved.contains(&*line.instance))
    };
    let mut selected: Vec<(i64, Line)> = all
        .iter()
        .filter(|(ms, line)| is_shown(*ms, line))
        .cloned()
        .collect();
    // The sort is stable, so lines of one node with the same time keep their order.
    selected.sort_by_key(|(ms, _)| *ms);
    let (mut ordered, outcomes): (Vec<Line>, Vec<Line>) = selected
        .into_iter()
        .map(|(_, line)| line)
        .partition(|line| !is_outcome(line));
    ordered.extend(outcomes);
    outcome.lines = ordered;
    outcome
}

fn is_outcome(line: &Line) -> bool {
    line.of_request
        && line.message.starts_with(ARRIVAL_PREFIX)
        && !INTERMEDIATE_ARRIVALS.contains(&&*line.message)
}

fn parse_line(fields: Map<String, Value>, id: &str) -> Option<(i64, Line)> {
    let text = |name: &str| fields.get(name).and_then(Value::as_str);
    let at = text("ts")?;
    let line = Line {
        at: at.into(),
        instance: text("instance").unwrap_or("?").into(),
        message: text("msg")?.into(),
        of_request: text("request") == Some(id),
        fields: fields
            .iter()
            .filter(|(name, _)| !HEADER_FIELDS.contains(&name.as_str()))
            .map(|(name, value)| (name.as_str().into(), value.clone()))
            .collect(),
    };
    Some((parse_millis(at)?, line))
}

/// Parses a time such as `2026-01-01T00:00:00.5Z` into milliseconds since the Unix epoch.
fn parse_millis(text: &str) -> Option<i64> {
    let at = humantime::parse_rfc3339_weak(text).ok()?;
    let since_epoch = at.duration_since(std::time::UNIX_EPOCH).ok()?;
    i64::try_from(since_epoch.as_millis()).ok()
}
