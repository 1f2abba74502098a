//! A request that crashes each backend server that runs it comes again, at any machine. They crash after they have begun
//! to answer.
//!
//! Rule BUDGET: it may reach backends in three retries at most, among those that machines in touch send later than
//! `stableWindowMs` after it has crashed the third.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::world;
use crate::world::World;

/// `stableWindowMs` of the settings.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Retries that the rule allows.
const ALLOWED: usize = 3;
/// Backend servers that the request has crashed from when on they count.
const CRASHED: usize = 3;
/// Time between two sends of the request. A backend server that crashed is back by then.
const PAUSE: Duration = Duration::from_secs(4);
const SENDS: usize = 12;
const CRASHING: &str = "/fee/crashes";
/// Path of the request without trouble.
const HARMLESS: &str = "/fee/work-20";
const BODY: &[u8] = b"{\"certificate\":7,\"fee\":\"40 EUR\"}";

/// The machines of the consumers, one in each zone. No node is stopped.
const CONSUMERS: [usize; 3] = [0, 1, 2];

pub fn run(dir: PathBuf) -> io::Result<bool> {
    let machines = [
        ("nl-west-a", "registry", 13),
        ("nl-west-b", "registry", 13),
        ("nl-west-c", "registry", 13),
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
    for consumer in CONSUMERS {
        let (_, answer) = world.send(consumer, "PUT", HARMLESS, 1200, BODY);
        if answer?.status() != 200 {
            return Err(io::Error::other("a harmless request isn't served"));
        }
    }
    let path = match world.has_trouble {
        true => CRASHING,
        false => HARMLESS,
    };
    // By attempt: the consumer's machine, and which machines were in touch when it was sent.
    let mut sent = BTreeMap::new();
    let mut send = |consumer: usize| {
        let at = Instant::now();
        let (attempt, _) = world.send(consumer, "PUT", path, 1200, BODY);
        let in_touch: Vec<bool> = (0..world.machines.len())
            .map(|i| world.is_calm(i, at, STABLE_WINDOW))
            .collect();
        sent.insert(attempt, (consumer, in_touch));
        std::thread::sleep(PAUSE);
    };
    for i in 0..SENDS {
        send(CONSUMERS[i % CONSUMERS.len()]);
    }
    let runs = world.runs();
    let crashes: Vec<_> = runs.iter().filter(|run| run.path == CRASHING).collect();
    let mut crashed = BTreeSet::new();
    let third = crashes.iter().find(|run| {
        crashed.insert(run.machine);
        crashed.len() == CRASHED
    });
    world.note(&format!(
        "the request crashed backend servers {} times, on {} machines",
        crashes.len(),
        crashed.len()
    ));
    let Some(third) = third else {
        return Ok(false);
    };
    // Both the machine that took the request from the consumer and the one that sent it to the backend are in touch.
    let late = crashes.iter().filter(|run| {
        let in_touch = sent.get(&run.attempt);
        let in_touch =
            in_touch.is_some_and(|(consumer, calm)| calm[*consumer] && calm[run.machine]);
        in_touch && run.at > third.at + STABLE_WINDOW
    });
    let late = late.count();
    world.note(&format!(
        "{late} retries reached backends later than {} ms after the third was crashed, allowed are {ALLOWED}",
        STABLE_WINDOW.as_millis()
    ));
    Ok(late > ALLOWED)
}
