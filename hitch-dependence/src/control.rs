//! Refuses the fraction of new requests whose nested calls would find no room, at the node that would run them.
//!
//! For each service behind, a control keeps the rate of nested calls that the requests it admits may lead to. A step
//! down goes to the rate that found room (the rate that ran times the share that did not fail), so that one step is
//! about right whatever the overload; steps up are a constant factor (additive increase and multiplicative decrease of
//! Chiu and Jain, 1989, would need many steps for a load that is 2.6 times as high). Because the bound is a rate, it
//! has no effect as soon as the load is below it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::decay::DecayingSum;
use crate::demand;
use crate::demand::Demand;
use crate::demand::MIN_ADMITTED;
use crate::demand::RATE_TIME;
use crate::learn::Dependence;
use crate::learn::entry;

/// Time after a step down for which nested calls are ignored: they belong to requests that were admitted before, and may
/// fail as late as their time limit of 400 ms or more. With 250 ms, the bound fell several
/// times before the first step had its effect.
const FEEDBACK_DELAY: Duration = Duration::from_millis(700);
/// Time and least number of nested calls over which the failed share is averaged before a step down, from the moment at
/// which it was noticed: the first calls of an overload are a mix of failed and earlier ones. Of 40 calls of which a fifth
/// fails, the share has a standard error of 0.06.
const AVERAGING_TIME: Duration = Duration::from_millis(250);
const MIN_CALLS: u32 = 40;
/// Least number of nested calls before a step up.
const MIN_CALLS_TO_RISE: u32 = 10;
/// Failed calls that are expected, if a step down has no effect, before it is judged.
const MIN_FAILURES: f64 = 5.0;
/// Smallest weight of a nested call in the average of the failed share.
const MIN_CALL_WEIGHT: f64 = 0.03;
/// Least and greatest time that a step up counts for.
const MIN_RISE_TIME: Duration = Duration::from_millis(200);
const MAX_RISE_TIME: Duration = Duration::from_millis(500);
/// Smallest factor of a step down.
const MAX_STEP_DOWN: f64 = 0.5;
/// As [`MAX_STEP_DOWN`], while there is a bound. It is near what has room, and while calls wait behind, more of them fail
/// than the bound exceeds it.
const MAX_FURTHER_STEP_DOWN: f64 = 0.75;
/// Factor by which a bound rises in a second without failures.
const RISE_PER_SECOND: f64 = 1.3;
/// As [`RISE_PER_SECOND`], for a bound below half of what ran before there was one: the service behind has returned.
const FAST_RISE_PER_SECOND: f64 = 4.0;
/// Largest ratio of a rising bound to what ran. A bound that has no effect at present does not rise without limit, as it
/// is needed when the load rises again.
const MAX_BOUND_RATIO: f64 = 1.25;
/// Time since the last step down after which a bound is removed.
const RELEASE_TIME: Duration = Duration::from_secs(10);
/// Ratio of the bound to the one before a series of steps down from which the effect of the series is judged, and the
/// largest factor of the first step. Without an effect, the failures have another cause than lack of room, and refusing
/// requests only takes answers away; smaller first steps took several seconds to show that.
const JUDGED_RATIO: f64 = 0.65;
/// Time after a step down by which it is judged, also if few nested calls have ended.
const MAX_JUDGING_TIME: Duration = Duration::from_secs(2);
/// Fraction of the expected drop of the failed share from which a series counts as effective.
const MIN_EFFECT: f64 = 0.5;
/// Failed share above which steps without effect are kept: such a service fails nearly every run.
const HOPELESS_SHARE: f64 = 0.8;
/// Time for which no bound is set after steps without effect; it doubles each time, up to [`MAX_HOLD_TIME`].
const HOLD_TIME: Duration = Duration::from_secs(5);
const MAX_HOLD_TIME: Duration = Duration::from_secs(60);
/// Time after which what was reported of a route is not used any more.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// Settings of a control.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Share of failed nested calls above which fewer requests are admitted.
    pub accepted_failures: f64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            accepted_failures: 0.15,
        }
    }
}

/// Why a request is refused: a service that its run would call has no room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The service without room.
    pub service: Box<str>,
    /// Time after which a new request is likely to be admitted; the sooner, the more urgent the request is.
    pub retry_after: Duration,
}

/// Admission of the requests that enter at one place.
#[derive(Debug, Clone, Default)]
pub struct Control {
    options: Options,
    routes: BTreeMap<Box<str>, Route>,
    services: BTreeMap<Box<str>, Behind>,
}

/// What the runs of a route need, as reported last.
#[derive(Debug, Clone, Default)]
struct Route {
    needs: Vec<Need>,
    reported_at: Duration,
}

#[derive(Debug, Clone)]
struct Need {
    service: Box<str>,
    calls: f64,
}

/// Bound on the nested calls to one service.
#[derive(Debug, Clone, Default)]
struct Behind {
    /// Nested calls that requests of each rank would make, admitted or not.
    demand: Demand,
    /// Nested calls of the requests that ran.
    ran: DecayingSum,
    /// Nested calls a second that admitted requests may make, or `None` without a bound.
    bound: Option<f64>,
    /// Nested calls a second that ran before there was a bound.
    unbounded: f64,
    stepped_down_at: Option<Duration>,
    risen_at: Duration,
    /// Average failed share since the effect of the last step down, or since `over_since`.
    failed: f64,
    /// Time at which the average was first above what is accepted.
    over_since: Option<Duration>,
    ended: u32,
    series: Option<Series>,
    hold_until: Duration,
    hold_time: Duration,
}

/// Steps down that followed each other.
#[derive(Debug, Clone, Copy)]
struct Series {
    bound_before: f64,
    failed_before: f64,
}

impl Control {
    /// Creates a control that admits every request.
    ///
    /// ```
    /// let mut control = hitch_dependence::Control::new(Default::default());
    /// assert!(control.admit(Default::default(), "/balance/", 0, 0.0).is_ok());
    /// ```
    pub fn new(options: Options) -> Control {
        Control {
            options,
            routes: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }

    /// Decides on a new request of a route. `random` is uniform from 0 to 1.
    ///
    /// ```
    /// let mut control = hitch_dependence::Control::new(Default::default());
    /// assert_eq!(control.admit(Default::default(), "/balance/", 0, 0.0), Ok(()));
    /// ```
    pub fn admit(
        &mut self,
        now: Duration,
        route: &str,
        rank: u32,
        random: f64,
    ) -> Result<(), Refusal> {
        let Some(route) = self.routes.get(route) else {
            return Ok(());
        };
        if now > route.reported_at + REPORT_TTL {
            return Ok(());
        }
        let mut refusal = None;
        let mut least = 1.0;
        for need in &route.needs {
            let Some(behind) = entry(&mut self.services, &need.service) else {
                continue;
            };
            behind.demand.add(now, rank, need.calls);
            let admitted = behind.demand.admitted_fraction(now, rank, behind.bound);
            if admitted < least {
                least = admitted;
                refusal = Some(Refusal {
                    service: need.service.clone(),
                    retry_after: demand::retry_after(admitted),
                });
            }
        }
        match refusal {
            Some(refusal) if random >= least => Err(refusal),
            _ => Ok(()),
        }
    }

    /// Records that a request of a route has run, and what the runs of the route depend on.
    ///
    /// ```
    /// let mut control = hitch_dependence::Control::new(Default::default());
    /// control.ran(Default::default(), "/balance/", &[]);
    /// ```
    pub fn ran(&mut self, now: Duration, route: &str, dependences: &[Dependence]) {
        let Some(known) = entry(&mut self.routes, route) else {
            return;
        };
        known.reported_at = now;
        known.needs.clear();
        for dependence in dependences {
            known.needs.push(Need {
                service: dependence.service.clone(),
                calls: dependence.calls,
            });
            if let Some(behind) = entry(&mut self.services, &dependence.service) {
                behind.ran.add(now, dependence.calls, RATE_TIME);
            }
        }
    }

    /// Records the end of a nested call to a service, and how far it failed for lack of room, from 0 to 1.
    ///
    /// ```
    /// let mut control = hitch_dependence::Control::new(Default::default());
    /// control.nested_ended(Default::default(), "wallet", 0.0);
    /// ```
    pub fn nested_ended(&mut self, now: Duration, service: &str, failed: f64) {
        if let Some(behind) = entry(&mut self.services, service) {
            behind.observe(now, failed, &self.options);
        }
    }

    /// Returns the services whose room bounds new requests, with the fraction of the requests that is admitted.
    ///
    /// ```
    /// let control = hitch_dependence::Control::new(Default::default());
    /// assert_eq!(control.bounded(Default::default()).count(), 0);
    /// ```
    pub fn bounded(&self, now: Duration) -> impl Iterator<Item = (&str, f64)> {
        self.services.iter().filter_map(move |(name, behind)| {
            let bound = behind.bound?;
            let demand = behind.demand.rate(now).max(f64::MIN_POSITIVE);
            Some((&**name, (bound / demand).clamp(MIN_ADMITTED, 1.0)))
        })
    }
}

impl Behind {
    /// Records the end of a nested call, and changes the bound when there are enough of them.
    fn observe(&mut self, now: Duration, failed: f64, options: &Options) {
        let waits_for_effect = |stepped: Duration| now < stepped + FEEDBACK_DELAY;
        if self.stepped_down_at.is_some_and(waits_for_effect) {
            return;
        }
        self.ended = self.ended.saturating_add(1);
        let weight = (1.0 / f64::from(self.ended)).max(MIN_CALL_WEIGHT);
        self.failed += weight * (failed.clamp(0.0, 1.0) - self.failed);
        if let Some(series) = self.series {
            let is_overdue = |stepped: Duration| now > stepped + MAX_JUDGING_TIME;
            let expected_failures = f64::from(self.ended) * series.failed_before;
            let has_enough = self.ended >= MIN_CALLS_TO_RISE && expected_failures >= MIN_FAILURES;
            if !has_enough && !self.stepped_down_at.is_some_and(is_overdue) {
                return;
            }
            self.judge(now, options);
        }
        if self.failed <= options.accepted_failures {
            self.over_since = None;
            let has_enough = self.ended >= MIN_CALLS_TO_RISE;
            if self.failed <= options.accepted_failures / 2.0 && has_enough {
                self.step_up(now);
            }
            return;
        }
        if self.bound.is_none() && self.over_since.is_none() {
            self.over_since = Some(now);
            self.ended = 0;
            return;
        }
        let is_averaged = |since: Duration| now >= since + AVERAGING_TIME;
        if self.ended >= MIN_CALLS && self.over_since.is_none_or(is_averaged) {
            self.step_down(now, options);
        }
    }

    fn step_down(&mut self, now: Duration, options: &Options) {
        if now < self.hold_until {
            return;
        }
        let failed = self.failed;
        // What ran at present says little about requests that failed after the load went back.
        let bound = self.bound.unwrap_or(self.ran.rate(now, RATE_TIME));
        if self.bound.is_none() {
            self.unbounded = bound;
        }
        self.series.get_or_insert(Series {
            bound_before: bound,
            failed_before: failed,
        });
        // Half of the accepted failures remain on average, as the steps up lead to the others.
        let factor = (1.0 - failed) / (1.0 - options.accepted_failures / 2.0);
        let (least, largest) = match self.bound {
            Some(_) => (MAX_FURTHER_STEP_DOWN, 1.0),
            None => (MAX_STEP_DOWN, JUDGED_RATIO),
        };
        let floor = self.demand.rate(now) * MIN_ADMITTED;
        self.bound = Some((bound * factor.clamp(least, largest)).max(floor));
        self.stepped_down_at = Some(now);
        self.risen_at = now;
        self.over_since = None;
        self.ended = 0;
    }

    /// Judges the steps down by their effect. Without one the bound is removed; otherwise it becomes what had room.
    fn judge(&mut self, now: Duration, options: &Options) {
        let (Some(series), Some(bound)) = (self.series, self.bound) else {
            return;
        };
        if bound > series.bound_before * (JUDGED_RATIO + f64::EPSILON) {
            return;
        }
        self.series = None;
        if series.has_no_effect(bound, self.failed) {
            self.bound = None;
            self.hold_time = (self.hold_time * 2).clamp(HOLD_TIME, MAX_HOLD_TIME);
            self.hold_until = now + self.hold_time;
        } else if self.failed <= options.accepted_failures {
            self.bound = Some(bound.max(series.with_room()));
            self.hold_time = Duration::ZERO;
        }
    }

    fn step_up(&mut self, now: Duration) {
        self.series = None;
        let Some(bound) = self.bound else { return };
        let elapsed = now.saturating_sub(self.risen_at);
        if elapsed < MIN_RISE_TIME {
            return;
        }
        self.risen_at = now;
        let seconds = elapsed.min(MAX_RISE_TIME).as_secs_f64();
        let (rise, most) = match bound < self.unbounded / 2.0 {
            true => (FAST_RISE_PER_SECOND, f64::INFINITY),
            false => (
                RISE_PER_SECOND,
                self.ran.rate(now, RATE_TIME) * MAX_BOUND_RATIO,
            ),
        };
        let risen = (bound * rise.powf(seconds)).min(most.max(bound));
        let is_old = |stepped: Duration| now > stepped + RELEASE_TIME;
        self.bound = (!self.stepped_down_at.is_some_and(is_old)).then_some(risen);
    }
}

impl Series {
    /// Returns the rate of nested calls that had room before the series.
    fn with_room(&self) -> f64 {
        (1.0 - self.failed_before) * self.bound_before
    }

    /// Returns whether the steps down have not lowered the failed share. If lack of room is the cause, what has room is
    /// the same at each bound.
    fn has_no_effect(&self, bound: f64, failed: f64) -> bool {
        if failed >= HOPELESS_SHARE {
            return false;
        }
        let expected = (1.0 - self.with_room() / bound.max(f64::MIN_POSITIVE)).max(0.0);
        let expected_drop = self.failed_before - expected;
        self.failed_before - failed < expected_drop * MIN_EFFECT
    }
}
