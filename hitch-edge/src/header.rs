//! Names of the headers, and which headers are passed on.

use http::HeaderMap;
use http::HeaderName;

/// Customer that the call is made for.
pub const CUSTOMER: &str = "x-hitch-customer";
/// Rank of the call.
pub const RANK: &str = "x-hitch-rank";
/// Time left for the call, in milliseconds.
pub const DEADLINE_MS: &str = "x-hitch-deadline-ms";
/// Number of calls above this one.
pub const DEPTH: &str = "x-hitch-depth";
/// Retries that may still be spent below this call, in thousandths of a call.
pub const RETRY_BUDGET: &str = "x-hitch-retry-budget";
/// Identity of the call, through all its depth.
pub const CALL_ID: &str = "x-hitch-call-id";
/// Idempotency key of a non-idempotent call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Headers that the node sets itself.
const MESH: [&str; 7] = [
    CUSTOMER,
    RANK,
    DEADLINE_MS,
    DEPTH,
    RETRY_BUDGET,
    CALL_ID,
    IDEMPOTENCY_KEY,
];

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Iterates over the headers that are passed on: all but those of one connection, the framing, and
/// those that the node sets itself.
///
/// ```
/// let mut headers = http::HeaderMap::new();
/// headers.insert("connection", "close".parse()?);
/// headers.insert("accept", "*/*".parse()?);
/// let names: Vec<_> = hitch_edge::header::end_to_end(&headers).map(|(n, _)| n.as_str()).collect();
/// assert_eq!(names, ["accept"]);
/// # Ok::<(), http::header::InvalidHeaderValue>(())
/// ```
pub fn end_to_end(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &http::HeaderValue)> {
    // A header that `connection` names concerns that connection only.
    let mut named = Vec::new();
    for value in headers.get_all(http::header::CONNECTION) {
        let Ok(value) = value.to_str() else { continue };
        named.extend(value.split(',').map(|n| n.trim().to_ascii_lowercase()));
    }
    headers.iter().filter(move |(name, _)| {
        let name = name.as_str();
        !HOP_BY_HOP.contains(&name)
            && name != "content-length"
            && name != "host"
            && !MESH.contains(&name)
            && !named.iter().any(|n| n == name)
    })
}
