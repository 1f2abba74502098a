//! A node is stopped while consumers on narrow links receive long answers.
//!
//! Rule LOST: around a SIGTERM of the machine that took a request from the consumer, the connection doesn't end without a
//! complete answer once the request has been passed on to a backend.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::world;
use crate::world::World;

/// `stableWindowMs` of the settings: nothing is disturbed for so long before.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Length of the answers, in bytes.
const ANSWER_BYTES: usize = 4_150_000;
/// Rate at which a consumer receives, in bytes a second: that of a link of 7 Mbit/s.
const RATE: usize = 875_000;
/// `timeoutMs` of the route, and the time limit of the consumers: those of `repair-commission` in the grown mesh.
const ROUTE_TIMEOUT_MS: u32 = 5_000;
const TIME_LIMIT_MS: u64 = 10_000;
/// Times after SIGTERM at which a consumer sends its request.
const SENT_AFTER: [u64; 4] = [1_000, 2_000, 2_500, 2_700];
/// The machine of the consumers, whose node is stopped: the only one of its zone, so that they stay with it.
const STOPPED: usize = 0;

pub fn run(dir: PathBuf) -> io::Result<bool> {
    let machines = [
        ("nl-west-c", "registry", 13),
        ("nl-west-a", "registry", 13),
        ("nl-west-b", "registry", 13),
        ("nl-west-a", "workshop", 13),
        ("nl-west-b", "workshop", 13),
    ];
    let world = World::start(dir, &machines)?;
    let result = play(&world);
    world.stop();
    result
}

fn play(world: &Arc<World>) -> io::Result<bool> {
    let route = (
        "report",
        "/report/",
        "non_idempotent",
        ROUTE_TIMEOUT_MS,
        3000,
        2,
        "workshop",
    );
    world.begin(&world::config(2, &[route], &["registry", "workshop"]))?;
    std::thread::sleep(STABLE_WINDOW);
    let stopping = {
        let world = world.clone();
        std::thread::spawn(move || match world.has_trouble {
            true => world.restart_node(STOPPED),
            false => Ok(()),
        })
    };
    let mut consumers = Vec::new();
    for after in SENT_AFTER {
        let world = world.clone();
        consumers.push(std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(after));
            let path = format!("/report/work-100-{ANSWER_BYTES}");
            world.receive_slowly(STOPPED, "POST", &path, TIME_LIMIT_MS, RATE)
        }));
    }
    let (mut whole, mut lost) = (0, 0);
    for consumer in consumers {
        let received = consumer
            .join()
            .map_err(|_| io::Error::other("a consumer failed"))??;
        match received {
            Some((200, bytes, length)) if bytes == length => whole += 1,
            Some((200, ..)) => lost += 1,
            // Refused, or the connection was closed before the request was read.
            _ => {}
        }
    }
    stopping
        .join()
        .map_err(|_| io::Error::other("the stop failed"))??;
    world.note(&format!("{whole} whole answers, {lost} that ended early"));
    if whole + lost == 0 {
        return Err(io::Error::other("nothing is served"));
    }
    Ok(lost > 0)
}
