//! Measures convergence, control traffic and log reads of many nodes in virtual time.
//!
//! `cargo run --release -p hitch-spread --example convergence -- --nodes 300 --seed 1`
//!
//! The nodes are spread over six zones in two regions; two nodes of each zone read the log. The
//! latency of a message is 0.5 ms within a zone and 1.4 ms between zones, times a random factor
//! between one and two, plus 0.1 to 1 ms of processing; one message in a hundred is delayed by
//! another 10 to 50 ms. The size of a message is its prost encoding and 150 bytes of overhead for
//! gRPC over HTTP/2 and TCP: 23 for frame headers and the gRPC prefix, about 40 for the header
//! block, 80 for TCP/IP headers and their acknowledgement, rounded up. The log answers one read at
//! a time, each in 0.2 ms.
mod fleet;
mod wire;

use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use hdrhistogram::Histogram;
use hitch_roster::Digest;
use hitch_roster::Member;
use hitch_roster::Roster;
use rand::RngExt;

use crate::fleet::Event;
use crate::fleet::Fleet;
use crate::fleet::READERS;
use crate::fleet::TICK;

const CHANGES_A_DAY: u32 = 14_000;
const CHANGE_INTERVAL: Duration = Duration::from_millis(86_400_000 / CHANGES_A_DAY as u64);

/// Measures convergence in virtual time.
#[derive(FromArgs)]
struct Args {
    /// number of nodes
    #[argh(option, default = "100")]
    nodes: usize,
    /// number of changes
    #[argh(option, default = "50")]
    changes: u32,
    /// seed of the random generator
    #[argh(option, default = "1")]
    seed: u64,
    /// fraction of messages that are lost, 0 to 1
    #[argh(option, default = "0.01")]
    loss: f64,
    /// baseline: every node reads the log itself, without dissemination between nodes
    #[argh(switch)]
    tail: bool,
    /// restarts of single nodes per day, without a drain
    #[argh(option, default = "0")]
    restarts_a_day: u32,
    /// alternative: announcements include the latest record
    #[argh(switch)]
    push: bool,
    /// kills half of the nodes at once during the changes and restarts them
    #[argh(switch)]
    restart: bool,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(600_000_000, 3).expect("the bounds are valid")
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0u64) * 4096
}

fn main() {
    let args: Args = argh::from_env();
    let (nodes, changes, restart) = (args.nodes, args.changes, args.restart);
    let (seed, loss, tail, push) = (args.seed, args.loss, args.tail, args.push);
    println!("nodes {nodes} changes {changes} seed {seed} loss {loss} tail {tail} push {push}");
    let resident = resident_bytes();
    let mut fleet = Fleet::new(args);
    fleet.run_until(Duration::from_secs(10));
    let resident = (resident_bytes() - resident) / nodes as u64 / 1000;
    println!("resident: {resident} KB per node, with contacts shared by all nodes");
    match restart {
        true => measure_restart(&mut fleet),
        false => measure_changes(&mut fleet),
    }
    if !restart {
        measure_roster(&mut fleet.nodes[0].roster, fleet.now);
    }
}

/// Runs for `time` and returns the bytes sent and the log reads, both per second.
fn rates(fleet: &mut Fleet, time: Duration) -> (f64, f64) {
    let reads = |fleet: &Fleet| fleet.reads.values().sum::<u64>();
    let (bytes, reads_before) = (fleet.bytes, reads(fleet));
    fleet.run_until(fleet.now + time);
    let seconds = time.as_secs_f64();
    let bytes = (fleet.bytes - bytes) as f64;
    (
        bytes / seconds,
        (reads(fleet) - reads_before) as f64 / seconds,
    )
}

fn measure_changes(fleet: &mut Fleet) {
    let (nodes, changes) = (fleet.args.nodes as f64, fleet.args.changes);
    let (begin, start) = (Instant::now(), fleet.now);
    let (idle_bytes, idle_reads) = rates(fleet, Duration::from_secs(20));
    for i in 0..changes {
        let jitter = CHANGE_INTERVAL.mul_f64(fleet.rng.random());
        fleet.after(CHANGE_INTERVAL * i + jitter, Event::Append);
    }
    let time = CHANGE_INTERVAL * changes + Duration::from_secs(10);
    let restarts = time.as_secs_f64() * fleet.args.restarts_a_day as f64 / 86_400.0;
    for _ in 0..restarts as usize {
        let at = time.mul_f64(fleet.rng.random());
        let node = fleet.rng.random_range(0..fleet.args.nodes);
        fleet.after(at, Event::Kill(node));
    }
    let (bytes, reads) = rates(fleet, time);
    let cpu = begin.elapsed().as_secs_f64() / nodes / (fleet.now - start).as_secs_f64();
    let per_change = time.as_secs_f64() / changes as f64;
    let (reads, bytes) = (
        (reads - idle_reads) * per_change,
        (bytes - idle_bytes) * per_change,
    );
    let (bytes, idle_bytes) = (bytes / nodes, idle_bytes / nodes);
    let daily_mean = idle_bytes + bytes * CHANGES_A_DAY as f64 / 86_400.0;
    let mut all_nodes = histogram();
    for change in &fleet.changes {
        let time = change
            .done
            .map(|done| (done - change.at).as_micros() as u64);
        time.into_iter()
            .for_each(|us| all_nodes.saturating_record(us));
    }
    let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1e3;
    let one_node = &fleet.delays;
    println!(
        "in force on every node: {} of {changes} changes",
        all_nodes.len()
    );
    println!(
        "to all nodes: p50 {:.1} ms, p99 {:.1} ms",
        ms(&all_nodes, 0.5),
        ms(&all_nodes, 0.99)
    );
    println!(
        "to one node: p50 {:.1} ms, p99 {:.1} ms",
        ms(one_node, 0.5),
        ms(one_node, 0.99)
    );
    println!("idle: {idle_bytes:.0} B/s sent per node, {idle_reads:.1} log reads/s");
    println!("per change: {bytes:.0} B sent per node, {reads:.1} log reads");
    println!("14,000 changes a day: {daily_mean:.0} B/s sent per node and as much received");
    println!(
        "CPU: {:.1} us per node and second, including the simulation",
        cpu * 1e6
    );
}

fn measure_restart(fleet: &mut Fleet) {
    for i in 0..fleet.args.changes {
        fleet.after(Duration::from_secs(i as u64), Event::Append);
    }
    let killed_at = fleet.now + Duration::from_secs(5);
    fleet.run_until(killed_at);
    fleet.restart();
    let limit = killed_at + Duration::from_secs(60);
    while fleet.now < limit && !fleet.in_force() {
        fleet.run_until(fleet.now + TICK);
    }
    let time = (fleet.now - killed_at).as_secs_f64();
    println!(
        "in force everywhere {time:.1} s after the kill, {}",
        fleet.in_force()
    );
    print_reads(fleet, killed_at);
    for after in [2, 5, 10, 20, 30] {
        let time = (killed_at + Duration::from_secs(after)).saturating_sub(fleet.now);
        let (bytes, _) = rates(fleet, time.max(TICK));
        let (wrong, outdated) = fleet.wrong_entries();
        let bytes = bytes / fleet.args.nodes as f64;
        println!("{after} s: per roster {wrong:.2} members missing or in a wrong state,");
        println!("  {outdated:.2} with an outdated entry; {bytes:.0} B/s sent per node");
    }
    print_reads(fleet, killed_at);
}

fn print_reads(fleet: &Fleet, killed_at: Duration) {
    let from = killed_at.as_secs() - 5;
    let reads = (from..fleet.now.as_secs()).map(|s| fleet.reads.get(&s).copied().unwrap_or(0));
    let reads: Vec<u64> = reads.collect();
    println!("log reads by second, kill after the fifth second: {reads:?}");
}

fn print_duration<T>(name: &str, mut f: impl FnMut() -> T) {
    let begin = Instant::now();
    for _ in 0..20 {
        std::hint::black_box(f());
    }
    let us = begin.elapsed().as_secs_f64() * 1e6 / 20.0;
    println!("{name}: {us:.1} us");
}

fn measure_roster(roster: &mut Roster, now: Duration) {
    let members: Vec<Member> = roster.members().map(|(_, m)| m).collect();
    let own = roster.own();
    print_duration("digest", || roster.digest());
    print_duration("missing, new node", || roster.missing(&Digest([0; 64])));
    print_duration("missing, all buckets differ", || {
        roster.missing(&Digest([1; 64]))
    });
    let zone = own.contact.zone.clone();
    print_duration("readers of a zone", || roster.readers(&zone, READERS));
    print_duration("merge, all known", || {
        roster.merge(now, members.iter().cloned())
    });
    print_duration("merge, all new", || {
        let mut new = Roster::new(own.clone(), Default::default());
        new.merge(now, members.iter().cloned())
    });
}
