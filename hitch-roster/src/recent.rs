//! Recent updates, piggybacked on every exchange.

use std::cmp::Reverse;
use std::time::Duration;

use crate::member::Member;
use crate::member::MemberKey;
use crate::member::State;
use crate::roster::Roster;

/// A change of one member that is still being gossiped.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Update {
    pub(crate) learned_at: Duration,
    pub(crate) send_count: u32,
}

/// Returns the priority of a member's state when not all updates fit into a message, lowest first.
///
/// Draining members go first, because in a mass start their updates would otherwise wait behind
/// hundreds of others. Starting members go last: no call is routed to them, and the update to Ready
/// follows shortly.
pub(crate) fn send_priority(state: State) -> u8 {
    match state {
        State::Draining => 0,
        State::Ready | State::Suspect | State::Gone => 1,
        State::Starting => 2,
    }
}

impl Roster {
    /// Drops updates older than the TTL; digests still cover their members.
    pub(crate) fn expire_updates(&mut self, now: Duration) {
        let ttl = self.options.recent_update_ttl;
        self.recent
            .retain(|_, update| now.saturating_sub(update.learned_at) < ttl);
    }

    /// Returns the updates to piggyback on a message to `to`: at most `max_recent_updates`, plus
    /// one.
    ///
    /// Each update is sent a number of times that grows with the logarithm of the number of
    /// members. When `to` is listed as suspect or gone, the additional entry is its own, so that it
    /// can refute it.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// # let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let mut roster = Roster::new(own.clone(), Options::default());
    /// assert_eq!(roster.take_recent_updates(None), [own]);
    /// ```
    pub fn take_recent_updates(&mut self, to: Option<MemberKey>) -> Vec<Member> {
        let mut candidates: Vec<(u8, u32, Reverse<u32>, MemberKey)> = Vec::new();
        for (key, update) in &self.recent {
            let entry = &self.entries[*key];
            candidates.push((
                send_priority(entry.state),
                update.send_count,
                Reverse(entry.change_number),
                *key,
            ));
        }
        if candidates.len() > self.options.max_recent_updates {
            candidates.select_nth_unstable(self.options.max_recent_updates);
            candidates.truncate(self.options.max_recent_updates);
        }
        let max_sends = self.live_count().max(1).ilog2() / 2 + 2;
        let mut members = Vec::new();
        for (_, sent, _, key) in candidates {
            members.push(self.entries[key].member());
            if sent + 1 >= max_sends {
                self.recent.remove(&key);
            } else if let Some(update) = self.recent.get_mut(&key) {
                update.send_count += 1;
            }
        }
        let recipient = to.and_then(|key| self.get(key));
        if let Some(member) = recipient.filter(|m| m.state >= State::Suspect) {
            members.push(member);
        }
        members
    }
}
