//! Experiments with the real processes of a deployment on loopback addresses.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

use std::error::Error;
use std::fmt::Display;
use std::path::PathBuf;

use argh::FromArgs;
use hitch_bench::Deployment;
use hitch_bench::added;
use hitch_bench::convergence;
use hitch_bench::drain;
use hitch_bench::flood;
use hitch_bench::herd;
use hitch_bench::misled;
use hitch_bench::once;
use serde::Serialize;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Starts deployments as processes on loopback, measures them and stops them. Run it at the root of
/// the repository after `cargo build --release --workspace --bins`.
#[derive(FromArgs)]
struct Args {
    /// first port, default 21000
    #[argh(option, default = "21000")]
    port_base: u16,
    /// seed of load and faults, default 1
    #[argh(option, default = "1")]
    seed: u64,
    /// file for the results in JSON
    #[argh(option)]
    json: Option<PathBuf>,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Once(Once),
    Drain(Drain),
    Added(Added),
    Flood(Flood),
    Misled(Misled),
    Convergence(Convergence),
    Herd(Herd),
}

/// Sends keyed calls during kills, freezes, outages of the log and lost answers, and audits them.
#[derive(FromArgs)]
#[argh(subcommand, name = "once")]
struct Once {
    /// length of the load in seconds, at most 600, default 60
    #[argh(option, default = "60")]
    seconds: u64,
    /// calls per second, default 200
    #[argh(option, default = "200.0")]
    rate: f64,
    /// milliseconds between two faults, default 2000
    #[argh(option, default = "2000")]
    fault_interval_ms: u64,
}

/// Stops one node after the other under load.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {
    /// length of the ownership intervals of keys, default 4s
    #[argh(option, default = "\"4s\".into()")]
    key_interval: String,
    /// instance whose node is stopped first, counted from 0, default 0
    #[argh(option, default = "0")]
    first: usize,
    /// nodes to stop at most, default 100
    #[argh(option, default = "100")]
    stops: usize,
}

/// Compares direct calls to one backend server with calls through its node.
#[derive(FromArgs)]
#[argh(subcommand, name = "added")]
struct Added {
    /// service time in milliseconds, default 1
    #[argh(option, default = "1")]
    work_ms: u64,
    /// pairs of blocks of 2 s at each rate, at most 50, default 5
    #[argh(option, default = "5")]
    pairs: u32,
}

/// Floods the first service with the least and with the most urgent rank.
#[derive(FromArgs)]
#[argh(subcommand, name = "flood")]
struct Flood {
    /// deployment file, default bench/association.yaml
    #[argh(option, default = "\"bench/association.yaml\".into()")]
    deployment: PathBuf,
}

/// Lets one backend server claim to be healthy and fail every call.
#[derive(FromArgs)]
#[argh(subcommand, name = "misled")]
struct Misled {}

/// Measures the time until amendments are in force, and what control costs.
#[derive(FromArgs)]
#[argh(subcommand, name = "convergence")]
struct Convergence {
    /// number of nodes, default 10
    #[argh(option, default = "10")]
    nodes: u16,
}

/// Kills half of the nodes at once during changes and starts them again.
#[derive(FromArgs)]
#[argh(subcommand, name = "herd")]
struct Herd {
    /// number of nodes, default 30
    #[argh(option, default = "30")]
    nodes: u16,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Leaving the experiment ends the processes that it started.
    tokio::select! {
        result = run(args) => result,
        _ = terminate.recv() => Err("stopped by SIGTERM".into()),
        _ = interrupt.recv() => Err("stopped by SIGINT".into()),
    }
}

async fn run(args: Args) -> Result<(), Box<dyn Error>> {
    let association = Deployment::at("bench/association.yaml".as_ref())?;
    match &args.command {
        Command::Once(own) => {
            let options = once::Options {
                port_base: args.port_base,
                seed: args.seed,
                seconds: own.seconds.min(600),
                rate: own.rate,
                fault_interval_ms: own.fault_interval_ms,
            };
            show(&args, &once::run(&association, &options).await?)
        }
        Command::Drain(own) => {
            let options = drain::Options {
                port_base: args.port_base,
                seed: args.seed,
                key_interval: own.key_interval.as_str().into(),
                first: own.first,
                stops: own.stops,
            };
            let outcome = drain::run(&association, &options).await?;
            show(&args, &outcome)
        }
        Command::Added(own) => {
            let options = added::Options {
                port_base: args.port_base,
                seed: args.seed,
                work_ms: own.work_ms,
                pairs: own.pairs.min(50),
            };
            show(&args, &added::run(&association, &options).await?)
        }
        Command::Flood(own) => {
            let deployment = Deployment::at(&own.deployment)?;
            let outcome = flood::run(&deployment, args.port_base, args.seed).await?;
            show(&args, &outcome)
        }
        Command::Convergence(own) => {
            let (port_base, seed) = (args.port_base, args.seed);
            let outcome = convergence::run(&association, port_base, seed, own.nodes).await?;
            show(&args, &outcome)
        }
        Command::Herd(own) => {
            let outcome = herd::run(&association, args.port_base, own.nodes).await?;
            show(&args, &outcome)
        }
        Command::Misled(_) => {
            let outcome = misled::run(&association, args.port_base, args.seed).await?;
            show(&args, &outcome)
        }
    }
}

fn show(args: &Args, outcome: &(impl Display + Serialize)) -> Result<(), Box<dyn Error>> {
    print!("{outcome}");
    let Some(path) = &args.json else {
        return Ok(());
    };
    let file = path.display().to_string();
    let text = serde_json::to_string_pretty(outcome)?;
    std::fs::write(path, text).map_err(|err| format!("write {file}: {err}"))?;
    Ok(())
}
