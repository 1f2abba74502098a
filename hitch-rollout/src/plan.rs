//! The steps of a rollout: the share of the requests by the elapsed time.

use std::time::Duration;

/// Exposure for which [`STEPS`] is made: the sum of share times time, relative to the duration of the order.
const PLANNED_EXPOSURE: f64 = 0.1;
/// Earliest time of each step relative to the duration of the order, and its share. Up to the last step, the shares sum
/// up to 0.088 of the duration; the last step takes about 0.5 s, 0.033 of an order of 15 s. The second step is the
/// longest: it gives three of 27 backend servers their normal load, so that faults which appear under load show early.
const STEPS: [(f64, f64); 5] = [
    (0.0, 0.03),
    (0.2, 0.1),
    (0.55, 0.15),
    (0.70, 0.3),
    (0.78, 1.0),
];
/// Time relative to the duration after which the order ends as rolled back if it has not completed. The rest is for
/// writing the status.
const GIVE_UP_AT: f64 = 0.93;
/// Time relative to the duration from which the last step does not wait for more new backend servers to warm up.
const ACCEPT_COLD_AT: f64 = 0.85;
/// Least number of canaries. One alone may be lost, or slow for another reason than its version.
const MIN_CANARIES: usize = 2;

/// Index of the last step, in which all requests go to the new version.
pub const LAST_STEP: usize = STEPS.len() - 1;

/// Returns the earliest time of a step after the order.
///
/// ```
/// use std::time::Duration;
/// use hitch_rollout::plan;
/// assert_eq!(plan::earliest(0, Duration::from_secs(15)), Duration::ZERO);
/// ```
pub fn earliest(step: usize, duration: Duration) -> Duration {
    duration.mul_f64(STEPS[step.min(LAST_STEP)].0)
}

/// Returns the share of a step, for a limit on the exposure of an unproved version.
///
/// ```
/// assert_eq!(hitch_rollout::plan::share(0, 0.1), 0.03);
/// assert_eq!(hitch_rollout::plan::share(0, 0.05), 0.015);
/// assert_eq!(hitch_rollout::plan::share(4, 0.05), 1.0);
/// ```
pub fn share(step: usize, exposure: f64) -> f64 {
    match STEPS[step.min(LAST_STEP)].1 {
        share if step >= LAST_STEP => share,
        share => share * (exposure / PLANNED_EXPOSURE).clamp(0.0, 1.0),
    }
}

/// Returns the time after the order at which it ends as rolled back unless it completed.
///
/// ```
/// use std::time::Duration;
/// assert!(hitch_rollout::plan::give_up_at(Duration::from_secs(15)) < Duration::from_secs(14));
/// ```
pub fn give_up_at(duration: Duration) -> Duration {
    duration.mul_f64(GIVE_UP_AT)
}

/// Returns the time after the order from which the last step may be taken with new backend servers that are warming up.
///
/// ```
/// use std::time::Duration;
/// use hitch_rollout::plan;
/// let duration = Duration::from_secs(15);
/// assert!(plan::accept_cold_at(duration) < plan::give_up_at(duration));
/// ```
pub fn accept_cold_at(duration: Duration) -> Duration {
    duration.mul_f64(ACCEPT_COLD_AT)
}

/// Returns the number of backend servers that get a share, so that each has about its normal load.
///
/// ```
/// use hitch_rollout::plan;
/// assert_eq!(plan::canaries(0.03, 27), 2);
/// assert_eq!(plan::canaries(0.1, 27), 3);
/// ```
pub fn canaries(share: f64, old_servers: usize) -> usize {
    let at_normal_load = (share * old_servers as f64).round() as usize;
    at_normal_load.max(MIN_CANARIES)
}
