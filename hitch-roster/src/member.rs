//! Entries of the membership list: the node on one instance, its state and its addresses.

use std::sync::Arc;

use slotmap::new_key_type;

new_key_type! {
    /// Identifies a member within one [`Roster`](crate::Roster).
    pub struct MemberKey;
}

/// Identity of one process lifetime of a node on its instance. Later processes have higher values;
/// no value is reused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation(pub [u8; 16]);

impl Incarnation {
    /// Returns the next higher identity, or the same one at the maximum value.
    ///
    /// ```
    /// use hitch_roster::Incarnation;
    ///
    /// assert!(Incarnation([0xff; 16]).next() == Incarnation([0xff; 16]));
    /// assert!(Incarnation([7; 16]).next() > Incarnation([7; 16]));
    /// ```
    pub fn next(self) -> Incarnation {
        let value = u128::from_be_bytes(self.0);
        Incarnation(value.saturating_add(1).to_be_bytes())
    }
}

/// State of a member, in ascending order of precedence in a merge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Running, but not ready to serve calls.
    Starting,
    /// Serves calls.
    Ready,
    /// Completes the calls in flight and accepts no new ones.
    Draining,
    /// Answered neither the direct probe nor the indirect probes.
    Suspect,
    /// Left, or did not refute the suspicion within the suspicion timeout.
    Gone,
}

/// Identity, location and addresses of a member, which are constant within one incarnation.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Contact {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Region of the instance.
    pub region: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Address and port of the listener for peers.
    pub address: Box<str>,
    /// Address and port of the listener of the admin API.
    pub admin: Box<str>,
    /// Service of the local backend server; empty when the node has none.
    pub service: Box<str>,
    /// Customer that the service belongs to.
    pub customer: Box<str>,
}

/// One entry of the membership list.
///
/// The merge rule keeps the greater of two entries of one instance. The order compares incarnation,
/// sequence and state, in this order; the contact is compared last and only makes the order total.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Process lifetime of the node that the entry describes.
    pub incarnation: Incarnation,
    /// Version of the entry within its incarnation.
    pub sequence: u64,
    /// State of the node.
    pub state: State,
    /// Name, location and addresses; shared, so that cloning a member copies no strings.
    pub contact: Arc<Contact>,
}

impl Member {
    /// Creates the first entry of an incarnation, with sequence 1.
    ///
    /// ```
    /// use hitch_roster::Contact;
    /// use hitch_roster::Incarnation;
    /// use hitch_roster::Member;
    /// use hitch_roster::State;
    ///
    /// let member = Member::starting(Incarnation([1; 16]), Contact::default());
    /// assert_eq!((member.sequence, member.state), (1, State::Starting));
    /// ```
    pub fn starting(incarnation: Incarnation, contact: impl Into<Arc<Contact>>) -> Member {
        Member {
            incarnation,
            sequence: 1,
            state: State::Starting,
            contact: contact.into(),
        }
    }
}
