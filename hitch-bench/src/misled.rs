//! Measures how many calls are served while one backend server reports that it is healthy but fails
//! every call immediately.

use std::fmt;

use hitch_load::Report;
use serde::Serialize;
use serde_json::json;

use crate::deployment::Deployment;
use crate::deployment::RunningDeployment;
use crate::error::Error;
use crate::load;

/// Stream of idempotent calls to the service `registry`.
const LOOKUPS: &str = "- { name: lookups, customer: association, rank: lookup, method: GET, path: /credentials/3, deadline_ms: 500, rate: 300 }\n";
/// Target for the share of calls that are served.
const MIN_SERVED: f64 = 0.99;
/// Length of the load, in milliseconds.
const LOAD_MS: u64 = 15_000;

/// Results of the experiment.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Seed of the load.
    pub seed: u64,
    /// Share of calls that round robin without retries would serve.
    pub round_robin: f64,
    /// Number of calls that the faulty backend server failed.
    pub failed_fast: u64,
    /// Report of the load, which starts after the backend server began to fail calls.
    pub report: Report,
}

impl Outcome {
    /// Returns the share of calls that were answered with status 2xx, from 0 to 1.
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

/// Runs the experiment: makes the first backend server fail its calls while it reports good health
/// and no load, and calls its service through all nodes.
///
/// ```no_run
/// # async fn run(deployment: &hitch_bench::Deployment) -> Result<(), hitch_bench::Error> {
/// let outcome = hitch_bench::misled::run(deployment, 21000, 1).await?;
/// # Ok(())
/// # }
/// ```
pub async fn run(deployment: &Deployment, port_base: u16, seed: u64) -> Result<Outcome, Error> {
    let contract = deployment.contract_with(&[])?;
    let running = RunningDeployment::start(deployment, port_base, &contract).await?;
    load::wait_until_served(&running, LOOKUPS).await?;
    let faulty_backend = running.instances[0].backend;
    let faults = json!({ "fail_fast": true, "health": "ok", "load_lie": 0 });
    running.http.control(faulty_backend, &faults).await?;
    let fields = format!("duration_ms: {LOAD_MS}\nseed: {seed}\nstreams:\n{LOOKUPS}");
    let report = load::run(&load::plan(&running.callers(), &fields)?).await?;
    let counters = running.http.get(faulty_backend, "/counters").await?;
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
