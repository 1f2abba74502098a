//! A simulated node, assembled from the library crates in the same way as `hitch-node`.

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
use crate::simulation::Defect;

/// Retries in the budget of a starting node, as in `hitch-node`.
const INITIAL_RETRIES: u32 = 10;

/// Number, zone and incarnation of one process of a node.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    /// Number of the node.
    pub index: usize,
    /// Number of its availability zone.
    pub zone: usize,
    /// Start number of the process, counted over all nodes from 1.
    pub start_number: u64,
    /// Incarnation of the process.
    pub incarnation: [u8; 16],
    /// Start time, since the start of the scenario.
    pub started: Duration,
}

/// State of one process of a node.
#[derive(Debug)]
pub struct Node {
    /// Number, zone and incarnation.
    pub identity: Identity,
    /// Whether the process is running.
    pub up: bool,
    /// When the node received its drain notice, if it did.
    pub draining_since: Option<Duration>,
    /// Time until which the node is suspended.
    pub frozen_until: Duration,
    /// Time until which its local backend server is down.
    pub backend_down_until: Duration,
    /// Offset of its wall clock from the true time, in milliseconds.
    pub clock_offset_ms: i64,
    /// Whether the node caught up with the configuration and serves calls.
    pub ready: bool,
    /// Membership list.
    pub roster: Roster,
    /// Dissemination of configuration records.
    pub spread: Spread,
    /// Configuration that results from the applied records.
    pub state: State,
    /// State before the newest change; only [`Defect::AdoptOlderSnapshot`] uses it.
    pub previous_state: Option<State>,
    /// Decides when a new routing table comes into force.
    pub switchover: Switchover,
    /// Routing table in force.
    pub table: Table,
    /// Pools of backend servers, by service.
    pub pools: BTreeMap<Box<str>, Pool>,
    /// Admission queue of the local backend server; none before a contract is in force.
    pub queue: Option<Queue>,
    /// Attempts that are queued or running, by ticket.
    pub attempts_by_ticket: BTreeMap<Ticket, usize>,
    /// Key ownership of the node's service.
    pub ownership: OwnershipMap,
    /// Offset of the next ownership record to read.
    pub next_ownership_offset: u64,
    /// Idempotency keys and their recorded answers.
    pub keys: hitch_once::KeyTable<u64>,
    /// Attempts that wait for the run of another attempt with the same key.
    pub joined_attempts: BTreeMap<hitch_once::Key, Vec<usize>>,
    /// Decides which ownership record to append next.
    pub planner: Planner,
    /// Whether the node has released its keys.
    pub keys_released: bool,
    /// Requests that are suspected of crashing backend servers.
    pub suspicion: Suspicion,
    /// Retry budget.
    pub retry_budget: Bucket,
    /// Unanswered exchanges by id, with the member asked; none if only its address is known.
    pub exchanges: BTreeMap<u64, Option<MemberKey>>,
    /// Earliest time of the next read of each stream, indexed by stream.
    pub next_read_at: [Duration; 3],
    /// Next offset after the newest snapshot in the log, as far as the node has read it.
    pub newest_snapshot_next: u64,
}

impl Node {
    /// Starts a process that knows only the addresses of `count` nodes.
    ///
    /// ```
    /// # use hitch_scenario::node::*;
    /// let identity = Identity { index: 0, zone: 0, start_number: 1, incarnation: [1; 16], started: Default::default() };
    /// assert!(Node::start(identity, 3).table.version() == 0);
    /// ```
    pub fn start(identity: Identity, count: usize) -> Node {
        let service = service_of(identity.index);
        let contact = Contact {
            instance: instance_name(identity.index),
            zone: format!("z{}", identity.zone).into(),
            address: instance_name(identity.index),
            service: service.into(),
            customer: CUSTOMER.into(),
            ..Contact::default()
        };
        let own = Member::starting(hitch_roster::Incarnation(identity.incarnation), contact);
        let mut options = hitch_roster::Options::default();
        for i in 0..count {
            if i != identity.index {
                options.seeds.push(instance_name(i));
            }
        }
        let own_holder = Holder {
            instance: instance_name(identity.index),
            incarnation: hitch_once::Incarnation(identity.incarnation),
        };
        let mut retry_budget = Bucket::new(Default::default());
        for _ in 0..INITIAL_RETRIES {
            retry_budget.put_back(Budget::from_milli(1_000));
        }
        let mut node = Node {
            identity,
            up: true,
            draining_since: None,
            frozen_until: Duration::ZERO,
            backend_down_until: Duration::ZERO,
            clock_offset_ms: 0,
            ready: false,
            roster: Roster::new(own.clone(), options),
            spread: Spread::new(Default::default()),
            state: State::default(),
            previous_state: None,
            switchover: Switchover::default(),
            table: Table::default(),
            pools: BTreeMap::new(),
            queue: None,
            attempts_by_ticket: BTreeMap::new(),
            ownership: OwnershipMap::new(0),
            next_ownership_offset: 0,
            keys: hitch_once::KeyTable::new(own_holder.clone(), Default::default()),
            joined_attempts: BTreeMap::new(),
            planner: Planner::new(service, own_holder, Default::default()),
            keys_released: false,
            suspicion: Suspicion::new(Default::default()),
            retry_budget,
            exchanges: BTreeMap::new(),
            next_read_at: [Duration::ZERO; 3],
            newest_snapshot_next: 0,
        };
        node.upsert(&own);
        node
    }

    /// Returns the service that the local backend server runs.
    ///
    /// ```
    /// # use hitch_scenario::node::*;
    /// # let identity = Identity { index: 0, zone: 0, start_number: 1, incarnation: [1; 16], started: Default::default() };
    /// assert_eq!(Node::start(identity, 3).service(), "ledger");
    /// ```
    pub fn service(&self) -> &'static str {
        service_of(self.identity.index)
    }

    /// Applies membership changes to the pools.
    ///
    /// ```
    /// # use hitch_scenario::node::*;
    /// # let identity = Identity { index: 0, zone: 0, start_number: 1, incarnation: [1; 16], started: Default::default() };
    /// Node::start(identity, 3).apply_member_changes(vec![]);
    /// ```
    pub fn apply_member_changes(&mut self, changes: Vec<Change>) {
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
        let readiness = match member.state {
            hitch_roster::State::Starting => Readiness::Starting,
            hitch_roster::State::Ready => Readiness::Accepting,
            _ => Readiness::Unavailable,
        };
        let zone = format!("z{}", self.identity.zone);
        let pool = self.pools.entry(contact.service.clone());
        pool.or_insert_with(|| Pool::new(&zone)).upsert(Backend {
            instance: contact.instance.clone(),
            zone: contact.zone.clone(),
            address: contact.address.clone(),
            readiness,
        });
    }

    fn remove(&mut self, member: &Member) {
        if let Some(pool) = self.pools.get_mut(&member.contact.service) {
            pool.remove(&member.contact.instance);
        }
    }

    /// Applies the records or the snapshot that the dissemination delivered.
    ///
    /// ```
    /// # use hitch_scenario::node::*;
    /// # let identity = Identity { index: 0, zone: 0, start_number: 1, incarnation: [1; 16], started: Default::default() };
    /// let now = std::time::Duration::ZERO;
    /// Node::start(identity, 3).apply_outcome(now, Default::default(), None, None);
    /// ```
    pub fn apply_outcome(
        &mut self,
        now: Duration,
        outcome: Outcome,
        snapshot: Option<State>,
        defect: Option<Defect>,
    ) {
        let before = self.state.next_offset();
        if let Some(snapshot) = snapshot.filter(|_| outcome.adopt) {
            self.state.adopt(snapshot);
        }
        for record in outcome.apply {
            let older = self.state.clone();
            if defect == Some(Defect::SkipVersion) && older.version() > 0 {
                self.state = skip_record(&older);
                continue;
            }
            if self.state.apply(record.offset, &record.data).is_err() {
                break;
            }
            if older.version() > 0 && older.version() < self.state.version() {
                self.previous_state = Some(older);
            }
        }
        if self.state.next_offset() > before {
            let partial = defect == Some(Defect::PartialApply);
            let table = match partial {
                true => Table::compile(&first_half(&self.state)),
                false => Table::compile(&self.state),
            };
            self.switchover.offer(now, table);
        }
    }

    /// Brings the newest table into force as soon as [`Switchover`] allows it.
    ///
    /// ```
    /// # use hitch_scenario::node::*;
    /// # let identity = Identity { index: 0, zone: 0, start_number: 1, incarnation: [1; 16], started: Default::default() };
    /// Node::start(identity, 3).bring_into_force(std::time::Duration::ZERO, None);
    /// ```
    pub fn bring_into_force(&mut self, now: Duration, defect: Option<Defect>) {
        let is_older = |older: &mut State| older.version() < self.table.version();
        if defect == Some(Defect::AdoptOlderSnapshot)
            && let Some(older) = self.previous_state.take_if(is_older)
        {
            self.table = Table::compile(&older);
            self.state = older;
            return;
        }
        let pools = &self.pools;
        let assume_present = defect == Some(Defect::RouteToMissing);
        let has =
            |service: &str| assume_present || pools.get(service).is_some_and(|p| !p.is_empty());
        if let Some(next) = self.switchover.poll(now, has) {
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
        let name = service_of(self.identity.index);
        let Some(service) = contract.services.iter().find(|s| *s.name == *name) else {
            return;
        };
        let options = hitch_once::plan::Options {
            interval_ms: contract.key_interval.as_millis() as u64,
        };
        self.planner.configure(options);
        match &mut self.queue {
            Some(queue) => queue.reconfigure(now, service, &contract.ranks),
            empty => {
                *empty = Some(Queue::new(
                    now,
                    service,
                    &contract.ranks,
                    Default::default(),
                ))
            }
        }
    }

    /// Lists the ready members of the node's service, which can own keys.
    ///
    /// ```
    /// # use hitch_scenario::node::*;
    /// # let identity = Identity { index: 0, zone: 0, start_number: 1, incarnation: [1; 16], started: Default::default() };
    /// assert!(Node::start(identity, 3).live_holders().is_empty());
    /// ```
    pub fn live_holders(&self) -> Vec<Holder> {
        let mut live = Vec::new();
        for (_, member) in self.roster.members() {
            let is_ready = member.state == hitch_roster::State::Ready;
            if !is_ready || *member.contact.service != *self.service() {
                continue;
            }
            live.push(Holder {
                instance: member.contact.instance.clone(),
                incarnation: hitch_once::Incarnation(member.incarnation.0),
            });
        }
        let own = hitch_once::Incarnation(self.identity.incarnation);
        let instance = instance_name(self.identity.index);
        live.retain(|h| h.instance != instance || h.incarnation == own);
        live
    }
}

/// Returns the name of the instance of a node.
///
/// ```
/// assert_eq!(&*hitch_scenario::node::instance_name(3), "n3");
/// ```
pub fn instance_name(index: usize) -> Box<str> {
    format!("n{index}").into()
}

/// Returns the number of the node on an instance.
///
/// ```
/// assert_eq!(hitch_scenario::node::instance_index("n3"), 3);
/// ```
pub fn instance_index(instance: &str) -> usize {
    instance[1..]
        .parse()
        .expect("an instance name is `n` and a number")
}

fn service_of(index: usize) -> &'static str {
    match index % 2 {
        0 => ONCE,
        _ => REPEATABLE,
    }
}

/// Removes the last route from the contract, for [`Defect::PartialApply`].
fn first_half(state: &State) -> State {
    let text = String::from_utf8(state.snapshot()).expect("a snapshot is UTF-8");
    let text = text.replace(&SECOND_HALF.replace('\n', "\\n"), "");
    State::from_snapshot(text.as_bytes()).expect("the contract is valid without its last route")
}

/// Advances the offset past a record without applying it, for [`Defect::SkipVersion`].
fn skip_record(state: &State) -> State {
    let text = String::from_utf8(state.snapshot()).expect("a snapshot is UTF-8");
    let next = state.next_offset();
    let from = format!("\"next_offset\":{next},");
    let to = format!("\"next_offset\":{},", next + 1);
    State::from_snapshot(text.replace(&from, &to).as_bytes())
        .expect("a snapshot is valid with any next offset")
}
