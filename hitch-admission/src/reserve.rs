//! Protection of the most urgent rank from calls that were started before its own.
//!
//! A running call is never preempted, so an urgent call that finds every slot lent out waits for the first
//! one to end. When the other calls are long, of little variance and started together, this wait can exceed
//! the service time of the urgent call. While that happens, one slot is kept free of lent work, and the
//! starts of the other ranks are spaced out, so that they do not end together either.
//!
//! Whether it happens is found by stochastic approximation of a quantile of the wait (Robbins and Monro, "A
//! Stochastic Approximation Method", 1951): each call that waits too long adds a step, each other one takes
//! off the part of a step that balances them when the accepted part of the calls waits too long.

use std::time::Duration;

/// Wait that counts as too long, as a part of the rank's long service time.
const LONG_WAIT: f64 = 0.2;

/// Part of the calls that may wait too long.
const ACCEPTED: f64 = 0.01;

/// Level added for each call that waits too long.
const STEP: f64 = 0.25;

/// Level from which the rank is protected.
const THRESHOLD: f64 = 0.5;

/// Time in which the level of a rank without calls falls to a third.
const DECAY: Duration = Duration::from_secs(10);

/// Spacing of starts as a part of the spacing at which a rank would fill every slot. A factor of 1 leaves no
/// room to catch up after a gap, and the rank then misses its share.
const SPACING: f64 = 0.9;

/// Lateness of a start that the next one makes up for, because timers fire late. A longer one lets starts
/// bunch up.
const SLACK: Duration = Duration::from_micros(500);

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reserve {
    level: f64,
    next_start: Duration,
}

impl Reserve {
    /// Slots to keep free of lent work.
    pub(crate) fn slots(&self) -> u32 {
        u32::from(self.level >= THRESHOLD)
    }

    /// Earliest start of a call of another rank.
    pub(crate) fn next_start(&self) -> Duration {
        match self.slots() {
            0 => Duration::ZERO,
            _ => self.next_start,
        }
    }

    /// Counts a started call of the most urgent rank.
    pub(crate) fn observe_wait(&mut self, wait: Duration, long_service: Duration) {
        let change = match wait > long_service.mul_f64(LONG_WAIT) {
            true => STEP,
            false => -STEP * ACCEPTED / (1.0 - ACCEPTED),
        };
        self.level = (self.level + change).clamp(0.0, 1.0);
    }

    /// Counts a started call of another rank, whose mean service time is `service`.
    pub(crate) fn observe_start(&mut self, now: Duration, service: Duration, limit: u32) {
        let spacing = service.mul_f64(SPACING / f64::from(limit.max(1)));
        self.next_start = self.next_start.max(now.saturating_sub(SLACK)) + spacing;
    }

    pub(crate) fn decay(&mut self, elapsed: Duration) {
        self.level *= (-elapsed.as_secs_f64() / DECAY.as_secs_f64()).exp();
    }
}
