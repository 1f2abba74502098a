use hitch_scenario::Scenario;
use hitch_scenario::world::run;

/// A run that depends on anything but its seed could not be repeated to find a fault.
#[test]
fn same_seed_is_the_same_run() {
    let text = "
nodes: { count: 6, zones: 3 }
steps:
  - { at: 0s, do: publish }
  - { at: 6s, do: { call: { id: a, via: 0 } } }
  - { at: 7s, do: { herd: { count: 3 } } }
  - { at: 12s, do: { call: { id: b, via: 1 } } }
";
    let mut scenario = Scenario::from_yaml(text).expect("a scenario");
    let runs = [4, 4, 5].map(|seed| {
        scenario.seed = seed;
        run(&scenario, Default::default())
    });
    assert_eq!(runs[0], runs[1]);
    assert_ne!(runs[0].trace, runs[2].trace);
}

/// A misspelt step that is passed over would prove nothing.
#[test]
fn unknown_words_are_refused() {
    for text in [
        "nodes: { count: 2, zones: 1 }\nsteps: [{ at: 1s, do: publsh }]",
        "nodes: { count: 2, zones: 1 }\nsteps: [{ at: 1s, dо: publish }]",
        "nodes: { count: 2, zones: 1 }\nsteps: [{ at: soon, do: publish }]",
        "nodes: { count: 2, zones: 1 }\nsteps: [{ at: 1s, do: { kill: { nod: 1 } } }]",
    ] {
        assert!(Scenario::from_yaml(text).is_err(), "{text}");
    }
}

/// An expectation that cannot fail would prove nothing.
#[test]
fn wrong_expectations_are_reported() {
    for expect in [
        "{ accepted: 2 }",
        "{ runs: { id: a, count: 2 } }",
        "{ runs: { id: b, count: 0 } }",
        "{ outcome: { id: a, any: [unknown] } }",
        "{ duplicates: 1 }",
        "{ no-work-at: { node: 0, since: 1s } }",
    ] {
        let text = format!(
            "
nodes: {{ count: 1, zones: 1 }}
steps:
  - {{ at: 0s, do: publish }}
  - {{ at: 6s, do: {{ call: {{ id: a, via: 0 }} }} }}
  - {{ at: 9s, expect: {expect} }}
"
        );
        let scenario = Scenario::from_yaml(&text).expect("a scenario");
        let report = run(&scenario, Default::default());
        assert_eq!(report.failures.len(), 1, "{expect}");
    }
}

/// Convergence must be seen to fail on a fleet whose readers are cut from the log.
#[test]
fn missing_convergence_is_reported() {
    let text = "
nodes: { count: 4, zones: 2 }
steps:
  - { at: 0s, do: publish }
  - { at: 6s, do: { log-slow: { by: 30s } } }
  - { at: 7s, do: publish }
  - { at: 7s, expect: { converged: { within: 5s } } }
";
    let scenario = Scenario::from_yaml(text).expect("a scenario");
    let report = run(&scenario, Default::default());
    assert_eq!(report.failures.len(), 1);
}
