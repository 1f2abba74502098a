//! Simulates the admission queue in virtual time, with floods of the least and of the most urgent rank and
//! with overload, and prints the results.
//!
//! The tests check the design targets with the same code.

mod measure;
mod sim;

use std::time::Duration;

use argh::FromArgs;
use serde_json::json;

use crate::measure::Measured;

/// Slots of a backend server in the current deployments.
const SLOTS: [u32; 2] = [13, 18];

/// Measures the queue in virtual time.
#[derive(FromArgs)]
struct Args {
    /// print JSON in place of the table
    #[argh(switch)]
    json: bool,
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds, at most 100
    #[argh(option, default = "5")]
    seeds: u64,
    /// seconds of virtual time measured in each run, at most 300
    #[argh(option, default = "30")]
    seconds: u64,
}

fn main() {
    let args: Args = argh::from_env();
    let length = Duration::from_secs(args.seconds.clamp(1, 300));
    let mut measured = Vec::new();
    for profile in &measure::PROFILES {
        for slots in SLOTS {
            for seed in args.seed..args.seed + args.seeds.clamp(1, 100) {
                measured.push(measure::run_scenarios(profile, slots, seed, length));
            }
        }
    }
    match args.json {
        true => print_json(&measured),
        false => print_table(&measured),
    }
}

fn print_table(measured: &[Measured]) {
    println!(
        "profile slots seed | urgent p99 ms: calm flood ratio fifo | goodput kept: queue fifo | share kept | work at 1x, 10x, ratio; fifo 1x, 10x | slow kept"
    );
    for m in measured {
        println!(
            "{:7} {:5} {:4} | {:19.1} {:5.1} {:5.3} {:4.0} | {:18.3} {:5.3} | {:10.3} | {:10.3} {:5.3} {:5.3}; {:7.3} {:5.3} | {:.3}",
            m.profile,
            m.slots,
            m.seed,
            m.calm_p99_ms,
            m.flood_p99_ms,
            m.p99_ratio(),
            m.fifo_p99_ms,
            m.goodput_kept,
            m.fifo_goodput_kept,
            m.share_kept,
            m.full_work,
            m.tenfold_work,
            m.overload_kept(),
            m.fifo_full_work,
            m.fifo_tenfold_work,
            m.slow_kept,
        );
    }
    println!(
        "worst: p99 ratio {:.3} (target at most 1.2), goodput kept {:.3}, share kept {:.3}, at 10x {:.3} (targets at least 0.95), slow kept {:.3}",
        highest(measured, Measured::p99_ratio),
        lowest(measured, |m| m.goodput_kept),
        lowest(measured, |m| m.share_kept),
        lowest(measured, Measured::overload_kept),
        lowest(measured, |m| m.slow_kept),
    );
}

fn print_json(measured: &[Measured]) {
    let mut runs = Vec::new();
    for m in measured {
        runs.push(json!({
            "profile": m.profile,
            "slots": m.slots,
            "seed": m.seed,
            "calm_p99_ms": m.calm_p99_ms,
            "flood_p99_ms": m.flood_p99_ms,
            "fifo_p99_ms": m.fifo_p99_ms,
            "goodput_kept": m.goodput_kept,
            "fifo_goodput_kept": m.fifo_goodput_kept,
            "share_kept": m.share_kept,
            "full_work": m.full_work,
            "tenfold_work": m.tenfold_work,
            "fifo_full_work": m.fifo_full_work,
            "fifo_tenfold_work": m.fifo_tenfold_work,
            "slow_kept": m.slow_kept,
        }));
    }
    let report = json!({
        "runs": runs,
        "worst": {
            "p99_ratio": highest(measured, Measured::p99_ratio),
            "goodput_kept": lowest(measured, |m| m.goodput_kept),
            "share_kept": lowest(measured, |m| m.share_kept),
            "overload_kept": lowest(measured, Measured::overload_kept),
            "slow_kept": lowest(measured, |m| m.slow_kept),
        },
    });
    println!("{report:#}");
}

fn lowest(measured: &[Measured], value: impl Fn(&Measured) -> f64) -> f64 {
    measured.iter().map(value).fold(f64::INFINITY, f64::min)
}

fn highest(measured: &[Measured], value: impl Fn(&Measured) -> f64) -> f64 {
    measured.iter().map(value).fold(0.0, f64::max)
}
