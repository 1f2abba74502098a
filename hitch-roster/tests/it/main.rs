//! Integration tests of the membership list.
mod detect;
mod digest;
mod merge;
mod pick;

use std::time::Duration;

use hitch_roster::Contact;
use hitch_roster::Incarnation;
use hitch_roster::Member;
use hitch_roster::Options;
use hitch_roster::Roster;
use hitch_roster::State;

/// Creates the first entry of a member in an availability zone.
pub fn member(instance: &str, zone: &str) -> Member {
    let contact = Contact {
        instance: instance.into(),
        zone: zone.into(),
        address: format!("{instance}:70").into(),
        ..Contact::default()
    };
    Member::starting(Incarnation([1; 16]), contact)
}

/// Returns `member` with another sequence and state.
pub fn with(member: &Member, sequence: u64, state: State) -> Member {
    Member {
        sequence,
        state,
        ..member.clone()
    }
}

/// Creates the roster of `n0` with the members `n0` to `n{count - 1}`, all in zone `a`.
pub fn roster(count: usize) -> Roster {
    let mut roster = Roster::new(member("n0", "a"), Options::default());
    for i in 1..count {
        roster.merge(Duration::ZERO, [member(&format!("n{i}"), "a")]);
    }
    roster
}

/// Returns the state of the member on an instance, if it is listed.
pub fn state_of(roster: &Roster, instance: &str) -> Option<State> {
    Some(roster.get(roster.try_find(instance)?)?.state)
}
