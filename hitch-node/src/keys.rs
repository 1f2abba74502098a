//! Keys of the service beside this node: who owns them, and the answers under them.

use std::collections::BTreeMap;

use hitch_once::Holder;
use hitch_once::Incarnation;
use hitch_once::Key;
use hitch_once::KeyTable;
use hitch_once::OwnershipMap;
use hitch_proto::peer::CallReply;
use tokio::sync::watch;

/// Keys of the service beside this node.
#[derive(Debug)]
pub struct Section {
    /// Who owns which keys, as far as the log was read.
    pub map: OwnershipMap,
    /// Keys and answers of this incarnation.
    pub table: KeyTable<CallReply>,
    /// Calls that run now, for others with the same key to join.
    pub(crate) running: BTreeMap<Key, watch::Receiver<Option<CallReply>>>,
}

impl Section {
    /// Makes the section of a new incarnation.
    ///
    /// ```
    /// let section = hitch_node::keys::Section::new("i-1", [1; 16]);
    /// assert!(section.table.is_empty());
    /// ```
    pub fn new(instance: &str, incarnation: [u8; 16]) -> Section {
        let me = Holder {
            instance: instance.into(),
            incarnation: Incarnation(incarnation),
        };
        let table = KeyTable::new(me, Default::default());
        Section {
            map: OwnershipMap::new(0),
            table,
            running: BTreeMap::new(),
        }
    }
}
