//! Concurrency limit that follows measured latency and load-shed answers.
//!
//! The limit falls by the latency gradient, as in the gradient limits of Netflix's concurrency-limits
//! ("Performance Under Load", 2018), and otherwise rises by a constant step and falls by a constant factor
//! (additive increase, multiplicative decrease; Chiu and Jain, 1989).
//!
//! Latency also rises for reasons that have nothing to do with concurrency, such as a slow dependency of the
//! backend server. A lower limit then only takes capacity away: with calls that took four times as long, the
//! gradient alone kept less than 20 % of the goodput. So a cut that does not lower latency is undone, and the
//! latency is accepted as the usual one.

use std::time::Duration;

use crate::queue::Options;

/// Factor applied to the limit when the backend server sheds load.
const SHED_FACTOR: f64 = 0.8;

/// Part of what shed answers took from the limit that comes back while every slot answers once, beside one slot.
///
/// The backend server that sheds for a time is back at 9 of 10 slots after eight calls on each. A window of
/// [`WINDOW_SAMPLES`] for each slot left it idle for 10 s and more after a fault.
const RECOVERY: f64 = 0.25;

/// Smallest factor applied for latency in one window.
const LARGEST_CUT: f64 = 0.5;

/// Part of the proportional effect on latency from which a cut counts as effective.
const EFFECT: f64 = 0.5;

/// Ratio of latency to baseline above which a window says nothing about the usual latency. Without it, crowding
/// that the limit holds at the tolerance would become the baseline.
const UNUSUAL_RATIO: f64 = 1.5;

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

/// Samples from which the effect of a cut is judged.
const EFFECT_SAMPLES: u32 = 100;

/// Cuts for latency whose effect is being measured.
#[derive(Debug, Clone, Copy)]
struct Cut {
    /// Limit before the first cut.
    before: f64,
    /// Ratio of latency to baseline before the first cut.
    ratio: f64,
    /// Calls that are still to end before the effect is measured, because they started before the last cut.
    skip: u32,
}

#[derive(Debug, Clone)]
pub(crate) struct Limit {
    slots: f64,
    floor: f64,
    tolerance: f64,
    ramp: Duration,
    ramp_start: Duration,
    value: f64,
    /// The limit as it would be without shed answers.
    unshed: f64,
    baselines: Vec<Baseline>,
    window: Window,
    cut: Option<Cut>,
    is_usual: bool,
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
            floor: f64::from(options.min_limit.max(1)).min(slots),
            tolerance: options.latency_tolerance.max(1.0),
            ramp: options.ramp,
            ramp_start: now,
            value: slots,
            unshed: slots,
            baselines: vec![Baseline::default(); ranks],
            window: Window::default(),
            cut: None,
            is_usual: true,
            last_shed: None,
        }
    }

    /// Starts the ramp again and forgets the measured latency.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.ramp_start = now;
        self.value = self.slots;
        self.unshed = self.slots;
        self.window = Window::default();
        self.cut = None;
        self.is_usual = true;
        self.baselines.fill(Baseline::default());
    }

    /// Takes over the slots and ranks of another version of the contract.
    pub(crate) fn reconfigure(&mut self, slots: u32, ranks: usize, floor: u32) {
        self.window = Window::default();
        self.cut = None;
        self.is_usual = true;
        self.baselines = vec![Baseline::default(); ranks];
        let before = self.slots;
        self.slots = f64::from(slots.max(1));
        self.floor = f64::from(floor.max(1)).min(self.slots);
        self.value = (self.value / before * self.slots).clamp(self.floor, self.slots);
        self.unshed = (self.unshed / before * self.slots).clamp(self.floor, self.slots);
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
        if self.value < self.unshed {
            let step = 1.0 + RECOVERY * (self.unshed - self.value);
            self.value = (self.value + step / self.value).min(self.unshed);
        }
        if let Some(cut) = &mut self.cut
            && cut.skip > 0
        {
            cut.skip -= 1;
            return;
        }
        let latency = latency.as_secs_f64();
        let baseline = &mut self.baselines[rank];
        if baseline.samples == 0 || (self.is_usual && self.cut.is_none()) {
            baseline.observe(latency);
        }
        self.window.latency += latency;
        self.window.baseline += baseline.mean;
        self.window.samples += 1;
        let enough = match self.cut {
            Some(_) => EFFECT_SAMPLES,
            None => WINDOW_SAMPLES,
        };
        if self.window.samples >= enough {
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
        self.is_usual = ratio <= UNUSUAL_RATIO;
        if let Some(cut) = self.cut
            && !cut.is_effective(self.value, ratio)
        {
            self.undo(cut);
            return;
        }
        if ratio > self.tolerance {
            self.cut(ratio);
            return;
        }
        self.cut = None;
        self.unshed = (self.unshed + 1.0).min(self.slots);
        self.value = (self.value + 1.0).min(self.unshed);
        if ratio >= INFLATED_RATIO {
            return;
        }
        for baseline in &mut self.baselines {
            baseline.mean *= INFLATED_FACTOR;
        }
    }

    /// Lowers the limit because latency is `ratio` times the usual one.
    fn cut(&mut self, ratio: f64) {
        let factor = (self.tolerance / ratio).max(LARGEST_CUT);
        let before = self.value;
        self.value = (before * factor).max(self.floor);
        self.unshed = self.value;
        let first = self.cut.unwrap_or(Cut {
            before,
            ratio,
            skip: 0,
        });
        let skip = before.ceil() as u32;
        self.cut = Some(Cut { skip, ..first });
    }

    /// Takes cuts back and accepts the latency as the usual one.
    fn undo(&mut self, cut: Cut) {
        self.cut = None;
        self.is_usual = true;
        self.value = cut.before;
        self.unshed = cut.before;
        for baseline in &mut self.baselines {
            baseline.mean *= cut.ratio;
        }
    }
}

impl Baseline {
    fn observe(&mut self, latency: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(BASELINE_WEIGHT);
        self.mean += weight * (latency - self.mean);
    }
}

impl Cut {
    /// Whether latency fell by enough of what the cut to `value` would explain.
    fn is_effective(&self, value: f64, ratio: f64) -> bool {
        let expected = value / self.before;
        ratio <= self.ratio * (1.0 - EFFECT * (1.0 - expected))
    }
}
