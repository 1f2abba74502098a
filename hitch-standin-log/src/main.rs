//! Process of the simulated append-only log.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use hitch_standin_log::Handle;
use hitch_standin_log::Settings;
use hitch_standin_log::serve;
use hitch_standin_log::settings;
use slog::Drain;
use slog::Logger;
use slog::info;
use slog::o;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Serves an in-memory append-only log with fault injection.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7000))")]
    listen: SocketAddr,

    /// YAML file with the settings
    #[argh(option)]
    settings: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    let settings = read_settings(&args)?;
    let drain = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
    let log = Logger::root(drain, o!("part" => "standin-log"));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listener = TcpListener::bind(args.listen).await?;
    info!(log, "serve: listening"; "address" => %listener.local_addr()?);
    tokio::select! {
        never = serve(listener, Handle::new(settings), log.clone()) => match never {},
        _ = terminate.recv() => info!(log, "serve: stopped by SIGTERM"),
        _ = interrupt.recv() => info!(log, "serve: stopped by SIGINT"),
    }
    Ok(())
}

fn read_settings(args: &Args) -> Result<Settings, Box<dyn Error>> {
    let Some(path) = &args.settings else {
        return Ok(Settings::default());
    };
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|err| format!("cannot read settings file {file}: {err}"))?;
    Ok(settings::from_str(&file, &text)?)
}
