//! The log lines of one request from all nodes, causes before effects.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Time before the first and after the last line of a request for which the other lines of the nodes concerned are
/// shown, in milliseconds: about the longest time between a change and the answer that shows it.
const CONTEXT_MS: i64 = 2_500;
/// Start of the lines that a node writes where the request entered; the last of them tells the outcome.
const ENTRY_PREFIX: &str = "arrival: ";
/// Lines of the entry that are followed by others of the same request.
const NOT_LAST: [&str; 1] = ["arrival: sent once more"];
/// Fields that are shown apart from the others.
const SHOWN_APART: [&str; 4] = ["msg", "level", "ts", "instance"];

/// One line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Line {
    /// When the node wrote it, by its own clock.
    pub at: Box<str>,
    /// The node.
    pub instance: Box<str>,
    /// What it says.
    pub message: Box<str>,
    /// Whether the line names the request; the others tell what else happened at that node.
    pub of_request: bool,
    /// The other fields.
    pub fields: BTreeMap<Box<str>, Value>,
}

/// The lines of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The lines, causes before effects.
    pub lines: Vec<Line>,
    /// Lines of the input that could not be read.
    pub unreadable: usize,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, line) in self.lines.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            let mark = if line.of_request { '>' } else { ' ' };
            write!(f, "{mark} {} {} {}", line.at, line.instance, line.message)?;
            for (name, value) in &line.fields {
                write!(f, " {name}={value}")?;
            }
        }
        Ok(())
    }
}

/// Gathers the lines of the request `id` from the logs of any number of nodes.
///
/// Lines are ordered by their time, but the lines of one node stay in their order and the outcome at the node where the
/// request entered comes last: clocks of different nodes may disagree.
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
        // Whatever collects the logs may have put words of its own before a line.
        let Some(start) = line.find('{') else {
            continue;
        };
        match serde_json::from_str(&line[start..]) {
            Ok(fields) => all.extend(to_line(fields, id)),
            Err(_) => outcome.unreadable += 1,
        }
    }
    let concerned: BTreeSet<&str> = all
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
    let shown = |ms: i64, line: &Line| {
        let near = (first - CONTEXT_MS..=last + CONTEXT_MS).contains(&ms);
        let names_other = !line.of_request && line.fields.contains_key("request");
        line.of_request || (near && !names_other && concerned.contains(&*line.instance))
    };
    let mut kept: Vec<(i64, Line)> = all
        .iter()
        .filter(|(ms, line)| shown(*ms, line))
        .cloned()
        .collect();
    // The sort is stable, so the lines of one node with the same time stay in their order.
    kept.sort_by_key(|(ms, _)| *ms);
    let (mut before, after): (Vec<Line>, Vec<Line>) = kept
        .into_iter()
        .map(|(_, line)| line)
        .partition(|line| !is_outcome(line));
    before.extend(after);
    outcome.lines = before;
    outcome
}

fn is_outcome(line: &Line) -> bool {
    line.of_request && line.message.starts_with(ENTRY_PREFIX) && !NOT_LAST.contains(&&*line.message)
}

fn to_line(fields: Map<String, Value>, id: &str) -> Option<(i64, Line)> {
    let text = |name: &str| fields.get(name).and_then(Value::as_str);
    let at = text("ts")?;
    let line = Line {
        at: at.into(),
        instance: text("instance").unwrap_or("?").into(),
        message: text("msg")?.into(),
        of_request: text("request") == Some(id),
        fields: fields
            .iter()
            .filter(|(name, _)| !SHOWN_APART.contains(&name.as_str()))
            .map(|(name, value)| (name.as_str().into(), value.clone()))
            .collect(),
    };
    Some((millis(at)?, line))
}

/// Reads a time such as `2026-01-01T00:00:00.5Z` as milliseconds since the Unix epoch.
fn millis(text: &str) -> Option<i64> {
    let at = humantime::parse_rfc3339_weak(text).ok()?;
    let since = at.duration_since(std::time::UNIX_EPOCH).ok()?;
    i64::try_from(since.as_millis()).ok()
}
