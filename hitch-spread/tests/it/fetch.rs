//! Tests of receiving and fetching records.

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
fn records_are_applied_in_order_exactly_once() {
    let batches = vec(vec(0..40u64, 0..8), 0..60);
    let test_rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(256), test_rng);
    let outcome = runner.run(&batches, |batches| {
        let mut spread = Spread::new(Options::default());
        let mut applied = Vec::new();
        for (i, batch) in batches.into_iter().enumerate() {
            let outcome = match i % 7 {
                6 => {
                    let next_offset = batch.first().copied().unwrap_or(0) / 8;
                    let outcome = spread.received_snapshot(at(0), Some(Peer(1)), next_offset);
                    if outcome.adopt {
                        applied.extend(applied.len() as u64..next_offset);
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

/// Guards against a node that is moved back by the snapshot of a peer that is behind it.
#[test]
fn older_snapshot_changes_nothing() {
    let mut spread = holding(5, Options::default());
    let outcome = spread.received_snapshot(at(1), Some(Peer(1)), 4);
    assert!(!outcome.adopt);
    assert_eq!(spread.next_offset(), 5);
    assert_eq!(spread.missing_records(0, 4096).len(), 5);
}

/// Guards against fetching the same records from every peer that announces them.
#[test]
fn one_fetch_is_in_flight_at_a_time() {
    let mut spread = holding(1, Options::default());
    let first = spread.received_digest(at(1), Peer(1), digest(2, None), None, &mut rng());
    let second = spread.received_digest(at(1), Peer(2), digest(2, None), None, &mut rng());
    assert_eq!((&first[..], &second[..]), (&[fetch(1, 1)][..], &[][..]));
}

/// Guards against a node that stays behind after a fetch or its answer was lost.
#[test]
fn lost_fetch_is_retried_at_another_peer() {
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
    let delay = now - at(1) - Options::default().fetch_timeout;
    let backoff = Options::default().retry_backoff;
    assert!(delay >= backoff && delay <= 3 * backoff, "{delay:?}");
}

/// Guards against a node that retries at a busy peer without backoff.
#[test]
fn backoff_grows_while_peers_are_busy() {
    let mut rng = rng();
    let mut spread = holding(1, Options::default());
    spread.received_digest(at(1), Peer(1), digest(2, None), None, &mut rng);
    let mut now = at(1);
    let mut delays = Vec::new();
    for _ in 0..6 {
        let failed_at = now;
        spread.fetch_failed(now, Peer(1), &mut rng);
        while !spread.tick(now, &mut rng).contains(&fetch(1, 1)) {
            now += Duration::from_millis(1);
        }
        delays.push(now - failed_at);
    }
    assert!(delays[3] > delays[1] && delays[1] > delays[0], "{delays:?}");
    assert!(delays[5] <= Duration::from_millis(800), "{delays:?}");
}

/// Guards against a node that stops fetching after an answer that holds only part of the records.
#[test]
fn next_part_is_fetched_immediately() {
    let mut spread = holding(1, Options::default());
    spread.received_digest(at(1), Peer(1), digest(9, None), None, &mut rng());
    let outcome = spread.received_records(at(1), Peer(1), [record(1), record(2)]);
    assert!(outcome.commands.contains(&fetch(1, 3)));
    let outcome = spread.received_records(at(1), Peer(1), []);
    assert_eq!(
        outcome.commands,
        [],
        "the peer no longer holds the records that it announced"
    );
}

/// Guards against a separate announcement for each record of a burst.
#[test]
fn announcements_of_a_burst_are_coalesced() {
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
