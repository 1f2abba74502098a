//! The blackboard: the state of the node, in sections under locks of their own, which listeners and
//! controllers read and write.
//!
//! Sections that grow with the number of customers and services are sharded. No lock is held across
//! an `await`. Where two locks are held, the one on the configuration is taken first.

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
use crate::ownership_cache::OwnershipCache;
use crate::shards::Shards;

/// Retries that a node may use before calls have added to its retry budget.
const INITIAL_RETRIES: u32 = 10;

/// Configuration state, and the switch that brings its routing table into force.
#[derive(Debug, Default)]
pub struct Config {
    /// State derived from the log records applied so far.
    pub state: State,
    /// Decides when the next routing table comes into force.
    pub switch: Switchover,
    /// When the version in force came into force, in milliseconds since the Unix epoch.
    pub in_force_at_ms: u64,
}

/// Status of this node.
#[derive(Debug, Clone, Copy, Default)]
pub struct LocalStatus {
    /// Whether the local backend server accepts connections.
    pub backend_up: bool,
    /// Whether the node is draining.
    pub draining: bool,
    /// Whether the node is ready to serve.
    pub ready: bool,
    /// Whether the last access to the log succeeded.
    pub log_up: bool,
}

/// Blackboard that listeners and controllers read and write.
#[derive(Debug)]
pub struct Blackboard {
    /// Routing table in force.
    pub table: ArcSwap<Table>,
    /// Configuration state, from which the routing table is compiled.
    pub config: Mutex<Config>,
    /// Dissemination of configuration records among nodes.
    pub spread: Mutex<Spread>,
    /// Membership list and failure detector.
    pub roster: Mutex<Roster>,
    /// Pools of backend servers by service.
    pub pools: Shards<Pool>,
    /// Instances that own idempotency keys according to other nodes, by service and key bucket.
    pub owner_hints: Shards<BTreeMap<u8, Box<str>>>,
    /// Queue of the local backend server, once its service is configured.
    pub gate: ArcSwapOption<Gate>,
    /// Connections to the local backend server, once its service is configured.
    pub backend: ArcSwapOption<Backend>,
    /// Idempotency keys of this node's service.
    pub keys: Mutex<keys::KeyState>,
    /// Ownership records of all services, kept on nodes that read the log.
    pub ownership_cache: Mutex<OwnershipCache>,
    /// Retry budget of calls that enter the mesh at this node.
    pub retry_bucket: Mutex<Bucket>,
    /// This node's share of the admission limits of its service.
    pub share: Mutex<Share>,
    /// Requests suspected of crashing backend servers.
    pub suspicion: Mutex<Suspicion>,
    /// Status of this node.
    pub local: Mutex<LocalStatus>,
    /// Wakes the ownership controller for an immediate pull.
    pub ownership_wake: Notify,
    /// Number of successful ownership pulls.
    pub ownership_pulls: watch::Sender<u64>,
    /// Wakes the membership controller.
    pub membership_wake: Notify,
    /// Signalled when the configuration, the membership or the status of this node changed.
    pub changed: Notify,
}

impl Blackboard {
    /// Creates the blackboard of a node that knows no other member.
    ///
    /// ```
    /// # use hitch_roster::*;
    /// let own = Member::starting(Incarnation([1; 16]), Contact::default());
    /// let roster = Roster::new(own, Options::default());
    /// let board = hitch_node::blackboard::Blackboard::new(roster, "i-1", [1; 16], 8);
    /// assert_eq!(board.table.load().version(), 0);
    /// ```
    pub fn new(roster: Roster, instance: &str, incarnation: [u8; 16], shards: u32) -> Blackboard {
        // Grants of this run must not be confused with grants of an earlier run.
        let run = xxh3_64(&incarnation) as u32;
        let mut retry_bucket = Bucket::new(Default::default());
        for _ in 0..INITIAL_RETRIES {
            retry_bucket.put_back(Budget::from_milli(1_000));
        }
        Blackboard {
            table: ArcSwap::default(),
            config: Mutex::default(),
            spread: Mutex::new(Spread::new(Default::default())),
            roster: Mutex::new(roster),
            pools: Shards::new(shards),
            owner_hints: Shards::new(shards),
            gate: ArcSwapOption::empty(),
            backend: ArcSwapOption::empty(),
            keys: Mutex::new(keys::KeyState::new(instance, incarnation)),
            ownership_cache: Mutex::default(),
            retry_bucket: Mutex::new(retry_bucket),
            share: Mutex::new(Share::new(
                Duration::ZERO,
                instance,
                run,
                Default::default(),
            )),
            suspicion: Mutex::new(Suspicion::new(Default::default())),
            local: Mutex::default(),
            ownership_wake: Notify::new(),
            ownership_pulls: watch::Sender::new(0),
            membership_wake: Notify::new(),
            changed: Notify::new(),
        }
    }
}
