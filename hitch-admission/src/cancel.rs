//! Callers that leave, and a backend server that leaves.

use std::time::Duration;

use crate::offer::Reason;
use crate::poll::Command;
use crate::queue::CallState;
use crate::queue::Queue;
use crate::queue::Ticket;

/// What a cancelled ticket was doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The call was queued; it is dropped and was not run.
    Dropped,
    /// The call is running: the backend server must be told, and its slot is free only after
    /// [`Queue::finish`].
    Running,
    /// The ticket is neither queued nor running.
    Unknown,
}

impl Queue {
    /// Drops a call whose caller has left.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_admission::Cancelled;
    /// use hitch_admission::Ticket;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let mut queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// assert_eq!(queue.cancel(Duration::ZERO, Ticket::default()), Cancelled::Unknown);
    /// ```
    pub fn cancel(&mut self, now: Duration, ticket: Ticket) -> Cancelled {
        self.advance(now);
        let Some(call) = self.calls.get_mut(ticket) else {
            return Cancelled::Unknown;
        };
        match call.state {
            CallState::Queued => {
                self.remove(ticket);
                Cancelled::Dropped
            }
            CallState::Running { since } => {
                call.state = CallState::Cancelling { since };
                Cancelled::Running
            }
            CallState::Cancelling { .. } => Cancelled::Running,
        }
    }

    /// Refuses all queued calls and every later offer; running calls go on.
    ///
    /// The next [`poll`](Queue::poll) reports the refused calls.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let mut queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// queue.drain(Duration::ZERO);
    /// assert!(queue.poll(Duration::ZERO).is_empty());
    /// ```
    pub fn drain(&mut self, now: Duration) {
        self.advance(now);
        self.draining = true;
        for rank in &mut self.ranks {
            for ticket in rank.queue.drain(..) {
                self.calls.remove(ticket);
                self.pending.push(Command::Refuse(ticket, Reason::Draining));
            }
        }
    }

    /// Refuses the queued calls whose rank no longer exists.
    pub(crate) fn refuse_rankless(&mut self) {
        let pending = &mut self.pending;
        self.calls.retain(|ticket, call| {
            let keep = call.rank.is_some() || call.state != CallState::Queued;
            if !keep {
                pending.push(Command::Refuse(ticket, Reason::UnknownRank));
            }
            keep
        });
    }
}
