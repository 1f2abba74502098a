//! Bounds of the queue by expected time, from the measured service times of the calls that run and wait.
//!
//! A number of calls for each slot says little about the wait when calls of 58 and 300 ms share a queue. The start of a
//! new call is estimated by assigning the calls that go before it to the slots, each to the one that is free first.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::class::ClassId;
use crate::offer::Reason;
use crate::poll::Command;
use crate::queue::Call;
use crate::queue::CallState;
use crate::queue::Queue;
use crate::queue::Ticket;
use crate::rank::RankId;

/// Fraction of its remaining time within which a nested call is expected to end, or it is refused at once, so that its
/// caller can still use the answer.
const NESTED_BOUND: f64 = 0.85;
/// Fraction of its target latency within which a queued call is expected to end, or it makes way.
const KEPT_TARGET_BOUND: f64 = 0.9;
/// Least fraction of the slots that is assumed to be left for a rank by the more urgent ones.
const MIN_AVAILABLE: f64 = 0.1;
/// Largest fraction of the slots that guaranteed shares of less urgent ranks are assumed to take.
const MAX_SHARES: f64 = 0.5;

/// When a call is expected to start and end, counted from now.
#[derive(Debug, Clone, Copy)]
struct Forecast {
    start: Duration,
    mean: Duration,
}

impl Forecast {
    fn end(&self) -> Duration {
        self.start + self.mean
    }
}

/// Assigns a call to the slot that is free first, and returns when it starts.
fn assign(free_at: &mut [Duration], time: Duration) -> Duration {
    let Some(first) = free_at.iter_mut().min() else {
        return Duration::ZERO;
    };
    let start = *first;
    *first += time;
    start
}

impl Queue {
    /// Returns the class called `name`, whose calls take about equally long and have the same target latency. `None` if
    /// the queue has too many classes.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let mut queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// let class = queue.class("/fees/", Duration::from_millis(300));
    /// assert_eq!(queue.class("/fees/", Duration::from_millis(300)), class);
    /// ```
    pub fn class(&mut self, name: &str, target: Duration) -> Option<ClassId> {
        self.classes.enter(name, target)
    }

    /// Returns the time after which a new call of the rank and class is expected to have room; zero if it has room now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_admission::RankId;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// let room = queue.time_until_room(Duration::ZERO, RankId::new(0), None, Duration::from_secs(1));
    /// assert!(room.is_zero());
    /// ```
    pub fn time_until_room(
        &self,
        now: Duration,
        rank: RankId,
        class: Option<ClassId>,
        time_limit: Duration,
    ) -> Duration {
        if rank.position() >= self.ranks.len() {
            return Duration::ZERO;
        }
        let forecast = self.forecast(now, rank, class);
        let bound = match self.is_nested(rank) {
            true => time_limit.mul_f64(NESTED_BOUND),
            false => self.target(rank, class).mul_f64(self.bound_factor(rank)),
        };
        forecast.end().saturating_sub(bound.min(time_limit))
    }

    /// Queues a new call that has to wait, or returns why it is refused by its expected time.
    ///
    /// If the calls of its rank cannot all be answered in time, one is refused: of the class that has used most time
    /// lately, so that a class with a long target latency does not keep others out.
    pub(crate) fn enqueue_by_time(
        &mut self,
        now: Duration,
        call: Call,
        rank: RankId,
    ) -> Result<Ticket, Reason> {
        let ticket = self.calls.insert(call);
        self.insert_by_urgency(rank, ticket);
        if let Some(reason) = self.shed_late(now, rank, Some(ticket)) {
            self.remove(ticket);
            return Err(reason);
        }
        for position in (rank.position() + 1..self.ranks.len()).rev() {
            self.shed_late(now, RankId::new(position as u16), None);
        }
        Ok(ticket)
    }

    /// Inserts a call into the queue of its rank, by the time at which it should be answered.
    fn insert_by_urgency(&mut self, rank: RankId, ticket: Ticket) {
        let due = |ticket: &Ticket| self.due(rank, &self.calls[*ticket], 1.0);
        let own = due(&ticket);
        let queue = &self.ranks[rank.position()].queue;
        let position = queue.partition_point(|queued| due(queued) <= own);
        self.ranks[rank.position()].queue.insert(position, ticket);
    }

    /// Returns the time by which a call is to be answered: a fraction of its target latency, and at most its deadline.
    fn due(&self, rank: RankId, call: &Call, fraction: f64) -> Duration {
        if self.is_nested(rank) {
            let limit = call.deadline.saturating_sub(call.arrived);
            return call.arrived + limit.mul_f64(NESTED_BOUND.max(fraction));
        }
        let target = self.target(rank, call.class).mul_f64(fraction);
        call.deadline.min(call.arrived + target)
    }

    /// Refuses calls of a rank until the others are expected to be answered in time. Returns why the new call is refused
    /// if it is one of them; the others are reported as evicted. Nested calls are not refused for each other.
    fn shed_late(&mut self, now: Duration, rank: RankId, new: Option<Ticket>) -> Option<Reason> {
        loop {
            let (late, reason) = self.first_late(now, rank, new)?;
            if self.is_nested(rank) {
                return (Some(late) == new).then_some(reason);
            }
            if Some(late) == new && reason == Reason::Deadline {
                return Some(reason);
            }
            let shed = self.newest_of_busiest_class(now, rank, late)?;
            if Some(shed) == new {
                return Some(reason);
            }
            self.remove(shed);
            self.pending.push(Command::Refuse(shed, Reason::Evicted));
        }
    }

    /// Returns the first queued call of a rank that is expected to be late, in the order in which they start.
    fn first_late(
        &self,
        now: Duration,
        rank: RankId,
        new: Option<Ticket>,
    ) -> Option<(Ticket, Reason)> {
        let mut free_at = self.slots_free_after_urgent(now, rank);
        let available = self.available_fraction(rank);
        let mut own_time = self.running_time(now, rank);
        let is_exempt = self.has_place_regardless_of_target(new.is_some());
        for ticket in &self.ranks[rank.position()].queue {
            let call = &self.calls[*ticket];
            let time = self.expected_time(call);
            let by_urgency = assign(&mut free_at, time).div_f64(available);
            let start = by_urgency.min(self.start_by_share(now, rank, own_time));
            own_time += time;
            let estimate = self.classes.service_time(call.class);
            let end = now + start + self.classes.mean_of_new(now, call.class);
            let is_new = Some(*ticket) == new;
            // Calls that were queued before get some more time, so that a small change of an estimate evicts none.
            let fraction = match is_new {
                true => self.bound_factor(rank),
                false => KEPT_TARGET_BOUND,
            };
            let due = self.due(rank, call, fraction);
            if is_new && end + estimate.deviation() >= call.deadline {
                return Some((*ticket, Reason::Deadline));
            }
            if self.is_nested(rank) {
                if is_new && end + estimate.deviation() > self.due(rank, call, NESTED_BOUND) {
                    return Some((*ticket, Reason::Deadline));
                }
            } else if end > due && !is_exempt {
                return Some((*ticket, Reason::Target));
            }
        }
        None
    }

    /// Returns a queued call of a rank that makes way for `late`, which it precedes, or `late` itself: the last one of the
    /// class that has used most time lately and would use with its queued calls.
    fn newest_of_busiest_class(&self, now: Duration, rank: RankId, late: Ticket) -> Option<Ticket> {
        let mut used: BTreeMap<Option<ClassId>, (Duration, Ticket)> = BTreeMap::new();
        for ticket in &self.ranks[rank.position()].queue {
            let call = &self.calls[*ticket];
            let recent = self.classes.recent_time(now, call.class);
            let (time, last) = used.entry(call.class).or_insert((recent, *ticket));
            *time += self.expected_time(call);
            *last = *ticket;
            if *ticket == late {
                break;
            }
        }
        let busiest = used.values().max_by_key(|(time, _)| *time)?;
        Some(busiest.1)
    }

    fn expected_time(&self, call: &Call) -> Duration {
        let measured = || self.classes.service_time(call.class).mean();
        call.expected.unwrap_or_else(measured)
    }

    /// Returns when each slot is free of the running calls and of the queued ones of more urgent ranks.
    fn slots_free_after_urgent(&self, now: Duration, rank: RankId) -> Vec<Duration> {
        let mut free_at = self.slots_free_at(now);
        for ahead in &self.ranks[..rank.position()] {
            for ticket in &ahead.queue {
                assign(&mut free_at, self.expected_time(&self.calls[*ticket]));
            }
        }
        free_at
    }

    /// Returns when a new call of the rank and class would start and end, with the calls that are due earlier before it.
    fn forecast(&self, now: Duration, rank: RankId, class: Option<ClassId>) -> Forecast {
        let mut free_at = self.slots_free_after_urgent(now, rank);
        let due = now + self.target(rank, class);
        let mut own_time = self.running_time(now, rank);
        for ticket in &self.ranks[rank.position()].queue {
            let call = &self.calls[*ticket];
            if self.due(rank, call, 1.0) <= due {
                let time = self.expected_time(call);
                assign(&mut free_at, time);
                own_time += time;
            }
        }
        let first = free_at.iter().min().copied().unwrap_or_default();
        let by_urgency = first.div_f64(self.available_fraction(rank));
        Forecast {
            start: by_urgency.min(self.start_by_share(now, rank, own_time)),
            mean: self.classes.mean_of_new(now, class),
        }
    }

    /// Returns when each slot is free of the calls that run, counted from now.
    fn slots_free_at(&self, now: Duration) -> Vec<Duration> {
        let limit = self.limit.current(now).max(1) as usize;
        let mut free_at: Vec<Duration> = Vec::with_capacity(limit);
        for call in self.calls.values() {
            let (CallState::Running { since } | CallState::Cancelling { since }) = call.state
            else {
                continue;
            };
            let elapsed = now.saturating_sub(since);
            let remaining = match call.expected {
                Some(expected) => expected.saturating_sub(elapsed),
                None => self.classes.remaining(call.class, elapsed),
            };
            free_at.push(remaining);
        }
        // With more running calls than the limit allows, the first ones to end free no slot.
        free_at.sort_unstable();
        let excess = free_at.len().saturating_sub(limit);
        free_at.drain(..excess);
        free_at.resize(limit, Duration::ZERO);
        free_at
    }

    /// Returns the remaining time of the running calls of a rank, summed up.
    fn running_time(&self, now: Duration, rank: RankId) -> Duration {
        let mut sum = Duration::ZERO;
        for call in self.calls.values().filter(|call| call.rank == Some(rank)) {
            if let CallState::Running { since } | CallState::Cancelling { since } = call.state {
                let elapsed = now.saturating_sub(since);
                sum += self.classes.remaining(call.class, elapsed);
            }
        }
        sum
    }

    /// Returns when a call starts at the latest by the guaranteed share of its rank, after calls of the rank that take
    /// `own_time` in all.
    fn start_by_share(&self, now: Duration, rank: RankId, own_time: Duration) -> Duration {
        let slots = self.ranks[rank.position()].share * f64::from(self.limit.current(now));
        match slots > 0.0 {
            true => own_time.div_f64(slots),
            false => Duration::MAX,
        }
    }

    /// Returns the fraction of the slots that become free which calls of a rank get: new calls of the more urgent ranks
    /// go before them, and queued ones of the others have guaranteed shares.
    fn available_fraction(&self, rank: RankId) -> f64 {
        let position = rank.position();
        let urgent: f64 = self.ranks[..position].iter().map(|rank| rank.demand).sum();
        let others = &self.ranks[position + 1..];
        let waiting = others.iter().filter(|rank| !rank.queue.is_empty());
        let shares: f64 = waiting.map(|rank| rank.share).sum();
        ((1.0 - urgent).max(MIN_AVAILABLE) * (1.0 - shares.min(MAX_SHARES))).max(MIN_AVAILABLE)
    }

    /// Returns whether the rank is the one of nested calls.
    pub(crate) fn is_nested(&self, rank: RankId) -> bool {
        self.options.nested_rank && rank.position() == 0
    }

    /// Returns the target latency of a class, otherwise the one of the rank.
    pub(crate) fn target(&self, rank: RankId, class: Option<ClassId>) -> Duration {
        let target = self.classes.target(class).filter(|_| !self.is_nested(rank));
        target.unwrap_or(self.ranks[rank.position()].target_latency)
    }
}
