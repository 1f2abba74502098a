//! `Retry-After` of requests that were refused for lack of room.

use std::time::Duration;

/// Least `Retry-After` of the most urgent requests.
const LEAST: Duration = Duration::from_millis(100);
/// Part of [`LEAST`] that each rank adds: a more urgent request comes back before a less urgent one.
const RANK_PART: f64 = 0.2;
/// Most ranks that count.
const MAX_RANK: u32 = 7;
/// Largest `Retry-After`, as a fraction of the target latency. A request that comes back later is answered late at best,
/// and takes the place of one that could be in time: in the model of hitch-dependence, without this bound 15 % of the
/// usual requests during an overload were answered late, and a third of those after it were not answered in time.
const MAX_TARGET_FRACTION: f64 = 0.4;
/// Smallest factor and range of the factors that spread requests around the expected time, so that those that were refused
/// together do not come back together.
const LEAST_FACTOR: f64 = 0.75;
const FACTOR_RANGE: f64 = 0.5;

/// Returns the `Retry-After` of a request that is expected to have room after `until_room`, by its rank (0 is the most
/// urgent one) and target latency. `random` is uniform from 0 to 1.
///
/// ```
/// use std::time::Duration;
/// use hitch_admission::retry_after;
///
/// let target = Duration::from_millis(800);
/// let until_room = Duration::from_millis(250);
/// assert_eq!(retry_after::spread(until_room, 0, target, 0.5), until_room);
/// ```
pub fn spread(until_room: Duration, rank: u32, target: Duration, random: f64) -> Duration {
    let least = LEAST.mul_f64(1.0 + RANK_PART * f64::from(rank.min(MAX_RANK)));
    let most = target.mul_f64(MAX_TARGET_FRACTION);
    let factor = LEAST_FACTOR + FACTOR_RANGE * random.clamp(0.0, 1.0);
    until_room.max(least).min(most).mul_f64(factor)
}
