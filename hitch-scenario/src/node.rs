//! One node: the plumbing crates wired together as `hitch-node` does it.

use std::collections::BTreeMap;
use std::time::Duration;

use hitch_admission::Queue;
use hitch_admission::Ticket;
use hitch_config::State;
use hitch_once::Holder;
use hitch_once::OwnershipMap;
use hitch_once::Planner;
use hitch_retry::Bucket;
use hitch_retry::Budget;
use hitch_retry::Suspicion;
use hitch_roster::Change;
use hitch_roster::Contact;
use hitch_roster::Member;
use hitch_roster::MemberKey;
use hitch_roster::Roster;
use hitch_route::Pool;
use hitch_route::Switchover;
use hitch_route::Table;
use hitch_route::pool::Backend;
use hitch_route::pool::Readiness;
use hitch_spread::Outcome;
use hitch_spread::Spread;

use crate::contract::CUSTOMER;
use crate::contract::ONCE;
use crate::contract::REPEATABLE;
use crate::contract::SECOND_HALF;
use crate::world::Broken;

/// Retries that a node may spend at its start, as in `hitch-node`.
const INITIAL_RETRIES: u32 = 10;

/// Where a node is, and which run of it.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    /// Number of the node.
    pub index: usize,
    /// Number of its availability zone.
    pub zone: usize,
    /// Number of starts of any node before this one.
    pub run: u64,
    /// Identity of the run.
    pub incarnation: [u8; 16],
    /// Time of the start, since the start of the scenario.
    pub started: Duration,
}

/// One run of a node.
#[derive(Debug)]
pub struct Node {
    /// Where it is.
    pub place: Place,
    /// Whether the process runs.
    pub up: bool,
    /// Whether it left by plan, and when it was told to.
    pub drained_at: Option<Duration>,
    /// Until when it is frozen.
    pub frozen_until: Duration,
    /// Until when its backend server is down.
    pub backend_down_until: Duration,
    /// Difference of its wall clock, in milliseconds.
    pub clock_ms: i64,
    /// Whether it holds what it must and serves.
    pub ready: bool,
    /// Membership.
    pub roster: Roster,
    /// Records.
    pub spread: Spread,
    /// Folded configuration.
    pub state: State,
    /// An earlier state, for the run that adopts an older snapshot.
    pub older: Option<State>,
    /// Decides when a table comes into force.
    pub switch: Switchover,
    /// Table in force.
    pub table: Table,
    /// Backend servers by service.
    pub pools: BTreeMap<Box<str>, Pool>,
    /// Queue at the backend server.
    pub queue: Option<Queue>,
    /// Attempts that are queued or run, by ticket.
    pub tickets: BTreeMap<Ticket, usize>,
    /// Ownership of the keys of the service.
    pub map: OwnershipMap,
    /// Next ownership record to read.
    pub ownership_next: u64,
    /// Keys and answers.
    pub once: hitch_once::KeyTable<u64>,
    /// Attempts that wait for the run of the same key.
    pub joined: BTreeMap<hitch_once::Key, Vec<usize>>,
    /// Plans ownership records.
    pub planner: Planner,
    /// Whether it gave up its keys.
    pub released: bool,
    /// Suspicion of requests that crash backend servers.
    pub suspicion: Suspicion,
    /// Retry budget.
    pub bucket: Bucket,
    /// Exchanges that were not answered yet, with the peer and the time of asking.
    pub exchanges: BTreeMap<u64, Option<MemberKey>>,
    /// Until when a read of the changes, a read of ownership and a look at snapshots is under way.
    pub busy_until: [Duration; 3],
    /// Offset that the newest snapshot in the log reaches, as far as known.
    pub snapshot_next: u64,
}

impl Node {
    /// Starts a node that knows only the addresses of `count` nodes.
    ///
    /// ```
    /// # use hitch_scenario::node::*;
    /// let place = Place { index: 0, zone: 0, run: 1, incarnation: [1; 16], started: Default::default() };
    /// assert!(Node::start(place, 3).table.version() == 0);
    /// ```
    pub fn start(place: Place, count: usize) -> Node {
        let service = service_of(place.index);
        let contact = Contact {
            instance: name(place.index),
            zone: format!("z{}", place.zone).into(),
            address: name(place.index),
            service: service.into(),
            customer: CUSTOMER.into(),
            ..Contact::default()
        };
        let own = Member::starting(hitch_roster::Incarnation(place.incarnation), contact);
        let mut options = hitch_roster::Options::default();
        for i in 0..count {
            if i != place.index {
                options.seeds.push(name(i));
            }
        }
        let me = Holder {
            instance: name(place.index),
            incarnation: hitch_once::Incarnation(place.incarnation),
        };
        let mut bucket = Bucket::new(Default::default());
        for _ in 0..INITIAL_RETRIES {
            bucket.put_back(Budget::from_milli(1_000));
        }
        let mut node = Node {
            place,
            up: true,
            drained_at: None,
            frozen_until: Duration::ZERO,
            backend_down_until: Duration::ZERO,
            clock_ms: 0,
            ready: false,
            roster: Roster::new(own.clone(), options),
            spread: Spread::new(Default::default()),
            state: State::default(),
            older: None,
            switch: Switchover::default(),
            table: Table::default(),
            pools: BTreeMap::new(),
            queue: None,
            tickets: BTreeMap::new(),
            map: OwnershipMap::new(0),
            ownership_next: 0,
            once: hitch_once::KeyTable::new(me.clone(), Default::default()),
            joined: BTreeMap::new(),
            planner: Planner::new(service, me, Default::default()),
            released: false,
            suspicion: Suspicion::new(Default::default()),
            bucket,
            exchanges: BTreeMap::new(),
            busy_until: [Duration::ZERO; 3],
            snapshot_next: 0,
        };
        node.upsert(&own);
        node
    }

    /// Returns the service of the backend server beside the node.
    ///
    /// ```
    /// # use hitch_scenario::node::*;
    /// # let place = Place { index: 0, zone: 0, run: 1, incarnation: [1; 16], started: Default::default() };
    /// assert_eq!(Node::start(place, 3).service(), "ledger");
    /// ```
    pub fn service(&self) -> &'static str {
        service_of(self.place.index)
    }

    /// Takes in changes of the roster.
    ///
    /// ```
    /// # use hitch_scenario::node::*;
    /// # let place = Place { index: 0, zone: 0, run: 1, incarnation: [1; 16], started: Default::default() };
    /// Node::start(place, 3).note_changes(vec![]);
    /// ```
    pub fn note_changes(&mut self, changes: Vec<Change>) {
        for change in changes {
            if let (Some(member), None) = (&change.before, &change.after) {
                self.remove(member);
            }
            if let Some(member) = &change.after {
                self.upsert(member);
            }
        }
    }

    fn upsert(&mut self, member: &Member) {
        if member.state == hitch_roster::State::Gone {
            return self.remove(member);
        }
        let contact = &member.contact;
        let standing = match member.state {
            hitch_roster::State::Starting => Readiness::Starting,
            hitch_roster::State::Ready => Readiness::Accepting,
            _ => Readiness::Unavailable,
        };
        let zone = format!("z{}", self.place.zone);
        let pool = self.pools.entry(contact.service.clone());
        pool.or_insert_with(|| Pool::new(&zone)).upsert(Backend {
            instance: contact.instance.clone(),
            zone: contact.zone.clone(),
            address: contact.address.clone(),
            readiness: standing,
        });
    }

    fn remove(&mut self, member: &Member) {
        if let Some(pool) = self.pools.get_mut(&member.contact.service) {
            pool.remove(&member.contact.instance);
        }
    }

    /// Applies what came out of the dissemination.
    ///
    /// ```
    /// # use hitch_scenario::node::*;
    /// # let place = Place { index: 0, zone: 0, run: 1, incarnation: [1; 16], started: Default::default() };
    /// let now = std::time::Duration::ZERO;
    /// Node::start(place, 3).take_in(now, Default::default(), None, None);
    /// ```
    pub fn take_in(
        &mut self,
        now: Duration,
        outcome: Outcome,
        snapshot: Option<State>,
        broken: Option<Broken>,
    ) {
        let before = self.state.next_offset();
        if let Some(snapshot) = snapshot.filter(|_| outcome.adopt) {
            self.state.adopt(snapshot);
        }
        for record in outcome.apply {
            let older = self.state.clone();
            if broken == Some(Broken::LoseVersion) && older.version() > 0 {
                self.state = skip(&older);
                continue;
            }
            if self.state.apply(record.offset, &record.data).is_err() {
                break;
            }
            if older.version() > 0 && older.version() < self.state.version() {
                self.older = Some(older);
            }
        }
        if self.state.next_offset() > before {
            let half = broken == Some(Broken::HalfApply);
            let table = match half {
                true => Table::compile(&first_half(&self.state)),
                false => Table::compile(&self.state),
            };
            self.switch.offer(now, table);
        }
    }

    /// Brings the newest table into force if it may be.
    ///
    /// ```
    /// # use hitch_scenario::node::*;
    /// # let place = Place { index: 0, zone: 0, run: 1, incarnation: [1; 16], started: Default::default() };
    /// Node::start(place, 3).bring_into_force(std::time::Duration::ZERO, None);
    /// ```
    pub fn bring_into_force(&mut self, now: Duration, broken: Option<Broken>) {
        let newer = |older: &mut State| older.version() < self.table.version();
        if broken == Some(Broken::OlderSnapshot)
            && let Some(older) = self.older.take_if(newer)
        {
            self.table = Table::compile(&older);
            self.state = older;
            return;
        }
        let pools = &self.pools;
        let blind = broken == Some(Broken::RouteToMissing);
        let has = |service: &str| blind || pools.get(service).is_some_and(|p| !p.is_empty());
        if let Some(next) = self.switch.poll(now, has) {
            self.table = next;
        } else if !self.table.inactive_matches(has) {
            self.table = std::mem::take(&mut self.table).with_services(has);
        }
        self.configure(now);
    }

    fn configure(&mut self, now: Duration) {
        let Some(contract) = self.table.try_contract(CUSTOMER) else {
            return;
        };
        let name = service_of(self.place.index);
        let Some(service) = contract.services.iter().find(|s| *s.name == *name) else {
            return;
        };
        let options = hitch_once::plan::Options {
            interval_ms: contract.key_interval.as_millis() as u64,
        };
        self.planner.configure(options);
        match &mut self.queue {
            Some(queue) => queue.reconfigure(now, service, &contract.ranks),
            none => {
                *none = Some(Queue::new(
                    now,
                    service,
                    &contract.ranks,
                    Default::default(),
                ))
            }
        }
    }

    /// Lists the nodes of the service that can own keys.
    ///
    /// ```
    /// # use hitch_scenario::node::*;
    /// # let place = Place { index: 0, zone: 0, run: 1, incarnation: [1; 16], started: Default::default() };
    /// assert!(Node::start(place, 3).live_holders().is_empty());
    /// ```
    pub fn live_holders(&self) -> Vec<Holder> {
        let mut live = Vec::new();
        for (_, member) in self.roster.members() {
            let serves = member.state == hitch_roster::State::Ready;
            if !serves || *member.contact.service != *self.service() {
                continue;
            }
            live.push(Holder {
                instance: member.contact.instance.clone(),
                incarnation: hitch_once::Incarnation(member.incarnation.0),
            });
        }
        let own = hitch_once::Incarnation(self.place.incarnation);
        let instance = name(self.place.index);
        live.retain(|h| h.instance != instance || h.incarnation == own);
        live
    }
}

/// Returns the name of the instance of a node.
///
/// ```
/// assert_eq!(&*hitch_scenario::node::name(3), "n3");
/// ```
pub fn name(index: usize) -> Box<str> {
    format!("n{index}").into()
}

/// Returns the number of the node on an instance.
///
/// ```
/// assert_eq!(hitch_scenario::node::index("n3"), 3);
/// ```
pub fn index(instance: &str) -> usize {
    instance[1..]
        .parse()
        .expect("instances are named by number")
}

fn service_of(index: usize) -> &'static str {
    match index % 2 {
        0 => ONCE,
        _ => REPEATABLE,
    }
}

/// Leaves the second half of the contract out, as a node that applies a change in part would.
fn first_half(state: &State) -> State {
    let text = String::from_utf8(state.snapshot()).expect("a snapshot is text");
    let text = text.replace(&SECOND_HALF.replace('\n', "\\n"), "");
    State::from_snapshot(text.as_bytes()).expect("the first half is a contract")
}

/// Moves past a record without applying it, as a node that loses a version would.
fn skip(state: &State) -> State {
    let text = String::from_utf8(state.snapshot()).expect("a snapshot is text");
    let next = state.next_offset();
    let from = format!("\"next_offset\":{next},");
    let to = format!("\"next_offset\":{},", next + 1);
    State::from_snapshot(text.replace(&from, &to).as_bytes()).expect("only a number changed")
}
