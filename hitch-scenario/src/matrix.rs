//! The fault matrix: runs every fault just before every step of a base scenario.

use std::fmt::Write;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::script::Point;
use crate::script::Scenario;
use crate::simulation::Options;
use crate::simulation::Report;
use crate::simulation::run;

/// Seeds of the runs of each cell.
pub const SEEDS: [u64; 3] = [11, 12, 13];

/// The base scenario. Faults are armed at 6.9 s; `recover` repairs the fleet at 16 s.
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

/// The faults: name in the page, and action in the format of scenarios.
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

/// The steps: name in the page and in scenarios, and fault point.
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

/// Outcome of a cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellOutcome {
    /// Every invariant and expectation held with every seed.
    Passed,
    /// An invariant or an expectation did not hold: seed and message for each such run.
    Failed(Vec<(u64, Box<str>)>),
    /// With some seed the step was not reached, so the fault was not injected.
    NotReached,
    /// The fault cannot affect the step, with the reason.
    NotApplicable(&'static str),
}

/// Outcome of one fault, or of a pair of faults.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellResult {
    /// Injected faults and the steps before which they are injected, as indexes into [`FAULTS`] and [`STEPS`].
    pub injections: Vec<(usize, usize)>,
    /// Outcome of the runs with all seeds.
    pub outcome: CellOutcome,
}

/// Returns why a fault cannot affect a step, or none if it can.
///
/// ```
/// assert!(hitch_scenario::matrix::not_applicable(0, 0).is_none());
/// ```
pub fn not_applicable(fault: usize, step: usize) -> Option<&'static str> {
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

/// Lists all cells of a single fault.
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

/// Lists all pairs of faults: the first is injected before the hand-over of a call, the second before a change is
/// applied. A fault that cannot affect its step is injected before a node drains instead.
///
/// ```
/// assert_eq!(hitch_scenario::matrix::pairs().len(), 17 * 16 / 2);
/// ```
pub fn pairs() -> Vec<Vec<(usize, usize)>> {
    let drain = STEPS.len() - 1;
    let step = |fault, point| {
        let preferred = STEPS.iter().position(|s| s.1 == point).unwrap_or(drain);
        match not_applicable(fault, preferred) {
            Some(_) => drain,
            None => preferred,
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

/// Returns the base scenario with faults armed.
///
/// ```
/// let scenario = hitch_scenario::matrix::scenario(&[(0, 9)]);
/// assert!(scenario.contains("before: hand-over, do: { kill: {} }"));
/// ```
pub fn scenario(injections: &[(usize, usize)]) -> String {
    let mut text = BASE.to_owned();
    for (fault, step) in injections {
        let (script, step) = (FAULTS[*fault].1, STEPS[*step].0);
        let action = match script.contains(':') {
            true => format!("{{ {script} }}"),
            false => script.to_owned(),
        };
        let _ = writeln!(text, "  - {{ at: 6900ms, before: {step}, do: {action} }}");
    }
    text
}

/// Runs a cell with every seed.
///
/// ```no_run
/// let result = hitch_scenario::matrix::run_cell(&[(0, 9)], Default::default());
/// assert_eq!(result.outcome, hitch_scenario::matrix::CellOutcome::Passed);
/// ```
pub fn run_cell(injections: &[(usize, usize)], options: Options) -> CellResult {
    let result = |outcome| CellResult {
        injections: injections.to_vec(),
        outcome,
    };
    let mut reasons = injections.iter().map(|(f, s)| not_applicable(*f, *s));
    if let Some(reason) = reasons.find_map(|reason| reason) {
        return result(CellOutcome::NotApplicable(reason));
    }
    let text = scenario(injections);
    let mut scenario = Scenario::from_yaml(&text).expect("the scenarios of the matrix are valid");
    let mut failed_seeds = Vec::new();
    let mut triggered = true;
    for seed in SEEDS {
        scenario.seed = seed;
        let report = run(&scenario, options);
        triggered &= report.triggered == injections.len();
        if let Some(failure) = first_failure(&report) {
            failed_seeds.push((seed, failure));
        }
    }
    if !failed_seeds.is_empty() {
        return result(CellOutcome::Failed(failed_seeds));
    }
    result(if triggered {
        CellOutcome::Passed
    } else {
        CellOutcome::NotReached
    })
}

fn first_failure(report: &Report) -> Option<Box<str>> {
    if let Some(violation) = report.violations.first() {
        return Some(format!("{:?}: {}", violation.check, violation.text).into());
    }
    report.failures.first().cloned()
}

/// Runs cells in parallel, on as many threads as there are processors.
///
/// ```no_run
/// let results = hitch_scenario::matrix::run_all(&hitch_scenario::matrix::cells());
/// assert_eq!(results.len(), 17 * 14);
/// ```
pub fn run_all(cells: &[Vec<(usize, usize)>]) -> Vec<CellResult> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some(injections) = cells.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let result = run_cell(injections, Options::default());
                    results.lock().expect("no run panicked").push(result);
                }
            });
        }
    });
    let mut results = results.into_inner().expect("no run panicked");
    results.sort_by(|a, b| a.injections.cmp(&b.injections));
    results
}

/// Renders the matrix as a Markdown page.
///
/// ```
/// assert!(hitch_scenario::matrix::page(&[], &[]).starts_with("# Fault matrix"));
/// ```
pub fn page(cells: &[CellResult], pairs: &[CellResult]) -> String {
    let mut page = String::from(PAGE_HEAD);
    page.push_str("| fault |");
    for (step, _) in STEPS {
        let _ = write!(page, " {step} |");
    }
    page.push_str("\n|---|");
    page.push_str(&"---|".repeat(STEPS.len()));
    let mut notes: Vec<String> = Vec::new();
    for result in cells {
        let (fault, step) = result.injections[0];
        if step == 0 {
            let _ = write!(page, "\n| {} |", FAULTS[fault].0);
        }
        let _ = write!(page, " {} |", label(&result.outcome));
        notes.extend(failure_note(result));
    }
    page.push_str("\n\nAn entry `does not apply` has one of these reasons:\n\n");
    page.push_str(
        "- late answer, crossed answer, crash on a request: no call is under way before `route`, ",
    );
    page.push_str("and at `answer` the answer is there already.\n");
    page.push_str("- append answered late, append answer lost: the step appends nothing.\n");
    let proved = count(pairs, |c| *c == CellOutcome::Passed);
    let _ = write!(
        page,
        "\n## Pairs of faults\n\nEvery two faults together, the first before `hand-over` and the second before \
         `apply` (before `drain` where that does not apply): {} pairs, {proved} `proved`, {} `red`, by the test \
         `matrix::pairs_of_faults`, {} `not tried` because one fault kept the other from striking.\n",
        pairs.len(),
        count(pairs, |c| matches!(c, CellOutcome::Failed(_))),
        count(pairs, |c| *c == CellOutcome::NotReached),
    );
    for result in pairs {
        if result.outcome == CellOutcome::NotReached {
            let _ = write!(page, "\n- {}", names(result));
        }
        notes.extend(failure_note(result));
    }
    if !notes.is_empty() {
        page.push_str("\n## Red\n\n");
        page.push_str(&notes.join("\n"));
        page.push('\n');
    }
    page
}

const PAGE_HEAD: &str = "# Fault matrix

Generated by `cargo run -p hitch-scenario --example matrix > docs/FAULT-MATRIX.md`; the test
`matrix::page_is_current` fails when this page differs from what the code does.

Each fault strikes once, just before the step, at the node that reaches the step first (steps of an operator:
node 0), in the base scenario of `hitch-scenario/src/matrix.rs`, with seeds 11, 12 and 13. `proved` means that
all invariants of `hitch-scenario/src/check.rs` held (those on nodes after every event, those on calls after
every step) and that the fleet converged and served at the end, in the test `matrix::faults_at_steps`. `not tried` means that the step was not reached with some
seed. The scenarios run on fakes; what runs as processes is listed in `PROMISES.md`.

";

fn count(results: &[CellResult], matches: impl Fn(&CellOutcome) -> bool) -> usize {
    results.iter().filter(|r| matches(&r.outcome)).count()
}

fn label(outcome: &CellOutcome) -> &'static str {
    match outcome {
        CellOutcome::Passed => "proved",
        CellOutcome::Failed(_) => "red",
        CellOutcome::NotReached => "not tried",
        CellOutcome::NotApplicable(_) => "does not apply",
    }
}

fn names(result: &CellResult) -> String {
    let mut names = Vec::new();
    for (fault, step) in &result.injections {
        names.push(format!("{} before {}", FAULTS[*fault].0, STEPS[*step].0));
    }
    names.join(", ")
}

fn failure_note(result: &CellResult) -> Option<String> {
    let CellOutcome::Failed(failures) = &result.outcome else {
        return None;
    };
    let (seed, text) = failures.first()?;
    let count = failures.len();
    Some(format!(
        "- {}: {count} seeds, seed {seed}: {text}",
        names(result)
    ))
}
