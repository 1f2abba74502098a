//! Tests of membership.
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

/// Makes a member in a zone, in its first state.
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

/// Makes the roster of `n0`, which knows the members up to `count`, all in zone `a`.
pub fn roster(count: usize) -> Roster {
    let mut roster = Roster::new(member("n0", "a"), Options::default());
    for i in 1..count {
        roster.merge(Duration::ZERO, [member(&format!("n{i}"), "a")]);
    }
    roster
}

/// Returns the state of an instance.
pub fn state_of(roster: &Roster, instance: &str) -> Option<State> {
    Some(roster.get(roster.try_find(instance)?)?.state)
}
