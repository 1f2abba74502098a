use std::sync::LazyLock;

use hitch_scenario::Broken;
use hitch_scenario::matrix;
use hitch_scenario::matrix::Cell;
use hitch_scenario::matrix::FAULTS;
use hitch_scenario::matrix::Row;
use hitch_scenario::matrix::STEPS;
use hitch_scenario::world::Options;

static CELLS: LazyLock<Vec<Row>> = LazyLock::new(|| matrix::prove_all(&matrix::cells()));
static PAIRS: LazyLock<Vec<Row>> = LazyLock::new(|| matrix::prove_all(&matrix::pairs()));

fn assert_none_red(rows: &[Row]) {
    for row in rows {
        let mut names = Vec::new();
        for (fault, step) in &row.strikes {
            names.push((FAULTS[*fault].0, STEPS[*step].0));
        }
        assert!(
            !matches!(row.cell, Cell::Red(_)),
            "{names:?}: {:?}",
            row.cell
        );
    }
}

/// Guards against a fault at any moment that breaks an invariant or keeps the fleet from recovering.
#[test]
fn faults_at_steps() {
    assert_eq!(CELLS.len(), FAULTS.len() * STEPS.len());
    assert_none_red(&CELLS);
}

/// The same for faults that strike together.
#[test]
fn pairs_of_faults() {
    assert_eq!(PAIRS.len(), FAULTS.len() * (FAULTS.len() - 1) / 2);
    assert_none_red(&PAIRS);
}

/// Guards against a page that claims what did not run.
#[test]
fn page_is_current() {
    let page = include_str!("../../../docs/FAULT-MATRIX.md");
    assert_eq!(page, matrix::page(&CELLS, &PAIRS));
}

/// A matrix that broken nodes pass as well would prove nothing.
#[test]
fn broken_nodes_fail_the_matrix() {
    for (broken, fault, step) in [
        (Broken::OlderSnapshot, "trim", "apply"),
        (Broken::HalfApply, "kill", "apply"),
        (Broken::LoseVersion, "herd kill and return", "apply"),
        (
            Broken::ReuseIncarnation,
            "restart with empty memory",
            "answer",
        ),
        (Broken::RefuseAfterHandOver, "crossed answer", "hand-over"),
        (Broken::AcceptCrossed, "crossed answer", "hand-over"),
    ] {
        let fault = FAULTS.iter().position(|f| f.0 == fault).expect("a fault");
        let step = STEPS.iter().position(|s| s.0 == step).expect("a step");
        let options = Options {
            broken: Some(broken),
        };
        let row = matrix::prove(&[(fault, step)], options);
        assert!(matches!(row.cell, Cell::Red(_)), "{broken:?}");
    }
}
