//! Tests of arrival and fetches.

use std::time::Duration;

use hitch_spread::Command;
use hitch_spread::Options;
use hitch_spread::Peer;
use hitch_spread::Spread;
use proptest::collection::vec;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::at;
use crate::digest;
use crate::holding;
use crate::record;
use crate::rng;

fn fetch(from: u64, next_offset: u64) -> Command {
    Command::Fetch {
        from: Peer(from),
        next_offset,
    }
}

/// Guards against records that are applied twice, out of order or never.
#[test]
fn records_come_out_in_order_exactly_once() {
    let batches = vec(vec(0..40u64, 0..8), 0..60);
    let test_rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(256), test_rng);
    let outcome = runner.run(&batches, |batches| {
        let mut spread = Spread::new(Options::default());
        let mut applied = Vec::new();
        for (i, batch) in batches.into_iter().enumerate() {
            let outcome = match i % 7 {
                6 => {
                    let upto = batch.first().copied().unwrap_or(0) / 8;
                    let outcome = spread.received_snapshot(at(0), Some(Peer(1)), upto);
                    if outcome.adopt {
                        applied.extend(applied.len() as u64..upto);
                    }
                    outcome
                }
                _ => spread.received_records(at(0), Peer(1), batch.into_iter().map(record)),
            };
            applied.extend(outcome.apply.iter().map(|r| r.offset));
            for applied in &outcome.apply {
                proptest::prop_assert_eq!(applied, &record(applied.offset));
            }
        }
        let last = spread.received_records(at(0), Peer(1), (0..40).rev().map(record));
        applied.extend(last.apply.iter().map(|r| r.offset));
        proptest::prop_assert_eq!(applied, (0..40).collect::<Vec<u64>>());
        Ok(())
    });
    outcome.unwrap();
}

/// Guards against a snapshot of a peer that is behind, which would move the node back.
#[test]
fn older_snapshot_changes_nothing() {
    let mut spread = holding(5, Options::default());
    let outcome = spread.received_snapshot(at(1), Some(Peer(1)), 4);
    assert!(!outcome.adopt);
    assert_eq!(spread.next_offset(), 5);
    assert_eq!(spread.missing_records(0, 4096).len(), 5);
}

/// Guards against a pull of the same records from every peer that announces them.
#[test]
fn one_fetch_is_in_flight_at_a_time() {
    let mut spread = holding(1, Options::default());
    let first = spread.received_digest(at(1), Peer(1), digest(2, None), None, &mut rng());
    let second = spread.received_digest(at(1), Peer(2), digest(2, None), None, &mut rng());
    assert_eq!((&first[..], &second[..]), (&[fetch(1, 1)][..], &[][..]));
}

/// Guards against a node that stays behind when a fetch or its answer is lost.
#[test]
fn lost_fetch_is_repeated_at_another_peer() {
    let mut rng = rng();
    let mut spread = holding(1, Options::default());
    spread.received_digest(at(1), Peer(1), digest(2, None), None, &mut rng);
    spread.received_digest(at(1), Peer(2), digest(2, None), None, &mut rng);
    let mut commands = Vec::new();
    let mut now = at(1);
    while commands.is_empty() {
        now += Duration::from_millis(20);
        commands = spread.tick(now, &mut rng);
        commands.retain(|c| matches!(c, Command::Fetch { .. }));
    }
    assert_eq!(commands, [fetch(2, 1)]);
    let waited = now - at(1) - Options::default().fetch_timeout;
    let wait = Options::default().retry_wait;
    assert!(waited >= wait && waited <= 3 * wait, "{waited:?}");
}

/// Guards against a node that asks a busy peer without a pause.
#[test]
fn waits_grow_while_peers_are_busy() {
    let mut rng = rng();
    let mut spread = holding(1, Options::default());
    spread.received_digest(at(1), Peer(1), digest(2, None), None, &mut rng);
    let mut now = at(1);
    let mut waits = Vec::new();
    for _ in 0..6 {
        let failed_at = now;
        spread.fetch_failed(now, Peer(1), &mut rng);
        while !spread.tick(now, &mut rng).contains(&fetch(1, 1)) {
            now += Duration::from_millis(1);
        }
        waits.push(now - failed_at);
    }
    assert!(waits[3] > waits[1] && waits[1] > waits[0], "{waits:?}");
    assert!(waits[5] <= Duration::from_millis(800), "{waits:?}");
}

/// Guards against a node that stops after the first part of a long answer.
#[test]
fn next_part_is_fetched_at_once() {
    let mut spread = holding(1, Options::default());
    spread.received_digest(at(1), Peer(1), digest(9, None), None, &mut rng());
    let outcome = spread.received_records(at(1), Peer(1), [record(1), record(2)]);
    assert!(outcome.commands.contains(&fetch(1, 3)));
    let outcome = spread.received_records(at(1), Peer(1), []);
    assert_eq!(outcome.commands, [], "the peer lost what it announced");
}

/// Guards against one announcement for each record of a burst.
#[test]
fn announcements_of_a_burst_are_joined() {
    let mut spread = Spread::new(Options::default());
    let mut now = at(1);
    let mut announced = 0;
    for offset in 0..100 {
        now += Duration::from_millis(1);
        let mut commands = spread
            .received_log_records(now, now, [record(offset)])
            .commands;
        commands.extend(spread.tick(now, &mut rng()));
        announced += commands.len();
    }
    assert_eq!(announced, 2);
}
