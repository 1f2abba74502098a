//! Command line of the load generator.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

use std::error::Error;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use hitch_load::Engine;
use hitch_load::Plan;
use hitch_load::Report;
use hitch_load::audit;
use hitch_load::compare;
use hitch_load::plan;
use serde::Serialize;

/// Sends open-loop load to loopback addresses and reports latency from the scheduled times.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(RunArgs),
    Direct(DirectArgs),
    Compare(CompareArgs),
}

/// Sends the plan's calls to its nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct RunArgs {
    /// path of the plan in YAML
    #[argh(option)]
    plan: PathBuf,

    /// path to which the results are written in JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Sends the plan's calls directly to its backend servers, without nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "direct")]
struct DirectArgs {
    /// path of the plan in YAML
    #[argh(option)]
    plan: PathBuf,

    /// path to which the results are written in JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Alternates blocks of direct calls and calls through nodes, and reports the added latency.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct CompareArgs {
    /// path of the plan in YAML
    #[argh(option)]
    plan: PathBuf,

    /// path to which the results are written in JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Run(args) => {
            let plan = read_plan(&args.plan)?;
            let report = run_and_report(&plan, Engine::to_nodes(&plan)).await?;
            print!("{report}");
            write_json(args.json.as_deref(), &report)
        }
        Command::Direct(args) => {
            let plan = read_plan(&args.plan)?;
            let report = run_and_report(&plan, Engine::direct(&plan)).await?;
            print!("{report}");
            write_json(args.json.as_deref(), &report)
        }
        Command::Compare(args) => {
            let plan = read_plan(&args.plan)?;
            let comparison = compare::run(&plan).await?;
            print!("{comparison}");
            write_json(args.json.as_deref(), &comparison)
        }
    }
}

async fn run_and_report(plan: &Plan, engine: Engine) -> Result<Report, Box<dyn Error>> {
    let recording = engine.run(plan).await?;
    let mut report = Report::new(plan, engine.targets(), &recording);
    if !plan.ledgers.is_empty() {
        let ledger = audit::fetch(&plan.ledgers).await?;
        report.audit = Some(audit::compare(&recording.key_outcomes, &ledger));
    }
    Ok(report)
}

fn read_plan(path: &Path) -> Result<Plan, Box<dyn Error>> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|err| format!("read {file}: {err}"))?;
    Ok(plan::from_str(&file, &text)?)
}

fn write_json(path: Option<&Path>, value: &impl Serialize) -> Result<(), Box<dyn Error>> {
    let Some(path) = path else {
        return Ok(());
    };
    let file = path.display().to_string();
    let text = serde_json::to_string_pretty(value)?;
    std::fs::write(path, text).map_err(|err| format!("write {file}: {err}"))?;
    Ok(())
}
