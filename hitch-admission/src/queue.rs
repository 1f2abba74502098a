//! The admission queue: its options, state and accessors.

use std::time::Duration;

use hitch_contract::Rank;
use hitch_contract::Service;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::class::ClassId;
use crate::class::Classes;
use crate::limit::Limit;
use crate::poll::Command;
use crate::rank::RankId;
use crate::rank::RankState;
use crate::reserve::Reserve;

new_key_type! {
    /// Identifies a call that is queued or running.
    pub struct Ticket;
}

/// Settings that do not follow from the contract.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Lower bound of the concurrency limit, in calls.
    pub min_limit: u32,
    /// Time over which the limit rises from its lower bound to all slots after the backend server started.
    pub ramp: Duration,
    /// Maximum length of the queue of one rank, in calls per slot.
    pub rank_queue_per_slot: u32,
    /// Maximum length of the queues of all ranks together, in calls per slot.
    pub total_queue_per_slot: u32,
    /// Ratio of latency to its baseline above which the limit falls.
    pub latency_tolerance: f64,
    /// Fraction of a rank's target latency: once the oldest queued call has waited longer, the newest one
    /// starts first.
    pub newest_first_after: f64,
    /// Fraction of its target latency within which a call of the least urgent rank that has to wait is expected to
    /// end, or it is refused at once. `None` for no bound: then a call that finds the queue full displaces the
    /// oldest of its rank.
    pub target_bound: Option<f64>,
    /// Whether rank 0 holds nested calls, which running requests make. They are never evicted, and their guaranteed
    /// share follows their measured demand.
    pub nested_rank: bool,
    /// Whether the queue is bounded by expected time, from service times measured by class, rather than by a number of
    /// calls for each slot. The numbers remain as a limit on the memory, and until a service time was measured.
    pub bounded_by_time: bool,
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
            target_bound: None,
            nested_rank: false,
            bounded_by_time: false,
        }
    }
}

/// Admission queue of one backend server.
///
/// After each [`offer`](Queue::offer), [`finish`](Queue::finish) and [`cancel`](Queue::cancel), and at the
/// time that [`next_poll`](Queue::next_poll) returns, the owner must call [`poll`](Queue::poll) and execute
/// the commands.
#[derive(Debug, Clone)]
pub struct Queue {
    pub(crate) options: Options,
    pub(crate) slots: u32,
    pub(crate) ranks: Vec<RankState>,
    pub(crate) calls: SlotMap<Ticket, Call>,
    pub(crate) limit: Limit,
    /// Measured service times by class.
    pub(crate) classes: Classes,
    /// Slot reservation for the most urgent rank of new requests.
    pub(crate) reserve: Reserve,
    /// Slot reservation for nested calls, if they have a rank of their own.
    pub(crate) nested_reserve: Reserve,
    pub(crate) running: u32,
    pub(crate) draining: bool,
    /// Commands that the next poll returns.
    pub(crate) pending: Vec<Command>,
    /// Time up to which the deficits and the reservation are updated.
    pub(crate) updated_at: Duration,
}

/// A call that is queued or running.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call {
    /// Rank of the call, `None` if the current contract no longer has the rank.
    pub(crate) rank: Option<RankId>,
    pub(crate) arrived: Duration,
    pub(crate) deadline: Duration,
    /// Service time stated by the caller of [`Queue::offer`], in place of the measured one.
    pub(crate) expected: Option<Duration>,
    /// Class of the call, if it is known.
    pub(crate) class: Option<ClassId>,
    pub(crate) state: CallState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallState {
    Queued,
    Running { since: Duration },
    Cancelling { since: Duration },
}

impl Queue {
    /// Creates an empty queue for a backend server that starts at `now`; the limit begins at its lower bound.
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
            classes: Classes::default(),
            reserve: Reserve::default(),
            nested_reserve: Reserve::default(),
            running: 0,
            draining: false,
            pending: Vec::new(),
            updated_at: now,
        }
    }

    /// Applies another version of the contract.
    ///
    /// Ranks are matched by name and keep their calls and measurements. Queued calls of a rank that no longer
    /// exists are refused by the next [`poll`](Queue::poll); running ones continue.
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
        self.update_to(now);
        let previous = std::mem::take(&mut self.ranks);
        self.ranks = ranks.iter().map(RankState::new).collect();
        let mut new_ids = Vec::new();
        for old in &previous {
            let position = self.ranks.iter().position(|rank| rank.name == old.name);
            new_ids.push(position.map(|position| RankId::new(position as u16)));
        }
        for (old, new_id) in previous.into_iter().zip(&new_ids) {
            let Some(new_id) = new_id else { continue };
            let rank = &mut self.ranks[new_id.position()];
            rank.queue = old.queue;
            rank.running = old.running;
            rank.service_time = old.service_time;
            rank.deficit = old.deficit;
            rank.demand = old.demand;
        }
        for call in self.calls.values_mut() {
            call.rank = call.rank.and_then(|rank| new_ids[rank.position()]);
        }
        self.refuse_calls_without_rank();
        let has_same_id =
            |mapping: (usize, &Option<RankId>)| mapping.1.map(RankId::position) == Some(mapping.0);
        let has_same_ranks =
            new_ids.len() == self.ranks.len() && new_ids.iter().enumerate().all(has_same_id);
        if has_same_ranks && self.slots == service.slots.max(1) {
            return;
        }
        self.slots = service.slots.max(1);
        self.limit
            .reconfigure(self.slots, self.ranks.len(), self.options.min_limit);
    }

    /// Ramps the limit up from its lower bound again, because the backend server restarted.
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
        self.update_to(now);
        self.limit.restart(now);
        self.classes.restart();
    }

    /// Returns the number of calls that may run concurrently at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// assert!(queue.limit(Duration::from_secs(1)) < 13);
    /// ```
    pub fn limit(&self, now: Duration) -> u32 {
        self.limit.current(now)
    }

    /// Returns the number of calls that occupy a slot, including those being cancelled.
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

    /// Returns the number of queued calls of all ranks.
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

    /// Returns the mean measured service time of `rank` at `now`, zero without a measurement.
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
            Some(rank) => rank.service_time.mean_at(now),
            None => Duration::ZERO,
        }
    }

    /// Returns the id of the rank called `name`, if the contract has it.
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

    /// Updates the deficits of the ranks and the reservation to `now`.
    pub(crate) fn update_to(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        self.reserve.decay(elapsed);
        self.nested_reserve.decay(elapsed);
        let limit = self.limit.current(now);
        for (position, rank) in self.ranks.iter_mut().enumerate() {
            let is_nested = self.options.nested_rank && position == 0;
            rank.update_demand(elapsed, limit, is_nested);
        }
        if self.options.nested_rank
            && let Some(rank) = self.ranks.first_mut()
        {
            rank.share = rank.measured_share();
        }
        for rank in &mut self.ranks {
            rank.update_deficit(now, elapsed, limit);
        }
    }

    /// Returns the service time that the caller stated, otherwise the measured mean of the rank.
    pub(crate) fn expected_service_time(&self, now: Duration, call: &Call) -> Duration {
        if let Some(expected) = call.expected {
            return expected;
        }
        if self.options.bounded_by_time && self.classes.has_samples() {
            return self.classes.mean_of_new(now, call.class);
        }
        match call.rank {
            Some(rank) => self.service_time(now, rank),
            None => Duration::ZERO,
        }
    }

    /// Removes a call, and takes it out of the queue or the running calls of its rank.
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
