//! Names of the mesh headers, and the selection of headers to forward.

use http::HeaderMap;
use http::HeaderName;

/// Customer on whose behalf the call is made.
pub const CUSTOMER: &str = "x-hitch-customer";
/// Rank (priority class) of the call.
pub const RANK: &str = "x-hitch-rank";
/// Remaining time until the deadline of the call, in milliseconds.
pub const DEADLINE_MS: &str = "x-hitch-deadline-ms";
/// Depth of the call: its number of ancestor calls.
pub const DEPTH: &str = "x-hitch-depth";
/// Remaining retry budget for this call and the calls that it leads to, in thousandths of a call.
pub const RETRY_BUDGET: &str = "x-hitch-retry-budget";
/// Identity of the call, which nested calls keep.
pub const CALL_ID: &str = "x-hitch-call-id";
/// Idempotency key of a non-idempotent call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Headers that the node sets itself instead of forwarding them.
const MESH_HEADERS: [&str; 7] = [
    CUSTOMER,
    RANK,
    DEADLINE_MS,
    DEPTH,
    RETRY_BUDGET,
    CALL_ID,
    IDEMPOTENCY_KEY,
];

/// Headers that apply to a single connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 9] = [
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

/// Iterates over the headers to forward: all except hop-by-hop headers, `content-length`, `host`
/// and the headers that the node sets itself.
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
    // Headers listed in `connection` are hop-by-hop as well.
    let mut connection_options = Vec::new();
    for value in headers.get_all(http::header::CONNECTION) {
        let Ok(value) = value.to_str() else { continue };
        connection_options.extend(value.split(',').map(|n| n.trim().to_ascii_lowercase()));
    }
    headers.iter().filter(move |(name, _)| {
        let name = name.as_str();
        !HOP_BY_HOP_HEADERS.contains(&name)
            && name != "content-length"
            && name != "host"
            && !MESH_HEADERS.contains(&name)
            && !connection_options.iter().any(|n| n == name)
    })
}
