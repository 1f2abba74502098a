//! Counts of answers by route, and their totals over backend servers and time.

use std::collections::BTreeMap;
use std::time::Duration;

/// Number of latency buckets: the last one starts at 1 ms times 2^13, about 8 s.
pub const BUCKETS: usize = 28;
/// Lower bound of the second latency bucket. Each further bound is greater by the square root of 2.
const FIRST_BOUND: Duration = Duration::from_millis(1);
/// Time over which answers of the old and the new version are compared with each other: the interval of the reports. With
/// 1 s, a step of the share within the slot mixed times of few and of many failures differently for the two versions.
const SLOT: Duration = Duration::from_millis(250);

/// Counts of one route's answers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Answers of a backend server that has warmed up, and calls that it failed to answer.
    pub answers: u32,
    /// Failures among them.
    pub failures: u32,
    /// Answers during the warm-up, and calls that were not answered.
    pub cold_answers: u32,
    /// Failures among them, without calls that were not answered in time.
    pub cold_failures: u32,
    /// Answers by their latency, without those of the warm-up. Missing buckets are empty.
    pub buckets: Vec<u32>,
}

impl Counts {
    /// Adds other counts to these.
    ///
    /// ```
    /// use hitch_rollout::evidence::Counts;
    /// let mut counts = Counts { answers: 1, buckets: vec![1], ..Counts::default() };
    /// counts.add(&Counts { answers: 2, buckets: vec![0, 2], ..Counts::default() });
    /// assert_eq!((counts.answers, counts.buckets), (3, vec![1, 2]));
    /// ```
    pub fn add(&mut self, other: &Counts) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.cold_answers += other.cold_answers;
        self.cold_failures += other.cold_failures;
        if self.buckets.len() < other.buckets.len() {
            self.buckets.resize(other.buckets.len(), 0);
        }
        for (count, more) in self.buckets.iter_mut().zip(&other.buckets) {
            *count += more;
        }
    }

    /// Returns how much these counts have grown since `earlier` counts of the same incarnation.
    fn since(&self, earlier: &Counts) -> Counts {
        let buckets = self.buckets.iter().enumerate();
        Counts {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            cold_answers: self.cold_answers.saturating_sub(earlier.cold_answers),
            cold_failures: self.cold_failures.saturating_sub(earlier.cold_failures),
            buckets: buckets
                .map(|(i, count)| {
                    count.saturating_sub(earlier.buckets.get(i).copied().unwrap_or(0))
                })
                .collect(),
        }
    }

    /// Returns the number of answers whose latency was measured.
    pub(crate) fn measured(&self) -> u32 {
        self.buckets.iter().sum()
    }

    /// Returns the number of answers in the bucket `first` and the slower ones.
    pub(crate) fn count_from(&self, first: usize) -> u32 {
        self.buckets.iter().skip(first).sum()
    }

    /// Returns the sum of the latencies in seconds, by the lower bounds of the buckets.
    pub(crate) fn latency_sum(&self) -> f64 {
        let buckets = self.buckets.iter().enumerate();
        buckets.map(|(i, n)| f64::from(*n) * lower_bound(i)).sum()
    }
}

/// Returns the bucket of a latency.
///
/// ```
/// use std::time::Duration;
/// use hitch_rollout::evidence;
/// assert_eq!(evidence::bucket(Duration::from_micros(900)), 0);
/// assert_eq!(evidence::bucket(Duration::from_millis(3)), 4);
/// ```
pub fn bucket(latency: Duration) -> usize {
    let ratio = latency.as_secs_f64() / FIRST_BOUND.as_secs_f64();
    match ratio >= 1.0 {
        true => (1 + (2.0 * ratio.log2()) as usize).min(BUCKETS - 1),
        false => 0,
    }
}

fn lower_bound(bucket: usize) -> f64 {
    FIRST_BOUND.as_secs_f64() * 2f64.powf((bucket as f64 - 1.0) / 2.0)
}

/// Report of the node next to a backend server. The counts are totals since the node learned of the order, so that a
/// lost report is made up for by the next one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Address of the node.
    pub address: Box<str>,
    /// Version of the backend server.
    pub version: Box<str>,
    /// Identity of the incarnation of the backend server.
    pub incarnation: Box<str>,
    /// Number of the report, increasing within an incarnation.
    pub number: u64,
    /// Calls for the backend server that run or wait.
    pub in_flight: u32,
    /// Whether the backend server accepts calls.
    pub accepts: bool,
    /// Whether the backend server is warming up.
    pub is_cold: bool,
    /// Counts by route.
    pub routes: BTreeMap<Box<str>, Counts>,
}

/// What is known of a backend server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Whether it has the new version.
    pub is_new: bool,
    /// Whether it accepts calls.
    pub accepts: bool,
    /// Whether it is warming up.
    pub is_cold: bool,
    /// Calls for it that run or wait.
    pub in_flight: u32,
    /// Time of the latest report.
    pub reported_at: Duration,
    /// Time at which its total counts changed last.
    pub changed_at: Duration,
    incarnation: Box<str>,
    number: u64,
    routes: BTreeMap<Box<str>, Counts>,
}

impl Server {
    /// Iterates over the total counts by route.
    pub(crate) fn routes(&self) -> impl Iterator<Item = (&Box<str>, &Counts)> {
        self.routes.iter()
    }
}

/// Counts of both versions for one route over one slot of time.
#[derive(Debug, Clone, Default)]
pub struct Stratum {
    /// Counts of the old version.
    pub old: Counts,
    /// Counts of the new version.
    pub new: Counts,
}

/// Counts of one backend server by route and slot.
pub(crate) type CountsOfServer = BTreeMap<(Box<str>, u64), Counts>;

/// The evidence of all backend servers.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    target_version: Box<str>,
    pub(crate) strata: BTreeMap<(Box<str>, u64), Stratum>,
    /// Counts of each new backend server by route and slot.
    pub(crate) new_servers: BTreeMap<Box<str>, CountsOfServer>,
    /// The latest slot.
    last_slot: u64,
    servers: BTreeMap<Box<str>, Server>,
}

impl Tally {
    /// Creates an empty tally for a new version.
    ///
    /// ```
    /// assert_eq!(hitch_rollout::evidence::Tally::new("v2").servers().count(), 0);
    /// ```
    pub fn new(target_version: &str) -> Tally {
        Tally {
            target_version: target_version.into(),
            ..Tally::default()
        }
    }

    /// Adds a report. One that arrives out of order is ignored.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_rollout::evidence::*;
    /// let mut tally = Tally::new("v2");
    /// let report = Report { address: "n-1".into(), version: "v2".into(), incarnation: "i-1".into(), number: 1,
    ///     in_flight: 0, accepts: true, is_cold: false, routes: Default::default() };
    /// tally.add(Duration::ZERO, report);
    /// assert!(tally.servers().all(|(_, server)| server.is_new));
    /// ```
    pub fn add(&mut self, now: Duration, report: Report) {
        let known = self.servers.get(&report.address);
        let known = known.filter(|server| server.incarnation == report.incarnation);
        if known.is_some_and(|server| server.number >= report.number) {
            return;
        }
        let is_new = report.version == self.target_version;
        let slot = now.as_millis() as u64 / SLOT.as_millis() as u64;
        self.last_slot = self.last_slot.max(slot);
        let mut has_changed = known.is_none();
        for (route, counts) in &report.routes {
            let earlier = known.and_then(|server| server.routes.get(route));
            let growth = counts.since(earlier.unwrap_or(&Counts::default()));
            if growth == Counts::default() || growth.answers + growth.cold_answers == 0 {
                continue;
            }
            has_changed = true;
            let stratum = self.strata.entry((route.clone(), slot)).or_default();
            match is_new {
                true => {
                    stratum.new.add(&growth);
                    let server = self.new_servers.entry(report.address.clone()).or_default();
                    server
                        .entry((route.clone(), slot))
                        .or_default()
                        .add(&growth);
                }
                false => stratum.old.add(&growth),
            }
        }
        let changed_at = match known {
            Some(server) if !has_changed => server.changed_at,
            _ => now,
        };
        let server = Server {
            is_new,
            accepts: report.accepts,
            is_cold: report.is_cold,
            in_flight: report.in_flight,
            reported_at: now,
            changed_at,
            incarnation: report.incarnation,
            number: report.number,
            routes: report.routes,
        };
        self.servers.insert(report.address, server);
    }

    /// Returns the first slot of the latest ones that together have the length `time`.
    pub(crate) fn slot_before(&self, time: Duration) -> u64 {
        let slots = time.as_millis() / SLOT.as_millis();
        (self.last_slot + 1).saturating_sub(slots as u64)
    }

    /// Iterates over the backend servers that reported, by the address of their node.
    ///
    /// ```
    /// assert_eq!(hitch_rollout::evidence::Tally::new("v2").servers().count(), 0);
    /// ```
    pub fn servers(&self) -> impl Iterator<Item = (&str, &Server)> {
        let servers = self.servers.iter();
        servers.map(|(address, server)| (&**address, server))
    }

    /// Returns the total counts of the old and the new version.
    ///
    /// ```
    /// let (old, new) = hitch_rollout::evidence::Tally::new("v2").totals();
    /// assert_eq!((old.answers, new.answers), (0, 0));
    /// ```
    pub fn totals(&self) -> (Counts, Counts) {
        let (mut old, mut new) = (Counts::default(), Counts::default());
        for stratum in self.strata.values() {
            old.add(&stratum.old);
            new.add(&stratum.new);
        }
        (old, new)
    }
}
