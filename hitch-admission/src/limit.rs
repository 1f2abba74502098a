//! Concurrency limit that follows measured latency and load-shed answers.
//!
//! The limit falls by the latency gradient, as in the gradient limits of Netflix's concurrency-limits
//! ("Performance Under Load", 2018), and otherwise rises by a constant step and falls by a constant factor
//! (additive increase, multiplicative decrease; Chiu and Jain, 1989).

use std::time::Duration;

use crate::queue::Options;

/// Factor applied to the limit when the backend server sheds load.
const SHED_FACTOR: f64 = 0.8;

/// Smallest factor applied for latency in one window.
const LARGEST_CUT: f64 = 0.5;

/// Weight of a sample in the baseline of its rank once the baseline has settled.
///
/// A lasting change of the service time becomes the new baseline within a few thousand calls.
const BASELINE_WEIGHT: f64 = 1.0 / 1000.0;

/// Ratio of latency to baseline below which the baseline is taken as inflated.
const INFLATED_RATIO: f64 = 0.5;

/// Factor applied to inflated baselines after each window.
const INFLATED_FACTOR: f64 = 0.95;

/// Samples that make up one window; the mean of 50 exponential samples has a standard error of 14 %.
const WINDOW_SAMPLES: u32 = 50;

#[derive(Debug, Clone)]
pub(crate) struct Limit {
    slots: f64,
    floor: f64,
    tolerance: f64,
    ramp: Duration,
    ramp_start: Duration,
    value: f64,
    baselines: Vec<Baseline>,
    window: Window,
    last_shed: Option<Duration>,
}

/// Long-term mean latency of one rank, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Baseline {
    mean: f64,
    samples: u32,
}

/// Sums over the calls of one window.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    latency: f64,
    baseline: f64,
    samples: u32,
}

impl Limit {
    pub(crate) fn new(now: Duration, slots: u32, ranks: usize, options: &Options) -> Self {
        let slots = f64::from(slots.max(1));
        Limit {
            slots,
            floor: f64::from(options.floor.max(1)).min(slots),
            tolerance: options.tolerance.max(1.0),
            ramp: options.ramp,
            ramp_start: now,
            value: slots,
            baselines: vec![Baseline::default(); ranks],
            window: Window::default(),
            last_shed: None,
        }
    }

    /// Starts the ramp again and forgets the measured latency.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.ramp_start = now;
        self.value = self.slots;
        self.window = Window::default();
        self.baselines.fill(Baseline::default());
    }

    /// Takes over the slots and ranks of another version of the contract.
    pub(crate) fn reconfigure(&mut self, slots: u32, ranks: usize, floor: u32) {
        self.window = Window::default();
        self.baselines = vec![Baseline::default(); ranks];
        let used = self.value / self.slots;
        self.slots = f64::from(slots.max(1));
        self.floor = f64::from(floor.max(1)).min(self.slots);
        self.value = (used * self.slots).clamp(self.floor, self.slots);
    }

    /// Calls that may run at once.
    pub(crate) fn at(&self, now: Duration) -> u32 {
        self.value.min(self.ceiling(now)).max(self.floor).floor() as u32
    }

    /// Time at which the ramp admits one more call than at `now`.
    pub(crate) fn next_step(&self, now: Duration) -> Option<Duration> {
        let elapsed = now.saturating_sub(self.ramp_start);
        if elapsed >= self.ramp || self.slots <= self.floor {
            return None;
        }
        let step = self.ramp.div_f64(self.slots - self.floor);
        let steps = (elapsed.as_secs_f64() / step.as_secs_f64()).floor() + 1.0;
        Some(self.ramp_start + step.mul_f64(steps) + Duration::from_micros(1))
    }

    /// Counts a measured latency of `rank`.
    pub(crate) fn observe(&mut self, rank: usize, latency: Duration) {
        let latency = latency.as_secs_f64();
        let baseline = &mut self.baselines[rank];
        baseline.samples = baseline.samples.saturating_add(1);
        let weight = (1.0 / f64::from(baseline.samples)).max(BASELINE_WEIGHT);
        baseline.mean += weight * (latency - baseline.mean);
        self.window.latency += latency;
        self.window.baseline += baseline.mean;
        self.window.samples += 1;
        if self.window.samples == WINDOW_SAMPLES {
            self.close_window();
        }
    }

    /// Lowers the limit, at most once in `interval`, so that one burst of refusals counts once.
    pub(crate) fn shed(&mut self, now: Duration, interval: Duration) {
        if self
            .last_shed
            .is_some_and(|last| now < last.saturating_add(interval))
        {
            return;
        }
        self.last_shed = Some(now);
        let used = self.value.min(self.ceiling(now));
        self.value = (used * SHED_FACTOR).max(self.floor);
    }

    fn ceiling(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.ramp_start);
        if elapsed >= self.ramp {
            return self.slots;
        }
        let part = elapsed.as_secs_f64() / self.ramp.as_secs_f64();
        self.floor + (self.slots - self.floor) * part
    }

    fn close_window(&mut self) {
        let window = std::mem::take(&mut self.window);
        if window.baseline <= 0.0 {
            return;
        }
        let ratio = window.latency / window.baseline;
        if ratio > self.tolerance {
            let factor = (self.tolerance / ratio).max(LARGEST_CUT);
            self.value = (self.value * factor).max(self.floor);
            return;
        }
        self.value = (self.value + 1.0).min(self.slots);
        if ratio >= INFLATED_RATIO {
            return;
        }
        for baseline in &mut self.baselines {
            baseline.mean *= INFLATED_FACTOR;
        }
    }
}
