//! Tests of the comparison of direct calls with calls through nodes; a slower backend server takes
//! the place of the node.

use hitch_load::compare;
use hitch_standin_backend::Settings;

use crate::plan;
use crate::start;

/// Guards against a comparison that misses added latency or reports it with the wrong sign.
#[tokio::test(flavor = "multi_thread")]
async fn added_latency_is_found() {
    let (_fast, fast) = start(Settings::default()).await;
    let (_slow, slow) = start(Settings {
        work_ms: 45,
        ..Settings::default()
    })
    .await;
    let compare = "compare: { steps: [1, 2], block_ms: 300, pairs: 2 }";
    let mut plan = plan(&slow.to_string(), 1, "rate: 50", compare);
    plan.direct = vec![fast];
    let outcome = compare::run(&plan).await.unwrap();
    assert_eq!(outcome.steps.len(), 2);
    assert!(outcome.slope_us_per_1000.is_some());
    for step in &outcome.steps {
        assert!(step.direct.answered > 20 && step.node.answered > 20);
        assert!(step.added_p50_us > 20_000, "{} us", step.added_p50_us);
        assert_eq!(step.pairs_added_p99_us.len(), 2);
    }
}
