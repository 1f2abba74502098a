use hitch_scenario::Check;
use hitch_scenario::Defect;
use hitch_scenario::simulation::Options;

use crate::SEEDS;
use crate::run_seed;

/// Runs a scenario on correct nodes, which must violate nothing, and on defective nodes, which must violate `check`.
fn assert_caught(defect: Defect, check: Check, steps: &str) {
    let text = format!(
        "
nodes: {{ count: 6, zones: 3 }}
steps:
  - {{ at: 0s, do: publish }}
{}",
        steps.trim_start_matches('\n')
    );
    for seed in SEEDS {
        let correct = run_seed(&text, seed, Options::default());
        assert_eq!(correct.violations, [], "seed {seed}");
        let options = Options {
            defect: Some(defect),
        };
        let found = run_seed(&text, seed, options).violations;
        assert!(
            found.iter().any(|v| v.check == check),
            "seed {seed}: {found:?}"
        );
    }
}

/// Guards against a version check that misses a node that goes back to an older version.
#[test]
fn adoption_of_an_older_snapshot_is_caught() {
    assert_caught(
        Defect::AdoptOlderSnapshot,
        Check::VersionRegressed,
        "  - { at: 6s, do: publish }\n  - { at: 9s, do: publish }\n  - { at: 12s, do: publish }\n",
    );
}

/// Guards against a version check that misses an instance that restarts with an older version, although it could have
/// learned the newer one from a peer.
#[test]
fn start_before_the_newest_version_is_known_is_caught() {
    assert_caught(
        Defect::ServeEarly,
        Check::VersionRegressed,
        "
  - { at: 6s, do: { cut: { node: 2 } } }
  - { at: 7s, do: publish }
  - { at: 10s, do: { kill: { node: 0 } } }
  - { at: 12s, do: recover }
  - { at: 12s, do: log-down }
  - { at: 12s, do: { slow: { node: 1, by: 900ms } } }
  - { at: 12s, do: { slow: { node: 3, by: 900ms } } }
  - { at: 12s, do: { slow: { node: 4, by: 900ms } } }
  - { at: 12s, do: { slow: { node: 5, by: 900ms } } }
  - { at: 30s, do: log-up }
",
    );
}

/// Guards against a route check that misses a route to a service without backend servers.
#[test]
fn route_to_a_missing_service_is_caught() {
    assert_caught(
        Defect::RouteToMissing,
        Check::RouteToMissing,
        "
  - { at: 6s, do: { kill: { node: 1 } } }
  - { at: 6s, do: { kill: { node: 3 } } }
  - { at: 6s, do: { kill: { node: 5 } } }
  - { at: 30s, do: publish }
  - { at: 33s, do: publish }
",
    );
}

/// Guards against a content check that misses a contract that is in force only in part.
#[test]
fn partially_applied_change_is_caught() {
    let steps = "  - { at: 6s, do: publish }\n  - { at: 9s, do: publish }\n";
    assert_caught(Defect::PartialApply, Check::ContentDiffers, steps);
}

/// Guards against a version check that misses an accepted version lost by a node.
#[test]
fn lost_version_is_caught() {
    let steps = "  - { at: 6s, do: publish }\n  - { at: 9s, do: publish }\n";
    assert_caught(Defect::SkipVersion, Check::VersionLost, steps);
}

/// Guards against a duplicate check that misses a second run, caused by an incarnation that is used twice.
#[test]
fn reused_incarnation_is_caught() {
    assert_caught(
        Defect::ReuseIncarnation,
        Check::RanTwice,
        "
  - { at: 7s, do: { call: { id: a, via: 1 } } }
  - { at: 9s, do: { restart: { node: 0 } } }
  - { at: 9s, do: { restart: { node: 2 } } }
  - { at: 9s, do: { restart: { node: 4 } } }
  - { at: 14s, do: { resend: { id: a, via: 1 } } }
  - { at: 17s, do: { resend: { id: a, via: 3 } } }
",
    );
}

/// Guards against a refusal check that misses a call that ran and was refused as not run.
#[test]
fn refusal_after_the_hand_over_is_caught() {
    assert_caught(
        Defect::RefuseAfterHandOver,
        Check::FalseNotRun,
        "  - { at: 7s, do: cross-next }\n  - { at: 7s, do: { call: { id: a, via: 1 } } }\n",
    );
}

/// Guards against a drain check that misses a call that reaches a draining node.
#[test]
fn route_to_a_draining_node_is_caught() {
    assert_caught(
        Defect::RouteToDraining,
        Check::WorkAfterDrain,
        "
  - { at: 8s, do: { drain: { node: 1 } } }
  - { at: 8s, do: { call: { id: x, via: 1, idempotent: true } } }
  - { at: 9500ms, do: { call: { id: y, via: 1, idempotent: true } } }
  - { at: 11190ms, do: { call: { id: a, via: 2, idempotent: true } } }
  - { at: 11100ms, do: { call: { id: b, via: 2, idempotent: true } } }
  - { at: 11050ms, do: { call: { id: c, via: 2, idempotent: true } } }
  - { at: 12s, do: { call: { id: d, via: 2, idempotent: true } } }
",
    );
}

/// Guards against a stop check that misses a call aborted by a planned stop.
#[test]
fn stop_without_waiting_for_calls_is_caught() {
    assert_caught(
        Defect::StopAtOnce,
        Check::AbortedByStop,
        "
  - { at: 7s, do: late-next }
  - { at: 7s, do: { call: { id: a, via: 1, idempotent: true } } }
  - { at: 7300ms, do: { drain: { node: 1 } } }
",
    );
}

/// Guards against an answer check that misses the answer to another call.
#[test]
fn crossed_answer_that_is_passed_on_is_caught() {
    assert_caught(
        Defect::AcceptCrossed,
        Check::WrongAnswer,
        "  - { at: 7s, do: cross-next }\n  - { at: 7s, do: { call: { id: a, via: 1 } } }\n",
    );
}

/// Guards against a refusal check that misses a call whose retry was refused after an earlier attempt had run.
#[test]
fn refusal_that_forgets_an_earlier_attempt_is_caught() {
    assert_caught(
        Defect::ForgetUnknown,
        Check::FalseNotRun,
        "
  - { at: 6s, do: { kill: { node: 3 } } }
  - { at: 6s, do: { kill: { node: 5 } } }
  - { at: 20s, before: answer, do: { drain: { node: 1 } } }
  - { at: 20s, do: cross-next }
  - { at: 20s, do: { call: { id: a, via: 0, idempotent: true } } }
",
    );
}
