//! The configuration state, computed from the records of the log.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use hitch_contract::Contract;
use uuid::Uuid;

/// Number of recent changes whose ids are kept to recognize a retried append.
pub const RECENT_CHANGES: usize = 4096;

/// The currently accepted contract of one customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// Version at which the contract was accepted.
    pub version: u64,
    /// Id of the change that contained it.
    pub change_id: Uuid,
    /// Name of the operator who published it.
    pub operator: Box<str>,
    /// The contract as published, in YAML.
    pub text: Box<str>,
    /// The contract as parsed from `text`.
    pub contract: Arc<Contract>,
}

/// A recently accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecentChange {
    /// Id of the change.
    pub change_id: Uuid,
    /// Version at which it was accepted.
    pub version: u64,
}

/// The state that results from the records of the log below an offset.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    pub(crate) next_offset: u64,
    pub(crate) version: u64,
    pub(crate) hash: u64,
    pub(crate) customers: BTreeMap<Box<str>, Accepted>,
    pub(crate) service_owners: BTreeMap<Box<str>, Box<str>>,
    pub(crate) recent: VecDeque<RecentChange>,
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

    /// Finds the version at which a recent change was accepted; the last [`RECENT_CHANGES`]
    /// accepted changes are kept.
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

    /// Replaces this state by `other` if that has applied more records, and returns whether it did.
    ///
    /// A state never moves back to an earlier offset, so an older snapshot from a peer has no
    /// effect.
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
