//! The decision whether a call is retried or hedged.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::budget::RETRY_COST_MILLI;
use crate::outcome::NotRun;
use crate::outcome::Outcome;
use crate::outcome::Unknown;

/// Settings of retries and hedges.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of attempts that one node makes for a call, including the first.
    pub max_attempts: u32,
    /// Upper bound of the delay before the second attempt. The bound doubles with each further attempt.
    pub first_delay: Duration,
    /// Upper bound of the delay before any attempt.
    pub max_delay: Duration,
    /// Multiple of the expected latency after which an unanswered attempt is hedged.
    pub hedge_latency_multiple: u32,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            max_attempts: 4,
            first_delay: Duration::from_millis(4),
            max_delay: Duration::from_millis(250),
            hedge_latency_multiple: 3,
        }
    }
}

/// State of a call when its next step is decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryContext {
    /// Number of the attempt that ended or is pending, counted from 1.
    pub attempt: u32,
    /// Outcome of the attempt; `None` while it is pending.
    pub outcome: Option<Outcome>,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time since the attempt started.
    pub elapsed: Duration,
    /// Remaining time until the deadline of the call.
    pub remaining_time: Duration,
    /// Available retry budget, in thousandths of a call: the credit of the bucket at the entry node, or
    /// the budget that the call carries at a node downstream.
    pub budget_milli: u32,
    /// Expected latency of the next attempt.
    pub expected_latency: Duration,
}

/// The next step of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Retry the call after a delay.
    Retry {
        /// Delay before the retry starts.
        after: Duration,
        /// Cost that the retry budget pays, in thousandths of a call.
        cost_milli: u32,
    },
    /// Start a second attempt in parallel with the pending one, at the cost of a retry.
    Hedge,
    /// Keep waiting for the pending attempt.
    Wait {
        /// Time until the next decision, when a hedge may be due; `None` if the attempt will not be
        /// hedged.
        recheck: Option<Duration>,
    },
    /// Return the outcome to the caller.
    GiveUp(StopReason),
}

/// Why a call is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The call was answered.
    Answered,
    /// The call may have run and is not idempotent.
    MayHaveRun,
    /// Another attempt would not change the outcome.
    NotRetryable,
    /// The call has had the maximum number of attempts.
    AttemptsExhausted,
    /// The retry budget does not cover another attempt.
    BudgetExhausted,
    /// Another attempt is expected to end after the deadline.
    Deadline,
}

/// Decides the next step of a call.
///
/// A call that may have run is retried only if it is idempotent. The delay is drawn uniformly from zero
/// to an exponential backoff bound that doubles with each attempt ("full jitter"), so that calls
/// that fail together are not retried together. A redirect ([`NotRun::NotOwner`],
/// [`NotRun::Draining`]) is immediate and costs no retry budget, because it put no load on a backend
/// server.
///
/// ```
/// use std::time::Duration;
///
/// use hitch_retry::Decision;
/// use hitch_retry::NotRun;
/// use hitch_retry::Outcome;
/// use hitch_retry::RetryContext;
/// use hitch_retry::decide;
/// use rand_chacha::ChaCha8Rng;
/// use rand_chacha::rand_core::SeedableRng;
///
/// let context = RetryContext {
///     attempt: 1,
///     outcome: Some(Outcome::NotRun(NotRun::NotOwner)),
///     idempotent: false,
///     elapsed: Duration::ZERO,
///     remaining_time: Duration::from_secs(1),
///     budget_milli: 0,
///     expected_latency: Duration::from_millis(10),
/// };
/// let mut rng = ChaCha8Rng::seed_from_u64(1);
/// let decision = decide::next(&decide::Options::default(), &context, &mut rng);
/// assert_eq!(decision, Decision::Retry { after: Duration::ZERO, cost_milli: 0 });
/// ```
pub fn next(options: &Options, context: &RetryContext, rng: &mut impl Rng) -> Decision {
    let Some(outcome) = context.outcome else {
        return decide_hedge(options, context);
    };
    if let Some(reason) = final_reason(outcome, context.idempotent) {
        return Decision::GiveUp(reason);
    }
    if context.attempt >= options.max_attempts {
        return Decision::GiveUp(StopReason::AttemptsExhausted);
    }
    let redirect = is_redirect(outcome);
    let cost_milli = if redirect { 0 } else { RETRY_COST_MILLI };
    if context.budget_milli < cost_milli {
        return Decision::GiveUp(StopReason::BudgetExhausted);
    }
    let after = match redirect {
        true => Duration::ZERO,
        false => jittered_delay(options, context.attempt, rng),
    };
    if after + context.expected_latency > context.remaining_time {
        return Decision::GiveUp(StopReason::Deadline);
    }
    Decision::Retry { after, cost_milli }
}

/// Returns why the outcome rules out a retry, or `None` if the call may be retried.
fn final_reason(outcome: Outcome, idempotent: bool) -> Option<StopReason> {
    match outcome {
        Outcome::Answered => Some(StopReason::Answered),
        Outcome::Unknown(_) if !idempotent => Some(StopReason::MayHaveRun),
        Outcome::Unknown(reason) if is_final_unknown(reason) => Some(StopReason::NotRetryable),
        Outcome::NotRun(reason) if is_final_not_run(reason) => Some(StopReason::NotRetryable),
        Outcome::Unknown(_) | Outcome::NotRun(_) => None,
    }
}

fn is_final_not_run(reason: NotRun) -> bool {
    match reason {
        NotRun::OverAdmit
        | NotRun::Deadline
        | NotRun::CrashSuspect
        | NotRun::InvalidKey
        | NotRun::KeyReused
        | NotRun::CallerLeft
        | NotRun::UnknownCustomer
        | NotRun::NoRoute
        | NotRun::TooDeep
        | NotRun::Malformed => true,
        NotRun::NoBackendServer
        | NotRun::QueueFull
        | NotRun::Draining
        | NotRun::Stale
        | NotRun::NotOwner
        | NotRun::NoOwner
        | NotRun::BackendRefused
        | NotRun::NotReady => false,
    }
}

fn is_final_unknown(reason: Unknown) -> bool {
    match reason {
        Unknown::Deadline | Unknown::CallerLeft | Unknown::OwnerLost | Unknown::KeyExpired => true,
        Unknown::ConnectionLost
        | Unknown::ShortAnswer
        | Unknown::CrossedAnswer
        | Unknown::BackendFailed => false,
    }
}

fn is_redirect(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::NotRun(NotRun::NotOwner | NotRun::Draining)
    )
}

fn jittered_delay(options: &Options, attempt: u32, rng: &mut impl Rng) -> Duration {
    let doublings = attempt.saturating_sub(1).min(16);
    let bound = options.first_delay.saturating_mul(1 << doublings);
    let bound = bound.min(options.max_delay);
    bound.mul_f64(rng.random_range(0.0..=1.0))
}

fn decide_hedge(options: &Options, context: &RetryContext) -> Decision {
    let no_hedge = Decision::Wait { recheck: None };
    if !context.idempotent || context.attempt >= options.max_attempts.min(2) {
        return no_hedge;
    }
    let hedge_at = context
        .expected_latency
        .saturating_mul(options.hedge_latency_multiple);
    if context.elapsed < hedge_at {
        return Decision::Wait {
            recheck: Some(hedge_at - context.elapsed),
        };
    }
    if context.remaining_time < context.expected_latency {
        return no_hedge;
    }
    if context.budget_milli < RETRY_COST_MILLI {
        return no_hedge;
    }
    Decision::Hedge
}
