//! Stand-ins for the cases of the review: consumers, backend servers and the platform's store, and the cases themselves.
//!
//! `standin CASE FOLDER` plays a case and writes `record.txt` to the folder. It exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crashes::Trouble;

mod bodies;
mod crashes;
mod cut;
mod http;
mod server;
mod stopped;
mod store;
mod world;

/// Longest time that a case may take; it ends by itself before.
const MAX_CASE: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [verb, rest @ ..] = &words[..] else {
        return ExitCode::from(2);
    };
    if verb == "server" {
        return match server::run(rest) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        };
    }
    std::thread::spawn(|| {
        std::thread::sleep(MAX_CASE);
        // `run.sh` ends the nodes that are left.
        std::process::exit(2);
    });
    let dir = PathBuf::from(rest.first().map_or(".", String::as_str));
    let result = match &**verb {
        "late" => crashes::run(dir, Trouble::Late),
        "roll" => crashes::run(dir, Trouble::Roll),
        "stopped" => stopped::run(dir),
        "cut" => cut::run(dir),
        "bodies" => bodies::run(dir),
        _ => return ExitCode::from(2),
    };
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}
