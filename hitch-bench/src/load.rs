//! Plans for the load tool.

use std::net::SocketAddr;
use std::time::Duration;

use hitch_load::Engine;
use hitch_load::Plan;
use hitch_load::Report;
use hitch_load::audit;
use hitch_load::plan;

use crate::deployment::Running;
use crate::error::Error;

/// Half seconds in which a deployment must begin to answer every call.
const MAX_PROBES: u64 = 60;

/// Makes a plan from targets and the text of its other fields.
pub(crate) fn plan(targets: &[SocketAddr], rest: &str) -> Result<Plan, Error> {
    let mut addresses = Vec::new();
    for target in targets {
        addresses.push(format!("'{target}'"));
    }
    let text = format!("targets: [{}]\n{rest}", addresses.join(", "));
    plan::from_str("plan", &text).map_err(|err| Error::load(&err))
}

/// Runs a plan and compares it with the ledgers that it names.
pub(crate) async fn run(plan: &Plan) -> Result<Report, Error> {
    let engine = Engine::to_nodes(plan);
    let recording = engine.run(plan).await.map_err(|err| Error::load(&err))?;
    let mut report = Report::new(plan, engine.targets(), &recording);
    if plan.ledgers.is_empty() {
        return Ok(report);
    }
    // Calls abandoned by their callers may still be at a backend server.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let ledger = audit::fetch(&plan.ledgers).await;
    let ledger = ledger.map_err(|err| Error::load(&err))?;
    report.audit = Some(audit::compare(&recording.key_outcomes, &ledger));
    Ok(report)
}

/// Waits until every call of the streams is answered: keys have owners and the nodes know each other.
pub(crate) async fn wait_until_served(running: &Running, streams: &str) -> Result<(), Error> {
    let rest = format!("duration_ms: 500\nstreams:\n{streams}");
    let plan = plan(&running.callers(), &rest)?;
    let mut reasons = String::new();
    for _ in 0..MAX_PROBES {
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
        seconds: MAX_PROBES / 2,
    })
}
