//! Measures, in virtual time, how share moves to the node with demand.

mod sim;

use std::time::Duration;

use argh::FromArgs;
use hitch_share::Options;

use crate::sim::Faults;
use crate::sim::STEP;
use crate::sim::Simulation;

/// Limit of the measured runs, in calls per second.
const LIMIT: f64 = 1000.0;

/// Time for the nodes to join.
const JOIN_TIME: Duration = Duration::from_secs(10);

/// Fraction of the demand from which on the demand counts as covered.
const SERVED_FRACTION: f64 = 0.9;

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

/// Results of one run.
struct Measured {
    served: f64,
    time_to_move: Option<Duration>,
    messages: f64,
    largest_sum: f64,
}

fn main() {
    let args: Args = argh::from_env();
    let nodes = args.nodes.clamp(2, 50);
    let seeds = args.seed..args.seed + args.seeds.clamp(1, 100);
    println!("{nodes} nodes, limit {LIMIT} calls/s, 30 s");
    println!(
        "demand at one node, loss | seed | served | time to {SERVED_FRACTION} of it | messages/s/node | largest sum / limit"
    );
    for demand in [0.5, 0.9, 2.0] {
        for loss in [0.0, 0.1] {
            for seed in seeds.clone() {
                print_measured(demand, loss, seed, &measure(nodes, demand, loss, seed));
            }
        }
    }
    println!("fault           | seed | largest sum / limit | largest part granted");
    for (name, fault) in FAULTS {
        for seed in seeds.clone() {
            let (largest_sum, issued) = measure_fault(nodes, seed, fault);
            println!("{name:15} | {seed:4} | {largest_sum:19.3} | {issued:.3}");
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
        measured.largest_sum,
    );
}

type Fault = fn(&mut Simulation);

/// Faults that occur while other nodes have granted share to one node.
const FAULTS: [(&str, Fault); 5] = [
    ("join of two", |simulation| {
        simulation.join(200.0);
        simulation.join(200.0);
    }),
    ("grantor crash", |simulation| simulation.crash(1)),
    ("grantor restart", |simulation| simulation.restart(1)),
    ("pause 40 s", |simulation| {
        simulation.pause(1, Duration::from_secs(40));
    }),
    ("partition", |simulation| {
        simulation.set_partition(0, 1);
        simulation.set_partition(1, 1);
    }),
];

/// Returns the largest sum of rates and the largest sum of grants in the 60 s after a fault, as fractions of
/// the limit.
fn measure_fault(nodes: usize, seed: u64, fault: Fault) -> (f64, f64) {
    let mut simulation = start_simulation(nodes, 0.1, seed);
    simulation.nodes[0].offered = 2.0 * LIMIT;
    while simulation.now < 2 * JOIN_TIME {
        simulation.step();
    }
    fault(&mut simulation);
    let end = simulation.now + Duration::from_secs(60);
    let mut largest_sum: f64 = 0.0;
    let mut issued: f64 = 0.0;
    while simulation.now < end {
        simulation.step();
        largest_sum = largest_sum.max(simulation.total_rate() / LIMIT);
        issued = issued.max(simulation.total_issued() / LIMIT);
    }
    (largest_sum, issued)
}

fn start_simulation(nodes: usize, loss: f64, seed: u64) -> Simulation {
    let faults = Faults {
        loss,
        duplicates: loss,
        delay_ms: 5,
        drift: 0.01,
    };
    let mut simulation = Simulation::new(LIMIT, Options::default(), faults, seed);
    for _ in 0..nodes {
        simulation.join(0.0);
    }
    simulation
}

fn measure(nodes: usize, demand: f64, loss: f64, seed: u64) -> Measured {
    let mut simulation = start_simulation(nodes, loss, seed);
    while simulation.now < JOIN_TIME {
        simulation.step();
    }
    simulation.nodes[0].offered = demand * LIMIT;
    let sent_before: u64 = simulation.nodes.iter().map(|node| node.sent).sum();
    let start = simulation.now;
    let wanted = demand.min(1.0) * LIMIT;
    let mut time_to_move = None;
    let mut largest_sum: f64 = 0.0;
    let run_time = Duration::from_secs(30);
    while simulation.now < start + run_time {
        simulation.step();
        largest_sum = largest_sum.max(simulation.total_rate() / LIMIT);
        if simulation.nodes[0].rate(simulation.now) >= SERVED_FRACTION * wanted {
            time_to_move = time_to_move.or(Some(simulation.now - start));
        }
    }
    let sent: u64 = simulation.nodes.iter().map(|node| node.sent).sum();
    let seconds = (run_time + STEP).as_secs_f64();
    Measured {
        served: simulation.nodes[0].admitted as f64 / (wanted * run_time.as_secs_f64()),
        time_to_move,
        messages: (sent - sent_before) as f64 / seconds / nodes as f64,
        largest_sum,
    }
}
