//! A request that crashes each backend server that runs it comes again, at any machine: in one case, they crash after they
//! have begun to answer; in the other one, nodes are stopped and started in turn meanwhile.
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
/// Sends where no node is stopped.
const SENDS: usize = 12;
/// Sends after each restart of a node.
const SENDS_EACH: usize = 3;
/// Path of a request that crashes backend servers before they answer, and of one that lets them begin.
const CRASHING: &str = "/fee/crashes";
const CRASHING_LATE: &str = "/fee/crashes-late";
const HARMLESS: &str = "/fee/work-20";
const BODY: &[u8] = b"{\"certificate\":7,\"fee\":\"40 EUR\"}";

/// The machines of the consumers, one in each zone; their nodes are never stopped.
const CONSUMERS: [usize; 3] = [0, 1, 2];

/// The machines of the service that the request goes to, one in the zone of each consumer.
const SERVERS: [usize; 3] = [3, 4, 5];

/// What is disturbed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Backend servers crash after they have begun to answer. Without trouble, the request is harmless.
    Late,
    /// Nodes are stopped and started in turn. The request crashes backend servers without that, too.
    Roll,
}

pub fn run(dir: PathBuf, trouble: Trouble) -> io::Result<bool> {
    let machines = [
        ("nl-west-a", "registry", 13),
        ("nl-west-b", "registry", 13),
        ("nl-west-c", "registry", 13),
        ("nl-west-a", "ledger", 13),
        ("nl-west-b", "ledger", 13),
        ("nl-west-c", "ledger", 13),
    ];
    let world = World::start(dir, &machines)?;
    let result = play(&world, trouble);
    world.stop();
    result
}

fn play(world: &Arc<World>, trouble: Trouble) -> io::Result<bool> {
    let routes = [("fee", "/fee/", "non_idempotent", 1000, 200, 0, "ledger")];
    world.begin(&world::config(2, &routes, &["registry", "ledger"]))?;
    for consumer in CONSUMERS {
        let (_, answer) = world.send(consumer, "PUT", HARMLESS, 1200, BODY);
        if answer?.status() != 200 {
            return Err(io::Error::other("a harmless request isn't served"));
        }
    }
    let path = match (trouble, world.has_trouble) {
        (Trouble::Late, true) => CRASHING_LATE,
        (Trouble::Late, false) => HARMLESS,
        (Trouble::Roll, _) => CRASHING,
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
    match trouble {
        Trouble::Late => {
            for i in 0..SENDS {
                send(CONSUMERS[i % CONSUMERS.len()]);
            }
        }
        Trouble::Roll => {
            for consumer in CONSUMERS {
                send(consumer);
            }
            for i in [2, 0, 1] {
                if world.has_trouble {
                    world.restart_node(SERVERS[i])?;
                }
                std::thread::sleep(PAUSE);
                for _ in 0..SENDS_EACH {
                    send(CONSUMERS[i]);
                }
            }
        }
    }
    let runs = world.runs();
    let crashes: Vec<_> = runs
        .iter()
        .filter(|run| run.path.starts_with(CRASHING))
        .collect();
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
