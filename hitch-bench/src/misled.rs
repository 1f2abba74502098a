//! One backend server that claims to be healthy and fails every call at once.

use std::fmt;

use hitch_load::Report;
use serde::Serialize;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::Running;
use crate::error::Error;
use crate::load;

/// Idempotent calls to the service `registry`.
const LOOKUPS: &str = "- { name: lookups, customer: association, rank: lookup, method: GET, path: /credentials/3, deadline_ms: 500, rate: 300 }\n";
/// Least share of calls that must be served.
const MIN_SERVED: f64 = 0.99;
/// Length of the load, in milliseconds.
const LOAD_MS: u64 = 15_000;

/// Results of the experiment.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Seed of the load.
    pub seed: u64,
    /// Share that round robin without retries would serve.
    pub round_robin: f64,
    /// Calls that the lying backend server failed.
    pub failed_fast: u64,
    /// Report from the moment at which the backend server began to fail.
    pub report: Report,
}

impl Outcome {
    /// Returns the share of calls that were answered.
    ///
    /// ```no_run
    /// # fn show(outcome: &hitch_bench::misled::Outcome) {
    /// assert!(outcome.served() >= 0.99);
    /// # }
    /// ```
    pub fn served(&self) -> f64 {
        let offered: u64 = self.report.rows.iter().map(|row| row.offered).sum();
        let answered: u64 = self.report.rows.iter().map(|row| row.answered).sum();
        answered as f64 / offered.max(1) as f64
    }
}

/// Lets the first backend server lie and fail, and calls its service through all nodes.
///
/// ```no_run
/// # async fn run(deployment: &hitch_bench::Deployment) -> Result<(), hitch_bench::Error> {
/// let outcome = hitch_bench::misled::run(deployment, 21000, 1).await?;
/// # Ok(())
/// # }
/// ```
pub async fn run(deployment: &Deployment, port_base: u16, seed: u64) -> Result<Outcome, Error> {
    let contract = deployment.contract_with(&[])?;
    let running = Running::start(deployment, port_base, &contract).await?;
    load::wait_until_served(&running, LOOKUPS).await?;
    let liar = running.instances[0].backend;
    let lie = json!({ "fail_fast": true, "health": "ok", "load_lie": 0 });
    running.http.control(liar, &lie).await?;
    let rest = format!("duration_ms: {LOAD_MS}\nseed: {seed}\nstreams:\n{LOOKUPS}");
    let report = load::run(&load::plan(&running.callers(), &rest)?).await?;
    let counters = running.http.get(liar, "/counters").await?;
    let servers = deployment.services[0].servers;
    Ok(Outcome {
        seed,
        round_robin: 1.0 - 1.0 / f64::from(servers),
        failed_fast: counters["failed_fast"].as_u64().unwrap_or(0),
        report,
    })
}

/// The table that `hitch-bench misled` prints.
impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}\n{}", self.seed, self.report)?;
        let served = self.served();
        let verdict = if served >= MIN_SERVED {
            "met"
        } else {
            "MISSED"
        };
        writeln!(
            f,
            "served {:.2} % ({:.0} % by round robin), {} calls failed at the backend server; target (99 %): {verdict}",
            served * 100.0,
            self.round_robin * 100.0,
            self.failed_fast
        )
    }
}
