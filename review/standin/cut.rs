//! Backend servers whose answers have no length crash in the middle of them.
//!
//! Rule MIXED: no consumer gets a success with a body that isn't the backend's whole body; an answer that ends early must
//! not look complete.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::server;
use crate::world;
use crate::world::World;

/// The machines of the service; each has consumers too.
const MACHINES: usize = 6;
/// Consumers of each machine.
const CONSUMERS: usize = 2;
/// Backend servers that crash, one at a time.
const CRASHES: usize = 5;
const BETWEEN_CRASHES: Duration = Duration::from_secs(5);

pub fn run(dir: PathBuf) -> io::Result<bool> {
    let zones = ["nl-west-a", "nl-west-b", "nl-west-c"];
    let machines: Vec<_> = (0..MACHINES)
        .map(|i| (zones[i % zones.len()], "registry", 13))
        .collect();
    let world = World::start(dir, &machines)?;
    world.has_length.store(false, Ordering::Relaxed);
    let result = play(&world);
    world.stop();
    result
}

fn play(world: &Arc<World>) -> io::Result<bool> {
    let lookup = ("lookup", "/lookup/", "idempotent", 800, 250, 1, "registry");
    world.begin(&world::config(2, &[lookup], &["registry"]))?;
    let ended = Arc::new(AtomicBool::new(false));
    let (whole, cut) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut consumers = Vec::new();
    for i in 0..MACHINES * CONSUMERS {
        let (world, ended) = (world.clone(), ended.clone());
        let (whole, cut) = (whole.clone(), cut.clone());
        consumers.push(std::thread::spawn(move || {
            while !ended.load(Ordering::Relaxed) {
                let path = "/lookup/work-78";
                let (attempt, answer) = world.send(i % MACHINES, "GET", path, 1500, b"");
                let Ok(answer) = answer else { continue };
                if answer.status() != 200 {
                    continue;
                }
                if answer.body == server::long_body(&attempt).as_bytes() {
                    whole.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
                cut.fetch_add(1, Ordering::Relaxed);
                let length = answer.header("content-length").unwrap_or_default();
                world.note(&format!(
                    "{attempt}: a success whose body isn't whole, content-length {length}"
                ));
            }
        }));
    }
    for i in 0..CRASHES {
        std::thread::sleep(BETWEEN_CRASHES);
        if world.has_trouble {
            world.kill_server(i)?;
        }
    }
    std::thread::sleep(BETWEEN_CRASHES);
    ended.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let (whole, cut) = (whole.load(Ordering::Relaxed), cut.load(Ordering::Relaxed));
    world.note(&format!(
        "{whole} successes with whole bodies, {cut} with others"
    ));
    if whole == 0 {
        return Err(io::Error::other("nothing is served"));
    }
    Ok(cut > 0)
}
