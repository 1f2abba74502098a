//! A heartbeat of another writer, with fields missing, arrives before a backend server drains.
//!
//! Rule DRAIN: no request reaches a backend later than `drainMs` after a machine in touch acknowledged that it is
//! `draining`.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::world;
use crate::world::World;

/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time after the acknowledgement during which the backend server serves on: `drainMs` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(4_000);
const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// The machine of the consumers.
const CONSUMER: usize = 0;
/// The machine whose backend server drains.
const DRAINED: usize = 1;

pub fn run(dir: PathBuf) -> io::Result<bool> {
    let machines = [
        ("nl-west-a", "registry", 13),
        ("nl-west-a", "ledger", 13),
        ("nl-west-b", "ledger", 13),
        ("nl-west-c", "ledger", 13),
    ];
    let world = World::start(dir, &machines)?;
    let result = play(&world);
    world.stop();
    result
}

fn play(world: &Arc<World>) -> io::Result<bool> {
    let routes = [("fee", "/fee/", "non_idempotent", 1000, 200, 0, "ledger")];
    world.begin(&world::config(2, &routes, &["registry", "ledger"]))?;
    let ended = Arc::new(AtomicBool::new(false));
    let consumer = {
        let (world, ended) = (world.clone(), ended.clone());
        std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let _ = world.send(CONSUMER, "PUT", "/fee/work-20", 1200, b"7");
                std::thread::sleep(SEND_INTERVAL);
            }
        })
    };
    std::thread::sleep(Duration::from_secs(3));
    if world.has_trouble {
        let (address, born) = world.server(DRAINED);
        // `version` and `zone` are missing, and so is `coldRemainingMs`.
        let body = format!(
            "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"ledger\",\"capacity\":13}},\
             \"status\":{{\"state\":\"ready\",\"sequence\":1000}}}}"
        );
        world.foreign_beat(DRAINED, "i-1-1", &body)?;
    }
    std::thread::sleep(Duration::from_secs(3));
    world.drain_server(DRAINED)?;
    std::thread::sleep(SERVES_ON);
    ended.store(true, Ordering::Relaxed);
    let _ = consumer.join();
    let Some(acked_at) = *world.machines[DRAINED].drain_acked_at.lock().unwrap() else {
        return Err(io::Error::other("the draining was not acknowledged"));
    };
    let runs = world.runs();
    let late = runs
        .iter()
        .filter(|run| run.machine == DRAINED && run.at > acked_at + DRAIN);
    let late = late.count();
    world.note(&format!(
        "{late} requests reached the backend server later than {} ms after the acknowledgement",
        DRAIN.as_millis()
    ));
    Ok(late > 0)
}
