//! Whether a call is tried again.

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
    /// Most attempts of one call at one node, the first included.
    pub max_attempts: u32,
    /// Upper bound of the delay before the second attempt; it doubles with each further one.
    pub first_delay: Duration,
    /// Upper bound of every delay.
    pub max_delay: Duration,
    /// Multiple of the expected latency after which a silent attempt is hedged.
    pub hedge_after: u32,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            max_attempts: 4,
            first_delay: Duration::from_millis(4),
            max_delay: Duration::from_millis(250),
            hedge_after: 3,
        }
    }
}

/// What is known of a call when its next step is decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryContext {
    /// Number of the attempt that ended or is pending, from 1.
    pub attempt: u32,
    /// What became of the attempt; `None` while it is pending.
    pub outcome: Option<Outcome>,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time since the attempt began.
    pub elapsed: Duration,
    /// Time until the deadline of the call.
    pub remaining_time: Duration,
    /// Retry budget at hand, in thousandths of a call: the credit of the bucket at the first node, the
    /// budget of the call below it.
    pub budget_milli: u32,
    /// Latency that the next attempt is expected to have.
    pub expected_latency: Duration,
}

/// The next step of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Try again after a delay.
    Retry {
        /// Time to wait first.
        after: Duration,
        /// What to pay from the retry budget, in thousandths of a call.
        cost_milli: u32,
    },
    /// Start a second attempt beside the pending one, and pay for it like a retry.
    Hedge,
    /// Leave the pending attempt alone and decide again later.
    Wait {
        /// Time until a hedge may be due; `None` when there will be none.
        recheck: Option<Duration>,
    },
    /// Pass the outcome on to the caller.
    GiveUp(Stop),
}

/// Why a call is not tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// The call was answered.
    Answered,
    /// The call may have run and must not run twice.
    MayHaveRun,
    /// Another attempt would meet the same refusal.
    Futile,
    /// All attempts are used.
    Attempts,
    /// The retry budget is spent.
    Budget,
    /// Another attempt would end after the deadline.
    Deadline,
}

/// Decides the next step of a call.
///
/// A call that may have run is tried again only when it is idempotent. The delay is drawn evenly from
/// zero to a bound that doubles with each attempt ("full jitter"), which keeps retries after a common
/// failure apart. A redirect ([`NotRun::NotOwner`], [`NotRun::Draining`]) is immediate and free: it
/// loaded no backend server.
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
        return hedge(options, context);
    };
    if let Some(stop) = forbidden(outcome, context.idempotent) {
        return Decision::GiveUp(stop);
    }
    if context.attempt >= options.max_attempts {
        return Decision::GiveUp(Stop::Attempts);
    }
    let redirect = is_redirect(outcome);
    let cost_milli = if redirect { 0 } else { RETRY_COST_MILLI };
    if context.budget_milli < cost_milli {
        return Decision::GiveUp(Stop::Budget);
    }
    let after = match redirect {
        true => Duration::ZERO,
        false => jittered(options, context.attempt, rng),
    };
    if after + context.expected_latency > context.remaining_time {
        return Decision::GiveUp(Stop::Deadline);
    }
    Decision::Retry { after, cost_milli }
}

fn forbidden(outcome: Outcome, idempotent: bool) -> Option<Stop> {
    match outcome {
        Outcome::Answered => Some(Stop::Answered),
        Outcome::Unknown(_) if !idempotent => Some(Stop::MayHaveRun),
        Outcome::Unknown(reason) if is_final_unknown(reason) => Some(Stop::Futile),
        Outcome::NotRun(reason) if is_final_not_run(reason) => Some(Stop::Futile),
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

fn jittered(options: &Options, attempt: u32, rng: &mut impl Rng) -> Duration {
    let doublings = attempt.saturating_sub(1).min(16);
    let bound = options.first_delay.saturating_mul(1 << doublings);
    let bound = bound.min(options.max_delay);
    bound.mul_f64(rng.random_range(0.0..=1.0))
}

fn hedge(options: &Options, context: &RetryContext) -> Decision {
    let never = Decision::Wait { recheck: None };
    if !context.idempotent || context.attempt >= options.max_attempts.min(2) {
        return never;
    }
    let due = context.expected_latency.saturating_mul(options.hedge_after);
    if context.elapsed < due {
        return Decision::Wait {
            recheck: Some(due - context.elapsed),
        };
    }
    if context.remaining_time < context.expected_latency {
        return never;
    }
    if context.budget_milli < RETRY_COST_MILLI {
        return never;
    }
    Decision::Hedge
}
