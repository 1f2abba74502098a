//! Stand-in for a backend server.
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

/// Pause between two looks at the calls in progress during a planned stop.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Serves calls like a backend server, with settable faults and a ledger of what it ran.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7100))")]
    listen: SocketAddr,

    /// YAML file with the settings
    #[argh(option)]
    settings: Option<PathBuf>,

    /// name of the instance, in place of the one in the settings
    #[argh(option)]
    instance: Option<String>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    let settings = read_settings(&args)?;
    let drain_limit = Duration::from_millis(settings.drain_ms);
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
        _ = terminate.recv() => info!(log, "serve: stopping by SIGTERM"),
        _ = interrupt.recv() => info!(log, "serve: stopping by SIGINT"),
    }
    drain_calls(&handle, drain_limit).await;
    server.abort();
    info!(log, "serve: stopped"; "running" => handle.running());
    Ok(())
}

/// Waits until no call is in progress, for at most `limit`.
async fn drain_calls(handle: &Handle, limit: Duration) {
    let started = Instant::now();
    handle.control(&Control {
        draining: Some(true),
        ..Control::default()
    });
    while handle.running() > 0 && started.elapsed() < limit {
        tokio::time::sleep(DRAIN_POLL).await;
    }
    // The last answers are on their way to the sockets.
    tokio::time::sleep(DRAIN_POLL).await;
}

fn read_settings(args: &Args) -> Result<Settings, Box<dyn Error>> {
    let mut settings = match &args.settings {
        None => Settings::default(),
        Some(path) => {
            let file = path.display().to_string();
            let text =
                std::fs::read_to_string(path).map_err(|err| format!("read {file}: {err}"))?;
            settings::from_str(&file, &text)?
        }
    };
    if let Some(instance) = &args.instance {
        settings.instance = instance.as_str().into();
    }
    Ok(settings)
}
