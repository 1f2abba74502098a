//! Process of the simulated backend server.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use hitch_standin_backend::Control;
use hitch_standin_backend::Handle;
use hitch_standin_backend::Settings;
use hitch_standin_backend::serve;
use hitch_standin_backend::settings;
use slog::Drain;
use slog::Logger;
use slog::info;
use slog::o;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Interval at which a graceful shutdown checks for calls in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Simulates a backend server with fault injection and a ledger of the calls that it ran.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7100))")]
    listen: SocketAddr,

    /// YAML file with the settings
    #[argh(option)]
    settings: Option<PathBuf>,

    /// name of the instance; overrides the one in the settings
    #[argh(option)]
    instance: Option<String>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    let settings = read_settings(&args)?;
    let drain_timeout = Duration::from_millis(settings.drain_ms);
    let drain = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
    let instance = settings.instance.to_string();
    let log = Logger::root(
        drain,
        o!("part" => "standin-backend", "instance" => instance),
    );
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listener = TcpListener::bind(args.listen).await?;
    info!(log, "serve: listening"; "address" => %listener.local_addr()?);
    let handle = Handle::new(settings);
    let server = tokio::spawn(serve(listener, handle.clone(), log.clone()));
    tokio::select! {
        _ = terminate.recv() => info!(log, "serve: draining and shutting down on SIGTERM"),
        _ = interrupt.recv() => info!(log, "serve: draining and shutting down on SIGINT"),
    }
    drain_calls(&handle, drain_timeout).await;
    server.abort();
    info!(log, "serve: stopped"; "running" => handle.running());
    Ok(())
}

/// Starts draining and waits until no call is in flight, for at most `timeout`.
async fn drain_calls(handle: &Handle, timeout: Duration) {
    let started = Instant::now();
    handle.control(&Control {
        draining: Some(true),
        ..Control::default()
    });
    while handle.running() > 0 && started.elapsed() < timeout {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    // A call stops counting as running before its answer is written to the socket.
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
}

fn read_settings(args: &Args) -> Result<Settings, Box<dyn Error>> {
    let mut settings = match &args.settings {
        None => Settings::default(),
        Some(path) => {
            let file = path.display().to_string();
            let text = std::fs::read_to_string(path)
                .map_err(|err| format!("cannot read settings file {file}: {err}"))?;
            settings::from_str(&file, &text)?
        }
    };
    if let Some(instance) = &args.instance {
        settings.instance = instance.as_str().into();
    }
    Ok(settings)
}
