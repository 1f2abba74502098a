//! Measures what the length of the ownership intervals costs and buys, in virtual time.
//!
//! Run with `cargo run --release -p hitch-once --example endurance`. One service of ten nodes runs the real
//! planner, map and tables on one clock that moves in steps; the log takes appends at once or not at all.

use hitch_once::Decision;
use hitch_once::Holder;
use hitch_once::Incarnation;
use hitch_once::Key;
use hitch_once::KeyTable;
use hitch_once::Lookup;
use hitch_once::OwnershipMap;
use hitch_once::Planner;
use hitch_once::Source;
use hitch_once::Step;
use hitch_once::map::Target;
use hitch_once::plan::Options;

const NODES: u8 = 10;
const SERVICES: u64 = 560;
const STEP_MS: u64 = 500;
const HOUR_MS: u64 = 3_600_000;
const START_MS: u64 = 1_800_000_000_000;
const PHASES: u64 = 12;

struct Service {
    now_ms: u64,
    map: OwnershipMap,
    nodes: Vec<Node>,
    log_is_up: bool,
    appends: u64,
    keys: u128,
}

struct Node {
    me: Holder,
    planner: Planner,
    table: KeyTable<()>,
    asked_at: (u64, u64),
}

impl Service {
    fn start(interval_ms: u64) -> Service {
        let mut map = OwnershipMap::new(0);
        map.mark_caught_up();
        let nodes = (0..NODES).map(|n| Node::start(n, interval_ms)).collect();
        let mut service = Service {
            now_ms: START_MS,
            map,
            nodes,
            log_is_up: true,
            appends: 0,
            keys: 0,
        };
        service.run_for(2 * interval_ms);
        service
    }

    /// Lets time pass and returns the shares of keyed calls that ran and that ran or were refused.
    fn run_for(&mut self, ms: u64) -> (u64, u64) {
        let (mut served, mut offered) = (0, 0);
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.plan();
            served += u64::from(self.call());
            offered += 1;
            self.now_ms += STEP_MS;
        }
        (served, offered)
    }

    fn plan(&mut self) {
        let live: Vec<Holder> = self.nodes.iter().map(|n| n.me.clone()).collect();
        for node in &mut self.nodes {
            let offset = self.map.next_offset();
            if node.asked_at.0 == offset && self.now_ms < node.asked_at.1 {
                continue;
            }
            match node.planner.next(&self.map, &live, self.now_ms) {
                Step::Wait { until_ms } => node.asked_at = (offset, until_ms),
                Step::ReadBack => unreachable!("every answer arrives here"),
                Step::Append(_) if !self.log_is_up => node.planner.append_refused(self.now_ms),
                Step::Append(record) => {
                    self.appends += 1;
                    let applied = self.map.apply(offset, &record, Source::Log);
                    applied.expect("the planner has read everything");
                }
            }
        }
        self.map.prune(self.now_ms.saturating_sub(HOUR_MS));
    }

    /// Sends one call with a fresh key, and returns whether it ran.
    fn call(&mut self) -> bool {
        self.keys += 1;
        let key = Key::generate(self.now_ms, self.keys);
        let Target::Owner(owner) = self.map.target(key, |_| true) else {
            return false;
        };
        let Some(node) = self.nodes.iter_mut().find(|n| n.me == *owner) else {
            return false;
        };
        if node.table.offer(&self.map, key, 0) != Decision::Run {
            return false;
        }
        node.table.record_answer(key, (), 0);
        true
    }

    /// Stops the first node for good, and returns how long new keys of its buckets had no live owner.
    fn crash(&mut self) -> u64 {
        let gone = self.nodes.remove(0).me;
        let since_ms = self.now_ms;
        loop {
            self.plan();
            let held = |bucket| self.map.lookup(bucket, self.now_ms) == Lookup::Owned(&gone);
            if !(0..hitch_once::BUCKETS).any(held) {
                return self.now_ms - since_ms;
            }
            self.now_ms += STEP_MS;
        }
    }
}

impl Node {
    fn start(n: u8, interval_ms: u64) -> Node {
        let me = Holder {
            instance: format!("10.0.0.{n}").into(),
            incarnation: Incarnation([n; 16]),
        };
        Node {
            planner: Planner::new("ledger", me.clone(), Options { interval_ms }),
            table: KeyTable::new(me.clone(), Default::default()),
            me,
            asked_at: (0, 0),
        }
    }
}

fn main() {
    println!("one service of {NODES} nodes, one keyed call each {STEP_MS} ms, {PHASES} phases");
    println!(
        "interval  served in a 1 h outage   takeover after a crash   appends/s of {SERVICES} services"
    );
    for interval_ms in [30_000, 60_000, 600_000, HOUR_MS] {
        let (mut served, mut offered) = (0, 0);
        let mut takeovers = Vec::new();
        for phase in 0..PHASES {
            let mut service = Service::start(interval_ms);
            service.run_for(interval_ms * phase / PHASES);
            service.log_is_up = false;
            let (ran, all) = service.run_for(HOUR_MS);
            served += ran;
            offered += all;

            let mut service = Service::start(interval_ms);
            service.run_for(interval_ms * phase / PHASES);
            takeovers.push(service.crash() / 1_000);
        }
        let mut service = Service::start(interval_ms);
        service.appends = 0;
        service.run_for(8 * interval_ms);
        let appends = service.appends as f64 * SERVICES as f64 * 1_000.0 / (8 * interval_ms) as f64;
        let share = 100.0 * served as f64 / offered as f64;
        let mean = takeovers.iter().sum::<u64>() / PHASES;
        let (least, most) = (
            takeovers.iter().min().unwrap(),
            takeovers.iter().max().unwrap(),
        );
        println!(
            "{:>6} s {share:>20.1} % {mean:>10} s ({least} to {most} s) {appends:>22.2}",
            interval_ms / 1_000
        );
    }
}
