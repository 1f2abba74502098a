//! What is known of one instance.

use std::sync::Arc;

use slotmap::new_key_type;

new_key_type! {
    /// Identifies a member within one [`Roster`](crate::Roster).
    pub struct MemberKey;
}

/// Identity of one run of a node on its instance, ordered by time and never reused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation(pub [u8; 16]);

impl Incarnation {
    /// Returns the lowest identity above this one.
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

/// State of a member, from best to worst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Runs, but is not ready to serve.
    Starting,
    /// Serves.
    Ready,
    /// Finishes its work and takes no more.
    Draining,
    /// Did not answer a direct and an indirect probe.
    Suspect,
    /// Did not refute the suspicion in time, or left.
    Gone,
}

/// The part of a member that one incarnation never changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Contact {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Region of the instance.
    pub region: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// Address and port of the peer listener.
    pub address: Box<str>,
    /// Address and port of the admin listener.
    pub admin: Box<str>,
    /// Service of the backend server beside the node, empty for none.
    pub service: Box<str>,
    /// Customer that the service belongs to.
    pub customer: Box<str>,
}

/// One entry of the roster.
///
/// The order of two entries of one instance is the merge rule: the greater one is kept. It compares
/// incarnation, sequence and state; the contact only makes the order total.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Which run of the node this is.
    pub incarnation: Incarnation,
    /// Orders the states that one incarnation announces.
    pub sequence: u64,
    /// State of the member.
    pub state: State,
    /// Name, place and addresses; shared, so that a copy of a member costs no text.
    pub contact: Arc<Contact>,
}

impl Member {
    /// Makes the first entry of an incarnation.
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
