//! Recent updates, sent along with every exchange.

use std::cmp::Reverse;
use std::time::Duration;

use crate::member::Member;
use crate::member::MemberKey;
use crate::member::State;
use crate::roster::Roster;

/// An update that is being passed on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Update {
    pub(crate) since: Duration,
    pub(crate) sent: u32,
}

/// Order in which states are sent when not all fit.
///
/// Leaving members go first, as a mass start would delay them behind hundreds of updates. Starting
/// ones go last: no call is routed to them, and they are ready soon.
pub(crate) fn order_of(state: State) -> u8 {
    match state {
        State::Draining => 0,
        State::Ready | State::Suspect | State::Gone => 1,
        State::Starting => 2,
    }
}

impl Roster {
    pub(crate) fn expire_updates(&mut self, now: Duration) {
        let keep_for = self.options.recent_for;
        self.recent
            .retain(|_, update| now.saturating_sub(update.since) < keep_for);
    }

    /// Takes the updates to send along with a message to `to`, at most `max_recent` and one.
    ///
    /// Each update is sent a number of times that grows with the logarithm of members. When `to` is
    /// suspected or gone, its own entry is included, so that it can refute it.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let mut roster = Roster::new(own.clone(), Options::default());
    /// assert_eq!(roster.take_recent_updates(None), [own]);
    /// ```
    pub fn take_recent_updates(&mut self, to: Option<MemberKey>) -> Vec<Member> {
        let mut least_sent: Vec<(u8, u32, Reverse<u32>, MemberKey)> = Vec::new();
        for (key, update) in &self.recent {
            let entry = &self.entries[*key];
            least_sent.push((
                order_of(entry.state),
                update.sent,
                Reverse(entry.changed),
                *key,
            ));
        }
        if least_sent.len() > self.options.max_recent {
            least_sent.select_nth_unstable(self.options.max_recent);
            least_sent.truncate(self.options.max_recent);
        }
        let enough = self.live_count().max(1).ilog2() / 2 + 2;
        let mut members = Vec::new();
        for (_, sent, _, key) in least_sent {
            members.push(self.entries[key].member());
            if sent + 1 >= enough {
                self.recent.remove(&key);
            } else if let Some(update) = self.recent.get_mut(&key) {
                update.sent += 1;
            }
        }
        let about = to.and_then(|key| self.get(key));
        if let Some(member) = about.filter(|m| m.state >= State::Suspect) {
            members.push(member);
        }
        members
    }
}
