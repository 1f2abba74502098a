//! Names of header fields.

/// Customer of the call, propagated to the next calls.
pub const CUSTOMER: &str = "x-hitch-customer";
/// Rank of the call, propagated to the next calls.
pub const RANK: &str = "x-hitch-rank";
/// Time left for the call, in milliseconds.
pub const DEADLINE_MS: &str = "x-hitch-deadline-ms";
/// Number of calls above this one.
pub const DEPTH: &str = "x-hitch-depth";
/// Retry budget in thousandths of a call, propagated to the next calls.
pub const RETRY_BUDGET: &str = "x-hitch-retry-budget";
/// Id of the call, echoed in the answer.
pub const CALL_ID: &str = "x-hitch-call-id";
/// Idempotency key of the call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Service time of the call, in milliseconds, in place of the one from the settings.
pub const WORK_MS: &str = "x-hitch-work-ms";
/// Crashes the backend server if its value is `1`.
pub const POISON: &str = "x-hitch-poison";
/// Address to which the next calls go.
pub const VIA: &str = "x-hitch-via";
/// Comma list of the next calls, each a path with an optional method before it.
pub const NEXT: &str = "x-hitch-next";
/// How often the backend server itself repeats a failed next call, propagated.
pub const NAIVE_RETRIES: &str = "x-hitch-naive-retries";
/// Marks an answer to a call that was shed, with the value `1`.
pub const SHED: &str = "x-hitch-shed";
/// Calls in progress, on every answer.
pub const LOAD: &str = "x-hitch-load";
