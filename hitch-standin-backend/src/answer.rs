//! Answers to calls.

use serde::Deserialize;
use serde::Serialize;

/// Body of the answer to a call that ran.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Instance that ran the call.
    pub instance: Box<str>,
    /// Id of the call from the request.
    pub call_id: Option<Box<str>>,
    /// Method of the request.
    pub method: Box<str>,
    /// Path of the request.
    pub path: Box<str>,
    /// Length of the request body, in bytes.
    pub body_bytes: u64,
    /// XXH3 hash of the request body, 64 bits in hexadecimal.
    pub body_hash: Box<str>,
    /// Service time, in microseconds.
    pub work_us: u64,
    /// Status of the answer to the downstream call, 0 if no complete answer arrived; absent if the
    /// request asked for no downstream call.
    pub next_status: Option<u16>,
}

/// Returns the hash of a request body in the form that [`Answer::body_hash`] has.
///
/// ```
/// assert_eq!(&*hitch_standin_backend::body_hash(b""), "2d06800538d394c2");
/// ```
pub fn body_hash(body: &[u8]) -> Box<str> {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(body)).into()
}
