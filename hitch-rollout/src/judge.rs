//! Comparison of the new version with the old one.
//!
//! Answers are compared within strata, one for each route and slot of time (Mantel-Haenszel test), because failures and
//! latencies of both versions change with the demand and with the services behind them. The test is repeated with
//! every report, so its bounds are stricter than those of a single test.
//!
//! Source: Mantel, Haenszel, "Statistical Aspects of the Analysis of Data From Retrospective Studies of Disease", 1959.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::evidence::Counts;
use crate::evidence::CountsOfServer;
use crate::evidence::Stratum;
use crate::evidence::Tally;

/// Standard deviations by which bad answers must exceed the expected number.
const MIN_DEVIATIONS: f64 = 4.5;
/// Number by which bad answers must exceed the expected number.
const MIN_EXCESS: f64 = 6.0;
/// The same if all of the evidence comes from one backend server, which may itself be in trouble.
const MIN_EXCESS_OF_ONE: f64 = 12.0;
/// Time at the end of the order so far that is also compared by itself. A version that becomes bad would be found later by
/// all of the evidence, most of which is older.
const RECENT: Duration = Duration::from_millis(2_500);
/// Answers that the other backend servers of the new version must have had before the worst one is left out.
const MIN_ANSWERS_OF_OTHERS: u32 = 10;
/// Number by which the bad answers of the other backend servers must exceed the expected number.
const MIN_EXCESS_OF_OTHERS: f64 = 5.0;
/// The same in standard deviations.
const MIN_DEVIATIONS_OF_OTHERS: f64 = 4.0;
/// Share of the old version's answers that are slower than the limit, at most.
const SLOW_TAIL: f64 = 0.02;
/// Buckets between that quantile and the limit. Backend servers of one version differ in speed; one bucket is a factor
/// of 1.4.
const SLOW_MARGIN_BUCKETS: usize = 1;
/// The same while few new backend servers have answered, which may all be among the slow ones.
const SLOW_MARGIN_BUCKETS_OF_FEW: usize = 2;
/// New backend servers from which on they are not few.
const MANY_NEW_SERVERS: usize = 4;
/// Answers of the old version that are needed to set the limit.
const MIN_OLD_ANSWERS: u32 = 50;
/// Ratio of the mean latency to that of the old version from which the new one is bad.
const MIN_LATENCY_RATIO: f64 = 1.6;
/// Standard deviations by which the mean latency must exceed that of the old version.
const MIN_LATENCY_DEVIATIONS: f64 = 3.0;
/// Measured answers of a backend server that are needed for its mean.
const MIN_MEASURED_OF_SERVER: u32 = 15;
/// Backend servers of the old version that are needed to know how much they differ in speed.
const MIN_OLD_SERVERS: usize = 3;
/// Least standard deviation of the logarithm of the speed that is assumed: that of speeds spread evenly from 0.5 to 1.6.
/// Few old servers may happen to be alike.
const MIN_SPEED_SPREAD: f64 = 0.33;
/// Failures during the warm-up from which the new version is bad, if they are also [`MIN_COLD_FAILURE_SHARE`] of the
/// answers. A cold start explains slow answers, and some failures that follow from them.
const MIN_COLD_FAILURES: u32 = 20;
/// Share of the answers during the warm-up, on top of twice that of the old version.
const MIN_COLD_FAILURE_SHARE: f64 = 0.3;

/// Why the new version is bad.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// What was compared.
    pub kind: &'static str,
    /// Route on which it was found, or `None` if it was found over all routes.
    pub route: Option<Box<str>>,
    /// Answers of the new version.
    pub answers: u32,
    /// Bad answers of the new version, or its relative latency.
    pub observed: f64,
    /// What the old version at the same times explains.
    pub expected: f64,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let route = self.route.as_deref().unwrap_or("all routes");
        write!(
            f,
            "{} on {route}: {:.1} in {} answers, expected {:.1}",
            self.kind, self.observed, self.answers, self.expected
        )
    }
}

/// Compares the versions, and returns why the new one is bad, if it is.
///
/// ```
/// use hitch_rollout::evidence::Tally;
/// assert_eq!(hitch_rollout::judge::judge(&Tally::new("v2")), None);
/// ```
pub fn judge(tally: &Tally) -> Option<Finding> {
    let mut by_route: BTreeMap<&str, Vec<&Stratum>> = BTreeMap::new();
    for ((route, _), stratum) in &tally.strata {
        by_route.entry(route).or_default().push(stratum);
    }
    let margin = match tally.new_servers.len() < MANY_NEW_SERVERS {
        true => SLOW_MARGIN_BUCKETS_OF_FEW,
        false => SLOW_MARGIN_BUCKETS,
    };
    let limits: BTreeMap<&str, usize> = by_route
        .iter()
        .filter_map(|(route, strata)| Some((*route, slow_limit(strata)? + margin)))
        .collect();
    let failures = |_: &str, counts: &Counts| (counts.failures, counts.answers);
    let slow = |route: &str, counts: &Counts| match limits.get(route) {
        Some(limit) => (counts.count_from(*limit), counts.measured()),
        None => (0, 0),
    };
    let mut routes: Vec<Option<&str>> = by_route.keys().map(|route| Some(*route)).collect();
    routes.push(None);
    for first_slot in [0, tally.slot_before(RECENT)] {
        for route in &routes {
            let scope = Scope {
                route: *route,
                first_slot,
            };
            let finding = compare(tally, "failures", scope, failures);
            let finding = finding.or_else(|| compare(tally, "slow answers", scope, slow));
            if finding.is_some() {
                return finding;
            }
        }
    }
    compare_means(tally).or_else(|| judge_warm_up(tally))
}

/// Returns the first bucket that holds only the slowest answers of the old version on a route, if it has had enough.
fn slow_limit(strata: &[&Stratum]) -> Option<usize> {
    let mut old = Counts::default();
    for stratum in strata {
        old.add(&stratum.old);
    }
    let measured = old.measured();
    if measured < MIN_OLD_ANSWERS {
        return None;
    }
    let max_tail = (f64::from(measured) * SLOW_TAIL) as u32;
    (0..=old.buckets.len()).find(|first| old.count_from(*first) <= max_tail)
}

/// Strata that are compared.
#[derive(Debug, Clone, Copy)]
struct Scope<'a> {
    /// The route, or `None` for all.
    route: Option<&'a str>,
    first_slot: u64,
}

impl Scope<'_> {
    fn contains(self, route: &str, slot: u64) -> bool {
        slot >= self.first_slot && self.route.is_none_or(|own| own == route)
    }
}

/// Compares the numbers of bad answers, which `count` returns together with the number of all answers.
fn compare(
    tally: &Tally,
    kind: &'static str,
    scope: Scope<'_>,
    count: impl Fn(&str, &Counts) -> (u32, u32),
) -> Option<Finding> {
    let (mut observed, mut expected, mut variance, mut answers) = (0.0, 0.0, 0.0, 0);
    for ((route, slot), stratum) in &tally.strata {
        if !scope.contains(route, *slot) {
            continue;
        }
        let (old, old_n) = count(route, &stratum.old);
        let (new, new_n) = count(route, &stratum.new);
        if old_n == 0 || new_n == 0 {
            continue;
        }
        answers += new_n;
        let (bad, n) = (f64::from(old + new), f64::from(old_n + new_n));
        let new_n = f64::from(new_n);
        observed += f64::from(new);
        expected += new_n * bad / n;
        variance += new_n * (n - new_n) * bad * (n - bad) / (n * n * (n - 1.0));
    }
    let excess = observed - expected;
    if excess < MIN_EXCESS || excess < MIN_DEVIATIONS * variance.sqrt() {
        return None;
    }
    let others = without_worst(tally, scope, &count);
    let is_confirmed = match others.answers >= MIN_ANSWERS_OF_OTHERS {
        true => {
            let min_excess = MIN_DEVIATIONS_OF_OTHERS * others.variance.sqrt();
            others.bad - others.expected >= min_excess.max(MIN_EXCESS_OF_OTHERS)
        }
        false => excess >= MIN_EXCESS_OF_ONE,
    };
    is_confirmed.then(|| Finding {
        kind,
        route: scope.route.map(Box::from),
        answers,
        observed,
        expected,
    })
}

/// Answers of all new backend servers but the worst one.
#[derive(Debug, Default)]
struct Others {
    answers: u32,
    bad: f64,
    /// Expected number of bad answers by the share of the old version, and the variance of that number.
    expected: f64,
    variance: f64,
}

/// Adds up the answers of all new backend servers but the worst one, which may be in trouble for another reason than its
/// version.
fn without_worst(
    tally: &Tally,
    scope: Scope<'_>,
    count: &impl Fn(&str, &Counts) -> (u32, u32),
) -> Others {
    let total = |server: &CountsOfServer| {
        let strata = server.iter();
        let strata = strata.filter(|((route, slot), _)| scope.contains(route, *slot));
        let counts = strata.map(|((route, _), counts)| count(route, counts));
        counts.fold((0, 0), |sum, (bad, n)| (sum.0 + bad, sum.1 + n))
    };
    let worst = tally
        .new_servers
        .values()
        .max_by_key(|server| total(server));
    let mut others = Others::default();
    for ((route, slot), stratum) in &tally.strata {
        let (old_bad, old_n) = count(route, &stratum.old);
        if !scope.contains(route, *slot) || old_n == 0 {
            continue;
        }
        let (new_bad, new_n) = count(route, &stratum.new);
        let of_worst = worst.and_then(|worst| worst.get(&(route.clone(), *slot)));
        let (worst_bad, worst_n) = of_worst.map_or((0, 0), |counts| count(route, counts));
        let others_n = new_n.saturating_sub(worst_n);
        let old_share = f64::from(old_bad) / f64::from(old_n);
        let expected = f64::from(others_n) * old_share;
        others.answers += others_n;
        others.bad += f64::from(new_bad.saturating_sub(worst_bad));
        others.expected += expected;
        others.variance += expected * (1.0 - old_share);
    }
    others
}

/// Compares the mean latencies of the new servers with those of the old ones. Backend servers of one version differ in
/// speed, so the unit of the comparison is the server: the mean of the logarithms of their latencies relative to the old
/// version must exceed what the spread among the old servers explains.
fn compare_means(tally: &Tally) -> Option<Finding> {
    let mut old_counts: BTreeMap<&str, Counts> = BTreeMap::new();
    for ((route, _), stratum) in &tally.strata {
        old_counts.entry(route).or_default().add(&stratum.old);
    }
    old_counts.retain(|_, counts| counts.measured() > 0);
    let (mut old_logs, mut new_logs, mut answers) = (Vec::new(), Vec::new(), 0);
    for (_, server) in tally.servers() {
        let (mut measured, mut sum, mut expected) = (0, 0.0, 0.0);
        for (route, counts) in server.routes() {
            if let Some(old) = old_counts.get(&**route) {
                measured += counts.measured();
                sum += counts.latency_sum();
                expected +=
                    f64::from(counts.measured()) * old.latency_sum() / f64::from(old.measured());
            }
        }
        if measured < MIN_MEASURED_OF_SERVER || sum <= 0.0 || expected <= 0.0 {
            continue;
        }
        let log = (sum / expected).ln();
        match server.is_new {
            true => {
                answers += measured;
                new_logs.push(log);
            }
            false => old_logs.push(log),
        }
    }
    if new_logs.is_empty() || old_logs.len() < MIN_OLD_SERVERS {
        return None;
    }
    let mean = |logs: &[f64]| logs.iter().sum::<f64>() / logs.len() as f64;
    let (old_mean, new_mean) = (mean(&old_logs), mean(&new_logs));
    let squares: Vec<f64> = old_logs
        .iter()
        .map(|log| (log - old_mean).powi(2))
        .collect();
    let spread = mean(&squares).sqrt().max(MIN_SPEED_SPREAD);
    let error = spread * (1.0 / new_logs.len() as f64 + 1.0 / old_logs.len() as f64).sqrt();
    let excess = new_mean - old_mean;
    let is_bad = excess > MIN_LATENCY_RATIO.ln() && excess > MIN_LATENCY_DEVIATIONS * error;
    is_bad.then(|| Finding {
        kind: "mean latency relative to the old version",
        route: None,
        answers,
        observed: new_mean.exp(),
        expected: old_mean.exp(),
    })
}

fn judge_warm_up(tally: &Tally) -> Option<Finding> {
    let (mut observed, mut expected, mut answers) = (0, 0.0, 0);
    for Stratum { old, new } in tally.strata.values() {
        let old_answers = old.answers + old.cold_answers;
        if old_answers == 0 {
            continue;
        }
        let old_share = f64::from(old.failures + old.cold_failures) / f64::from(old_answers);
        answers += new.cold_answers;
        observed += new.cold_failures;
        expected += f64::from(new.cold_answers) * old_share;
    }
    let limit = f64::from(answers) * MIN_COLD_FAILURE_SHARE + 2.0 * expected;
    let is_bad = observed >= MIN_COLD_FAILURES && f64::from(observed) >= limit;
    is_bad.then_some(Finding {
        kind: "failures during the warm-up",
        route: None,
        answers,
        observed: observed.into(),
        expected,
    })
}
