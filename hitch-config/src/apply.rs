//! Validation and application of one record of the log.

use std::sync::Arc;

use hitch_contract::Contract;
use hitch_contract::read::Problem;
use snafu::Snafu;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::change::Change;
use crate::state::Accepted;
use crate::state::RECENT_CHANGES;
use crate::state::RecentChange;
use crate::state::State;

/// Result of applying a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The change is accepted and becomes a new version.
    Accepted {
        /// The new version of the configuration.
        version: u64,
    },
    /// The change is refused, on every node for the same reason.
    Refused(Refusal),
    /// The record was applied before; the state is unchanged.
    AlreadyApplied,
}

/// Reason for which a change is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The record cannot be decoded.
    #[snafu(display("the record is not a change: {detail}"))]
    Malformed {
        /// Message of the decoder.
        detail: Box<str>,
    },
    /// The contract in the change is invalid.
    #[snafu(display("{} problems in the contract", problems.len()))]
    Invalid {
        /// All problems found in the contract.
        problems: Vec<Problem>,
    },
    /// The contract names another customer than the change.
    #[snafu(display("the change is for {customer:?}, its contract for {contract:?}"))]
    CustomerMismatch {
        /// Customer of the change.
        customer: Box<str>,
        /// Customer of the contract.
        contract: Box<str>,
    },
    /// Another change of the customer was accepted first.
    #[snafu(display("change {winner} was accepted first, as version {version}"))]
    Conflict {
        /// Id of the change that was accepted.
        winner: Uuid,
        /// Version at which it was accepted.
        version: u64,
    },
    /// The change amends a version of a customer that has no contract.
    #[snafu(display("the customer has no contract that could be amended"))]
    UnknownCustomer,
    /// The change was accepted before, in an earlier record.
    #[snafu(display("the change is already accepted as version {first}"))]
    Duplicate {
        /// Version at which the change was accepted.
        first: u64,
    },
    /// A service of the contract belongs to another customer.
    #[snafu(display("service {service:?} belongs to customer {owner:?}"))]
    ServiceOwned {
        /// Name of the service.
        service: Box<str>,
        /// Customer that defined it first.
        owner: Box<str>,
    },
}

/// A record that cannot be applied yet, as earlier records are missing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("cannot apply record {offset}: the records from {expected} on are missing"))]
pub struct Error {
    /// Offset of the record.
    pub offset: u64,
    /// Offset of the next record to apply.
    pub expected: u64,
}

impl State {
    /// Applies the record at `offset` and returns the verdict on it.
    ///
    /// The verdict depends only on this record and the records before it. A record below
    /// [`State::next_offset`] is [`Verdict::AlreadyApplied`].
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when `offset` is above [`State::next_offset`].
    ///
    /// ```
    /// let mut state = hitch_config::State::default();
    /// assert!(state.apply(3, b"").is_err());
    /// ```
    pub fn apply(&mut self, offset: u64, data: &[u8]) -> Result<Verdict, Error> {
        if offset < self.next_offset {
            return Ok(Verdict::AlreadyApplied);
        }
        if offset > self.next_offset {
            return Err(Error {
                offset,
                expected: self.next_offset,
            });
        }
        self.next_offset = offset + 1;
        let (change, contract) = match self.check(data) {
            Ok(checked) => checked,
            Err(refusal) => return Ok(Verdict::Refused(refusal)),
        };
        self.accept(offset, data, change, contract);
        Ok(Verdict::Accepted {
            version: self.version,
        })
    }

    fn check(&self, data: &[u8]) -> Result<(Change, Contract), Refusal> {
        let change = Change::from_bytes(data).map_err(|err| Refusal::Malformed {
            detail: err.to_string().into(),
        })?;
        if let Some(first) = self.try_find_change(change.change_id) {
            return Err(Refusal::Duplicate { first });
        }
        self.check_based_on(&change)?;
        let contract = hitch_contract::from_bytes(&change.customer, change.contract.as_bytes())
            .map_err(|err| Refusal::Invalid {
                problems: err.problems,
            })?;
        if contract.customer != change.customer {
            return Err(Refusal::CustomerMismatch {
                customer: change.customer,
                contract: contract.customer,
            });
        }
        for service in &contract.services {
            let Some(owner) = self.service_owners.get(&service.name) else {
                continue;
            };
            if *owner == contract.customer {
                continue;
            }
            return Err(Refusal::ServiceOwned {
                service: service.name.clone(),
                owner: owner.clone(),
            });
        }
        Ok((change, contract))
    }

    fn check_based_on(&self, change: &Change) -> Result<(), Refusal> {
        match self.customers.get(&change.customer) {
            None if change.based_on == 0 => Ok(()),
            None => Err(Refusal::UnknownCustomer),
            Some(current) if current.version == change.based_on => Ok(()),
            Some(current) => Err(Refusal::Conflict {
                winner: current.change_id,
                version: current.version,
            }),
        }
    }

    fn accept(&mut self, offset: u64, data: &[u8], change: Change, contract: Contract) {
        self.version = offset + 1;
        self.hash = xxh3_64_with_seed(data, self.hash ^ self.version);
        self.service_owners
            .retain(|_, owner| *owner != contract.customer);
        for service in &contract.services {
            self.service_owners
                .insert(service.name.clone(), contract.customer.clone());
        }
        if self.recent.len() == RECENT_CHANGES {
            self.recent.pop_front();
        }
        self.recent.push_back(RecentChange {
            change_id: change.change_id,
            version: self.version,
        });
        let accepted = Accepted {
            version: self.version,
            change_id: change.change_id,
            operator: change.operator,
            text: change.contract,
            contract: Arc::new(contract),
        };
        self.customers.insert(change.customer, accepted);
    }
}
