//! Acceptance of one record.

use std::sync::Arc;

use hitch_contract::Contract;
use hitch_contract::read::Problem;
use snafu::Snafu;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::change::Change;
use crate::state::Accepted;
use crate::state::RECENT_CHANGES;
use crate::state::Recent;
use crate::state::State;

/// What became of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The change is accepted as this version.
    Accepted {
        /// The new version.
        version: u64,
    },
    /// The change is refused on every node.
    Refused(Refusal),
    /// The record was applied before and changes nothing.
    AlreadyApplied,
}

/// Why a change is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The record cannot be decoded.
    #[snafu(display("the record is not a change: {detail}"))]
    Malformed {
        /// What the decoder found.
        detail: Box<str>,
    },
    /// The contract in the change has problems.
    #[snafu(display("{} problems in the contract", problems.len()))]
    Invalid {
        /// Every problem found.
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
    /// Another change was accepted first.
    #[snafu(display("change {winner} was accepted first, as version {version}"))]
    Conflict {
        /// The change that won.
        winner: Uuid,
        /// Version of the customer's contract in force.
        version: u64,
    },
    /// The change amends a version of a customer that has no contract.
    #[snafu(display("the customer has no contract that could be amended"))]
    UnknownCustomer,
    /// The change was accepted before, in an earlier record.
    #[snafu(display("the change is already accepted as version {first}"))]
    Duplicate {
        /// Version that the change became.
        first: u64,
    },
    /// A service belongs to another customer.
    #[snafu(display("service {service:?} belongs to customer {owner:?}"))]
    ServiceOwned {
        /// Name of the service.
        service: Box<str>,
        /// Customer that defined it first.
        owner: Box<str>,
    },
}

/// A record that cannot be applied yet.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("record {offset} does not follow {expected}, records between them are missing"))]
pub struct Error {
    /// Offset of the record.
    pub offset: u64,
    /// Offset that would be next.
    pub expected: u64,
}

impl State {
    /// Applies the record at `offset` and returns what became of it.
    ///
    /// The verdict depends on the records before and on nothing else. A record below
    /// [`State::next_offset`] is [`Verdict::AlreadyApplied`]; one above it is an [`Error`].
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
        self.check_base(&change)?;
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

    fn check_base(&self, change: &Change) -> Result<(), Refusal> {
        match self.customers.get(&change.customer) {
            None if change.based_on == 0 => Ok(()),
            None => Err(Refusal::UnknownCustomer),
            Some(now) if now.version == change.based_on => Ok(()),
            Some(now) => Err(Refusal::Conflict {
                winner: now.change_id,
                version: now.version,
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
        self.recent.push_back(Recent {
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
