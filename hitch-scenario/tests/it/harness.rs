use hitch_scenario::Scenario;
use hitch_scenario::simulation::run;

/// Guards against runs that depend on anything but the seed, which could not be reproduced.
#[test]
fn same_seed_gives_the_same_run() {
    let text = "
nodes: { count: 6, zones: 3 }
steps:
  - { at: 0s, do: publish }
  - { at: 6s, do: { call: { id: a, via: 0 } } }
  - { at: 7s, do: { herd: { count: 3 } } }
  - { at: 12s, do: { call: { id: b, via: 1 } } }
";
    let mut scenario = Scenario::from_yaml(text).expect("a valid scenario");
    let runs = [4, 4, 5].map(|seed| {
        scenario.seed = seed;
        run(&scenario, Default::default())
    });
    assert_eq!(runs[0], runs[1]);
    assert_ne!(runs[0].trace, runs[2].trace);
}

/// Guards against a misspelt step that is skipped silently.
#[test]
fn unknown_keys_and_values_are_rejected() {
    for text in [
        "nodes: { count: 2, zones: 1 }\nsteps: [{ at: 1s, do: publsh }]",
        "nodes: { count: 2, zones: 1 }\nsteps: [{ at: 1s, dо: publish }]",
        "nodes: { count: 2, zones: 1 }\nsteps: [{ at: soon, do: publish }]",
        "nodes: { count: 2, zones: 1 }\nsteps: [{ at: 1s, do: { kill: { nod: 1 } } }]",
    ] {
        assert!(Scenario::from_yaml(text).is_err(), "{text}");
    }
}

/// Guards against expectations that can never fail.
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
        let scenario = Scenario::from_yaml(&text).expect("a valid scenario");
        let report = run(&scenario, Default::default());
        assert_eq!(report.failures.len(), 1, "{expect}");
    }
}

/// Guards against a convergence check that passes while the readers cannot read the log in time.
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
    let scenario = Scenario::from_yaml(text).expect("a valid scenario");
    let report = run(&scenario, Default::default());
    assert_eq!(report.failures.len(), 1);
}
