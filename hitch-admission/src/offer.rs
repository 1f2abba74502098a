//! Admission of a new call.

use std::time::Duration;

use crate::poll::Command;
use crate::queue::Call;
use crate::queue::CallState;
use crate::queue::Queue;
use crate::queue::Ticket;
use crate::rank::RankId;

/// A call that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Rank of the call.
    pub rank: RankId,
    /// Time since process start at which the answer must be complete.
    pub deadline: Duration,
    /// Service time that the caller knows of, in place of the measured one.
    pub expected: Option<Duration>,
}

/// What becomes of an offered call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The call occupies a slot and must be handed to the backend server now.
    Run(Ticket),
    /// The call waits for a [`Command`] about its ticket.
    Queued(Ticket),
    /// The call was not run.
    Refused(Reason),
}

/// Why a call was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The contract has no such rank.
    UnknownRank,
    /// The call cannot end before its deadline.
    Deadline,
    /// The call would miss the target latency of its rank while others of the rank that can meet it wait.
    Target,
    /// The queue is full of calls that are at least as worthy.
    Full,
    /// A more worthy or a newer call took its place in the queue.
    Evicted,
    /// The backend server is leaving.
    Draining,
}

impl Queue {
    /// Offers a call at `now`.
    ///
    /// A full queue gives up the call of the lowest worth, which the next [`poll`](Queue::poll) reports as
    /// refused with [`Reason::Evicted`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_admission::Offer;
    /// use hitch_admission::Admission;
    /// use hitch_admission::RankId;
    /// use hitch_admission::Reason;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let mut queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// let offer = Offer { rank: RankId::new(0), deadline: Duration::from_secs(1), expected: None };
    /// assert_eq!(queue.offer(Duration::ZERO, offer), Admission::Refused(Reason::UnknownRank));
    /// ```
    pub fn offer(&mut self, now: Duration, offer: Offer) -> Admission {
        self.advance(now);
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
            state: CallState::Queued,
        };
        let waits = !self.ranks[offer.rank.position()].queue.is_empty();
        let free = !waits && self.may_start(now, offer.rank);
        let wait = match free {
            true => Duration::ZERO,
            false => self.shortest_wait(now),
        };
        if now + wait + self.expected(now, &call) >= call.deadline {
            return Admission::Refused(Reason::Deadline);
        }
        if free {
            let ticket = self.calls.insert(call);
            self.start(now, ticket);
            return Admission::Run(ticket);
        }
        if !self.make_room(offer.rank) {
            return Admission::Refused(Reason::Full);
        }
        let ticket = self.calls.insert(call);
        self.ranks[offer.rank.position()].queue.push_back(ticket);
        Admission::Queued(ticket)
    }

    /// Mean time until one of the running calls ends.
    fn shortest_wait(&self, now: Duration) -> Duration {
        let mut sum = Duration::ZERO;
        for rank in &self.ranks {
            sum += rank.estimate.at(now) * rank.running;
        }
        let running = self.running.max(1);
        sum / running / running
    }

    /// Makes room in the queue for one call of `rank`, or returns `false`.
    ///
    /// Within a rank the oldest call gives way, because it is the one least likely to meet its target.
    fn make_room(&mut self, rank: RankId) -> bool {
        let per_rank = (self.options.rank_queue_per_slot * self.slots) as usize;
        let in_all = (self.options.total_queue_per_slot * self.slots) as usize;
        if self.ranks[rank.position()].queue.len() >= per_rank.max(1) {
            return self.displace(rank);
        }
        if self.queued() < in_all.max(1) {
            return true;
        }
        match self.least_worthy_queued() {
            Some(victim) if self.worth(victim) < self.worth(rank) => self.displace(victim),
            _ => self.displace(rank),
        }
    }

    fn worth(&self, rank: RankId) -> u32 {
        self.ranks[rank.position()].worth
    }

    /// The rank of the lowest worth that has calls queued beyond its share of the queue.
    fn least_worthy_queued(&self) -> Option<RankId> {
        let in_all = f64::from(self.options.total_queue_per_slot * self.slots);
        let mut found: Option<RankId> = None;
        for (position, rank) in self.ranks.iter().enumerate() {
            let kept = (rank.share * in_all).floor() as usize;
            if rank.queue.len() <= kept {
                continue;
            }
            let id = RankId::new(position as u16);
            if found.is_none_or(|best| rank.worth <= self.worth(best)) {
                found = Some(id);
            }
        }
        found
    }

    fn displace(&mut self, rank: RankId) -> bool {
        let Some(oldest) = self.ranks[rank.position()].queue.pop_front() else {
            return false;
        };
        self.calls.remove(oldest);
        self.pending.push(Command::Refuse(oldest, Reason::Evicted));
        true
    }
}
