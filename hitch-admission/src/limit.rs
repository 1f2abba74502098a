//! Adaptive concurrency limit, driven by measured latency and by load-shed answers of the backend server.
//!
//! When latency rises, the limit falls in proportion to the latency gradient, as in the gradient limits of
//! Netflix's concurrency-limits ("Performance Under Load", 2018). Otherwise it rises by a constant step, and
//! falls by a constant factor at a load-shed answer (additive increase, multiplicative decrease; Chiu and
//! Jain, 1989).
//!
//! Latency also rises for reasons unrelated to concurrency, such as a slow dependency of the backend server.
//! A lower limit then only takes capacity away: with calls that took four times as long, the gradient alone
//! kept less than 20 % of the goodput. A reduction that does not lower latency is therefore reverted, and the
//! higher latency becomes the baseline.

use std::time::Duration;

use crate::queue::Options;

/// Factor applied to the limit when the backend server sheds load.
const SHED_FACTOR: f64 = 0.8;

/// Fraction of the reduction by load-shed answers that is restored, in addition to one slot, in the time in
/// which every slot answers one call.
///
/// After the last load-shed answer the limit is back at 9 of 10 slots within eight calls per slot. When it
/// rose by one slot per window of [`WINDOW_SAMPLES`], the backend server was partly idle for 10 s and more
/// after a fault.
const SHED_RECOVERY: f64 = 0.25;

/// Smallest factor applied to the limit for the latency of one window.
const MIN_LATENCY_FACTOR: f64 = 0.5;

/// Fraction of the expected drop in latency, taken as proportional to the limit, from which a reduction
/// counts as effective.
const MIN_EFFECT: f64 = 0.5;

/// Ratio of latency to baseline above which the following samples do not update the baselines. Without it,
/// contention at the backend server that the limit holds at the tolerance would become the baseline.
const MAX_BASELINE_UPDATE_RATIO: f64 = 1.5;

/// Smallest weight of a sample in the baseline of its rank; the first samples weigh more.
///
/// A lasting change of the service time becomes the new baseline within a few thousand calls.
const MIN_BASELINE_WEIGHT: f64 = 1.0 / 1000.0;

/// Ratio of latency to baseline below which the baselines are considered too high.
const INFLATED_RATIO: f64 = 0.5;

/// Factor applied to baselines that are too high, once per window.
const INFLATED_FACTOR: f64 = 0.95;

/// Samples in one window; the mean of 50 exponential samples has a standard error of 14 %.
const WINDOW_SAMPLES: u32 = 50;

/// Samples in a window that measures the effect of a reduction.
const EFFECT_SAMPLES: u32 = 100;

/// One or more reductions of the limit for high latency, whose effect is being measured.
#[derive(Debug, Clone, Copy)]
struct Reduction {
    /// Limit before the first reduction.
    limit_before: f64,
    /// Ratio of latency to baseline before the first reduction.
    ratio_before: f64,
    /// Answers still to be ignored, because their calls started before the latest reduction.
    ignored_answers: u32,
}

/// The limit and the measurements that drive it. Limits are fractional; only [`Limit::current`] rounds down.
#[derive(Debug, Clone)]
pub(crate) struct Limit {
    slots: f64,
    min_limit: f64,
    latency_tolerance: f64,
    ramp: Duration,
    ramp_start: Duration,
    /// Limit before the ramp is applied.
    value: f64,
    /// Limit from latency alone, without the reductions for load-shed answers.
    limit_without_shed: f64,
    /// Baseline latency of each rank, by its index.
    baselines: Vec<Baseline>,
    window: Window,
    reduction: Option<Reduction>,
    /// Whether the last window was close enough to the baselines for samples to update them.
    updates_baselines: bool,
    last_shed: Option<Duration>,
}

/// Long-term mean latency of one rank, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Baseline {
    mean: f64,
    samples: u32,
}

/// Sums over the answered calls of one measurement window, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    latency_sum: f64,
    baseline_sum: f64,
    samples: u32,
}

impl Limit {
    pub(crate) fn new(now: Duration, slots: u32, ranks: usize, options: &Options) -> Self {
        let slots = f64::from(slots.max(1));
        Limit {
            slots,
            min_limit: f64::from(options.min_limit.max(1)).min(slots),
            latency_tolerance: options.latency_tolerance.max(1.0),
            ramp: options.ramp,
            ramp_start: now,
            value: slots,
            limit_without_shed: slots,
            baselines: vec![Baseline::default(); ranks],
            window: Window::default(),
            reduction: None,
            updates_baselines: true,
            last_shed: None,
        }
    }

    /// Restarts the ramp and discards the measured latency.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.ramp_start = now;
        self.value = self.slots;
        self.limit_without_shed = self.slots;
        self.window = Window::default();
        self.reduction = None;
        self.updates_baselines = true;
        self.baselines.fill(Baseline::default());
    }

    /// Applies the slots and ranks of another version of the contract, and scales the limit to the new slots.
    pub(crate) fn reconfigure(&mut self, slots: u32, ranks: usize, min_limit: u32) {
        self.window = Window::default();
        self.reduction = None;
        self.updates_baselines = true;
        self.baselines = vec![Baseline::default(); ranks];
        let slots_before = self.slots;
        self.slots = f64::from(slots.max(1));
        self.min_limit = f64::from(min_limit.max(1)).min(self.slots);
        self.value = (self.value / slots_before * self.slots).clamp(self.min_limit, self.slots);
        self.limit_without_shed =
            (self.limit_without_shed / slots_before * self.slots).clamp(self.min_limit, self.slots);
    }

    /// Returns the number of calls that may run concurrently at `now`.
    pub(crate) fn current(&self, now: Duration) -> u32 {
        self.value
            .min(self.ramp_ceiling(now))
            .max(self.min_limit)
            .floor() as u32
    }

    /// Returns the time at which the ramp next raises the limit by one call, `None` once the ramp is over.
    pub(crate) fn next_ramp_step(&self, now: Duration) -> Option<Duration> {
        let elapsed = now.saturating_sub(self.ramp_start);
        if elapsed >= self.ramp || self.slots <= self.min_limit {
            return None;
        }
        let step = self.ramp.div_f64(self.slots - self.min_limit);
        let steps = (elapsed.as_secs_f64() / step.as_secs_f64()).floor() + 1.0;
        Some(self.ramp_start + step.mul_f64(steps) + Duration::from_micros(1))
    }

    /// Records the latency of an answered call of `rank`.
    pub(crate) fn observe(&mut self, rank: usize, latency: Duration) {
        if self.value < self.limit_without_shed {
            let step = 1.0 + SHED_RECOVERY * (self.limit_without_shed - self.value);
            self.value = (self.value + step / self.value).min(self.limit_without_shed);
        }
        if let Some(reduction) = &mut self.reduction
            && reduction.ignored_answers > 0
        {
            reduction.ignored_answers -= 1;
            return;
        }
        let latency = latency.as_secs_f64();
        let baseline = &mut self.baselines[rank];
        if baseline.samples == 0 || (self.updates_baselines && self.reduction.is_none()) {
            baseline.observe(latency);
        }
        self.window.latency_sum += latency;
        self.window.baseline_sum += baseline.mean;
        self.window.samples += 1;
        let required_samples = match self.reduction {
            Some(_) => EFFECT_SAMPLES,
            None => WINDOW_SAMPLES,
        };
        if self.window.samples >= required_samples {
            self.close_window();
        }
    }

    /// Lowers the limit for a load-shed answer, at most once in `interval`, so that a burst of such answers
    /// counts once.
    pub(crate) fn observe_shed(&mut self, now: Duration, interval: Duration) {
        if self
            .last_shed
            .is_some_and(|last| now < last.saturating_add(interval))
        {
            return;
        }
        self.last_shed = Some(now);
        let effective_limit = self.value.min(self.ramp_ceiling(now));
        self.value = (effective_limit * SHED_FACTOR).max(self.min_limit);
    }

    /// Upper bound of the limit, which rises linearly during the ramp.
    fn ramp_ceiling(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.ramp_start);
        if elapsed >= self.ramp {
            return self.slots;
        }
        let fraction = elapsed.as_secs_f64() / self.ramp.as_secs_f64();
        self.min_limit + (self.slots - self.min_limit) * fraction
    }

    /// Adjusts the limit and the baselines to the samples of the window, and starts a new window.
    fn close_window(&mut self) {
        let window = std::mem::take(&mut self.window);
        if window.baseline_sum <= 0.0 {
            return;
        }
        let ratio = window.latency_sum / window.baseline_sum;
        self.updates_baselines = ratio <= MAX_BASELINE_UPDATE_RATIO;
        if let Some(reduction) = self.reduction
            && !reduction.is_effective(self.value, ratio)
        {
            self.revert(reduction);
            return;
        }
        if ratio > self.latency_tolerance {
            self.reduce(ratio);
            return;
        }
        self.reduction = None;
        self.limit_without_shed = (self.limit_without_shed + 1.0).min(self.slots);
        self.value = (self.value + 1.0).min(self.limit_without_shed);
        if ratio >= INFLATED_RATIO {
            return;
        }
        for baseline in &mut self.baselines {
            baseline.mean *= INFLATED_FACTOR;
        }
    }

    /// Lowers the limit because latency is `ratio` times the baseline.
    fn reduce(&mut self, ratio: f64) {
        let factor = (self.latency_tolerance / ratio).max(MIN_LATENCY_FACTOR);
        let limit_before = self.value;
        self.value = (limit_before * factor).max(self.min_limit);
        self.limit_without_shed = self.value;
        let combined = self.reduction.unwrap_or(Reduction {
            limit_before,
            ratio_before: ratio,
            ignored_answers: 0,
        });
        let ignored_answers = limit_before.ceil() as u32;
        self.reduction = Some(Reduction {
            ignored_answers,
            ..combined
        });
    }

    /// Reverts reductions that had no effect, and raises the baselines to the latency before them.
    fn revert(&mut self, reduction: Reduction) {
        self.reduction = None;
        self.updates_baselines = true;
        self.value = reduction.limit_before;
        self.limit_without_shed = reduction.limit_before;
        for baseline in &mut self.baselines {
            baseline.mean *= reduction.ratio_before;
        }
    }
}

impl Baseline {
    fn observe(&mut self, latency: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_BASELINE_WEIGHT);
        self.mean += weight * (latency - self.mean);
    }
}

impl Reduction {
    /// Whether latency fell by at least [`MIN_EFFECT`] of the drop expected from the reduced `limit`.
    fn is_effective(&self, limit: f64, ratio: f64) -> bool {
        let expected_ratio = limit / self.limit_before;
        ratio <= self.ratio_before * (1.0 - MIN_EFFECT * (1.0 - expected_ratio))
    }
}
