//! Amendments of a contract that are appended directly to the log, without the command-line tool.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::deployment::RunningDeployment;
use crate::error::Error;

/// Timeout for an amendment to be in force on every node.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the nodes are polled.
const POLL: Duration = Duration::from_millis(50);
/// Limit in the example contracts that each amendment replaces by a new value.
const AMENDED_LIMIT: &str = "admit: 2000/s";

/// Path of the log's stream of contract changes.
const RECORDS: &str = "/streams/config/records";

/// A series of amendments of one contract.
pub(crate) struct Changes {
    contract: String,
    /// Newest version, on which the next amendment is based.
    pub(crate) version: u64,
    /// Number of amendments appended so far.
    appended: u32,
}

/// An amendment that the log has accepted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Accepted {
    pub(crate) version: u64,
    /// Time at which the log appended the record, in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
}

impl Changes {
    /// Starts a series on the version in force; the contract must have been published.
    pub(crate) async fn new(running: &RunningDeployment, contract: &str) -> Result<Changes, Error> {
        let status = running
            .http
            .get(running.instances[0].admin, "/status")
            .await?;
        Ok(Changes {
            contract: contract.into(),
            version: json_u64(&status, "version_in_force")?,
            appended: 0,
        })
    }

    /// Appends the next amendment and returns its offset in the log.
    pub(crate) async fn append(
        &mut self,
        running: &RunningDeployment,
        customer: &str,
    ) -> Result<u64, Error> {
        self.appended += 1;
        let amended = format!("admit: {}/s", 2_000 + self.appended);
        let record = json!({
            "change_id": Uuid::now_v7().to_string(),
            "customer": customer,
            "based_on": self.version,
            "operator": "bench",
            "contract": self.contract.replace(AMENDED_LIMIT, &amended),
        });
        let answer = running.http.post(running.log, RECORDS, &record).await?;
        let offset = json_u64(&answer, "offset")?;
        self.version = offset + 1;
        Ok(offset)
    }

    /// Appends the next amendment and reads back the time at which the log appended it.
    pub(crate) async fn amend(
        &mut self,
        running: &RunningDeployment,
        customer: &str,
    ) -> Result<Accepted, Error> {
        let offset = self.append(running, customer).await?;
        let path = format!("{RECORDS}?from={offset}&max=1");
        let page = running.http.get(running.log, &path).await?;
        Ok(Accepted {
            version: self.version,
            at_ms: json_u64(&page["records"][0], "time_ms")?,
        })
    }
}

/// Waits until a version is in force on every node; returns the time from its append until then for
/// each node, in milliseconds.
///
/// No other amendment may be appended during the wait, because a node reports only the time of its
/// newest version.
pub(crate) async fn wait_in_force(
    running: &RunningDeployment,
    accepted: Accepted,
) -> Result<Vec<u64>, Error> {
    let deadline = Instant::now() + TIMEOUT;
    let mut times = Vec::new();
    let mut pending: Vec<usize> = (0..running.instances.len()).collect();
    loop {
        let mut still_pending = Vec::new();
        for index in pending {
            let admin = running.instances[index].admin;
            let status = running.http.get(admin, "/status").await?;
            if json_u64(&status, "version_in_force")? < accepted.version {
                still_pending.push(index);
                continue;
            }
            let at_ms = json_u64(&status, "in_force_at_ms")?;
            times.push(at_ms.saturating_sub(accepted.at_ms));
        }
        if still_pending.is_empty() {
            return Ok(times);
        }
        if Instant::now() > deadline {
            return Err(Error::Timeout {
                what: format!(
                    "version {} in force on {} nodes",
                    accepted.version,
                    still_pending.len()
                )
                .into(),
                seconds: TIMEOUT.as_secs(),
            });
        }
        pending = still_pending;
        tokio::time::sleep(POLL).await;
    }
}

/// Returns an unsigned integer field of a JSON object.
pub(crate) fn json_u64(value: &Value, field: &str) -> Result<u64, Error> {
    value[field].as_u64().ok_or_else(|| Error::Invalid {
        what: field.into(),
        detail: format!("not an unsigned integer in {value}").into(),
    })
}
