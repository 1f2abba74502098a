//! End of a running call.

use std::time::Duration;

use crate::queue::Call;
use crate::queue::CallState;
use crate::queue::Queue;
use crate::queue::Ticket;

/// How a running call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finished {
    /// The backend server answered the call completely.
    Answered {
        /// Time from sending the call to the backend server until its answer was complete.
        latency: Duration,
    },
    /// The backend server refused the call because it is overloaded.
    Shed,
    /// The call failed in another way. Its latency is not measured, because a failure can be faster than an
    /// answer.
    Failed,
    /// The call was cancelled, by its caller or because its deadline passed.
    Cancelled,
}

impl Queue {
    /// Frees the slot of a running call and records how the call ended. A ticket that is not running is
    /// ignored.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_admission::Finished;
    /// use hitch_admission::Ticket;
    ///
    /// let service = hitch_contract::Service { name: "ledger".into(), slots: 13, connections: 130 };
    /// let mut queue = hitch_admission::Queue::new(Duration::ZERO, &service, &[], Default::default());
    /// queue.finish(Duration::ZERO, Ticket::default(), Finished::Failed);
    /// assert_eq!(queue.running(), 0);
    /// ```
    pub fn finish(&mut self, now: Duration, ticket: Ticket, finished: Finished) {
        self.update_to(now);
        let Some(call) = self.calls.get(ticket) else {
            return;
        };
        let since = match call.state {
            CallState::Queued => return,
            CallState::Running { since } | CallState::Cancelling { since } => since,
        };
        let Some(call) = self.remove(ticket) else {
            return;
        };
        match finished {
            Finished::Answered { latency } => self.observe_latency(now, &call, latency),
            Finished::Shed => self.limit.observe_shed(now, self.max_service_time(now)),
            Finished::Failed => {}
            Finished::Cancelled => self.observe_cancelled(now, &call, now.saturating_sub(since)),
        }
    }

    fn observe_latency(&mut self, now: Duration, call: &Call, latency: Duration) {
        self.classes.observe(now, call.class, latency);
        let Some(rank) = call.rank else { return };
        self.ranks[rank.position()]
            .service_time
            .observe(now, latency);
        self.limit.observe(rank.position(), latency);
    }

    /// Records the elapsed time of a cancelled call if it exceeds the mean service time.
    ///
    /// Without such calls, the measurement would include only calls that were fast enough to be answered.
    fn observe_cancelled(&mut self, now: Duration, call: &Call, elapsed: Duration) {
        let Some(rank) = call.rank else { return };
        let mean = match self.options.bounded_by_time {
            true => self.classes.service_time(call.class).mean_at(now),
            false => self.service_time(now, rank),
        };
        if elapsed > mean {
            self.observe_latency(now, call, elapsed);
        }
    }

    fn max_service_time(&self, now: Duration) -> Duration {
        let mut longest = Duration::ZERO;
        for rank in &self.ranks {
            longest = longest.max(rank.service_time.mean_at(now));
        }
        longest
    }
}
