//! Slot reservation and spacing of starts, which protect the most urgent rank from running calls of other
//! ranks.
//!
//! A running call is never preempted, so an urgent call that finds every slot in use by other ranks waits for
//! the first of their calls to end. When these calls are long, have a low variance and started together, the
//! wait can exceed the service time of the urgent call. While that happens, one slot is not available to
//! calls beyond the guaranteed share of their rank, and the starts of the other ranks are spaced out, so that
//! their calls do not end together either.
//!
//! Such waits are detected by stochastic approximation of a quantile of the wait (Robbins and Monro, "A
//! Stochastic Approximation Method", 1951). Each call that waits too long raises a level by one step, and
//! each other call lowers it by a fraction of the step. The two balance when exactly the accepted fraction of
//! the calls waits too long.

use std::time::Duration;

/// Wait that counts as too long, as a fraction of the upper bound of the rank's service time. In a queue with a rank of
/// nested calls, it is a fraction of the time limit of a nested call and of the target latency of others: a call of 30 ms
/// with a limit of 400 ms may wait 80 ms, and a slot that is kept free for less wait is idle for nothing.
const LONG_WAIT_RATIO: f64 = 0.2;

/// Fraction of the calls that may wait too long.
const ACCEPTED_LONG_WAITS: f64 = 0.01;

/// Amount by which a call that waits too long raises the level, which is between 0 and 1.
const LEVEL_STEP: f64 = 0.25;

/// Level from which a slot is reserved and starts are spaced out.
const RESERVE_LEVEL: f64 = 0.5;

/// Time constant of the exponential decay of the level, which ends the reservation of a rank without calls.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Spacing of starts, as a fraction of the spacing that keeps all slots in use. A factor of 1 leaves no room
/// to catch up after a gap, and the rank then misses its share.
const SPACING_FACTOR: f64 = 0.9;

/// Largest delay of a start that the next start makes up for, needed because timers fire late. With a larger
/// value starts cluster.
const MAX_CATCH_UP: Duration = Duration::from_micros(500);

/// Whether the most urgent rank waits too long, and when calls of other ranks may start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reserve {
    level: f64,
    next_start: Duration,
}

impl Reserve {
    /// Returns the number of slots reserved for the most urgent rank and for ranks below their guaranteed
    /// share.
    pub(crate) fn reserved_slots(&self) -> u32 {
        u32::from(self.level >= RESERVE_LEVEL)
    }

    /// Returns the earliest time at which a call of another rank may start.
    pub(crate) fn next_start(&self) -> Duration {
        match self.reserved_slots() {
            0 => Duration::ZERO,
            _ => self.next_start,
        }
    }

    /// Records the wait of a started call of the most urgent rank, and adjusts the level. `scale` is the upper bound of
    /// the rank's service time, the time limit of a nested call or the target latency.
    pub(crate) fn observe_wait(&mut self, wait: Duration, scale: Duration) {
        let change = match wait > scale.mul_f64(LONG_WAIT_RATIO) {
            true => LEVEL_STEP,
            false => -LEVEL_STEP * ACCEPTED_LONG_WAITS / (1.0 - ACCEPTED_LONG_WAITS),
        };
        self.level = (self.level + change).clamp(0.0, 1.0);
    }

    /// Records the start of a call of another rank, and spaces out the next start.
    pub(crate) fn observe_start(&mut self, now: Duration, mean_service_time: Duration, limit: u32) {
        let spacing = mean_service_time.mul_f64(SPACING_FACTOR / f64::from(limit.max(1)));
        self.next_start = self.next_start.max(now.saturating_sub(MAX_CATCH_UP)) + spacing;
    }

    pub(crate) fn decay(&mut self, elapsed: Duration) {
        self.level *= (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
    }
}
