//! Tests of the decision to try again.

use std::time::Duration;

use assert_matches::assert_matches;
use hitch_retry::Decision;
use hitch_retry::NotRun;
use hitch_retry::Options;
use hitch_retry::Outcome;
use hitch_retry::RetryContext;
use hitch_retry::Unknown;
use hitch_retry::decide::Stop;
use hitch_retry::decide::next;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const MS: Duration = Duration::from_millis(1);

fn situation(outcome: Option<Outcome>) -> RetryContext {
    RetryContext {
        attempt: 1,
        outcome,
        idempotent: false,
        elapsed: 50 * MS,
        remaining_time: 1_000 * MS,
        budget_milli: 1_000,
        expected_latency: 10 * MS,
    }
}

fn decided(context: RetryContext) -> Decision {
    next(
        &Options::default(),
        &context,
        &mut ChaCha8Rng::seed_from_u64(7),
    )
}

/// Guards against a non-idempotent call that runs twice because its outcome was unknown or pending.
#[test]
fn call_that_may_have_run_is_never_repeated() {
    for reason in Unknown::all() {
        let decision = decided(situation(Some(Outcome::Unknown(reason))));
        assert_eq!(decision, Decision::GiveUp(Stop::MayHaveRun), "{reason}");
    }
    assert_eq!(decided(situation(None)), Decision::Wait { recheck: None });
}

/// Guards against a retry that spends nothing, or a redirect that the budget stops.
#[test]
fn only_redirects_are_free() {
    for reason in NotRun::all() {
        let mut poor = situation(Some(Outcome::NotRun(reason)));
        poor.budget_milli = 999;
        let free = matches!(reason, NotRun::NotOwner | NotRun::Draining);
        let retried = matches!(decided(poor), Decision::Retry { .. });
        assert_eq!(retried, free, "{reason}");
    }
}

/// Guards against redirects that go round between nodes for ever.
#[test]
fn attempts_are_bounded() {
    let mut last = situation(Some(Outcome::NotRun(NotRun::NotOwner)));
    last.attempt = Options::default().max_attempts;
    assert_eq!(decided(last), Decision::GiveUp(Stop::Attempts));
}

/// Guards against a retry or hedge that can only end after the deadline.
#[test]
fn nothing_outlives_the_deadline() {
    let mut late = situation(Some(Outcome::NotRun(NotRun::QueueFull)));
    late.remaining_time = 9 * MS;
    assert_eq!(decided(late), Decision::GiveUp(Stop::Deadline));
    late.outcome = None;
    late.idempotent = true;
    assert_eq!(decided(late), Decision::Wait { recheck: None });
}

/// Guards against delays that are all alike, so that retries arrive together.
#[test]
fn delays_are_spread_and_bounded() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut delays = Vec::new();
    for _ in 0..100 {
        let failed = situation(Some(Outcome::NotRun(NotRun::QueueFull)));
        let decision = next(&Options::default(), &failed, &mut rng);
        assert_matches!(decision, Decision::Retry { after, cost_milli: 1_000 } => delays.push(after));
    }
    delays.sort();
    assert!(delays[10] < MS && delays[90] > 3 * MS, "{delays:?}");
    assert!(delays[99] <= Options::default().first_delay);
}

/// Guards against a hedge before the attempt is late, and against more than one.
#[test]
fn late_idempotent_call_is_hedged_once() {
    let mut pending = situation(None);
    pending.idempotent = true;
    assert_eq!(decided(pending), Decision::Hedge);
    pending.attempt = 2;
    assert_eq!(decided(pending), Decision::Wait { recheck: None });
    pending.attempt = 1;
    pending.elapsed = 20 * MS;
    let recheck = Some(10 * MS);
    assert_eq!(decided(pending), Decision::Wait { recheck });
}
