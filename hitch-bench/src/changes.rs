//! Amendments of a contract, appended to the log without the operator's command.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::deployment::Running;
use crate::error::Error;

/// Time within which an amendment must be in force on every node.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two rounds of polling.
const POLL: Duration = Duration::from_millis(50);
/// Number in the example contracts that the amendments change.
const AMENDED: &str = "admit: 2000/s";

/// Path of the stream of changes at the log.
const RECORDS: &str = "/streams/config/records";

/// A series of amendments of one contract.
pub(crate) struct Changes {
    contract: String,
    /// Newest version, which the next amendment is based on.
    pub(crate) version: u64,
    number: u32,
}

/// An accepted amendment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Accepted {
    pub(crate) version: u64,
    /// When the log took the record, in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
}

impl Changes {
    /// Starts a series after the contract was published.
    pub(crate) async fn of(running: &Running, contract: &str) -> Result<Changes, Error> {
        let status = running
            .http
            .get(running.instances[0].admin, "/status")
            .await?;
        Ok(Changes {
            contract: contract.into(),
            version: number(&status, "version_in_force")?,
            number: 0,
        })
    }

    /// Appends the next amendment and returns its offset.
    pub(crate) async fn append(&mut self, running: &Running, customer: &str) -> Result<u64, Error> {
        self.number += 1;
        let amended = format!("admit: {}/s", 2_000 + self.number);
        let record = json!({
            "change_id": Uuid::now_v7().to_string(),
            "customer": customer,
            "based_on": self.version,
            "operator": "bench",
            "contract": self.contract.replace(AMENDED, &amended),
        });
        let answer = running.http.post(running.log, RECORDS, &record).await?;
        let offset = number(&answer, "offset")?;
        self.version = offset + 1;
        Ok(offset)
    }

    /// Appends the next amendment and reads back when the log took it.
    pub(crate) async fn amend(
        &mut self,
        running: &Running,
        customer: &str,
    ) -> Result<Accepted, Error> {
        let offset = self.append(running, customer).await?;
        let path = format!("{RECORDS}?from={offset}&max=1");
        let page = running.http.get(running.log, &path).await?;
        Ok(Accepted {
            version: self.version,
            at_ms: number(&page["records"][0], "time_ms")?,
        })
    }
}

/// Waits until a version is in force on every node; returns the time from its append on each.
///
/// Nothing else may be accepted meanwhile, because a node reports the time of its newest version.
pub(crate) async fn in_force(running: &Running, accepted: Accepted) -> Result<Vec<u64>, Error> {
    let until = Instant::now() + TIMEOUT;
    let mut times = Vec::new();
    let mut behind: Vec<usize> = (0..running.instances.len()).collect();
    loop {
        let mut still = Vec::new();
        for node in behind {
            let admin = running.instances[node].admin;
            let status = running.http.get(admin, "/status").await?;
            if number(&status, "version_in_force")? < accepted.version {
                still.push(node);
                continue;
            }
            let at_ms = number(&status, "in_force_at_ms")?;
            times.push(at_ms.saturating_sub(accepted.at_ms));
        }
        if still.is_empty() {
            return Ok(times);
        }
        if Instant::now() > until {
            return Err(Error::Timeout {
                what: format!("version {} on {} nodes", accepted.version, still.len()).into(),
                seconds: TIMEOUT.as_secs(),
            });
        }
        behind = still;
        tokio::time::sleep(POLL).await;
    }
}

/// Returns a number of a JSON object.
pub(crate) fn number(value: &Value, field: &str) -> Result<u64, Error> {
    value[field].as_u64().ok_or_else(|| Error::Content {
        file: field.into(),
        detail: format!("no number in {value}").into(),
    })
}
