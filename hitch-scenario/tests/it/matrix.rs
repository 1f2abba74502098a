use std::sync::LazyLock;

use hitch_scenario::Defect;
use hitch_scenario::matrix;
use hitch_scenario::matrix::CellOutcome;
use hitch_scenario::matrix::CellResult;
use hitch_scenario::matrix::FAULTS;
use hitch_scenario::matrix::STEPS;
use hitch_scenario::simulation::Options;

static CELLS: LazyLock<Vec<CellResult>> = LazyLock::new(|| matrix::run_all(&matrix::cells()));
static PAIRS: LazyLock<Vec<CellResult>> = LazyLock::new(|| matrix::run_all(&matrix::pairs()));

fn assert_none_failed(results: &[CellResult]) {
    for result in results {
        let mut names = Vec::new();
        for (fault, step) in &result.injections {
            names.push((FAULTS[*fault].0, STEPS[*step].0));
        }
        assert!(
            !matches!(result.outcome, CellOutcome::Failed(_)),
            "{names:?}: {:?}",
            result.outcome
        );
    }
}

/// Guards against a fault at any step that violates an invariant or keeps the fleet from recovering.
#[test]
fn faults_at_steps() {
    assert_eq!(CELLS.len(), FAULTS.len() * STEPS.len());
    assert_none_failed(&CELLS);
}

/// Guards against the same for two faults in one run.
#[test]
fn pairs_of_faults() {
    assert_eq!(PAIRS.len(), FAULTS.len() * (FAULTS.len() - 1) / 2);
    assert_none_failed(&PAIRS);
}

/// Guards against a page that differs from the results of the runs.
#[test]
fn page_is_current() {
    let page = include_str!("../../../docs/FAULT-MATRIX.md");
    assert_eq!(page, matrix::page(&CELLS, &PAIRS));
}

/// Guards against a matrix that defective nodes pass as well.
#[test]
fn defective_nodes_fail_the_matrix() {
    for (defect, fault, step) in [
        (Defect::AdoptOlderSnapshot, "trim", "apply"),
        (Defect::PartialApply, "kill", "apply"),
        (Defect::SkipVersion, "herd kill and return", "apply"),
        (
            Defect::ReuseIncarnation,
            "restart with empty memory",
            "answer",
        ),
        (Defect::RefuseAfterHandOver, "crossed answer", "hand-over"),
        (Defect::AcceptCrossed, "crossed answer", "hand-over"),
    ] {
        let fault = FAULTS
            .iter()
            .position(|f| f.0 == fault)
            .expect("a known fault");
        let step = STEPS
            .iter()
            .position(|s| s.0 == step)
            .expect("a known step");
        let options = Options {
            defect: Some(defect),
        };
        let result = matrix::run_cell(&[(fault, step)], options);
        assert!(
            matches!(result.outcome, CellOutcome::Failed(_)),
            "{defect:?}"
        );
    }
}
