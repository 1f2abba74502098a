//! The fault matrix: every fault just before every step of one base scenario.

use std::fmt::Write;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::script::Point;
use crate::script::Scenario;
use crate::world::Options;
use crate::world::Report;
use crate::world::run;

/// Seeds that each cell runs with.
pub const SEEDS: [u64; 3] = [11, 12, 13];

/// The base scenario. Faults are armed at 6.9 s; whatever they broke comes back at 16 s.
pub const BASE: &str = "
nodes: { count: 6, zones: 3 }
steps:
  - { at: 0s, do: publish }
  - { at: 6s, expect: { accepted: 1 } }
  - { at: 7s, do: publish }
  - { at: 7500ms, do: { call: { id: a, via: 1 } } }
  - { at: 7600ms, do: { call: { id: b, via: 2, idempotent: true } } }
  - { at: 8s, do: publish-bad }
  - { at: 8500ms, do: { resend: { id: a, via: 3 } } }
  - { at: 10s, do: { drain: { node: 2 } } }
  - { at: 10200ms, do: { call: { id: c, via: 0 } } }
  - { at: 10200ms, do: { call: { id: d, via: 5, idempotent: true } } }
  - { at: 13s, do: { call: { id: e, via: 4 } } }
  - { at: 16s, do: recover }
  - { at: 17s, do: { resend: { id: a, via: 5 } } }
  - { at: 19s, expect: { converged: { within: 10s } } }
  - { at: 30s, do: publish }
  - { at: 30s, expect: { converged: { within: 10s } } }
  - { at: 41s, do: { call: { id: f, via: 1 } } }
  - { at: 41s, do: { call: { id: g, via: 3, idempotent: true } } }
  - { at: 42s, do: { resend: { id: c, via: 3 } } }
  - { at: 44s, expect: { outcome: { id: f, any: [answered] } } }
  - { at: 44s, expect: { outcome: { id: g, any: [answered] } } }
  - { at: 44s, expect: { runs: { id: f, count: 1 } } }
  - { at: 44s, expect: { duplicates: 0 } }
";

/// Names and scripts of the faults.
pub const FAULTS: [(&str, &str); 17] = [
    ("kill", "kill: {}"),
    ("restart with empty memory", "restart: {}"),
    ("herd kill and return", "herd: { count: 3 }"),
    ("freeze longer than a lease", "freeze: { length: 12s }"),
    ("cut", "cut: {}"),
    ("one-way cut", "cut-one-way: {}"),
    ("slow link", "slow: { by: 400ms }"),
    ("log down", "log-down"),
    ("log slow", "log-slow: { by: 2s }"),
    ("append answered late", "append-late: { by: 3s }"),
    ("append answer lost", "append-lost"),
    ("trim", "trim"),
    ("operators race", "race"),
    ("clocks apart", "clocks: { ms: 15000 }"),
    ("late answer", "late-next"),
    ("crossed answer", "cross-next"),
    ("crash on a request", "crash-next"),
];

/// Names of the steps.
pub const STEPS: [(&str, Point); 14] = [
    ("publish", Point::Publish),
    ("append", Point::Append),
    ("read", Point::Read),
    ("snapshot", Point::Snapshot),
    ("spread", Point::Spread),
    ("apply", Point::Apply),
    ("announce", Point::Announce),
    ("route", Point::Route),
    ("admit", Point::Admit),
    ("hand-over", Point::HandOver),
    ("run", Point::Run),
    ("answer", Point::Answer),
    ("resend", Point::Resend),
    ("drain", Point::Drain),
];

/// What is known of a fault at a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cell {
    /// Every invariant and expectation held with every seed.
    Proved,
    /// Something did not hold: seed and what was seen.
    Red(Vec<(u64, Box<str>)>),
    /// The step was not reached with some seed, so that the fault never struck.
    NotTried,
    /// The fault cannot touch the step.
    DoesNotApply(&'static str),
}

/// Runs of a fault, or of two together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Which faults and steps, by their numbers.
    pub strikes: Vec<(usize, usize)>,
    /// What is known.
    pub cell: Cell,
}

/// Returns why a fault cannot touch a step.
///
/// ```
/// assert!(hitch_scenario::matrix::does_not_apply(0, 0).is_none());
/// ```
pub fn does_not_apply(fault: usize, step: usize) -> Option<&'static str> {
    let point = STEPS[step].1;
    match FAULTS[fault].0 {
        "late answer" | "crossed answer" | "crash on a request" => match point {
            Point::Answer => Some("the answer is there already"),
            Point::Drain => None,
            _ if point < Point::Route => Some("no call is under way"),
            _ => None,
        },
        "append answered late" | "append answer lost" => match point {
            Point::Publish | Point::Append | Point::Snapshot | Point::Drain => None,
            _ => Some("the step appends nothing"),
        },
        _ => None,
    }
}

/// Lists all cells with one fault.
///
/// ```
/// assert_eq!(hitch_scenario::matrix::cells().len(), 17 * 14);
/// ```
pub fn cells() -> Vec<Vec<(usize, usize)>> {
    let mut cells = Vec::new();
    for fault in 0..FAULTS.len() {
        for step in 0..STEPS.len() {
            cells.push(vec![(fault, step)]);
        }
    }
    cells
}

/// Lists the pairs of faults that are run: every two of them, the first when a call is handed over and the
/// second when a change is applied, or where one of them cannot touch that step, when a node drains.
///
/// ```
/// assert_eq!(hitch_scenario::matrix::pairs().len(), 17 * 16 / 2);
/// ```
pub fn pairs() -> Vec<Vec<(usize, usize)>> {
    let drain = STEPS.len() - 1;
    let step = |fault, point| {
        let wanted = STEPS.iter().position(|s| s.1 == point).unwrap_or(drain);
        match does_not_apply(fault, wanted) {
            Some(_) => drain,
            None => wanted,
        }
    };
    let mut pairs = Vec::new();
    for first in 0..FAULTS.len() {
        for second in first + 1..FAULTS.len() {
            pairs.push(vec![
                (first, step(first, Point::HandOver)),
                (second, step(second, Point::Apply)),
            ]);
        }
    }
    pairs
}

/// Returns the scenario in which faults strike.
///
/// ```
/// let scenario = hitch_scenario::matrix::scenario(&[(0, 9)]);
/// assert!(scenario.contains("before: hand-over, do: { kill: {} }"));
/// ```
pub fn scenario(strikes: &[(usize, usize)]) -> String {
    let mut text = BASE.to_owned();
    for (fault, step) in strikes {
        let (script, step) = (FAULTS[*fault].1, STEPS[*step].0);
        let action = match script.contains(':') {
            true => format!("{{ {script} }}"),
            false => script.to_owned(),
        };
        let _ = writeln!(text, "  - {{ at: 6900ms, before: {step}, do: {action} }}");
    }
    text
}

/// Runs faults with every seed.
///
/// ```no_run
/// let row = hitch_scenario::matrix::prove(&[(0, 9)], Default::default());
/// assert_eq!(row.cell, hitch_scenario::matrix::Cell::Proved);
/// ```
pub fn prove(strikes: &[(usize, usize)], options: Options) -> Row {
    let row = |cell| Row {
        strikes: strikes.to_vec(),
        cell,
    };
    let mut reasons = strikes.iter().map(|(f, s)| does_not_apply(*f, *s));
    if let Some(reason) = reasons.find_map(|reason| reason) {
        return row(Cell::DoesNotApply(reason));
    }
    let text = scenario(strikes);
    let mut scenario = Scenario::from_yaml(&text).expect("the matrix makes scenarios");
    let mut red = Vec::new();
    let mut struck = true;
    for seed in SEEDS {
        scenario.seed = seed;
        let report = run(&scenario, options);
        struck &= report.struck == strikes.len();
        if let Some(seen) = seen(&report) {
            red.push((seed, seen));
        }
    }
    if !red.is_empty() {
        return row(Cell::Red(red));
    }
    row(if struck { Cell::Proved } else { Cell::NotTried })
}

fn seen(report: &Report) -> Option<Box<str>> {
    if let Some(violation) = report.violations.first() {
        return Some(format!("{:?}: {}", violation.check, violation.text).into());
    }
    report.failures.first().cloned()
}

/// Runs many cells, on as many threads as the machine has processors.
///
/// ```no_run
/// let rows = hitch_scenario::matrix::prove_all(&hitch_scenario::matrix::cells());
/// assert_eq!(rows.len(), 17 * 14);
/// ```
pub fn prove_all(cells: &[Vec<(usize, usize)>]) -> Vec<Row> {
    let next = AtomicUsize::new(0);
    let rows = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some(strikes) = cells.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let row = prove(strikes, Options::default());
                    rows.lock().expect("no run panicked").push(row);
                }
            });
        }
    });
    let mut rows = rows.into_inner().expect("no run panicked");
    rows.sort_by(|a, b| a.strikes.cmp(&b.strikes));
    rows
}

/// Writes the page of the matrix.
///
/// ```
/// assert!(hitch_scenario::matrix::page(&[], &[]).starts_with("# Fault matrix"));
/// ```
pub fn page(cells: &[Row], pairs: &[Row]) -> String {
    let mut page = String::from(HEAD);
    page.push_str("| fault |");
    for (step, _) in STEPS {
        let _ = write!(page, " {step} |");
    }
    page.push_str("\n|---|");
    page.push_str(&"---|".repeat(STEPS.len()));
    let mut notes: Vec<String> = Vec::new();
    for row in cells {
        let (fault, step) = row.strikes[0];
        if step == 0 {
            let _ = write!(page, "\n| {} |", FAULTS[fault].0);
        }
        let _ = write!(page, " {} |", word(&row.cell));
        notes.extend(note(row));
    }
    page.push_str("\n\nAn entry `does not apply` has one of these reasons:\n\n");
    page.push_str(
        "- late answer, crossed answer, crash on a request: no call is under way before `route`, ",
    );
    page.push_str("and at `answer` the answer is there already.\n");
    page.push_str("- append answered late, append answer lost: the step appends nothing.\n");
    let proved = count(pairs, |c| *c == Cell::Proved);
    let _ = write!(
        page,
        "\n## Pairs of faults\n\nEvery two faults together, the first before `hand-over` and the second before \
         `apply` (before `drain` where that does not apply): {} pairs, {proved} `proved`, {} `red`, by the test \
         `matrix::pairs_of_faults`, {} `not tried` because one fault kept the other from striking.\n",
        pairs.len(),
        count(pairs, |c| matches!(c, Cell::Red(_))),
        count(pairs, |c| *c == Cell::NotTried),
    );
    for row in pairs {
        if row.cell == Cell::NotTried {
            let _ = write!(page, "\n- {}", names(row));
        }
        notes.extend(note(row));
    }
    if !notes.is_empty() {
        page.push_str("\n## Red\n\n");
        page.push_str(&notes.join("\n"));
        page.push('\n');
    }
    page
}

const HEAD: &str = "# Fault matrix

Generated by `cargo run -p hitch-scenario --example matrix > docs/FAULT-MATRIX.md`; the test
`matrix::page_is_current` fails when this page differs from what the code does.

Each fault strikes once, just before the step, at the node that reaches the step first (steps of an operator:
node 0), in the base scenario of `hitch-scenario/src/matrix.rs`, with seeds 11, 12 and 13. `proved` means that
all invariants of `hitch-scenario/src/check.rs` held (those on nodes after every event, those on calls after
every step) and that the fleet converged and served at the end, in the test `matrix::faults_at_steps`. `not tried` means that the step was not reached with some
seed. The scenarios run on fakes; what runs as processes is listed in `PROMISES.md`.

";

fn count(rows: &[Row], is: impl Fn(&Cell) -> bool) -> usize {
    rows.iter().filter(|r| is(&r.cell)).count()
}

fn word(cell: &Cell) -> &'static str {
    match cell {
        Cell::Proved => "proved",
        Cell::Red(_) => "red",
        Cell::NotTried => "not tried",
        Cell::DoesNotApply(_) => "does not apply",
    }
}

fn names(row: &Row) -> String {
    let mut names = Vec::new();
    for (fault, step) in &row.strikes {
        names.push(format!("{} before {}", FAULTS[*fault].0, STEPS[*step].0));
    }
    names.join(", ")
}

fn note(row: &Row) -> Option<String> {
    let Cell::Red(seen) = &row.cell else {
        return None;
    };
    let (seed, text) = seen.first()?;
    let count = seen.len();
    Some(format!(
        "- {}: {count} seeds, seed {seed}: {text}",
        names(row)
    ))
}
