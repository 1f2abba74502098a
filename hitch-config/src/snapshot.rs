//! Snapshots of the configuration state.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use uuid::Uuid;

use crate::state::Accepted;
use crate::state::RecentChange;
use crate::state::State;

/// A snapshot that cannot be decoded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes are not the JSON text of a snapshot.
    #[snafu(display("cannot decode the snapshot: {source}"))]
    Decode {
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// A contract in the snapshot is invalid.
    #[snafu(display("the snapshot contains an invalid contract: {source}"))]
    Contract {
        /// The problems of the contract.
        source: hitch_contract::read::Error,
    },
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SnapshotData {
    next_offset: u64,
    version: u64,
    hash: u64,
    customers: Vec<SnapshotCustomer>,
    recent: Vec<(Uuid, u64)>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SnapshotCustomer {
    customer: Box<str>,
    version: u64,
    change_id: Uuid,
    operator: Box<str>,
    text: Box<str>,
}

impl State {
    /// Encodes the state as a snapshot.
    ///
    /// ```
    /// let state = hitch_config::State::default();
    /// assert_eq!(hitch_config::State::from_snapshot(&state.snapshot())?, state);
    /// # Ok::<(), hitch_config::snapshot::Error>(())
    /// ```
    pub fn snapshot(&self) -> Vec<u8> {
        let mut customers = Vec::new();
        for (name, accepted) in &self.customers {
            customers.push(SnapshotCustomer {
                customer: name.clone(),
                version: accepted.version,
                change_id: accepted.change_id,
                operator: accepted.operator.clone(),
                text: accepted.text.clone(),
            });
        }
        let snapshot = SnapshotData {
            next_offset: self.next_offset,
            version: self.version,
            hash: self.hash,
            customers,
            recent: self
                .recent
                .iter()
                .map(|r| (r.change_id, r.version))
                .collect(),
        };
        serde_json::to_vec(&snapshot).expect("a snapshot has no map with keys other than strings")
    }

    /// Decodes a state from a snapshot.
    ///
    /// ```
    /// assert!(hitch_config::State::from_snapshot(b"{}").is_err());
    /// ```
    pub fn from_snapshot(bytes: &[u8]) -> Result<State, Error> {
        let snapshot: SnapshotData = serde_json::from_slice(bytes).context(DecodeSnafu)?;
        let mut state = State {
            next_offset: snapshot.next_offset,
            version: snapshot.version,
            hash: snapshot.hash,
            recent: VecDeque::new(),
            ..State::default()
        };
        for (change_id, version) in snapshot.recent {
            state.recent.push_back(RecentChange { change_id, version });
        }
        for customer in snapshot.customers {
            let contract = hitch_contract::from_bytes(&customer.customer, customer.text.as_bytes())
                .context(ContractSnafu)?;
            for service in &contract.services {
                state
                    .service_owners
                    .insert(service.name.clone(), customer.customer.clone());
            }
            let accepted = Accepted {
                version: customer.version,
                change_id: customer.change_id,
                operator: customer.operator,
                text: customer.text,
                contract: Arc::new(contract),
            };
            state.customers.insert(customer.customer, accepted);
        }
        Ok(state)
    }
}
