//! Exhaustive check of the whole machine: three nodes, two keys, every order of steps.
//!
//! A pause, a partition from the log and a lost append answer need no steps of their own: any node may
//! do nothing while others go on, and nobody ever learns from the answer to an append. Routers are stale
//! at will (any key goes to any node), and clocks are wrong at will (a plan uses either time). Each step
//! of a node uses any prefix of the log that it can have read since it started, even a shorter one than
//! before, as after a refetch from a peer that lags.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;

use hitch_once::Decision;
use hitch_once::Holder;
use hitch_once::Key;
use hitch_once::KeyTable;
use hitch_once::Lookup;
use hitch_once::OwnershipMap;
use hitch_once::Planner;
use hitch_once::Record;
use hitch_once::Refusal;
use hitch_once::Source;
use hitch_once::Step;

use crate::holder;

const CLOCKS: [u64; 2] = [10_000_000, 10_040_000];
const KEY_TIMES: [u64; 2] = [10_010_000, 10_070_000];
const TWICE: &str = "a key that ran may run again, or be refused as not-run by its owner";
const DENIED: &str = "an instance refused a key as not-run that it ran itself";
const TRACE: &str = "a submission that was refused as not-run left a trace";

/// The machine as it is, or with one rule broken.
#[derive(Clone, Copy, PartialEq)]
enum Rules {
    Sound,
    /// Before the hand-over a clock decides who owns all keys; earlier runs are known everywhere.
    LeaseByClock,
    /// The last record wins, so that a survivor takes over before the interval ends.
    TakeoverInInterval,
    /// A restarted node keeps its identity.
    SameIncarnation,
    /// An append counts before it is read back.
    OwnsUnread,
    /// A restarted node answers before it has read the log.
    AnswersUnread,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Call {
    None,
    /// Offered and accepted; no byte went to the backend server yet.
    Held,
    Running,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    log: Vec<u16>,
    /// Appends that may still take effect.
    in_flight: BTreeSet<u16>,
    incarnations: [u8; 3],
    /// Length of the log when each node started, which it reads before it answers.
    started_at: [usize; 3],
    calls: [[Call; 2]; 3],
    ran_on: [[u8; 2]; 3],
    restarts: u8,
    late: bool,
    tables: [Rc<KeyTable<()>>; 3],
}

struct World {
    rules: Rules,
    max_records: usize,
    max_restarts: u8,
    keys: [Key; 2],
    records: Vec<Record>,
    maps: BTreeMap<(Vec<u16>, bool), Rc<OwnershipMap>>,
    plans: BTreeMap<(*const OwnershipMap, [u8; 3], usize), Vec<u16>>,
}

impl State {
    fn with(&self, change: impl FnOnce(&mut State)) -> State {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn holders(&self) -> [Holder; 3] {
        [0, 1, 2].map(|n| holder(["a", "b", "c"][n], self.incarnations[n]))
    }

    fn ran(&self, k: usize) -> bool {
        self.ran_on.iter().any(|runs| runs[k] > 0)
    }
}

impl World {
    fn record(&mut self, record: Record) -> u16 {
        if !self.records.contains(&record) {
            self.records.push(record.clone());
        }
        let id = self.records.iter().position(|r| *r == record).unwrap();
        u16::try_from(id).unwrap()
    }

    /// Folds the first `read` records of the log, as node `n` does.
    fn map(&mut self, state: &State, n: usize, read: usize) -> Rc<OwnershipMap> {
        let mut ids = state.log[..read].to_vec();
        match self.rules {
            Rules::OwnsUnread => ids.extend(&state.in_flight),
            Rules::TakeoverInInterval => ids.reverse(),
            _ => {}
        }
        let started = self.rules == Rules::AnswersUnread || read >= state.started_at[n];
        let key = (ids, started);
        if let Some(map) = self.maps.get(&key) {
            return map.clone();
        }
        let mut map = OwnershipMap::new(0);
        for (offset, id) in key.0.iter().enumerate() {
            let record = &self.records[usize::from(*id)];
            map.apply(offset as u64, record, Source::Log).unwrap();
        }
        if key.1 {
            map.mark_caught_up();
        }
        self.maps.entry(key).or_insert(Rc::new(map)).clone()
    }

    /// Collects the records that node `n` may append to extend the ownership.
    fn plans(&mut self, state: &State, n: usize, read: usize) -> Vec<u16> {
        let mut map = self.map(state, n, read);
        let key = (Rc::as_ptr(&map), state.incarnations, n);
        if let Some(plans) = self.plans.get(&key) {
            return plans.clone();
        }
        if self.rules == Rules::TakeoverInInterval {
            map = Rc::new(OwnershipMap::new(0));
        }
        let all = state.holders();
        let mut plans = Vec::new();
        for live in [&all[..], &all[n..=n]] {
            for now_ms in CLOCKS {
                let mut planner = Planner::new("ledger", all[n].clone(), Default::default());
                let mut step = planner.next(&map, live, now_ms);
                if let Step::Wait { .. } = step {
                    step = planner.next(&map, live, now_ms + 4_000);
                }
                if let Step::Append(record) = step {
                    plans.push(self.record(record));
                }
            }
        }
        self.plans.entry(key).or_insert(plans).clone()
    }

    /// Makes node `n` leave: it stops running new keys and appends its release.
    fn leave(&mut self, state: &State, n: usize, read: usize) -> State {
        let (map, all) = (self.map(state, n, read), state.holders());
        let mut table = (*state.tables[n]).clone();
        let planner = Planner::new("ledger", all[n].clone(), Default::default());
        let record = self.record(planner.plan_release(&map, &all, &table.release(CLOCKS[0])));
        state.with(|s| {
            s.in_flight.insert(record);
            s.tables[n] = table.into();
        })
    }

    /// Offers key `k` to node `n`; returns the state after it and whether it was refused as not-run.
    fn offer(&mut self, state: &State, n: usize, k: usize, read: usize) -> (Option<State>, bool) {
        let map = self.map(state, n, read);
        let mut table = (*state.tables[n]).clone();
        let mut offered = table.offer(&map, self.keys[k], 0);
        if self.rules == Rules::LeaseByClock {
            let now_ms = KEY_TIMES[usize::from(state.late)];
            let mine = Lookup::Owned(&state.holders()[n]) == map.lookup(0, now_ms);
            let run = mine && !state.ran(k) && state.calls[n][k] == Call::None;
            offered = if run { Decision::Run } else { Decision::Join };
        }
        let next = match offered {
            Decision::Run => Some(state.with(|s| {
                s.calls[n][k] = Call::Held;
                s.tables[n] = table.into();
            })),
            _ if table != *state.tables[n] => Some(state.with(|s| s.tables[n] = table.into())),
            _ => None,
        };
        (
            next,
            matches!(offered, Decision::Refused(Refusal::NotRun { .. })),
        )
    }

    /// Collects what may become of a call that node `n` holds or runs.
    fn call(&self, state: &State, n: usize, k: usize, found: &mut Vec<State>) {
        let mut end = |end: fn(&mut KeyTable<()>, Key)| {
            found.push(state.with(|s| {
                end(Rc::make_mut(&mut s.tables[n]), self.keys[k]);
                s.calls[n][k] = Call::None;
            }));
        };
        match state.calls[n][k] {
            Call::None => {}
            Call::Running => {
                end(|table, key| table.mark_unknown(key));
                end(|table, key| table.record_answer(key, (), 0));
            }
            Call::Held => {
                end(|table, key| table.remove_unsent(key));
                found.push(state.with(|s| {
                    s.ran_on[n][k] += 1;
                    s.calls[n][k] = Call::Running;
                }));
            }
        }
    }

    fn restart(&self, state: &State, n: usize) -> State {
        state.with(|s| {
            s.restarts += 1;
            s.incarnations[n] += u8::from(self.rules != Rules::SameIncarnation);
            s.started_at[n] = s.log.len();
            s.calls[n] = [Call::None; 2];
            s.tables[n] = KeyTable::new(s.holders()[n].clone(), Default::default()).into();
        })
    }

    /// Collects the states that may follow, and the invariants that break in them.
    fn successors(&mut self, state: &State, broken: &mut BTreeSet<&'static str>) -> Vec<State> {
        let mut found = Vec::new();
        if self.rules == Rules::LeaseByClock {
            found.push(state.with(|s| s.late = true));
        }
        for append in &state.in_flight {
            found.push(state.with(|s| {
                s.in_flight.remove(append);
                s.log.push(*append);
            }));
        }
        for n in 0..3 {
            if state.restarts < self.max_restarts {
                found.push(self.restart(state, n));
            }
            let room = state.log.len() + state.in_flight.len() < self.max_records;
            for read in 0..=state.log.len() {
                if room {
                    for record in self.plans(state, n, read) {
                        found.push(state.with(|s| _ = s.in_flight.insert(record)));
                    }
                    found.push(self.leave(state, n, read));
                }
                for k in 0..2 {
                    let (next, not_run) = self.offer(state, n, k, read);
                    if not_run && state.ran_on[n][k] > 0 {
                        broken.insert(DENIED);
                    }
                    if not_run && next.is_some() {
                        broken.insert(TRACE);
                    }
                    found.extend(next);
                }
            }
            for k in 0..2 {
                if state.calls[n][k] == Call::Held && state.ran(k) {
                    broken.insert(TWICE);
                }
                self.call(state, n, k, &mut found);
            }
        }
        found
    }
}

/// Explores breadth first until `wanted` breaks or no state is left; returns what broke.
fn explore(rules: Rules, records: usize, restarts: u8, wanted: &str) -> BTreeSet<&'static str> {
    let mut world = World {
        rules,
        max_records: records,
        max_restarts: restarts,
        keys: [0, 1].map(|k| Key::generate(KEY_TIMES[k], k as u128)),
        records: Vec::new(),
        maps: BTreeMap::new(),
        plans: BTreeMap::new(),
    };
    let tables =
        ["a", "b", "c"].map(|name| KeyTable::new(holder(name, 1), Default::default()).into());
    let start = State {
        log: Vec::new(),
        in_flight: BTreeSet::new(),
        incarnations: [1; 3],
        started_at: [0; 3],
        calls: [[Call::None; 2]; 3],
        ran_on: [[0; 2]; 3],
        restarts: 0,
        late: false,
        tables,
    };
    let mut broken = BTreeSet::new();
    let start = Rc::new(start);
    let mut seen = BTreeSet::from([start.clone()]);
    let mut queue = VecDeque::from([start]);
    while let Some(state) = queue.pop_front() {
        let next = world.successors(&state, &mut broken);
        if broken.contains(wanted) {
            break;
        }
        let next = next.into_iter().map(Rc::new);
        queue.extend(next.filter(|s| seen.insert(s.clone())));
    }
    println!(
        "{} states with {records} records, {restarts} restarts: {broken:?}",
        seen.len()
    );
    broken
}

/// Guards against a model that cannot find the faults it is meant to find.
#[test]
fn broken_rules_are_caught() {
    let variants = [
        (Rules::LeaseByClock, 2, 0, TWICE),
        (Rules::TakeoverInInterval, 2, 0, TWICE),
        (Rules::SameIncarnation, 1, 1, TWICE),
        (Rules::OwnsUnread, 2, 0, TWICE),
        (Rules::AnswersUnread, 1, 1, DENIED),
    ];
    for (rules, records, restarts, fault) in variants {
        let broken = explore(rules, records, restarts, fault);
        assert!(broken.contains(fault), "{fault}: not found");
    }
}

/// Guards against any order of steps in which a key runs twice or a refusal is false.
///
/// Bounds of (2, 2) and (3, 0) hold too; each takes over 20 s in a debug build.
#[test]
fn sound_rules_hold_in_every_state() {
    for (records, restarts) in [(1, 2), (2, 1)] {
        assert_eq!(
            explore(Rules::Sound, records, restarts, ""),
            BTreeSet::new()
        );
    }
}
