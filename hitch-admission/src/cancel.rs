//! Cancellation of calls and draining of the queue.

use std::time::Duration;

use crate::offer::Reason;
use crate::poll::Command;
use crate::queue::CallState;
use crate::queue::Queue;
use crate::queue::Ticket;

/// State in which [`Queue::cancel`] found a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The call was queued. It is removed from the queue and will not be run.
    Dropped,
    /// The call is running. The owner of the queue must cancel it at the backend server, and its slot is free
    /// only after [`Queue::finish`].
    Running,
    /// The ticket is neither queued nor running.
    Unknown,
}

impl Queue {
    /// Cancels a call, for example because its caller disconnected.
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
        self.update_to(now);
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

    /// Refuses all queued calls and every later offer; running calls continue.
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
        self.update_to(now);
        self.draining = true;
        for rank in &mut self.ranks {
            for ticket in rank.queue.drain(..) {
                self.calls.remove(ticket);
                self.pending.push(Command::Refuse(ticket, Reason::Draining));
            }
        }
    }

    /// Refuses the queued calls whose rank no longer exists.
    pub(crate) fn refuse_calls_without_rank(&mut self) {
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
