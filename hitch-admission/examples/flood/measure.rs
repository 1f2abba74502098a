//! The measures of the design's table of targets.

use std::time::Duration;

use hitch_admission::Options;
use hitch_contract::Rank;

use crate::sim::Load;
use crate::sim::Setup;
use crate::sim::Tally;

/// Admission load of a flood, as a multiple of the capacity of the backend server.
const FLOOD: f64 = 10.0;

/// Ordinary load of each rank, as a part of the capacity of the backend server.
const ORDINARY: [f64; 3] = [0.3, 0.3, 0.2];

/// Load of the ranks that are held to their share, as a multiple of the share.
const ABOVE_SHARE: f64 = 1.5;

/// Guaranteed shares in percent.
const SHARES: [u8; 3] = [40, 30, 20];

/// Service times of the three ranks.
#[derive(Debug)]
pub struct Profile {
    /// Name in the report.
    pub name: &'static str,
    /// Constant part and mean of the exponential part, in milliseconds.
    times: [(u64, u64); 3],
}

/// Service times with a large and with a small variance; a small one makes waiting weigh more in the 99th
/// percentile. The least urgent calls are the longest.
pub const PROFILES: [Profile; 2] = [
    Profile {
        name: "spread",
        times: [(5, 15), (5, 25), (10, 50)],
    },
    Profile {
        name: "even",
        times: [(19, 1), (28, 2), (57, 3)],
    },
];

/// What one run of all scenarios measured.
#[derive(Debug, Clone, Copy)]
pub struct Measured {
    /// Name of the profile.
    pub profile: &'static str,
    /// Slots of the backend server.
    pub slots: u32,
    /// Seed of the run.
    pub seed: u64,
    /// 99th percentile of the urgent rank without a flood, in milliseconds.
    pub calm_p99_ms: f64,
    /// The same during a flood of the least urgent rank.
    pub flood_p99_ms: f64,
    /// The same in a first-in-first-out queue.
    pub fifo_p99_ms: f64,
    /// Goodput that the two more urgent ranks keep in that flood, the lower of the two.
    pub goodput_kept: f64,
    /// The same in a first-in-first-out queue.
    pub fifo_goodput_kept: f64,
    /// Work done on time for the other ranks in a flood of the most urgent one, as a part of their
    /// guaranteed share; the lower of the two.
    pub share_kept: f64,
    /// Work done on time when the offered load is the capacity, as a part of the capacity.
    pub full_work: f64,
    /// Work done on time when the offered load is ten times the capacity, as a part of the capacity.
    pub tenfold_work: f64,
    /// Work done on time at tenfold load while every call takes four times as long, against the same with a
    /// fixed limit.
    pub slow_kept: f64,
    /// Like `full_work`, in a first-in-first-out queue.
    pub fifo_full_work: f64,
    /// Like `tenfold_work`, in a first-in-first-out queue.
    pub fifo_tenfold_work: f64,
}

impl Measured {
    /// Ratio of the flooded to the calm 99th percentile.
    pub fn p99_ratio(&self) -> f64 {
        self.flood_p99_ms / self.calm_p99_ms
    }

    /// Ratio of the work done at tenfold load to that at capacity.
    pub fn overload_kept(&self) -> f64 {
        self.tenfold_work / self.full_work
    }
}

/// Runs every scenario.
pub fn at(profile: &Profile, slots: u32, seed: u64, length: Duration) -> Measured {
    let setup = |parts: [f64; 3]| setup(profile, slots, seed, length, parts);
    let calm = setup(ORDINARY);
    let calm_tallies = calm.run();
    let least = setup([ORDINARY[0], ORDINARY[1], FLOOD]);
    let flooded = least.run();
    let fifo = least.run_fifo();
    let urgent = setup([FLOOD, share(1) * ABOVE_SHARE, share(2) * ABOVE_SHARE]);
    let mut slow = setup(ORDINARY.map(|part| part / 0.8 * FLOOD));
    slow.slow_down = 4.0;
    let mut fixed = slow.clone();
    fixed.options.latency_tolerance = f64::INFINITY;
    let full = setup(ORDINARY.map(|part| part / 0.8));
    let tenfold = setup(ORDINARY.map(|part| part / 0.8 * FLOOD));
    Measured {
        profile: profile.name,
        slots,
        seed,
        calm_p99_ms: calm_tallies[0].p99_ms(),
        flood_p99_ms: flooded[0].p99_ms(),
        fifo_p99_ms: fifo[0].p99_ms(),
        goodput_kept: kept(&calm_tallies, &flooded),
        fifo_goodput_kept: kept(&calm_tallies, &fifo),
        share_kept: share_kept(&urgent),
        full_work: work(&full, &full.run()),
        tenfold_work: work(&tenfold, &tenfold.run()),
        slow_kept: work(&slow, &slow.run()) / work(&fixed, &fixed.run()),
        fifo_full_work: work(&full, &full.run_fifo()),
        fifo_tenfold_work: work(&tenfold, &tenfold.run_fifo()),
    }
}

fn kept(calm: &[Tally], flooded: &[Tally]) -> f64 {
    let kept = |rank: usize| flooded[rank].goodput() / calm[rank].goodput();
    kept(0).min(kept(1))
}

fn share_kept(setup: &Setup) -> f64 {
    let tallies = setup.run();
    let kept = |rank: usize| part(setup, &tallies, rank) / share(rank);
    kept(1).min(kept(2))
}

/// Work done on time over all ranks, as a part of the capacity.
fn work(setup: &Setup, tallies: &[Tally]) -> f64 {
    (0..tallies.len())
        .map(|rank| part(setup, tallies, rank))
        .sum()
}

/// Work done on time for one rank, as a part of the capacity.
fn part(setup: &Setup, tallies: &[Tally], rank: usize) -> f64 {
    let done = tallies[rank].on_time as f64 * setup.loads[rank].mean();
    let counted = (setup.end - setup.warm_up).as_secs_f64();
    done / counted / f64::from(setup.slots)
}

fn share(rank: usize) -> f64 {
    f64::from(SHARES[rank]) / 100.0
}

/// Makes a run in which each rank offers the given part of the capacity.
fn setup(profile: &Profile, slots: u32, seed: u64, length: Duration, parts: [f64; 3]) -> Setup {
    let ms = Duration::from_millis;
    let load = |rank: usize, (constant, exponential): (u64, u64), deadline: u64| Load {
        warm_up_per_second: ORDINARY[rank] * f64::from(slots) * 1e3
            / (constant + exponential) as f64,
        per_second: parts[rank] * f64::from(slots) * 1e3 / (constant + exponential) as f64,
        constant: ms(constant),
        exponential: ms(exponential),
        deadline: ms(deadline),
    };
    let [urgent, middle, least] = profile.times;
    Setup {
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
        full_speed: slots,
        slow_down: 1.0,
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
