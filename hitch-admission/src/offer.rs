//! Admission of a new call.
//!
//! A queue that is bounded by targets ([`Options::target_bound`](crate::Options::target_bound)) answers an overload that
//! lasts: callers offer more than the backend servers can run, and come back when they are refused. Without the bound,
//! each new call displaces the oldest of its rank, which goes on to the next node and displaces another one there, until
//! it is refused after three waits.

use std::time::Duration;

use crate::class::ClassId;
use crate::poll::Command;
use crate::queue::Call;
use crate::queue::CallState;
use crate::queue::Queue;
use crate::queue::Ticket;
use crate::rank::RankId;

/// Slots for each call that is queued whatever its expected latency: a queue of a quarter of the slots.
const SLOTS_PER_CERTAIN_CALL: usize = 4;
/// Most queued calls of a rank for each slot while no service time was measured.
const UNMEASURED_PER_SLOT: u32 = 1;
/// Fraction of its target latency within which a call is expected to end that is not of the least urgent rank. Calls of
/// that rank give way to it, and a refused call that a running one made wastes the run.
const URGENT_TARGET_BOUND: f64 = 1.5;

/// As [`URGENT_TARGET_BOUND`], in a queue bounded by time: nested calls have a rank of their own there, and without a
/// bound on the number of calls a longer queue would make all calls of an overloaded urgent rank late.
const URGENT_TIME_BOUND: f64 = 0.8;

/// A call that requests a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Rank of the call.
    pub rank: RankId,
    /// Time since process start at which the answer must be complete.
    pub deadline: Duration,
    /// Expected service time, if the caller knows it; otherwise the measured mean of the rank is used.
    pub expected: Option<Duration>,
}

/// Result of offering a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The call occupies a slot and must be sent to the backend server now.
    Run(Ticket),
    /// The call is queued. A later [`Command`] starts or refuses it.
    Queued(Ticket),
    /// The call was not run.
    Refused(Reason),
}

/// Why a call was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The contract has no such rank.
    UnknownRank,
    /// The call cannot be answered before its deadline, given the expected wait and service time.
    Deadline,
    /// The call would miss the target latency of its rank, and another queued call of the rank can still meet
    /// it.
    Target,
    /// The queue is full, and no queued call may be evicted for this one.
    Full,
    /// A newer call of its rank, or a call of a rank of greater worth, took its place in the full queue.
    Evicted,
    /// The queue is draining, because the backend server is being shut down.
    Draining,
}

impl Queue {
    /// Offers a call at `now`.
    ///
    /// If the queue of the rank is full, its oldest call is evicted. If the queues of all ranks together are
    /// full, the oldest call of the least worthy rank above its share of the queue is evicted, or of the same
    /// rank if that one is not worth less. The next [`poll`](Queue::poll) reports the evicted call as refused
    /// with [`Reason::Evicted`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_admission::Admission;
    /// use hitch_admission::Offer;
    /// use hitch_admission::RankId;
    /// use hitch_admission::Reason;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let mut queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// let offer = Offer { rank: RankId::new(0), deadline: Duration::from_secs(1), expected: None };
    /// assert_eq!(queue.offer(Duration::ZERO, offer), Admission::Refused(Reason::UnknownRank));
    /// ```
    pub fn offer(&mut self, now: Duration, offer: Offer) -> Admission {
        self.offer_of_class(now, offer, None)
    }

    /// As [`Queue::offer`], for a call of a class, whose measured service time is used.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_admission::Admission;
    /// use hitch_admission::Offer;
    /// use hitch_admission::RankId;
    /// use hitch_admission::Reason;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let mut queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// let class = queue.class("/fees/", Duration::from_millis(300));
    /// let offer = Offer { rank: RankId::new(0), deadline: Duration::from_secs(1), expected: None };
    /// let admission = queue.offer_of_class(Duration::ZERO, offer, class);
    /// assert_eq!(admission, Admission::Refused(Reason::UnknownRank));
    /// ```
    pub fn offer_of_class(
        &mut self,
        now: Duration,
        offer: Offer,
        class: Option<ClassId>,
    ) -> Admission {
        self.update_to(now);
        if self.draining {
            return Admission::Refused(Reason::Draining);
        }
        if offer.rank.position() >= self.ranks.len() {
            return Admission::Refused(Reason::UnknownRank);
        }
        let call = Call {
            rank: Some(offer.rank),
            arrived: now,
            deadline: offer.deadline,
            expected: offer.expected,
            class,
            state: CallState::Queued,
        };
        let has_queued = !self.ranks[offer.rank.position()].queue.is_empty();
        let starts_now = !has_queued && self.may_start(now, offer.rank);
        let wait = match starts_now {
            true => Duration::ZERO,
            false => self.expected_wait(now, offer.rank),
        };
        let latency = wait + self.expected_service_time(now, &call);
        // A queue bounded by time estimates the wait from the calls that go first.
        let is_estimated_below = self.options.bounded_by_time && !starts_now;
        if !is_estimated_below && now + latency >= call.deadline {
            return Admission::Refused(Reason::Deadline);
        }
        if !is_estimated_below && !starts_now && self.would_miss_target(offer.rank, latency) {
            return Admission::Refused(Reason::Target);
        }
        if starts_now {
            let ticket = self.calls.insert(call);
            self.start(now, ticket);
            return Admission::Run(ticket);
        }
        if !self.make_room(offer.rank) {
            return Admission::Refused(Reason::Full);
        }
        if self.options.bounded_by_time {
            return match self.enqueue_by_time(now, call, offer.rank) {
                Ok(ticket) => Admission::Queued(ticket),
                Err(reason) => Admission::Refused(reason),
            };
        }
        let ticket = self.calls.insert(call);
        self.ranks[offer.rank.position()].queue.push_back(ticket);
        Admission::Queued(ticket)
    }

    /// Returns the mean time until one of the running calls ends: their mean service time divided by their
    /// number.
    fn mean_slot_wait(&self, now: Duration) -> Duration {
        let mut sum = Duration::ZERO;
        for rank in &self.ranks {
            sum += rank.service_time.mean_at(now) * rank.running;
        }
        let running = self.running.max(1);
        sum / running / running
    }

    /// Makes room in the queue for one call of `rank`, if necessary by evicting a call. Returns `false` if no
    /// call may be evicted.
    ///
    /// Within a rank the oldest call is evicted, because it is the least likely to meet its target latency.
    fn make_room(&mut self, rank: RankId) -> bool {
        let per_slot = match self.options.bounded_by_time && !self.classes.has_samples() {
            true => UNMEASURED_PER_SLOT.min(self.options.rank_queue_per_slot),
            false => self.options.rank_queue_per_slot,
        };
        let max_per_rank = per_slot.saturating_mul(self.slots) as usize;
        let max_in_all = self.options.total_queue_per_slot.saturating_mul(self.slots) as usize;
        if self.ranks[rank.position()].queue.len() >= max_per_rank.max(1) {
            return self.displace(rank);
        }
        if self.queued() < max_in_all.max(1) {
            return true;
        }
        match self.rank_to_evict() {
            Some(evicted) if self.worth(evicted) < self.worth(rank) => {
                match self.options.target_bound {
                    Some(_) => self.evict_newest(evicted),
                    None => self.evict_oldest(evicted),
                }
            }
            _ => self.displace(rank),
        }
    }

    /// Makes room for a call at the cost of one of its own rank. A queue that is bounded by targets holds calls that are
    /// expected to end in time, so none of them is worse off than the new one.
    fn displace(&mut self, rank: RankId) -> bool {
        let is_nested = self.options.nested_rank && rank.position() == 0;
        self.options.target_bound.is_none() && !is_nested && self.evict_oldest(rank)
    }

    /// Returns whether a call that has to wait is refused, because it is expected to take `latency` and miss its target.
    fn would_miss_target(&self, rank: RankId, latency: Duration) -> bool {
        let Some(bound) = self.options.target_bound else {
            return false;
        };
        if self.has_place_regardless_of_target(false) {
            return false;
        }
        let bound = match self.is_least_urgent(rank) {
            true => bound,
            false => URGENT_TARGET_BOUND,
        };
        latency > self.ranks[rank.position()].target_latency.mul_f64(bound)
    }

    /// Returns whether the queue is so short that a call is queued whatever its target: a slow backend server without a
    /// queue is idle between two calls. `includes_new` states whether the new call is in the queue already.
    pub(crate) fn has_place_regardless_of_target(&self, includes_new: bool) -> bool {
        let queued = self.queued() - usize::from(includes_new);
        queued * SLOTS_PER_CERTAIN_CALL < self.slots as usize
    }

    /// Returns the fraction of its target latency within which a call of the rank is expected to end.
    pub(crate) fn bound_factor(&self, rank: RankId) -> f64 {
        match self.is_least_urgent(rank) {
            true => self.options.target_bound.unwrap_or(1.0),
            false => URGENT_TIME_BOUND,
        }
    }

    /// Returns whether no less urgent rank is in use.
    pub(crate) fn is_least_urgent(&self, rank: RankId) -> bool {
        let less_urgent = &self.ranks[rank.position() + 1..];
        !less_urgent.iter().any(|rank| rank.share > 0.0)
    }

    /// Estimates the wait of a new call: until a slot is free and, if the queue is bounded by targets, until the queued
    /// calls that go first have started.
    fn expected_wait(&self, now: Duration, rank: RankId) -> Duration {
        let slot_wait = self.mean_slot_wait(now);
        if self.options.target_bound.is_none() {
            return slot_wait;
        }
        let mut ahead = Duration::ZERO;
        for rank in &self.ranks[..=rank.position()] {
            ahead += rank.service_time.mean_at(now) * rank.queue.len() as u32;
        }
        slot_wait + ahead / self.limit.current(now).max(1)
    }

    fn worth(&self, rank: RankId) -> u32 {
        self.ranks[rank.position()].worth
    }

    /// Returns the rank of the lowest worth among those whose queued calls exceed their share of the queue.
    fn rank_to_evict(&self) -> Option<RankId> {
        let max_in_all = f64::from(self.options.total_queue_per_slot.saturating_mul(self.slots));
        let mut found: Option<RankId> = None;
        for (position, rank) in self.ranks.iter().enumerate() {
            let guaranteed = (rank.share * max_in_all).floor() as usize;
            let is_nested = self.options.nested_rank && position == 0;
            if is_nested || rank.queue.len() <= guaranteed {
                continue;
            }
            let id = RankId::new(position as u16);
            if found.is_none_or(|found| rank.worth <= self.worth(found)) {
                found = Some(id);
            }
        }
        found
    }

    /// Evicts the newest queued call of a rank, which has waited least, and returns whether there was one.
    fn evict_newest(&mut self, rank: RankId) -> bool {
        let Some(newest) = self.ranks[rank.position()].queue.pop_back() else {
            return false;
        };
        self.calls.remove(newest);
        self.pending.push(Command::Refuse(newest, Reason::Evicted));
        true
    }

    fn evict_oldest(&mut self, rank: RankId) -> bool {
        let Some(oldest) = self.ranks[rank.position()].queue.pop_front() else {
            return false;
        };
        self.calls.remove(oldest);
        self.pending.push(Command::Refuse(oldest, Reason::Evicted));
        true
    }
}
