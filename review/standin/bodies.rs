//! Requests with bodies of the length that the configuration allows, and what becomes of other requests meanwhile.
//!
//! Rule LOST: at any time, a machine in touch may close kept connections without an answer for three requests at most
//! that it has passed on to sound backends. A process that ends by itself counts as running all the while, and one that
//! takes more than `memoryMb` is killed, which counts as such an end.

use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::world;
use crate::world::MAX_BODY_BYTES;
use crate::world::World;

/// Requests that the rule allows.
const ALLOWED: usize = 3;
/// Consumers that send a long body at the same time.
const SENDERS: usize = 4;
const ROUNDS: usize = 3;
/// Length of the bodies without trouble.
const SHORT_BODY_BYTES: usize = 1_200;
/// Consumers that keep a connection and send one short request after the other.
const KEPT: usize = 8;
/// The machine of the consumers.
const CONSUMER: usize = 0;

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
    let routes = [("fee", "/fee/", "non_idempotent", 1000, 600, 2, "ledger")];
    world.begin(&world::config(2, &routes, &["registry", "ledger"]))?;
    for i in 0..world.machines.len() {
        world.limit_memory(i);
    }
    let length = match world.has_trouble {
        true => MAX_BODY_BYTES,
        false => SHORT_BODY_BYTES,
    };
    let ended = Arc::new(AtomicBool::new(false));
    // Attempts on kept connections that ended without an answer.
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let mut kept = Vec::new();
    for _ in 0..KEPT {
        let (world, ended, unanswered) = (world.clone(), ended.clone(), unanswered.clone());
        kept.push(std::thread::spawn(move || {
            let mut connection = None;
            while !ended.load(Ordering::Relaxed) {
                let is_kept = connection.is_some();
                let path = "/fee/work-300";
                let (attempt, answer) =
                    world.send_kept(CONSUMER, &mut connection, "PUT", path, 2000, b"7");
                if answer.is_err() {
                    if is_kept {
                        unanswered.lock().unwrap().push(attempt);
                    }
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
        }));
    }
    let body: Arc<[u8]> = vec![b'x'; length].into();
    for _ in 0..ROUNDS {
        std::thread::sleep(Duration::from_secs(5));
        let senders: Vec<_> = (0..SENDERS)
            .map(|_| {
                let (world, body) = (world.clone(), body.clone());
                std::thread::spawn(move || {
                    let _ = world.send(CONSUMER, "PUT", "/fee/work-55", 2000, &body);
                })
            })
            .collect();
        for sender in senders {
            let _ = sender.join();
        }
    }
    ended.store(true, Ordering::Relaxed);
    for consumer in kept {
        let _ = consumer.join();
    }
    let ran: BTreeSet<String> = world.runs().into_iter().map(|run| run.attempt).collect();
    let unanswered = unanswered.lock().unwrap();
    let lost = unanswered.iter().filter(|attempt| ran.contains(*attempt));
    let lost = lost.count();
    for machine in &world.machines {
        let ends = machine.memory_kills.lock().unwrap().len();
        world.note(&format!("{}: {ends} ends by itself", machine.name));
    }
    world.note(&format!(
        "{lost} requests on kept connections ran and got no answer, allowed are {ALLOWED}"
    ));
    Ok(lost > ALLOWED)
}
