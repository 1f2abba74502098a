//! Tests of the decision to retry or hedge a call.

use std::time::Duration;

use assert_matches::assert_matches;
use hitch_retry::Decision;
use hitch_retry::NotRun;
use hitch_retry::Options;
use hitch_retry::Outcome;
use hitch_retry::RetryContext;
use hitch_retry::Unknown;
use hitch_retry::decide::StopReason;
use hitch_retry::decide::next;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const MS: Duration = Duration::from_millis(1);

fn context_after(outcome: Option<Outcome>) -> RetryContext {
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

fn decide(context: RetryContext) -> Decision {
    next(
        &Options::default(),
        &context,
        &mut ChaCha8Rng::seed_from_u64(7),
    )
}

/// Guards against a non-idempotent call that runs twice because its first attempt was pending or had an
/// unknown outcome.
#[test]
fn non_idempotent_call_that_may_have_run_is_never_retried() {
    for reason in Unknown::all() {
        let decision = decide(context_after(Some(Outcome::Unknown(reason))));
        assert_eq!(
            decision,
            Decision::GiveUp(StopReason::MayHaveRun),
            "{reason}"
        );
    }
    assert_eq!(
        decide(context_after(None)),
        Decision::Wait { recheck: None }
    );
}

/// Guards against a retry that costs nothing, and against a redirect that fails for lack of budget.
#[test]
fn only_redirects_are_free() {
    for reason in NotRun::all() {
        let mut low_budget = context_after(Some(Outcome::NotRun(reason)));
        low_budget.budget_milli = 999;
        let free = matches!(reason, NotRun::NotOwner | NotRun::Draining);
        let retried = matches!(decide(low_budget), Decision::Retry { .. });
        assert_eq!(retried, free, "{reason}");
    }
}

/// Guards against an endless loop of redirects between nodes.
#[test]
fn attempts_are_bounded() {
    let mut last = context_after(Some(Outcome::NotRun(NotRun::NotOwner)));
    last.attempt = Options::default().max_attempts;
    assert_eq!(
        decide(last),
        Decision::GiveUp(StopReason::AttemptsExhausted)
    );
}

/// Guards against a retry or hedge that is expected to end after the deadline.
#[test]
fn no_attempt_starts_too_late_for_the_deadline() {
    let mut late = context_after(Some(Outcome::NotRun(NotRun::QueueFull)));
    late.remaining_time = 9 * MS;
    assert_eq!(decide(late), Decision::GiveUp(StopReason::Deadline));
    late.outcome = None;
    late.idempotent = true;
    assert_eq!(decide(late), Decision::Wait { recheck: None });
}

/// Guards against retries that arrive together because their delays are alike.
#[test]
fn delays_are_jittered_and_bounded() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut delays = Vec::new();
    for _ in 0..100 {
        let failed = context_after(Some(Outcome::NotRun(NotRun::QueueFull)));
        let decision = next(&Options::default(), &failed, &mut rng);
        assert_matches!(decision, Decision::Retry { after, cost_milli: 1_000 } => delays.push(after));
    }
    delays.sort();
    assert!(delays[10] < MS && delays[90] > 3 * MS, "{delays:?}");
    assert!(delays[99] <= Options::default().first_delay);
}

/// Guards against a hedge before the attempt exceeds its expected latency, and against a second hedge.
#[test]
fn slow_idempotent_call_is_hedged_once() {
    let mut pending = context_after(None);
    pending.idempotent = true;
    assert_eq!(decide(pending), Decision::Hedge);
    pending.attempt = 2;
    assert_eq!(decide(pending), Decision::Wait { recheck: None });
    pending.attempt = 1;
    pending.elapsed = 20 * MS;
    let recheck = Some(10 * MS);
    assert_eq!(decide(pending), Decision::Wait { recheck });
}
