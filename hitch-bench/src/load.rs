//! Plans for the load generator, and their execution.

use std::net::SocketAddr;
use std::time::Duration;

use hitch_load::Engine;
use hitch_load::Plan;
use hitch_load::Report;
use hitch_load::audit;
use hitch_load::plan;

use crate::deployment::RunningDeployment;
use crate::error::Error;

/// Number of trial runs of half a second each, one of which must have every call answered.
const MAX_TRIAL_RUNS: u64 = 60;

/// Builds a plan from its targets and the YAML text of its other fields.
pub(crate) fn plan(targets: &[SocketAddr], fields: &str) -> Result<Plan, Error> {
    let mut addresses = Vec::new();
    for target in targets {
        addresses.push(format!("'{target}'"));
    }
    let text = format!("targets: [{}]\n{fields}", addresses.join(", "));
    plan::from_str("plan", &text).map_err(|err| Error::load(&err))
}

/// Runs a plan and, if it names ledgers, compares the results with them.
pub(crate) async fn run(plan: &Plan) -> Result<Report, Error> {
    let engine = Engine::to_nodes(plan);
    let recording = engine.run(plan).await.map_err(|err| Error::load(&err))?;
    let mut report = Report::new(plan, engine.targets(), &recording);
    if plan.ledgers.is_empty() {
        return Ok(report);
    }
    // Backend servers may still run calls for which the load generator no longer waits.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let ledger = audit::fetch(&plan.ledgers).await;
    let ledger = ledger.map_err(|err| Error::load(&err))?;
    report.audit = Some(audit::compare(&recording.key_outcomes, &ledger));
    Ok(report)
}

/// Waits until every call of the streams is answered, which means that the nodes know each other
/// and that idempotency keys have owners.
pub(crate) async fn wait_until_served(
    running: &RunningDeployment,
    streams: &str,
) -> Result<(), Error> {
    let fields = format!("duration_ms: 500\nstreams:\n{streams}");
    let plan = plan(&running.callers(), &fields)?;
    let mut reasons = String::new();
    for _ in 0..MAX_TRIAL_RUNS {
        let report = run(&plan).await?;
        if report.rows.iter().all(|row| row.answered == row.offered) {
            return Ok(());
        }
        reasons.clear();
        for row in &report.rows {
            reasons.push_str(&format!(", {} {:?}", row.stream, row.reasons));
        }
    }
    Err(Error::Timeout {
        what: format!("answers to all calls{reasons}").into(),
        seconds: MAX_TRIAL_RUNS / 2,
    })
}
