//! Snapshots of the folded state.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use uuid::Uuid;

use crate::state::Accepted;
use crate::state::Recent;
use crate::state::State;

/// A snapshot that cannot be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes are not a snapshot.
    #[snafu(display("cannot decode the snapshot: {source}"))]
    Decode {
        /// What the decoder found.
        source: serde_json::Error,
    },
    /// A contract in the snapshot is not valid.
    #[snafu(display("the snapshot holds a contract that is not valid: {source}"))]
    Contract {
        /// The problems of the contract.
        source: hitch_contract::read::Error,
    },
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Image {
    next_offset: u64,
    version: u64,
    hash: u64,
    customers: Vec<ImageCustomer>,
    recent: Vec<(Uuid, u64)>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ImageCustomer {
    customer: Box<str>,
    version: u64,
    change_id: Uuid,
    operator: Box<str>,
    text: Box<str>,
}

impl State {
    /// Encodes the state.
    ///
    /// ```
    /// let state = hitch_config::State::default();
    /// assert_eq!(hitch_config::State::from_snapshot(&state.snapshot())?, state);
    /// # Ok::<(), hitch_config::snapshot::Error>(())
    /// ```
    pub fn snapshot(&self) -> Vec<u8> {
        let mut customers = Vec::new();
        for (name, accepted) in &self.customers {
            customers.push(ImageCustomer {
                customer: name.clone(),
                version: accepted.version,
                change_id: accepted.change_id,
                operator: accepted.operator.clone(),
                text: accepted.text.clone(),
            });
        }
        let image = Image {
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
        serde_json::to_vec(&image).expect("an image has no map with keys other than text")
    }

    /// Decodes a state from a snapshot.
    ///
    /// ```
    /// assert!(hitch_config::State::from_snapshot(b"{}").is_err());
    /// ```
    pub fn from_snapshot(bytes: &[u8]) -> Result<State, Error> {
        let image: Image = serde_json::from_slice(bytes).context(DecodeSnafu)?;
        let mut state = State {
            next_offset: image.next_offset,
            version: image.version,
            hash: image.hash,
            recent: VecDeque::new(),
            ..State::default()
        };
        for (change_id, version) in image.recent {
            state.recent.push_back(Recent { change_id, version });
        }
        for customer in image.customers {
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
