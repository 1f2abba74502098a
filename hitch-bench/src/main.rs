//! Command line of the experiments with the real processes of a deployment.
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
    /// lowest port that the processes use, default 21000
    #[argh(option, default = "21000")]
    port_base: u16,
    /// seed of the load and of the faults, default 1
    #[argh(option, default = "1")]
    seed: u64,
    /// path to which the results are written in JSON
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

/// Sends calls with idempotency keys while nodes are killed and frozen, the log is down and answers
/// are lost, and compares the callers' results with the ledgers of the backend servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "once")]
struct Once {
    /// length of the load in seconds, at most 600, default 60
    #[argh(option, default = "60")]
    seconds: u64,
    /// calls per second, default 200
    #[argh(option, default = "200.0")]
    rate: f64,
    /// time between the starts of two faults in milliseconds, default 2000
    #[argh(option, default = "2000")]
    fault_interval_ms: u64,
}

/// Stops and restarts the nodes one by one under load.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {
    /// length of the ownership intervals of keys, default 4s
    #[argh(option, default = "\"4s\".into()")]
    key_interval: String,
    /// instance whose node is stopped first, counted from 0, default 0
    #[argh(option, default = "0")]
    first: usize,
    /// maximum number of nodes to stop, default 100
    #[argh(option, default = "100")]
    stops: usize,
}

/// Measures the latency that a node adds to calls to its backend server.
#[derive(FromArgs)]
#[argh(subcommand, name = "added")]
struct Added {
    /// service time in milliseconds, default 1
    #[argh(option, default = "1")]
    work_ms: u64,
    /// pairs of a direct and a node block of 2 s at each rate, at most 50, default 5
    #[argh(option, default = "5")]
    pairs: u32,
}

/// Floods the first service with calls of the least urgent, then of the most urgent rank.
#[derive(FromArgs)]
#[argh(subcommand, name = "flood")]
struct Flood {
    /// path of the deployment file, default bench/association.yaml
    #[argh(option, default = "\"bench/association.yaml\".into()")]
    deployment: PathBuf,
}

/// Makes one backend server fail every call while it reports that it is healthy.
#[derive(FromArgs)]
#[argh(subcommand, name = "misled")]
struct Misled {}

/// Measures the time until amendments of a contract are in force on all nodes, and the resources
/// that nodes use without calls.
#[derive(FromArgs)]
#[argh(subcommand, name = "convergence")]
struct Convergence {
    /// number of nodes, default 10
    #[argh(option, default = "10")]
    nodes: u16,
}

/// Kills and restarts half of the nodes at once while amendments are published (thundering herd).
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
    // Dropping the future of the experiment kills the processes that it started.
    tokio::select! {
        result = run(args) => result,
        _ = terminate.recv() => Err("stopped by SIGTERM".into()),
        _ = interrupt.recv() => Err("stopped by SIGINT".into()),
    }
}

async fn run(args: Args) -> Result<(), Box<dyn Error>> {
    let association = Deployment::from_file("bench/association.yaml".as_ref())?;
    match &args.command {
        Command::Once(command) => {
            let options = once::Options {
                port_base: args.port_base,
                seed: args.seed,
                seconds: command.seconds.min(600),
                rate: command.rate,
                fault_interval_ms: command.fault_interval_ms,
            };
            print_and_save(&args, &once::run(&association, &options).await?)
        }
        Command::Drain(command) => {
            let options = drain::Options {
                port_base: args.port_base,
                seed: args.seed,
                key_interval: command.key_interval.as_str().into(),
                first: command.first,
                stops: command.stops,
            };
            let outcome = drain::run(&association, &options).await?;
            print_and_save(&args, &outcome)
        }
        Command::Added(command) => {
            let options = added::Options {
                port_base: args.port_base,
                seed: args.seed,
                work_ms: command.work_ms,
                pairs: command.pairs.min(50),
            };
            print_and_save(&args, &added::run(&association, &options).await?)
        }
        Command::Flood(command) => {
            let deployment = Deployment::from_file(&command.deployment)?;
            let outcome = flood::run(&deployment, args.port_base, args.seed).await?;
            print_and_save(&args, &outcome)
        }
        Command::Convergence(command) => {
            let (port_base, seed) = (args.port_base, args.seed);
            let outcome = convergence::run(&association, port_base, seed, command.nodes).await?;
            print_and_save(&args, &outcome)
        }
        Command::Herd(command) => {
            let outcome = herd::run(&association, args.port_base, command.nodes).await?;
            print_and_save(&args, &outcome)
        }
        Command::Misled(_) => {
            let outcome = misled::run(&association, args.port_base, args.seed).await?;
            print_and_save(&args, &outcome)
        }
    }
}

/// Prints the results as a table and writes them as JSON if a path is given.
fn print_and_save(args: &Args, outcome: &(impl Display + Serialize)) -> Result<(), Box<dyn Error>> {
    print!("{outcome}");
    let Some(path) = &args.json else {
        return Ok(());
    };
    let file = path.display().to_string();
    let text = serde_json::to_string_pretty(outcome)?;
    std::fs::write(path, text).map_err(|err| format!("write {file}: {err}"))?;
    Ok(())
}
