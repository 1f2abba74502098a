//! The queue and its accessors.

use std::time::Duration;

use hitch_contract::Rank;
use hitch_contract::Service;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::limit::Limit;
use crate::poll::Command;
use crate::rank::RankId;
use crate::rank::RankState;
use crate::reserve::Reserve;

new_key_type! {
    /// One call that is queued or running.
    pub struct Ticket;
}

/// Settings that do not follow from the contract.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Smallest concurrency limit, in calls.
    pub min_limit: u32,
    /// Time over which a cold backend server is ramped up from the floor to all of its slots.
    pub ramp: Duration,
    /// Longest queue of one rank, in calls for each slot.
    pub rank_queue_per_slot: u32,
    /// Longest queue of all ranks, in calls for each slot.
    pub total_queue_per_slot: u32,
    /// Multiple of its usual latency above which the limit falls.
    pub latency_tolerance: f64,
    /// Part of a rank's target latency after which its newest call goes first.
    pub newest_first_after: f64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            min_limit: 2,
            ramp: Duration::from_secs(3),
            rank_queue_per_slot: 4,
            total_queue_per_slot: 8,
            latency_tolerance: 2.0,
            newest_first_after: 0.1,
        }
    }
}

/// The queue beside one backend server.
///
/// After each [`offer`](Queue::offer), [`finish`](Queue::finish) and [`cancel`](Queue::cancel), and at the
/// time that [`next_poll`](Queue::next_poll) returns, the caller calls [`poll`](Queue::poll) and carries out
/// the commands.
#[derive(Debug, Clone)]
pub struct Queue {
    pub(crate) options: Options,
    pub(crate) slots: u32,
    pub(crate) ranks: Vec<RankState>,
    pub(crate) calls: SlotMap<Ticket, Call>,
    pub(crate) limit: Limit,
    /// Protection of the most urgent rank from lent work.
    pub(crate) reserve: Reserve,
    pub(crate) running: u32,
    pub(crate) draining: bool,
    pub(crate) pending: Vec<Command>,
    pub(crate) last: Duration,
}

/// One call in the arena.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call {
    /// Rank of the call, `None` once the contract has lost it.
    pub(crate) rank: Option<RankId>,
    pub(crate) arrived: Duration,
    pub(crate) deadline: Duration,
    pub(crate) expected: Option<Duration>,
    pub(crate) state: CallState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallState {
    Queued,
    Running { since: Duration },
    Cancelling { since: Duration },
}

impl Queue {
    /// Makes the empty queue of a backend server that starts cold at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let options = hitch_admission::Options { min_limit: 3, ..Default::default() };
    /// let queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], options);
    /// assert_eq!(queue.limit(Duration::ZERO), 3);
    /// assert_eq!(queue.limit(Duration::from_secs(60)), 13);
    /// ```
    pub fn new(now: Duration, service: &Service, ranks: &[Rank], options: Options) -> Self {
        Queue {
            limit: Limit::new(now, service.slots, ranks.len(), &options),
            options,
            slots: service.slots.max(1),
            ranks: ranks.iter().map(RankState::new).collect(),
            calls: SlotMap::with_key(),
            reserve: Reserve::default(),
            running: 0,
            draining: false,
            pending: Vec::new(),
            last: now,
        }
    }

    /// Takes over another version of the contract.
    ///
    /// Ranks are matched by name and keep their calls and measurements. Queued calls of a rank that no
    /// longer exists are refused by the next [`poll`](Queue::poll); running ones go on.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let mut queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// let larger = hitch_contract::Service { slots: 18, ..service };
    /// queue.reconfigure(Duration::ZERO, &larger, &[]);
    /// assert_eq!(queue.limit(Duration::from_secs(60)), 18);
    /// ```
    pub fn reconfigure(&mut self, now: Duration, service: &Service, ranks: &[Rank]) {
        self.advance(now);
        let before = std::mem::take(&mut self.ranks);
        self.ranks = ranks.iter().map(RankState::new).collect();
        let mut moved = Vec::new();
        for old in &before {
            let position = self.ranks.iter().position(|rank| rank.name == old.name);
            moved.push(position.map(|position| RankId::new(position as u16)));
        }
        for (old, to) in before.into_iter().zip(&moved) {
            let Some(to) = to else { continue };
            let rank = &mut self.ranks[to.position()];
            rank.queue = old.queue;
            rank.running = old.running;
            rank.estimate = old.estimate;
            rank.deficit = old.deficit;
        }
        for call in self.calls.values_mut() {
            call.rank = call.rank.and_then(|rank| moved[rank.position()]);
        }
        self.refuse_rankless();
        let are_kept = |to: (usize, &Option<RankId>)| to.1.map(RankId::position) == Some(to.0);
        let is_same = moved.len() == self.ranks.len() && moved.iter().enumerate().all(are_kept);
        if is_same && self.slots == service.slots.max(1) {
            return;
        }
        self.slots = service.slots.max(1);
        self.limit
            .reconfigure(self.slots, self.ranks.len(), self.options.min_limit);
    }

    /// Ramps the limit up from the floor again, because the backend server started anew.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let mut queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// let later = Duration::from_secs(60);
    /// queue.restart(later);
    /// assert_eq!(queue.limit(later), 2);
    /// ```
    pub fn restart(&mut self, now: Duration) {
        self.advance(now);
        self.limit.restart(now);
    }

    /// Returns the number of calls that may run at once at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// assert!(queue.limit(Duration::from_secs(1)) < 13);
    /// ```
    pub fn limit(&self, now: Duration) -> u32 {
        self.limit.at(now)
    }

    /// Returns the number of calls that occupy a slot, including those told to cancel.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// assert_eq!((queue.running(), queue.queued()), (0, 0));
    /// ```
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of calls that wait.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// assert_eq!(queue.queued(), 0);
    /// ```
    pub fn queued(&self) -> usize {
        self.ranks.iter().map(|rank| rank.queue.len()).sum()
    }

    /// Returns the measured service time of `rank` at `now`, zero while nothing was measured.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_admission::RankId;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// assert_eq!(queue.service_time(Duration::ZERO, RankId::new(0)), Duration::ZERO);
    /// ```
    pub fn service_time(&self, now: Duration, rank: RankId) -> Duration {
        match self.ranks.get(rank.position()) {
            Some(rank) => rank.estimate.at(now),
            None => Duration::ZERO,
        }
    }

    /// Returns the key of the rank called `name`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// assert_eq!(queue.try_find("fee"), None);
    /// ```
    pub fn try_find(&self, name: &str) -> Option<RankId> {
        let position = self.ranks.iter().position(|rank| &*rank.name == name)?;
        Some(RankId::new(position as u16))
    }

    /// Moves the accounts of the shares on to `now`.
    pub(crate) fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.last);
        self.last = self.last.max(now);
        self.reserve.decay(elapsed);
        let limit = self.limit.at(now);
        for rank in &mut self.ranks {
            rank.accrue(now, elapsed, limit);
        }
    }

    /// Expected service time of a call at `now`.
    pub(crate) fn expected(&self, now: Duration, call: &Call) -> Duration {
        if let Some(expected) = call.expected {
            return expected;
        }
        match call.rank {
            Some(rank) => self.service_time(now, rank),
            None => Duration::ZERO,
        }
    }

    /// Takes a call out of the arena and out of the queue of its rank.
    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Call> {
        let call = self.calls.remove(ticket)?;
        let rank = call.rank.map(|rank| &mut self.ranks[rank.position()]);
        if call.state != CallState::Queued {
            self.running -= 1;
            if let Some(rank) = rank {
                rank.running -= 1;
            }
            return Some(call);
        }
        if let Some(rank) = rank {
            rank.queue.retain(|queued| *queued != ticket);
        }
        Some(call)
    }
}
