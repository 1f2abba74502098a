//! The state of the node, which controllers and listeners read and write.
//!
//! Each section is under its own lock, and those that grow with customers and services are in shards.
//! No lock is held while a task waits. Where two are held, the one on the configuration is taken first.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use hitch_config::State;
use hitch_edge::Backend;
use hitch_retry::Bucket;
use hitch_retry::Budget;
use hitch_retry::Suspicion;
use hitch_roster::Roster;
use hitch_route::Pool;
use hitch_route::Switchover;
use hitch_route::Table;
use hitch_share::Share;
use hitch_spread::Spread;
use tokio::sync::Notify;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::gate::Gate;
use crate::keys;
use crate::shards::Shards;
use crate::tail::Tail;

/// Retries that a node may spend before it has seen calls that earn them.
const INITIAL_RETRIES: u32 = 10;

/// Configuration as folded, and the switch to the table in force.
#[derive(Debug, Default)]
pub struct Config {
    /// Everything that follows from the records applied.
    pub state: State,
    /// Decides when the next table comes into force.
    pub switch: Switchover,
    /// When the version in force came into force, in milliseconds since the Unix epoch.
    pub in_force_at_ms: u64,
}

/// What the node knows about itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct Own {
    /// Whether the backend server accepts connections.
    pub backend_up: bool,
    /// Whether the node is leaving.
    pub draining: bool,
    /// Whether the node is ready to serve.
    pub ready: bool,
    /// Whether the last access to the log succeeded.
    pub log_up: bool,
}

/// All sections.
#[derive(Debug)]
pub struct Blackboard {
    /// Routes in force.
    pub table: ArcSwap<Table>,
    /// Configuration as folded.
    pub config: Mutex<Config>,
    /// Records of the log and their dissemination.
    pub spread: Mutex<Spread>,
    /// Membership.
    pub roster: Mutex<Roster>,
    /// Backend servers by service.
    pub pools: Shards<Pool>,
    /// Instances that own keys, by service and bucket, as other nodes said.
    pub owners: Shards<BTreeMap<u8, Box<str>>>,
    /// Queue at the own backend server, once its service is configured.
    pub gate: ArcSwapOption<Gate>,
    /// Connections to the own backend server, once its service is configured.
    pub backend: ArcSwapOption<Backend>,
    /// Keys of the own service.
    pub once: Mutex<keys::Section>,
    /// Ownership records of all services, on a reader.
    pub tail: Mutex<Tail>,
    /// Retry budget of calls that enter here.
    pub bucket: Mutex<Bucket>,
    /// Share of this node in the limits of the own service.
    pub share: Mutex<Share>,
    /// Requests that crashed backend servers.
    pub suspicion: Mutex<Suspicion>,
    /// The node itself.
    pub own: Mutex<Own>,
    /// Wakes the ownership controller, which pulls at once.
    pub ownership_wake: Notify,
    /// Counts the pulls of ownership that succeeded.
    pub ownership_pulls: watch::Sender<u64>,
    /// Wakes the membership controller.
    pub membership_wake: Notify,
    /// Signals that the configuration, the roster or the node itself changed.
    pub changed: Notify,
}

impl Blackboard {
    /// Makes the blackboard of a node that knows only itself.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// let board = hitch_node::blackboard::Blackboard::new(roster, "i-1", [1; 16], 8);
    /// assert_eq!(board.table.load().version(), 0);
    /// ```
    pub fn new(roster: Roster, instance: &str, incarnation: [u8; 16], shards: u32) -> Blackboard {
        // The grants of one run must not be taken for those of an earlier one.
        let run = xxh3_64(&incarnation) as u32;
        let mut bucket = Bucket::new(Default::default());
        for _ in 0..INITIAL_RETRIES {
            bucket.put_back(Budget::from_milli(1_000));
        }
        Blackboard {
            table: ArcSwap::default(),
            config: Mutex::default(),
            spread: Mutex::new(Spread::new(Default::default())),
            roster: Mutex::new(roster),
            pools: Shards::new(shards),
            owners: Shards::new(shards),
            gate: ArcSwapOption::empty(),
            backend: ArcSwapOption::empty(),
            once: Mutex::new(keys::Section::new(instance, incarnation)),
            tail: Mutex::default(),
            bucket: Mutex::new(bucket),
            share: Mutex::new(Share::new(
                Duration::ZERO,
                instance,
                run,
                Default::default(),
            )),
            suspicion: Mutex::new(Suspicion::new(Default::default())),
            own: Mutex::default(),
            ownership_wake: Notify::new(),
            ownership_pulls: watch::Sender::new(0),
            membership_wake: Notify::new(),
            changed: Notify::new(),
        }
    }
}
