//! Scheduling: which queued calls start and which are refused.
//!
//! Within a rank the oldest call starts first until it has waited for a fraction of the target latency. After
//! that the newest one starts first, because under sustained overload the oldest would be answered late
//! (adaptive LIFO; Maurer, "Fail at Scale", ACM Queue 2015).

use std::time::Duration;

use crate::offer::Reason;
use crate::queue::Call;
use crate::queue::CallState;
use crate::queue::Queue;
use crate::queue::Ticket;
use crate::rank::RankId;

/// Longest time between two polls while calls are queued although a slot is free, because the slot is
/// reserved or the starts are spaced out.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Shortest time between such polls, so that the owner does not poll in a busy loop.
const MIN_POLL_INTERVAL: Duration = Duration::from_micros(200);

/// An action that the owner of the queue must take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Send the call to the backend server.
    Start(Ticket),
    /// Refuse the call: it was not run and will not be.
    Refuse(Ticket, Reason),
    /// Cancel the running call at the backend server, because its deadline has passed. Its slot is free only
    /// after [`Queue::finish`].
    Cancel(Ticket),
}

impl Queue {
    /// Returns the commands that are due at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let mut queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// assert!(queue.poll(Duration::ZERO).is_empty());
    /// ```
    pub fn poll(&mut self, now: Duration) -> Vec<Command> {
        self.update_to(now);
        self.cancel_overdue(now);
        self.refuse_late(now);
        while let Some(ticket) = self.next_ticket(now) {
            self.start(now, ticket);
            self.pending.push(Command::Start(ticket));
        }
        std::mem::take(&mut self.pending)
    }

    /// Returns the time at which [`poll`](Queue::poll) must be called even without another input; `None` if
    /// only another input can make a command due.
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
            && let Some(step) = self.limit.next_ramp_step(now)
        {
            consider(step);
        }
        if self.queued() > 0 && self.running < self.limit.current(now) {
            let next_start = match self.options.nested_rank {
                true => self
                    .reserve
                    .next_start()
                    .max(self.nested_reserve.next_start()),
                false => self.reserve.next_start(),
            };
            consider((now + MAX_POLL_INTERVAL).min(next_start.max(now + MIN_POLL_INTERVAL)));
        }
        next.map(|next| next.max(now))
    }

    /// Marks a call as running and takes it out of the queue of its rank.
    pub(crate) fn start(&mut self, now: Duration, ticket: Ticket) {
        let Some(call) = self.calls.get_mut(ticket) else {
            return;
        };
        call.state = CallState::Running { since: now };
        self.classes.observe_start(now, call.class);
        self.running += 1;
        let wait = now.saturating_sub(call.arrived);
        let Some(id) = call.rank else { return };
        let time_limit = call.deadline.saturating_sub(call.arrived);
        let class = call.class;
        let target = self.target(id, class);
        let limit = self.limit.current(now);
        let rank = &mut self.ranks[id.position()];
        rank.running += 1;
        rank.queue.retain(|queued| *queued != ticket);
        let (mean, upper_bound) = {
            let service_time = &rank.service_time;
            (service_time.mean_at(now), service_time.upper_bound())
        };
        let scale = match self.options.nested_rank {
            true => target,
            false => upper_bound,
        };
        if self.is_nested(id) {
            self.nested_reserve.observe_wait(wait, time_limit);
            return;
        }
        self.nested_reserve.observe_start(now, mean, limit);
        match id == self.most_urgent_of_new() {
            true => self.reserve.observe_wait(wait, scale),
            false => self.reserve.observe_start(now, mean, limit),
        }
    }

    /// Returns the most urgent rank that holds no nested calls.
    fn most_urgent_of_new(&self) -> RankId {
        RankId::new(u16::from(self.options.nested_rank))
    }

    /// Returns the latest time at which the call must start to end by `end`, given its expected service time.
    fn latest_start(&self, now: Duration, call: &Call, end: Duration) -> Duration {
        end.saturating_sub(self.expected_service_time(now, call))
    }

    /// Whether a call that starts now can meet both its deadline and the target latency of its rank.
    fn can_meet_target(&self, now: Duration, call: &Call) -> bool {
        let Some(rank) = call.rank else { return false };
        let target_end = call.arrived.saturating_add(self.target(rank, call.class));
        now <= self.latest_start(now, call, target_end.min(call.deadline))
    }

    /// Cancels running calls whose deadline has passed.
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

    /// Refuses queued calls that cannot meet their deadline, and those that would miss their target latency
    /// while another queued call of the rank can still meet it.
    ///
    /// Calls of other ranks are not considered: a rank whose target latency is shorter than its service time
    /// would otherwise lose its share to them.
    fn refuse_late(&mut self, now: Duration) {
        let mut refused = Vec::new();
        for rank in &self.ranks {
            let mut would_miss = Vec::new();
            let mut can_meet = 0;
            for ticket in &rank.queue {
                let call = &self.calls[*ticket];
                if now >= self.latest_start(now, call, call.deadline) {
                    refused.push((*ticket, Reason::Deadline));
                } else if self.can_meet_target(now, call) {
                    can_meet += 1;
                } else {
                    would_miss.push((*ticket, Reason::Target));
                }
            }
            if can_meet > 0 {
                refused.append(&mut would_miss);
            }
        }
        for (ticket, reason) in refused {
            self.remove(ticket);
            self.pending.push(Command::Refuse(ticket, reason));
        }
    }

    /// Returns the call that starts next, if one may start.
    ///
    /// Ranks that run less than their guaranteed share take precedence, then the most urgent rank.
    fn next_ticket(&self, now: Duration) -> Option<Ticket> {
        let limit = self.limit.current(now);
        let mut beyond_share = None;
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
            beyond_share = beyond_share.or(Some(*oldest));
        }
        self.next_of_rank(now, beyond_share?)
    }

    /// Whether a call of `rank` may take a free slot now.
    pub(crate) fn may_start(&self, now: Duration, rank: RankId) -> bool {
        let limit = self.limit.current(now);
        if rank.position() == 0 {
            return self.running < limit;
        }
        let (mut next_start, mut reserved_slots) = (Duration::ZERO, 0);
        if self.options.nested_rank {
            next_start = self.nested_reserve.next_start();
            reserved_slots = self.nested_reserve.reserved_slots();
        }
        if rank != self.most_urgent_of_new() {
            next_start = next_start.max(self.reserve.next_start());
            reserved_slots = reserved_slots.max(self.reserve.reserved_slots());
        }
        if now < next_start {
            return false;
        }
        if self.ranks[rank.position()].is_entitled(limit) {
            return self.running < limit;
        }
        self.running + reserved_slots < limit
    }

    /// Returns the call of a rank that starts next: `oldest`, or the newest one once `oldest` has waited too
    /// long.
    fn next_of_rank(&self, now: Duration, oldest: Ticket) -> Option<Ticket> {
        let call = &self.calls[oldest];
        let rank = &self.ranks[call.rank.map_or(0, RankId::position)];
        let max_wait = rank.target_latency.mul_f64(self.options.newest_first_after);
        if now.saturating_sub(call.arrived) > max_wait {
            return rank.queue.back().copied();
        }
        Some(oldest)
    }
}
