//! The folded state.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use hitch_contract::Contract;
use uuid::Uuid;

/// Number of recent changes whose ids are kept to answer a repeated append.
pub const RECENT_CHANGES: usize = 4096;

/// The contract of one customer that is accepted now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// Version at which the contract was accepted.
    pub version: u64,
    /// Change that brought it.
    pub change_id: Uuid,
    /// Who published it.
    pub operator: Box<str>,
    /// The contract as published.
    pub text: Box<str>,
    /// The contract as read from `text`.
    pub contract: Arc<Contract>,
}

/// A change that was accepted lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recent {
    /// Identity of the change.
    pub change_id: Uuid,
    /// Version that it became.
    pub version: u64,
}

/// Everything that follows from the records of the log up to an offset.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    pub(crate) next_offset: u64,
    pub(crate) version: u64,
    pub(crate) hash: u64,
    pub(crate) customers: BTreeMap<Box<str>, Accepted>,
    pub(crate) service_owners: BTreeMap<Box<str>, Box<str>>,
    pub(crate) recent: VecDeque<Recent>,
}

impl State {
    /// Returns the offset after the last record applied.
    ///
    /// ```
    /// assert_eq!(hitch_config::State::default().next_offset(), 0);
    /// ```
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the version: the offset of the last accepted record plus one, or 0.
    ///
    /// ```
    /// assert_eq!(hitch_config::State::default().version(), 0);
    /// ```
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns a hash of all accepted records, equal on nodes that hold the same version.
    ///
    /// ```
    /// assert_eq!(hitch_config::State::default().hash(), 0);
    /// ```
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Iterates over the accepted contracts in the order of their customers.
    ///
    /// ```
    /// assert_eq!(hitch_config::State::default().customers().count(), 0);
    /// ```
    pub fn customers(&self) -> impl Iterator<Item = (&str, &Accepted)> {
        self.customers
            .iter()
            .map(|(name, accepted)| (&**name, accepted))
    }

    /// Finds the accepted contract of a customer.
    ///
    /// ```
    /// assert!(hitch_config::State::default().try_find("association").is_none());
    /// ```
    pub fn try_find(&self, customer: &str) -> Option<&Accepted> {
        self.customers.get(customer)
    }

    /// Finds the version that a recent change became.
    ///
    /// ```
    /// assert!(hitch_config::State::default().try_find_change(uuid::Uuid::nil()).is_none());
    /// ```
    pub fn try_find_change(&self, change_id: Uuid) -> Option<u64> {
        self.recent
            .iter()
            .find(|r| r.change_id == change_id)
            .map(|r| r.version)
    }

    /// Takes over `other` when it is ahead, and returns whether it did.
    ///
    /// A state never moves back, so a peer's older snapshot leaves it as it is.
    ///
    /// ```
    /// let mut state = hitch_config::State::default();
    /// assert!(!state.adopt(hitch_config::State::default()));
    /// ```
    pub fn adopt(&mut self, other: State) -> bool {
        if other.next_offset <= self.next_offset {
            return false;
        }
        *self = other;
        true
    }
}
