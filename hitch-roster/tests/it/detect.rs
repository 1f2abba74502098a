//! Tests of failure detection with rosters that exchange messages in virtual time.

use std::time::Duration;

use assert_matches::assert_matches;
use hitch_roster::Command;
use hitch_roster::Options;
use hitch_roster::Peer;
use hitch_roster::Roster;
use hitch_roster::State;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::member;
use crate::roster;
use crate::state_of;

/// Rosters of the nodes `n0`, `n1` and so on. Nodes in different network partitions cannot reach
/// each other.
struct Fleet {
    now: Duration,
    rosters: Vec<Roster>,
    partitions: Vec<usize>,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let mut rosters = Vec::new();
        for i in 0..count {
            let mut roster = Roster::new(member(&format!("n{i}"), "a"), Options::default());
            roster.merge(
                Duration::ZERO,
                (0..count).map(|i| member(&format!("n{i}"), "a")),
            );
            roster.set_state(Duration::ZERO, State::Ready);
            rosters.push(roster);
        }
        Fleet {
            now: Duration::ZERO,
            rosters,
            partitions: vec![0; count],
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Creates nodes that list only themselves and have the addresses of the first `seeds` nodes as
    /// seeds.
    fn starting(count: usize, seeds: usize, seed: u64) -> Fleet {
        let mut rosters = Vec::new();
        for i in 0..count {
            let seeds = (0..seeds).map(|i| format!("n{i}:70").into()).collect();
            let options = Options {
                seeds,
                ..Options::default()
            };
            let mut roster = Roster::new(member(&format!("n{i}"), "a"), options);
            roster.set_state(Duration::ZERO, State::Ready);
            rosters.push(roster);
        }
        Fleet {
            now: Duration::ZERO,
            rosters,
            partitions: vec![0; count],
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            for at in 0..self.rosters.len() {
                for command in self.rosters[at].tick(self.now, &mut self.rng) {
                    self.execute(at, command);
                }
            }
        }
    }

    fn execute(&mut self, at: usize, command: Command) {
        let (target, via) = match command {
            Command::Exchange {
                with: Peer::Member(key),
            } => (key, None),
            Command::ProbeVia { target, via } => (target, Some(via)),
            Command::Exchange {
                with: Peer::Seed(address),
            } => {
                let to = address[1..].trim_end_matches(":70").parse().unwrap();
                self.exchange(at, to);
                return;
            }
        };
        let to = self.index(at, target);
        let is_connected = |a: usize, b: usize| self.partitions[a] == self.partitions[b];
        if let Some(via) = via.map(|via| self.index(at, via)) {
            match is_connected(at, via) && is_connected(via, to) {
                true => self.rosters[at].answered(target),
                false => self.rosters[at].failed(self.now, target),
            }
            return;
        }
        if !is_connected(at, to) {
            self.rosters[at].failed(self.now, target);
            return;
        }
        self.rosters[at].answered(target);
        self.exchange(at, to);
    }

    fn exchange(&mut self, at: usize, to: usize) {
        let target = self.rosters[at].try_find(&format!("n{to}"));
        let mut sent = self.rosters[at].take_recent_updates(target);
        sent.push(self.rosters[at].own());
        let digest = self.rosters[at].digest();
        self.rosters[to].merge(self.now, sent);
        let sender = self.rosters[to].try_find(&format!("n{at}"));
        let mut reply = self.rosters[to].take_recent_updates(sender);
        reply.extend(self.rosters[to].missing(&digest));
        reply.push(self.rosters[to].own());
        self.rosters[at].merge(self.now, reply);
    }

    fn index(&self, at: usize, key: hitch_roster::MemberKey) -> usize {
        let member = self.rosters[at].get(key).unwrap();
        member.contact.instance[1..].parse().unwrap()
    }

    fn states(&self, seen_by: usize) -> Vec<State> {
        let of = |i| state_of(&self.rosters[seen_by], &format!("n{i}")).unwrap();
        (0..self.rosters.len()).map(of).collect()
    }
}

/// Guards against a failed member that stays routable.
#[test]
fn dead_member_is_suspected_then_gone_everywhere() {
    let mut fleet = Fleet::new(30, 5);
    fleet.run(Duration::from_secs(5));
    fleet.partitions[7] = 1;
    fleet.run(Duration::from_secs(20));
    for at in (0..30).filter(|at| *at != 7) {
        let states = fleet.states(at);
        assert_eq!(states[7], State::Gone);
        assert_eq!(states.iter().filter(|s| **s == State::Ready).count(), 29);
    }
}

/// Guards against nodes that start at the same time and form separate groups that do not discover
/// each other.
#[test]
fn nodes_that_start_together_know_all_members_within_3_s() {
    for seed in 0..200 {
        let mut fleet = Fleet::starting(4, 2, seed);
        fleet.run(Duration::from_secs(3));
        for at in 0..4 {
            let known = fleet.rosters[at].live_count();
            assert_eq!(known, 4, "seed {seed}: n{at} knows {known} members");
        }
    }
}

/// Guards against the sides of a healed network partition staying separate because gone members are
/// no longer gossiped.
#[test]
fn healed_partition_is_whole_again() {
    let mut fleet = Fleet::new(30, 5);
    fleet.run(Duration::from_secs(5));
    for partition in &mut fleet.partitions[15..] {
        *partition = 1;
    }
    fleet.run(Duration::from_secs(600));
    assert_eq!(fleet.states(0)[15..], [State::Gone; 15]);
    fleet.partitions = vec![0; 30];
    fleet.run(Duration::from_secs(60));
    for at in 0..30 {
        assert_eq!(fleet.states(at), [State::Ready; 30], "seen by n{at}");
    }
}

/// Guards against calls that are routed to a draining node for longer than 3 s.
#[test]
fn draining_reaches_a_thousand_nodes_within_3_s() {
    let mut fleet = Fleet::new(1000, 5);
    fleet.run(Duration::from_secs(2));
    let now = fleet.now;
    fleet.rosters[3].set_state(now, State::Draining);
    fleet.run(Duration::from_secs(3));
    for roster in &fleet.rosters {
        assert_eq!(state_of(roster, "n3"), Some(State::Draining));
    }
}

/// Guards against a process that was frozen and lists its peers as gone when it resumes.
#[test]
fn frozen_process_gives_its_peers_time_to_answer() {
    let mut roster = roster(2);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let at = |s| Duration::from_secs(s);
    let commands = roster.tick(at(1), &mut rng);
    let n1 = roster.try_find("n1").unwrap();
    let with = Peer::Member(n1);
    assert!(commands.contains(&Command::Exchange { with }));
    roster.tick(at(600), &mut rng);
    assert_eq!(state_of(&roster, "n1"), Some(State::Starting));
    roster.failed(at(600), n1);
    roster.tick(at(600), &mut rng);
    assert_eq!(state_of(&roster, "n1"), Some(State::Suspect));
    roster.tick(at(1200), &mut rng);
    assert_eq!(state_of(&roster, "n1"), Some(State::Suspect));
    for s in 1201..1207 {
        roster.tick(at(s), &mut rng);
    }
    assert_eq!(state_of(&roster, "n1"), Some(State::Gone));
}

/// Guards against a single lost message making a member suspect.
#[test]
fn successful_indirect_probe_prevents_suspicion() {
    let mut roster = roster(5);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut now = Duration::from_secs(1);
    let commands = roster.tick(now, &mut rng);
    let exchanged = commands.iter().find_map(|command| match command {
        Command::Exchange {
            with: Peer::Member(key),
        } => Some(*key),
        _ => None,
    });
    let target = exchanged.unwrap();
    now += Duration::from_millis(500);
    let commands = roster.tick(now, &mut rng);
    assert_matches!(commands[..], [Command::ProbeVia { target: t, .. }, ..] if t == target);
    roster.failed(now, target);
    roster.answered(target);
    roster.failed(now, target);
    now += Duration::from_millis(100);
    roster.tick(now, &mut rng);
    assert_eq!(roster.get(target).unwrap().state, State::Starting);
}

/// Guards against a roster that keeps an entry for every instance that ever ran.
#[test]
fn gone_member_is_removed_after_the_prune_time() {
    let mut roster = roster(2);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let n1 = crate::with(&member("n1", "a"), 1, State::Gone);
    roster.merge(Duration::ZERO, [n1]);
    for s in 1..7200 {
        roster.tick(Duration::from_secs(s), &mut rng);
        assert_eq!(state_of(&roster, "n1"), Some(State::Gone));
    }
    roster.tick(Duration::from_secs(7200), &mut rng);
    assert_eq!(state_of(&roster, "n1"), None);
}
