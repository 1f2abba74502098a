//! State of one rank.

use std::collections::VecDeque;
use std::time::Duration;

use crate::estimate::Estimate;
use crate::queue::Ticket;

/// Position of a rank in the contract, 0 for the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RankId(u16);

impl RankId {
    /// Returns the key of the rank at `position` of the contract's list.
    ///
    /// ```
    /// use hitch_admission::RankId;
    /// assert!(RankId::new(0) < RankId::new(1), "the most urgent rank comes first");
    /// ```
    pub fn new(position: u16) -> Self {
        RankId(position)
    }

    /// Returns the position of the rank in the contract's list.
    ///
    /// ```
    /// assert_eq!(hitch_admission::RankId::new(2).position(), 2);
    /// ```
    pub fn position(self) -> usize {
        usize::from(self.0)
    }
}

/// Queue, measured service time and guaranteed share of one rank.
#[derive(Debug, Clone)]
pub(crate) struct RankState {
    pub(crate) name: Box<str>,
    pub(crate) target: Duration,
    pub(crate) worth: u32,
    /// Guaranteed share of the limit, 0 to 1.
    pub(crate) share: f64,
    /// Queued tickets, the oldest first.
    pub(crate) queue: VecDeque<Ticket>,
    pub(crate) running: u32,
    pub(crate) estimate: Estimate,
    /// Slot-seconds by which the rank fell short of its share while it had queued work.
    pub(crate) deficit: f64,
}

impl RankState {
    pub(crate) fn new(rank: &hitch_contract::Rank) -> Self {
        RankState {
            name: rank.name.clone(),
            target: rank.target_latency,
            worth: rank.worth,
            share: f64::from(rank.share_percent) / 100.0,
            queue: VecDeque::new(),
            running: 0,
            estimate: Estimate::default(),
            deficit: 0.0,
        }
    }

    /// Whether the rank may claim a free slot before ranks that have their share.
    ///
    /// A share is rarely a whole number of slots: the rank may run the fraction as one more call for as long
    /// as it is behind its share.
    pub(crate) fn is_entitled(&self, limit: u32) -> bool {
        let share = self.share * f64::from(limit);
        let running = f64::from(self.running);
        running + 1.0 <= share || (running < share && self.deficit > 0.0)
    }

    /// Moves the deficit on by `elapsed`.
    ///
    /// Slots that were lent to the rank beyond its share don't count against it, and it collects no claim
    /// while it has nothing queued. The bound keeps an old claim from outlasting a few calls.
    pub(crate) fn accrue(&mut self, now: Duration, elapsed: Duration, limit: u32) {
        let share = self.share * f64::from(limit);
        let used = f64::from(self.running).min(share.ceil());
        let bound = 2.0 * self.estimate.at(now).as_secs_f64().max(0.001);
        self.deficit += (share - used) * elapsed.as_secs_f64();
        self.deficit = self.deficit.clamp(-bound, bound);
        if self.queue.is_empty() {
            self.deficit = self.deficit.min(0.0);
        }
    }
}
