//! Scheduling: which queued calls start and which are refused.
//!
//! Within a rank the oldest call starts first until it has waited for a part of the target latency; from then
//! on the newest does, because under lasting overload the oldest would be answered late (adaptive LIFO;
//! Maurer, "Fail at Scale", ACM Queue 2015).

use std::time::Duration;

use crate::offer::Reason;
use crate::queue::Call;
use crate::queue::CallState;
use crate::queue::Queue;
use crate::queue::Ticket;
use crate::rank::RankId;

/// Time after which calls that wait while a slot is kept free are looked at again.
const RECHECK: Duration = Duration::from_millis(5);

/// Shortest such time, so that a slot that is kept free does not keep the caller busy.
const SHORTEST_RECHECK: Duration = Duration::from_micros(200);

/// What the caller of the queue has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Hand the call to the backend server.
    Start(Ticket),
    /// Refuse the call as not run.
    Refuse(Ticket, Reason),
    /// Tell the backend server to cancel the running call, because its deadline has passed. Its slot is free
    /// only after [`Queue::finish`].
    Cancel(Ticket),
}

impl Queue {
    /// Returns what has to be done at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let mut queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// assert!(queue.poll(Duration::ZERO).is_empty());
    /// ```
    pub fn poll(&mut self, now: Duration) -> Vec<Command> {
        self.advance(now);
        self.cancel_overdue(now);
        self.refuse_hopeless(now);
        while let Some(ticket) = self.next_ticket(now) {
            self.start(now, ticket);
            self.pending.push(Command::Start(ticket));
        }
        std::mem::take(&mut self.pending)
    }

    /// Returns the time at which [`poll`](Queue::poll) must be called even if nothing else happens.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// assert_eq!(queue.next_poll(Duration::ZERO), None);
    /// ```
    pub fn next_poll(&self, now: Duration) -> Option<Duration> {
        let mut next: Option<Duration> = None;
        let mut consider = |at: Duration| next = Some(next.map_or(at, |next| next.min(at)));
        for call in self.calls.values() {
            match call.state {
                CallState::Queued => consider(self.latest_start(now, call, call.deadline)),
                CallState::Running { .. } => consider(call.deadline),
                CallState::Cancelling { .. } => {}
            }
        }
        if self.queued() > 0
            && let Some(step) = self.limit.next_step(now)
        {
            consider(step);
        }
        if self.queued() > 0 && self.running < self.limit.at(now) {
            consider((now + RECHECK).min(self.reserve.next_start().max(now + SHORTEST_RECHECK)));
        }
        next.map(|next| next.max(now))
    }

    /// Moves a call into a slot.
    pub(crate) fn start(&mut self, now: Duration, ticket: Ticket) {
        let Some(call) = self.calls.get_mut(ticket) else {
            return;
        };
        call.state = CallState::Running { since: now };
        self.running += 1;
        let wait = now.saturating_sub(call.arrived);
        let Some(id) = call.rank else { return };
        let limit = self.limit.at(now);
        let rank = &mut self.ranks[id.position()];
        rank.running += 1;
        rank.queue.retain(|queued| *queued != ticket);
        match id.position() {
            0 => self.reserve.observe_wait(wait, rank.estimate.long()),
            _ => self
                .reserve
                .observe_start(now, rank.estimate.at(now), limit),
        }
    }

    /// Latest start that lets a call end by `end`, as far as its service time is known.
    fn latest_start(&self, now: Duration, call: &Call, end: Duration) -> Duration {
        end.saturating_sub(self.expected(now, call))
    }

    fn is_on_time(&self, now: Duration, call: &Call) -> bool {
        let Some(rank) = call.rank else { return false };
        let target = call
            .arrived
            .saturating_add(self.ranks[rank.position()].target);
        now <= self.latest_start(now, call, target.min(call.deadline))
    }

    fn cancel_overdue(&mut self, now: Duration) {
        for (ticket, call) in &mut self.calls {
            let CallState::Running { since } = call.state else {
                continue;
            };
            if now < call.deadline {
                continue;
            }
            call.state = CallState::Cancelling { since };
            self.pending.push(Command::Cancel(ticket));
        }
    }

    /// Refuses queued calls that cannot meet their deadline, and those that would miss their target while
    /// others of their rank that can meet theirs wait.
    ///
    /// Calls of other ranks don't count: a rank whose target is shorter than its service time would otherwise
    /// lose its share to them.
    fn refuse_hopeless(&mut self, now: Duration) {
        let mut hopeless = Vec::new();
        for rank in &self.ranks {
            let mut late = Vec::new();
            let mut on_time = 0;
            for ticket in &rank.queue {
                let call = &self.calls[*ticket];
                if now >= self.latest_start(now, call, call.deadline) {
                    hopeless.push((*ticket, Reason::Deadline));
                } else if self.is_on_time(now, call) {
                    on_time += 1;
                } else {
                    late.push((*ticket, Reason::Target));
                }
            }
            if on_time > 0 {
                hopeless.append(&mut late);
            }
        }
        for (ticket, reason) in hopeless {
            self.remove(ticket);
            self.pending.push(Command::Refuse(ticket, reason));
        }
    }

    /// The call that gets the next free slot.
    ///
    /// Ranks that run less than their guaranteed share go first, then the most urgent rank.
    fn next_ticket(&self, now: Duration) -> Option<Ticket> {
        let limit = self.limit.at(now);
        let mut lent = None;
        for (position, rank) in self.ranks.iter().enumerate() {
            let Some(oldest) = rank.queue.front() else {
                continue;
            };
            if !self.may_start(now, RankId::new(position as u16)) {
                continue;
            }
            if rank.is_entitled(limit) {
                return self.next_of_rank(now, *oldest);
            }
            lent = lent.or(Some(*oldest));
        }
        self.next_of_rank(now, lent?)
    }

    /// Whether a call of `rank` may take a free slot now.
    pub(crate) fn may_start(&self, now: Duration, rank: RankId) -> bool {
        let limit = self.limit.at(now);
        if rank.position() == 0 {
            return self.running < limit;
        }
        if now < self.reserve.next_start() {
            return false;
        }
        if self.ranks[rank.position()].is_entitled(limit) {
            return self.running < limit;
        }
        self.running + self.reserve.slots() < limit
    }

    fn next_of_rank(&self, now: Duration, oldest: Ticket) -> Option<Ticket> {
        let call = &self.calls[oldest];
        let rank = &self.ranks[call.rank.map_or(0, RankId::position)];
        let patience = rank.target.mul_f64(self.options.newest_first_after);
        if now.saturating_sub(call.arrived) > patience {
            return rank.queue.back().copied();
        }
        Some(oldest)
    }
}
