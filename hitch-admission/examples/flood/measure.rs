//! Simulated scenarios and the results that are compared with the design targets.

use std::time::Duration;

use hitch_admission::Options;
use hitch_contract::Rank;

use crate::sim::Load;
use crate::sim::Scenario;
use crate::sim::Tally;

/// Offered load of a flooding rank, as a multiple of the capacity of the backend server.
const FLOOD_LOAD: f64 = 10.0;

/// Normal load of each rank, as a fraction of the capacity of the backend server.
const NORMAL_LOAD: [f64; 3] = [0.3, 0.3, 0.2];

/// Load of the other ranks during a flood of the most urgent one, as a multiple of their share: enough to use
/// all of it.
const LOAD_PER_SHARE: f64 = 1.5;

/// Guaranteed shares in percent.
const SHARES: [u8; 3] = [40, 30, 20];

/// Service times of the three ranks.
#[derive(Debug)]
pub struct Profile {
    /// Name in the output.
    pub name: &'static str,
    /// Constant part, and mean of the exponential part, in milliseconds.
    service_times: [(u64, u64); 3],
}

/// Service times with a large and with a small variance. With a small variance, queueing has more weight in
/// the 99th percentile. The least urgent calls take longest.
pub const PROFILES: [Profile; 2] = [
    Profile {
        name: "spread",
        service_times: [(5, 15), (5, 25), (10, 50)],
    },
    Profile {
        name: "even",
        service_times: [(19, 1), (28, 2), (57, 3)],
    },
];

/// Results of all scenarios with one profile, number of slots and seed.
#[derive(Debug, Clone, Copy)]
pub struct Measured {
    /// Name of the profile.
    pub profile: &'static str,
    /// Slots of the backend server.
    pub slots: u32,
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// 99th percentile latency of the most urgent rank without a flood, in milliseconds.
    pub calm_p99_ms: f64,
    /// 99th percentile latency of the most urgent rank during a flood of the least urgent rank, in
    /// milliseconds.
    pub flood_p99_ms: f64,
    /// Like `flood_p99_ms`, with a first-in-first-out queue.
    pub fifo_p99_ms: f64,
    /// Goodput of the two more urgent ranks during that flood, relative to the goodput without it; the lower
    /// of the two.
    pub goodput_kept: f64,
    /// Like `goodput_kept`, with a first-in-first-out queue.
    pub fifo_goodput_kept: f64,
    /// Work done on time for the other ranks during a flood of the most urgent one, as a fraction of their
    /// guaranteed share; the lower of the two.
    pub share_kept: f64,
    /// Work done on time when the offered load equals the capacity, as a fraction of the capacity.
    pub full_work: f64,
    /// Work done on time when the offered load is ten times the capacity, as a fraction of the capacity.
    pub tenfold_work: f64,
    /// Work done on time at tenfold load while every call takes four times as long, relative to the same run
    /// with a limit that ignores latency.
    pub slow_kept: f64,
    /// Like `full_work`, with a first-in-first-out queue.
    pub fifo_full_work: f64,
    /// Like `tenfold_work`, with a first-in-first-out queue.
    pub fifo_tenfold_work: f64,
}

impl Measured {
    /// Ratio of the 99th percentile latency during the flood to that without one.
    pub fn p99_ratio(&self) -> f64 {
        self.flood_p99_ms / self.calm_p99_ms
    }

    /// Ratio of the work done on time at tenfold load to that at capacity.
    pub fn overload_kept(&self) -> f64 {
        self.tenfold_work / self.full_work
    }
}

/// Runs every scenario once with the same seed.
pub fn run_scenarios(profile: &Profile, slots: u32, seed: u64, length: Duration) -> Measured {
    let scenario =
        |load_fractions: [f64; 3]| scenario(profile, slots, seed, length, load_fractions);
    let normal = scenario(NORMAL_LOAD);
    let normal_tallies = normal.run();
    let least_urgent_flood = scenario([NORMAL_LOAD[0], NORMAL_LOAD[1], FLOOD_LOAD]);
    let flooded = least_urgent_flood.run();
    let fifo = least_urgent_flood.run_fifo();
    let most_urgent_flood = scenario([
        FLOOD_LOAD,
        share(1) * LOAD_PER_SHARE,
        share(2) * LOAD_PER_SHARE,
    ]);
    let mut slow_adaptive = scenario(NORMAL_LOAD.map(|fraction| fraction / 0.8 * FLOOD_LOAD));
    slow_adaptive.slowdown = 4.0;
    let mut slow_fixed_limit = slow_adaptive.clone();
    slow_fixed_limit.options.latency_tolerance = f64::INFINITY;
    // NORMAL_LOAD adds up to 0.8 of the capacity.
    let full = scenario(NORMAL_LOAD.map(|fraction| fraction / 0.8));
    let tenfold = scenario(NORMAL_LOAD.map(|fraction| fraction / 0.8 * FLOOD_LOAD));
    Measured {
        profile: profile.name,
        slots,
        seed,
        calm_p99_ms: normal_tallies[0].p99_ms(),
        flood_p99_ms: flooded[0].p99_ms(),
        fifo_p99_ms: fifo[0].p99_ms(),
        goodput_kept: goodput_kept(&normal_tallies, &flooded),
        fifo_goodput_kept: goodput_kept(&normal_tallies, &fifo),
        share_kept: share_kept(&most_urgent_flood),
        full_work: total_work(&full, &full.run()),
        tenfold_work: total_work(&tenfold, &tenfold.run()),
        slow_kept: total_work(&slow_adaptive, &slow_adaptive.run())
            / total_work(&slow_fixed_limit, &slow_fixed_limit.run()),
        fifo_full_work: total_work(&full, &full.run_fifo()),
        fifo_tenfold_work: total_work(&tenfold, &tenfold.run_fifo()),
    }
}

fn goodput_kept(normal: &[Tally], flooded: &[Tally]) -> f64 {
    let kept = |rank: usize| flooded[rank].goodput() / normal[rank].goodput();
    kept(0).min(kept(1))
}

fn share_kept(scenario: &Scenario) -> f64 {
    let tallies = scenario.run();
    let kept = |rank: usize| work_fraction(scenario, &tallies, rank) / share(rank);
    kept(1).min(kept(2))
}

/// Work done on time for all ranks, as a fraction of the capacity.
fn total_work(scenario: &Scenario, tallies: &[Tally]) -> f64 {
    (0..tallies.len())
        .map(|rank| work_fraction(scenario, tallies, rank))
        .sum()
}

/// Work done on time for one rank, as a fraction of the capacity.
fn work_fraction(scenario: &Scenario, tallies: &[Tally], rank: usize) -> f64 {
    let seconds_on_time = tallies[rank].on_time as f64 * scenario.loads[rank].mean();
    let measured_seconds = (scenario.end - scenario.warm_up).as_secs_f64();
    seconds_on_time / measured_seconds / f64::from(scenario.slots)
}

fn share(rank: usize) -> f64 {
    f64::from(SHARES[rank]) / 100.0
}

/// Creates a scenario in which each rank offers the given fraction of the capacity.
fn scenario(
    profile: &Profile,
    slots: u32,
    seed: u64,
    length: Duration,
    load_fractions: [f64; 3],
) -> Scenario {
    let ms = Duration::from_millis;
    let load = |rank: usize, (constant, exponential): (u64, u64), deadline: u64| Load {
        warm_up_per_second: NORMAL_LOAD[rank] * f64::from(slots) * 1e3
            / (constant + exponential) as f64,
        per_second: load_fractions[rank] * f64::from(slots) * 1e3 / (constant + exponential) as f64,
        constant: ms(constant),
        exponential: ms(exponential),
        deadline: ms(deadline),
    };
    let [urgent, middle, least] = profile.service_times;
    Scenario {
        slots,
        ranks: vec![
            rank("urgent", 150, 100, SHARES[0]),
            rank("middle", 300, 20, SHARES[1]),
            rank("least", 800, 1, SHARES[2]),
        ],
        loads: vec![
            load(0, urgent, 1000),
            load(1, middle, 1000),
            load(2, least, 2000),
        ],
        full_speed_calls: slots,
        slowdown: 1.0,
        options: Options::default(),
        seed,
        warm_up: ms(5000),
        end: ms(5000) + length,
    }
}

fn rank(name: &str, target_ms: u64, worth: u32, share_percent: u8) -> Rank {
    Rank {
        name: name.into(),
        target_latency: Duration::from_millis(target_ms),
        worth,
        share_percent,
        admit_per_second: 0,
    }
}
