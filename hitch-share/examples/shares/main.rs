//! Measures how share moves to the node with demand, in virtual time.

mod sim;

use std::time::Duration;

use argh::FromArgs;
use hitch_share::Options;

use crate::sim::Faults;
use crate::sim::STEP;
use crate::sim::World;

/// Limit of the measured runs, in calls per second.
const LIMIT: f64 = 1000.0;

/// Time that the nodes get to settle.
const SETTLE: Duration = Duration::from_secs(10);

/// Part of the demand from which it counts as served.
const SERVED: f64 = 0.9;

/// Measures how share moves to the node with demand.
#[derive(FromArgs)]
struct Args {
    /// number of nodes, 2 to 50
    #[argh(option, default = "5")]
    nodes: usize,
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds, at most 100
    #[argh(option, default = "5")]
    seeds: u64,
}

/// What one run measured.
struct Measured {
    served: f64,
    time_to_move: Option<Duration>,
    messages: f64,
    most: f64,
}

fn main() {
    let args: Args = argh::from_env();
    let nodes = args.nodes.clamp(2, 50);
    let seeds = args.seed..args.seed + args.seeds.clamp(1, 100);
    println!("{nodes} nodes, limit {LIMIT} calls/s, 30 s");
    println!(
        "demand at one node, loss | seed | served | time to {SERVED} of it | messages/s/node | largest sum / limit"
    );
    for demand in [0.5, 0.9, 2.0] {
        for loss in [0.0, 0.1] {
            for seed in seeds.clone() {
                print_measured(demand, loss, seed, &measure(nodes, demand, loss, seed));
            }
        }
    }
    println!("fault           | seed | largest sum / limit | largest part given away");
    for (name, fault) in FAULTS {
        for seed in seeds.clone() {
            let (most, given) = under_fault(nodes, seed, fault);
            println!("{name:15} | {seed:4} | {most:19.3} | {given:.3}");
        }
    }
}

fn print_measured(demand: f64, loss: f64, seed: u64, measured: &Measured) {
    let time = match measured.time_to_move {
        Some(time) => format!("{:.2} s", time.as_secs_f64()),
        None => "never".into(),
    };
    println!(
        "{:18} {:3.0} % | {seed:4} | {:6.3} | {time:>18} | {:15.1} | {:.3}",
        demand,
        loss * 100.0,
        measured.served,
        measured.messages,
        measured.most,
    );
}

type Fault = fn(&mut World);

/// Faults that strike while share has moved to one node.
const FAULTS: [(&str, Fault); 5] = [
    ("join of two", |world| {
        world.join(200.0);
        world.join(200.0);
    }),
    ("crash of giver", |world| world.crash(1)),
    ("restart of giver", |world| world.restart(1)),
    ("pause 40 s", |world| {
        world.pause(1, Duration::from_secs(40));
    }),
    ("partition", |world| {
        world.set_side(0, 1);
        world.set_side(1, 1);
    }),
];

/// Largest sum of rates, and largest sum of grants, as parts of the limit in the 60 s after a fault.
fn under_fault(nodes: usize, seed: u64, fault: Fault) -> (f64, f64) {
    let mut world = world(nodes, 0.1, seed);
    world.nodes[0].offered = 2.0 * LIMIT;
    while world.now < 2 * SETTLE {
        world.step();
    }
    fault(&mut world);
    let end = world.now + Duration::from_secs(60);
    let mut most: f64 = 0.0;
    let mut given: f64 = 0.0;
    while world.now < end {
        world.step();
        most = most.max(world.sum() / LIMIT);
        given = given.max(world.given() / LIMIT);
    }
    (most, given)
}

fn world(nodes: usize, loss: f64, seed: u64) -> World {
    let faults = Faults {
        loss,
        repeats: loss,
        delay_ms: 5,
        drift: 0.01,
    };
    let mut world = World::new(LIMIT, Options::default(), faults, seed);
    for _ in 0..nodes {
        world.join(0.0);
    }
    world
}

fn measure(nodes: usize, demand: f64, loss: f64, seed: u64) -> Measured {
    let mut world = world(nodes, loss, seed);
    while world.now < SETTLE {
        world.step();
    }
    world.nodes[0].offered = demand * LIMIT;
    let sent_before: u64 = world.nodes.iter().map(|node| node.sent).sum();
    let start = world.now;
    let wanted = demand.min(1.0) * LIMIT;
    let mut time_to_move = None;
    let mut most: f64 = 0.0;
    let length = Duration::from_secs(30);
    while world.now < start + length {
        world.step();
        most = most.max(world.sum() / LIMIT);
        if world.nodes[0].rate(world.now) >= SERVED * wanted {
            time_to_move = time_to_move.or(Some(world.now - start));
        }
    }
    let sent: u64 = world.nodes.iter().map(|node| node.sent).sum();
    let seconds = (length + STEP).as_secs_f64();
    Measured {
        served: world.nodes[0].admitted as f64 / (wanted * length.as_secs_f64()),
        time_to_move,
        messages: (sent - sent_before) as f64 / seconds / nodes as f64,
        most,
    }
}
