//! Names of the header fields of calls and answers.

/// Customer of the call, propagated to downstream calls.
pub const CUSTOMER: &str = "x-hitch-customer";
/// Rank of the call, propagated to downstream calls.
pub const RANK: &str = "x-hitch-rank";
/// Remaining time until the deadline of the call, in milliseconds.
pub const DEADLINE_MS: &str = "x-hitch-deadline-ms";
/// Number of calls above this one in the chain of calls.
pub const DEPTH: &str = "x-hitch-depth";
/// Retry budget in thousandths of a call, propagated to downstream calls.
pub const RETRY_BUDGET: &str = "x-hitch-retry-budget";
/// Id of the call, propagated to downstream calls and returned in the answer.
pub const CALL_ID: &str = "x-hitch-call-id";
/// Idempotency key of the call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Service time of the call in milliseconds, in place of the one from the settings; propagated to
/// downstream calls.
pub const WORK_MS: &str = "x-hitch-work-ms";
/// Crashes the backend server if its value is `1`.
pub const POISON: &str = "x-hitch-poison";
/// Address of the node that downstream calls are sent to, unless the backend server has one set;
/// propagated to downstream calls.
pub const VIA: &str = "x-hitch-via";
/// Comma-separated list of downstream calls, each a path with an optional method before it. The
/// backend server makes the first call, which carries the others in the same field.
pub const NEXT: &str = "x-hitch-next";
/// Maximum number of retries of a failed downstream call that the backend server makes by itself,
/// without a retry budget; propagated to downstream calls.
pub const NAIVE_RETRIES: &str = "x-hitch-naive-retries";
/// Marks the answer to a call that was shed; its value is `1`.
pub const SHED: &str = "x-hitch-shed";
/// Reported number of calls in flight, set on the answer to every call.
pub const LOAD: &str = "x-hitch-load";
