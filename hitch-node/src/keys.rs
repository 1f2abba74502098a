//! Idempotency keys of this node's service: their owners, and the answers stored under them.

use std::collections::BTreeMap;

use hitch_once::Holder;
use hitch_once::Incarnation;
use hitch_once::Key;
use hitch_once::KeyTable;
use hitch_once::OwnershipMap;
use hitch_proto::peer::CallReply;
use tokio::sync::watch;

/// State of the idempotency keys of this node's service.
#[derive(Debug)]
pub struct KeyState {
    /// Owners of the keys, according to the ownership records applied so far.
    pub ownership: OwnershipMap,
    /// Keys that this incarnation accepted, with their answers.
    pub table: KeyTable<CallReply>,
    /// Calls in flight, which later calls with the same key join.
    pub(crate) running: BTreeMap<Key, watch::Receiver<Option<CallReply>>>,
}

impl KeyState {
    /// Creates the state of a new incarnation, which has accepted no keys.
    ///
    /// ```
    /// let keys = hitch_node::keys::KeyState::new("i-1", [1; 16]);
    /// assert!(keys.table.is_empty());
    /// ```
    pub fn new(instance: &str, incarnation: [u8; 16]) -> KeyState {
        let holder = Holder {
            instance: instance.into(),
            incarnation: Incarnation(incarnation),
        };
        let table = KeyTable::new(holder, Default::default());
        KeyState {
            ownership: OwnershipMap::new(0),
            table,
            running: BTreeMap::new(),
        }
    }
}
