//! Scheduling state of one rank.

use std::collections::VecDeque;
use std::time::Duration;

use crate::queue::Ticket;
use crate::service_time::ServiceTime;

/// Time constant of the average demand of nested calls. It spans several of their service times, and is short beside an
/// overload of some seconds.
const DEMAND_TIME: Duration = Duration::from_millis(500);
/// Factor between the average demand of nested calls and their guaranteed share. Requests arrive in bursts, and two
/// nested calls of a request arrive together.
const DEMAND_HEADROOM: f64 = 1.5;
/// Largest guaranteed share of nested calls, so that new requests still get slots: without them, no request would run
/// that makes nested calls.
const MAX_NESTED_SHARE: f64 = 0.7;

/// Index of a rank in the contract's list of ranks, 0 for the most urgent one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RankId(u16);

impl RankId {
    /// Returns the id of the rank at index `position` of the contract's list.
    ///
    /// ```
    /// use hitch_admission::RankId;
    /// assert!(RankId::new(0) < RankId::new(1), "the most urgent rank comes first");
    /// ```
    pub fn new(position: u16) -> Self {
        RankId(position)
    }

    /// Returns the index of the rank in the contract's list.
    ///
    /// ```
    /// assert_eq!(hitch_admission::RankId::new(2).position(), 2);
    /// ```
    pub fn position(self) -> usize {
        usize::from(self.0)
    }
}

/// Queue, running calls, measured service time and guaranteed share of one rank.
#[derive(Debug, Clone)]
pub(crate) struct RankState {
    pub(crate) name: Box<str>,
    pub(crate) target_latency: Duration,
    pub(crate) worth: u32,
    /// Guaranteed fraction of the concurrency limit, 0 to 1.
    pub(crate) share: f64,
    /// Tickets of the queued calls, the oldest one first.
    pub(crate) queue: VecDeque<Ticket>,
    pub(crate) running: u32,
    pub(crate) service_time: ServiceTime,
    /// Slot-seconds by which the rank ran less than its share while it had queued calls; negative after it
    /// ran more.
    pub(crate) deficit: f64,
    /// Average fraction of the limit that running calls of the rank use, and queued ones if they are nested calls.
    pub(crate) demand: f64,
}

impl RankState {
    pub(crate) fn new(rank: &hitch_contract::Rank) -> Self {
        RankState {
            name: rank.name.clone(),
            target_latency: rank.target_latency,
            worth: rank.worth,
            share: f64::from(rank.share_percent) / 100.0,
            queue: VecDeque::new(),
            running: 0,
            service_time: ServiceTime::default(),
            deficit: 0.0,
            demand: 0.0,
        }
    }

    /// Whether the rank takes precedence for a free slot, because it runs fewer calls than its guaranteed
    /// share.
    ///
    /// A share is rarely a whole number of slots. The rank may use the fraction as one more call while its
    /// deficit is positive.
    pub(crate) fn is_entitled(&self, limit: u32) -> bool {
        let share_slots = self.share * f64::from(limit);
        let running = f64::from(self.running);
        running + 1.0 <= share_slots || (running < share_slots && self.deficit > 0.0)
    }

    /// Updates the average demand for the last `elapsed`. Queued calls count as well in a rank that gets what it needs.
    pub(crate) fn update_demand(&mut self, elapsed: Duration, limit: u32, counts_queued: bool) {
        let queued = match counts_queued {
            true => self.queue.len() as f64,
            false => 0.0,
        };
        let used = (f64::from(self.running) + queued) / f64::from(limit.max(1));
        let kept = (-elapsed.as_secs_f64() / DEMAND_TIME.as_secs_f64()).exp();
        self.demand = self.demand * kept + used.min(1.0) * (1.0 - kept);
    }

    /// Returns the guaranteed share of a rank that gets what it needs as measured.
    pub(crate) fn measured_share(&self) -> f64 {
        (self.demand * DEMAND_HEADROOM).min(MAX_NESTED_SHARE)
    }

    /// Updates the deficit for the last `elapsed` before `now`.
    ///
    /// Slots that the rank uses beyond its share do not reduce the deficit, and the deficit does not grow
    /// while the rank has nothing queued. The bound of two mean service times keeps an old deficit from
    /// giving precedence to more than a few calls.
    pub(crate) fn update_deficit(&mut self, now: Duration, elapsed: Duration, limit: u32) {
        let share_slots = self.share * f64::from(limit);
        let used = f64::from(self.running).min(share_slots.ceil());
        let bound = 2.0 * self.service_time.mean_at(now).as_secs_f64().max(0.001);
        self.deficit += (share_slots - used) * elapsed.as_secs_f64();
        self.deficit = self.deficit.clamp(-bound, bound);
        if self.queue.is_empty() {
            self.deficit = self.deficit.min(0.0);
        }
    }
}
