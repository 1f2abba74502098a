//! Measures, in virtual time, how the length of the ownership intervals affects availability during a log
//! outage, takeover after a crash, and the rate of appends.
//!
//! Run with `cargo run --release -p hitch-once --example endurance`. One service of ten nodes runs the
//! production planner, map and tables on one clock that advances in steps; the log accepts appends
//! immediately or refuses them.

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
    key_count: u128,
}

struct Node {
    holder: Holder,
    planner: Planner,
    table: KeyTable<()>,
    /// Next offset of the map when the planner last returned [`Step::Wait`], and the end of that wait.
    waiting: (u64, u64),
}

impl Service {
    fn start(interval_ms: u64) -> Service {
        let mut map = OwnershipMap::new(0);
        map.mark_caught_up();
        let nodes = (0..NODES)
            .map(|index| Node::start(index, interval_ms))
            .collect();
        let mut service = Service {
            now_ms: START_MS,
            map,
            nodes,
            log_is_up: true,
            appends: 0,
            key_count: 0,
        };
        service.run_for(2 * interval_ms);
        service
    }

    /// Advances time by `ms` and returns the number of calls that ran and the number of calls sent.
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
        let live: Vec<Holder> = self.nodes.iter().map(|node| node.holder.clone()).collect();
        for node in &mut self.nodes {
            let offset = self.map.next_offset();
            if node.waiting.0 == offset && self.now_ms < node.waiting.1 {
                continue;
            }
            match node.planner.next(&self.map, &live, self.now_ms) {
                Step::Wait { until_ms } => node.waiting = (offset, until_ms),
                Step::ReadBack => unreachable!("the answer of an append is never lost here"),
                Step::Append(_) if !self.log_is_up => node.planner.append_refused(self.now_ms),
                Step::Append(record) => {
                    self.appends += 1;
                    let applied = self.map.apply(offset, &record, Source::Log);
                    applied.expect("the map has no gap");
                }
            }
        }
        self.map.prune(self.now_ms.saturating_sub(HOUR_MS));
    }

    /// Sends one call with a new key, and returns whether it ran.
    fn call(&mut self) -> bool {
        self.key_count += 1;
        let key = Key::generate(self.now_ms, self.key_count);
        let Target::Owner(owner) = self.map.target(key, |_| true) else {
            return false;
        };
        let Some(node) = self.nodes.iter_mut().find(|node| node.holder == *owner) else {
            return false;
        };
        if node.table.offer(&self.map, key, 0) != Decision::Run {
            return false;
        }
        node.table.record_answer(key, (), 0);
        true
    }

    /// Crashes the first node, and returns how long new keys of its buckets had no live owner, in
    /// milliseconds.
    fn crash(&mut self) -> u64 {
        let crashed = self.nodes.remove(0).holder;
        let since_ms = self.now_ms;
        loop {
            self.plan();
            let owned_by_crashed =
                |bucket| self.map.lookup(bucket, self.now_ms) == Lookup::Owned(&crashed);
            if !(0..hitch_once::BUCKETS).any(owned_by_crashed) {
                return self.now_ms - since_ms;
            }
            self.now_ms += STEP_MS;
        }
    }
}

impl Node {
    fn start(index: u8, interval_ms: u64) -> Node {
        let holder = Holder {
            instance: format!("10.0.0.{index}").into(),
            incarnation: Incarnation([index; 16]),
        };
        Node {
            planner: Planner::new("ledger", holder.clone(), Options { interval_ms }),
            table: KeyTable::new(holder.clone(), Default::default()),
            holder,
            waiting: (0, 0),
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
            let (ran, calls) = service.run_for(HOUR_MS);
            served += ran;
            offered += calls;

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
