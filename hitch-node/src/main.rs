//! Process entry point of the service mesh node.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;

use argh::FromArgs;
use hitch_settings::node::LogFormat;
use hitch_settings::node::Settings;
use slog::Drain;
use slog::Logger;
use slog::o;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Run the service mesh node of a backend server until SIGTERM or SIGINT.
#[derive(FromArgs)]
struct Args {
    /// YAML file with the node settings
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match Settings::from_file(&args.settings) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("hitch-node: {err}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("{}: the settings are valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let log = logger(&settings);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads as usize)
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(settings, log)),
        Err(err) => Err(format!("cannot start the async runtime: {err}").into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("hitch-node: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: Settings, log: Logger) -> Result<(), Box<dyn std::error::Error>> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let node = hitch_node::run::new_node(settings, log)?;
    let stop = async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    };
    hitch_node::run::until(node, stop).await?;
    Ok(())
}

fn logger(settings: &Settings) -> Logger {
    let drain = match settings.log_format {
        LogFormat::Json => {
            let json = slog_json::Json::default(std::io::stderr());
            slog_async::Async::new(Mutex::new(json).fuse())
                .build()
                .fuse()
        }
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let text = slog_term::FullFormat::new(decorator).build();
            slog_async::Async::new(Mutex::new(text).fuse())
                .build()
                .fuse()
        }
    };
    Logger::root(drain, o!("instance" => settings.instance.to_string()))
}
