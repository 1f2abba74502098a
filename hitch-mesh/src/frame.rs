//! Protocol messages between nodes, and their encoding on a connection.
//!
//! A connection carries length-prefixed frames in both directions. The node that opened the connection sends calls and
//! news; the other one answers, and sends its state. Either may request the configuration of the other. Frames are encoded with `prost`: its field numbers take less of the bandwidth between zones
//! than header names.

use std::net::SocketAddr;
use std::ops::Range;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use prost::Message;
use prost::encoding;
use prost::encoding::WireType;
use snafu::Snafu;

/// Longest frame that is accepted, in bytes. A longer one ends the connection.
pub const MAX_FRAME_BYTES: usize = 80 * 1024 * 1024;
/// Most bytes that are reserved ahead for a frame that has not arrived whole.
const MAX_RESERVED_BYTES: usize = 64 * 1024;
/// Length from which a body is written from where it is, instead of being copied into the buffer of its frame, in bytes.
const SEPARATE_BODY_BYTES: usize = 64 * 1024;
/// Tags of [`Kind::Call`] and [`Kind::Answer`], and of the bodies in them.
const CALL_TAG: u32 = 1;
const CALL_BODY_TAG: u32 = 12;
const ANSWER_TAG: u32 = 2;
const ANSWER_BODY_TAG: u32 = 5;
/// First byte of the contents of a frame with a call: its tag and wire type.
pub(crate) const CALL_KEY: u8 = (CALL_TAG as u8) << 3 | WireType::LengthDelimited as u8;
/// Most bytes of a length prefix: a 64-bit number, 7 bits in each byte.
const MAX_PREFIX_BYTES: usize = 10;

/// One message on a connection.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Content of the message, or `None` if this build does not know the kind.
    #[prost(
        oneof = "Kind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17"
    )]
    pub kind: Option<Kind>,
}

/// Kinds of messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// A call to run.
    #[prost(message, tag = "1")]
    Call(Call),
    /// The outcome of a call.
    #[prost(message, tag = "2")]
    Answer(Answer),
    /// Cancels a call.
    #[prost(message, tag = "3")]
    Cancel(Cancel),
    /// State of the node that accepted the connection: sent at once, and on each change.
    #[prost(message, tag = "4")]
    State(State),
    /// Requests a [`Kind::Pong`].
    #[prost(message, tag = "5")]
    Ping(Ping),
    /// Answer to a [`Kind::Ping`], with the same number.
    #[prost(message, tag = "6")]
    Pong(Ping),
    /// Requests the configuration of the peer.
    #[prost(message, tag = "7")]
    PullConfig(PullConfig),
    /// A configuration, as the answer to a [`PullConfig`].
    #[prost(message, tag = "8")]
    Config(RawConfig),
    /// Members that the sender knows of. An empty list requests those of the receiver.
    #[prost(message, tag = "9")]
    Members(Members),
    /// Evidence on requests that crash backend servers.
    #[prost(message, tag = "10")]
    Crashes(Crashes),
    /// The sender has a newer configuration.
    #[prost(message, tag = "11")]
    Notice(Notice),
    /// Requests a proof of how recent the configuration is. Either side of a connection may send it.
    #[prost(message, tag = "12")]
    FreshnessRequest(FreshnessRequest),
    /// A proof of how recent the configuration is, as the answer to a [`FreshnessRequest`].
    #[prost(message, tag = "13")]
    Freshness(Freshness),
    /// Requests tokens of organisations, or the vote on their homes.
    #[prost(message, tag = "14")]
    QuotaRequest(QuotaRequest),
    /// Answer to a [`QuotaRequest`], with the same number.
    #[prost(message, tag = "15")]
    QuotaGrant(QuotaGrant),
    /// What the sender knows of an order to replace the version of a service.
    #[prost(message, tag = "16")]
    Rollout(Rollout),
    /// Answers of the sender's backend server, for the controller of a rollout.
    #[prost(message, tag = "17")]
    RolloutEvidence(RolloutEvidence),
}

/// A call for the receiver's local backend server.
#[derive(Clone, PartialEq, Message)]
pub struct Call {
    /// Number of the call on this connection, increasing.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Identity that the caller gave the request.
    #[prost(string, tag = "2")]
    pub request_id: String,
    /// Method, or empty for GET.
    #[prost(string, tag = "3")]
    pub method: String,
    /// Host, as the caller sent it.
    #[prost(string, tag = "4")]
    pub host: String,
    /// Path and query, as the caller sent them.
    #[prost(string, tag = "5")]
    pub path: String,
    /// Further headers, and the pseudo-headers that replace `host`, `caller` and `service` on the connection.
    #[prost(message, repeated, tag = "6")]
    pub headers: Vec<Header>,
    /// Service of the instance where the request entered the mesh.
    #[prost(string, tag = "7")]
    pub caller: String,
    /// Service that is to run the call.
    #[prost(string, tag = "8")]
    pub service: String,
    /// Remaining time until the deadline when the call was sent, in milliseconds.
    #[prost(uint32, tag = "9")]
    pub left_ms: u32,
    /// Rank; 0 is the most urgent.
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// Whether the call may run more than once.
    #[prost(bool, tag = "11")]
    pub idempotent: bool,
    /// Body of the request.
    #[prost(bytes = "bytes", tag = "12")]
    pub body: Bytes,
    /// Version of the configuration that the call was routed by.
    #[prost(uint64, tag = "13")]
    pub version: u64,
    /// Time of sending by the sender's clock, in milliseconds. The origin of that clock is arbitrary; only differences
    /// between calls of a connection have a meaning.
    #[prost(uint64, tag = "14")]
    pub sent_ms: u64,
    /// Organisation on whose behalf the call is made; empty if there is none.
    #[prost(string, tag = "15")]
    pub organisation: String,
    /// Whether the backend server of the sender's instance makes the call, for a request that it runs.
    #[prost(bool, tag = "16")]
    pub nested: bool,
}

/// A header, or a reference to one that was sent on the connection before.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct Header {
    /// Name in lower case; empty in a reference.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value, not necessarily UTF-8; empty in a reference.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
    /// Index of the header in the receiver's header table; 0 if it is not entered there.
    #[prost(uint32, tag = "3")]
    pub number: u32,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// The backend server answered; its answer is in the same message.
    Answered = 0,
    /// No backend server received the call, and none will.
    NotRun = 1,
    /// The backend server received the call and stated that it did not run it.
    Rejected = 2,
    /// The call may have been executed, and there is no answer.
    Unknown = 3,
}

/// Outcome of a call.
#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    /// Number of the call on this connection.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// How the call ended.
    #[prost(enumeration = "Verdict", tag = "2")]
    pub verdict: i32,
    /// HTTP status of the backend server's answer.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Headers of the backend server's answer.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<Header>,
    /// Body of the backend server's answer.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
    /// Why there is no answer.
    #[prost(string, tag = "6")]
    pub reason: String,
    /// Time after which a new request may succeed, in milliseconds from now.
    #[prost(uint32, tag = "7")]
    pub retry_after_ms: u32,
    /// Calls that run on the backend server.
    #[prost(uint32, tag = "8")]
    pub running: u32,
    /// Calls in the backend server's queue.
    #[prost(uint32, tag = "9")]
    pub queued: u32,
    /// Calls that the backend server runs at once.
    #[prost(uint32, tag = "10")]
    pub limit: u32,
    /// Version of the configuration in force at the answering node.
    #[prost(uint64, tag = "11")]
    pub version: u64,
    /// Service without room that the run of the call would call, if the call was not run for that reason; otherwise empty.
    #[prost(string, tag = "12")]
    pub behind: String,
    /// What the runs of the call's route depend on, in the answer to a nested call.
    #[prost(message, repeated, tag = "13")]
    pub dependences: Vec<Dependence>,
    /// Time that the call waited in the backend server's queue, in milliseconds.
    #[prost(uint32, tag = "14")]
    pub waited_ms: u32,
    /// Whether the call was not run because the backend server has no room for it.
    #[prost(bool, tag = "15")]
    pub no_room: bool,
    /// Whether the route of the call carries nested calls.
    #[prost(bool, tag = "16")]
    pub nested: bool,
}

/// Calls that the runs of a route make to a service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Dependence {
    /// Service that is called.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Mean number of calls for each run, in thousandths.
    #[prost(uint32, tag = "2")]
    pub calls_milli: u32,
    /// Share of the recent calls that failed for lack of room, in thousandths.
    #[prost(uint32, tag = "3")]
    pub failed_milli: u32,
}

/// Cancels a call, because its caller has left or the sender is about to exit.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Cancel {
    /// Number of the call on this connection.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// State of a node and of its local backend server.
#[derive(Clone, PartialEq, Message)]
pub struct State {
    /// Membership entry of the node.
    #[prost(message, optional, tag = "1")]
    pub member: Option<Member>,
    /// Whether the backend server accepts calls.
    #[prost(bool, tag = "2")]
    pub accepts: bool,
    /// Version of the configuration in force at the node.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Whether the node is unable to read the store at present, so that others must not rely on it for new versions.
    #[prost(bool, tag = "4")]
    pub lacks_store: bool,
    /// Whether the node is draining: it still accepts calls, for callers that find no other backend server.
    #[prost(bool, tag = "5")]
    pub stopping: bool,
    /// Whether many calls of the backend server fail, so that others are to be preferred.
    #[prost(bool, tag = "6")]
    pub failing: bool,
}

/// Membership entry of a node.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    /// Address of the node's listener for other nodes.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Name of the instance.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Availability zone of the instance.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Service of the local backend server.
    #[prost(string, tag = "4")]
    pub service: String,
    /// Wall clock time at the start of the process, in milliseconds since the Unix epoch. The greater value is the
    /// later incarnation, as far as the clocks agree.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Port of the node's listener for operators, at the same IP address; 0 for none.
    #[prost(uint32, tag = "6")]
    pub admin_port: u32,
    /// Version of the backend server's software; empty before its first report.
    #[prost(string, tag = "7")]
    pub software_version: String,
}

impl Member {
    /// Returns whether the address is an IP address with a port. An entry of another writer may have any text there.
    ///
    /// ```
    /// let member = |address: &str| hitch_mesh::frame::Member { address: address.into(), ..Default::default() };
    /// assert!(member("10.0.0.1:7600").has_usable_address());
    /// assert!(!member("10.0.0.1:65536").has_usable_address());
    /// ```
    pub fn has_usable_address(&self) -> bool {
        let address = self.address.parse::<SocketAddr>();
        address.is_ok_and(|address| address.port() > 0)
    }
}

/// A ping or its answer.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Ping {
    /// Number of the ping.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// Requests the configuration of the peer.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct PullConfig {
    /// Version that the sender has; the peer answers only if it has a newer one.
    #[prost(uint64, tag = "1")]
    pub have: u64,
}

/// A configuration, as published in the store.
#[derive(Clone, PartialEq, Message)]
pub struct RawConfig {
    /// Version of the configuration.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Record of the store, compressed with DEFLATE (RFC 1951).
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
}

/// States that the sender has a newer configuration, which the receiver may request.
#[derive(Clone, PartialEq, Message)]
pub struct Notice {
    /// Version of the configuration.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Address of the sender's listener for other nodes.
    #[prost(string, tag = "2")]
    pub address: String,
}

/// Requests a proof of how recent the configuration is.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FreshnessRequest {
    /// Number of the request, which the answer repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Version of the configuration in force at the sender.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// A proof that a version of the configuration was the newest one of the store some time ago.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Freshness {
    /// Number of the request; 0 if the frame answers none and only states the era.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Version that was the newest one. The proof counts only where it or a later one is in force.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Era of the store.
    #[prost(uint64, tag = "3")]
    pub era: u64,
    /// Age of the proof when the frame was made, in milliseconds; [`Freshness::NO_PROOF`] if there is none.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
}

impl Freshness {
    /// Age in an answer without a proof.
    pub const NO_PROOF: u32 = u32::MAX;
}

/// A list of members.
#[derive(Clone, PartialEq, Message)]
pub struct Members {
    /// Membership entries.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

/// Evidence on requests that crash backend servers.
#[derive(Clone, PartialEq, Message)]
pub struct Crashes {
    /// One entry for each request and crash.
    #[prost(message, repeated, tag = "1")]
    pub evidence: Vec<Crash>,
}

/// A request that was running on a backend server when it crashed.
#[derive(Clone, PartialEq, Message)]
pub struct Crash {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Identity of the incarnation that crashed.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Whether the request was answered later and is not the cause of the crash.
    #[prost(bool, tag = "3")]
    pub cleared: bool,
    /// Time until the evidence expires, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub left_ms: u32,
}

/// Requests tokens of organisations with a limit, returns unused ones, and asks for the vote on the homes.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaRequest {
    /// Random number of the sender's process.
    #[prost(fixed64, tag = "1")]
    pub session: u64,
    /// Number of the request, increasing over all receivers.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Asks for the vote of the receiver.
    #[prost(message, optional, tag = "3")]
    pub candidacy: Option<QuotaCandidacy>,
    /// One entry for each organisation.
    #[prost(message, repeated, tag = "4")]
    pub items: Vec<QuotaItem>,
}

/// Asks to support the sender as the home of organisations.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaCandidacy {
    /// Address of the sender's listener for other nodes.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Hash of the homes that the sender knows.
    #[prost(fixed64, tag = "2")]
    pub view: u64,
}

/// Requested and returned tokens of an organisation.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaItem {
    /// Name of the organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Tokens for requests that wait.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    /// Tokens for requests that are expected.
    #[prost(uint32, tag = "3")]
    pub ahead: u32,
    /// Unused tokens that are returned.
    #[prost(uint32, tag = "4")]
    pub returned: u32,
}

/// Answer to a [`QuotaRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct QuotaGrant {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The vote, if it was asked for.
    #[prost(message, optional, tag = "2")]
    pub vote: Option<QuotaVote>,
    /// One entry for each organisation of the request.
    #[prost(message, repeated, tag = "3")]
    pub items: Vec<QuotaGranted>,
}

/// Vote on the homes.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaVote {
    /// Whether the voter supports the sender of the request.
    #[prost(bool, tag = "1")]
    pub supports: bool,
    /// Number that changes when the voter reports the sender of the request as down.
    #[prost(fixed64, tag = "2")]
    pub epoch: u64,
    /// Addresses of the homes that are down.
    #[prost(string, repeated, tag = "3")]
    pub down: Vec<String>,
}

/// Granted tokens of an organisation.
#[derive(Clone, PartialEq, Message)]
pub struct QuotaGranted {
    /// Name of the organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Granted tokens.
    #[prost(uint32, tag = "2")]
    pub granted: u32,
    /// Time after which a token may be available, in milliseconds from now.
    #[prost(uint32, tag = "3")]
    pub retry_after_ms: u32,
    /// If the answering node is not the organisation's home: the address of the node to ask, or empty.
    #[prost(string, optional, tag = "4")]
    pub elsewhere: Option<String>,
}

/// Progress of an order to replace the version of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum RolloutPhase {
    /// No controller has taken over yet.
    Ordered = 0,
    /// A controller divides the requests.
    Running = 1,
    /// The new version gets all requests.
    Completed = 2,
    /// The new version gets no requests.
    RolledBack = 3,
}

/// Instruction of the controller of a rollout, or the announcement of an order.
#[derive(Clone, PartialEq, Message)]
pub struct Rollout {
    /// Service whose version is replaced.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The new version.
    #[prost(string, tag = "2")]
    pub target_version: String,
    /// Progress of the order.
    #[prost(enumeration = "RolloutPhase", tag = "3")]
    pub phase: i32,
    /// Term of the controller, by which instructions of two controllers are ordered.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// Number of the instruction within the term.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// Share of the requests for the new version, 0 to 1.
    #[prost(double, tag = "6")]
    pub share: f64,
    /// Addresses of the nodes whose backend servers get these requests; empty for all of the new version.
    #[prost(string, repeated, tag = "7")]
    pub canaries: Vec<String>,
    /// Time from the order until it must have ended, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub duration_ms: u64,
    /// Time since the order, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub age_ms: u64,
    /// Time from the order until the controller sent the instruction, in milliseconds.
    #[prost(uint64, tag = "10")]
    pub issued_ms: u64,
    /// Address of the controller's listener for other nodes; empty if there is none.
    #[prost(string, tag = "11")]
    pub controller: String,
}

/// Totals of the answers of one backend server since its node learned of the order.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutEvidence {
    /// Service of the backend server.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The ordered version.
    #[prost(string, tag = "2")]
    pub target_version: String,
    /// Address of the node's listener for other nodes.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Version of the backend server.
    #[prost(string, tag = "4")]
    pub version: String,
    /// Identity of the incarnation of the backend server.
    #[prost(string, tag = "5")]
    pub incarnation: String,
    /// Number of the report within the incarnation.
    #[prost(uint64, tag = "6")]
    pub number: u64,
    /// Calls that run or wait at the node.
    #[prost(uint32, tag = "7")]
    pub in_flight: u32,
    /// Whether the backend server accepts calls.
    #[prost(bool, tag = "8")]
    pub accepts: bool,
    /// Counts by route.
    #[prost(message, repeated, tag = "9")]
    pub routes: Vec<RouteCounts>,
    /// Whether the backend server is warming up.
    #[prost(bool, tag = "10")]
    pub is_cold: bool,
}

/// Counts of one route's answers.
#[derive(Clone, PartialEq, Message)]
pub struct RouteCounts {
    /// Name of the route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Answers after the warm-up, and calls without an answer.
    #[prost(uint32, tag = "2")]
    pub answers: u32,
    /// Failures among them.
    #[prost(uint32, tag = "3")]
    pub failures: u32,
    /// Answers during the warm-up, and calls without an answer.
    #[prost(uint32, tag = "4")]
    pub cold_answers: u32,
    /// Failures among them.
    #[prost(uint32, tag = "5")]
    pub cold_failures: u32,
    /// Answers after the warm-up, by latency.
    #[prost(uint32, repeated, tag = "6")]
    pub buckets: Vec<u32>,
}

/// Why bytes cannot be decoded as a frame.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The length exceeds [`MAX_FRAME_BYTES`], or is no valid number.
    #[snafu(display("decode a frame: its length is over {MAX_FRAME_BYTES} bytes or unreadable"))]
    Length,
    /// The contents are no valid message.
    #[snafu(display("decode a frame: {source}"))]
    Contents {
        /// Error of the decoder.
        source: prost::DecodeError,
    },
}

/// Appends a frame to `buf`.
///
/// ```
/// use hitch_mesh::frame;
///
/// let mut buf = bytes::BytesMut::new();
/// let ping = frame::Kind::Ping(frame::Ping { number: 7 });
/// frame::encode(ping.clone(), &mut buf);
/// assert_eq!(frame::try_decode(&mut buf)?.unwrap().kind, Some(ping));
/// # Ok::<(), frame::Error>(())
/// ```
pub fn encode(kind: Kind, buf: &mut BytesMut) {
    let frame = Frame { kind: Some(kind) };
    buf.reserve(frame.encoded_len() + MAX_PREFIX_BYTES);
    // A `BytesMut` grows as needed, so encoding cannot run out of space.
    let _ = frame.encode_length_delimited(buf);
}

/// Appends a frame to `buf` except for a long body, which is returned: it is the end of the frame.
///
/// ```
/// use hitch_mesh::frame;
///
/// let mut buf = bytes::BytesMut::new();
/// let call = frame::Call { body: vec![7; 100_000].into(), version: 5, ..Default::default() };
/// let body = frame::encode_but_body(frame::Kind::Call(call.clone()), &mut buf);
/// buf.extend_from_slice(&body);
/// assert_eq!(frame::try_decode(&mut buf)?.unwrap().kind, Some(frame::Kind::Call(call)));
/// # Ok::<(), frame::Error>(())
/// ```
pub fn encode_but_body(mut kind: Kind, buf: &mut BytesMut) -> Bytes {
    let (tag, body_tag, body) = match &mut kind {
        Kind::Call(call) => (CALL_TAG, CALL_BODY_TAG, &mut call.body),
        Kind::Answer(answer) => (ANSWER_TAG, ANSWER_BODY_TAG, &mut answer.body),
        _ => {
            encode(kind, buf);
            return Bytes::new();
        }
    };
    if body.len() < SEPARATE_BODY_BYTES {
        encode(kind, buf);
        return Bytes::new();
    }
    let body = std::mem::take(body);
    // The fields of a message may come in any order.
    let rest = match &kind {
        Kind::Call(call) => call.encode_to_vec(),
        Kind::Answer(answer) => answer.encode_to_vec(),
        _ => Vec::new(),
    };
    let field_bytes = |tag: u32, length: usize| {
        encoding::key_len(tag) + encoding::encoded_len_varint(length as u64) + length
    };
    let message_bytes = rest.len() + field_bytes(body_tag, body.len());
    encoding::encode_varint(field_bytes(tag, message_bytes) as u64, buf);
    encoding::encode_key(tag, WireType::LengthDelimited, buf);
    encoding::encode_varint(message_bytes as u64, buf);
    buf.put_slice(&rest);
    encoding::encode_key(body_tag, WireType::LengthDelimited, buf);
    encoding::encode_varint(body.len() as u64, buf);
    body
}

/// Returns where the contents of the first frame in `buf` begin and their length, or `None` if they are not known yet.
///
/// ```
/// let mut buf = bytes::BytesMut::new();
/// hitch_mesh::frame::encode(hitch_mesh::frame::Kind::Ping(Default::default()), &mut buf);
/// assert_eq!(hitch_mesh::frame::contents_range(&buf)?.unwrap().len(), buf.len() - 1);
/// # Ok::<(), hitch_mesh::frame::Error>(())
/// ```
pub fn contents_range(buf: &[u8]) -> Result<Option<Range<usize>>, Error> {
    let prefix = &buf[..buf.len().min(MAX_PREFIX_BYTES)];
    let Some(end) = prefix.iter().position(|byte| byte & 0x80 == 0) else {
        return match buf.len() < MAX_PREFIX_BYTES {
            true => Ok(None),
            false => Err(Error::Length),
        };
    };
    let length = prost::decode_length_delimiter(&buf[..=end]).map_err(|_| Error::Length)?;
    if length > MAX_FRAME_BYTES {
        return Err(Error::Length);
    }
    Ok(Some(end + 1..end + 1 + length))
}

/// Returns where the body of a call or an answer is in the contents of a frame, of which `contents` are the first bytes.
/// `None` means that it does not begin within them.
///
/// ```
/// use hitch_mesh::frame;
///
/// let mut buf = bytes::BytesMut::new();
/// let call = frame::Call { body: vec![7; 100_000].into(), ..Default::default() };
/// frame::encode_but_body(frame::Kind::Call(call), &mut buf);
/// let contents = frame::contents_range(&buf)?.unwrap();
/// assert_eq!(frame::body_range(&buf[contents.start..]).unwrap().len(), 100_000);
/// # Ok::<(), frame::Error>(())
/// ```
pub fn body_range(contents: &[u8]) -> Option<Range<usize>> {
    let mut rest = contents;
    let (tag, _) = encoding::decode_key(&mut rest).ok()?;
    let body_tag = match tag {
        CALL_TAG => CALL_BODY_TAG,
        ANSWER_TAG => ANSWER_BODY_TAG,
        _ => return None,
    };
    encoding::decode_varint(&mut rest).ok()?;
    while !rest.is_empty() {
        let (tag, wire_type) = encoding::decode_key(&mut rest).ok()?;
        let length = match wire_type {
            WireType::Varint => {
                encoding::decode_varint(&mut rest).ok()?;
                0
            }
            WireType::LengthDelimited => encoding::decode_varint(&mut rest).ok()? as usize,
            WireType::ThirtyTwoBit => 4,
            WireType::SixtyFourBit => 8,
            WireType::StartGroup | WireType::EndGroup => return None,
        };
        if tag == body_tag && wire_type == WireType::LengthDelimited {
            let start = contents.len() - rest.len();
            return Some(start..start.checked_add(length)?);
        }
        rest = rest.get(length..)?;
    }
    None
}

/// Decodes a call or an answer from the contents of its frame without the body at `body`.
///
/// ```
/// use hitch_mesh::frame;
///
/// let mut buf = bytes::BytesMut::new();
/// let call = frame::Call { body: vec![7; 100_000].into(), version: 5, ..Default::default() };
/// frame::encode_but_body(frame::Kind::Call(call), &mut buf);
/// let head = buf.split_off(frame::contents_range(&buf)?.unwrap().start);
/// let frame = frame::decode_without_body(&head, &[])?;
/// assert!(matches!(frame.kind, Some(frame::Kind::Call(call)) if call.version == 5 && call.body.is_empty()));
/// # Ok::<(), frame::Error>(())
/// ```
pub fn decode_without_body(before: &[u8], after: &[u8]) -> Result<Frame, Error> {
    decode_around_body(before, after).map_err(|source| Error::Contents { source })
}

fn decode_around_body(before: &[u8], after: &[u8]) -> Result<Frame, prost::DecodeError> {
    let mut rest = before;
    let (tag, _) = encoding::decode_key(&mut rest)?;
    encoding::decode_varint(&mut rest)?;
    let start = before.len() - rest.len();
    let end = match body_range(before) {
        Some(body) => {
            let body_tag = match tag {
                CALL_TAG => CALL_BODY_TAG,
                _ => ANSWER_BODY_TAG,
            };
            let length_bytes = encoding::encoded_len_varint(body.len() as u64);
            body.start - encoding::key_len(body_tag) - length_bytes
        }
        None => before.len(),
    };
    let fields = before[start..end].chain(after);
    let kind = match tag {
        CALL_TAG => Kind::Call(Call::decode(fields)?),
        _ => Kind::Answer(Answer::decode(fields)?),
    };
    Ok(Frame { kind: Some(kind) })
}

/// Takes the first frame off `buf`, or returns `None` if it is not complete yet.
///
/// ```
/// let mut buf = bytes::BytesMut::new();
/// assert!(hitch_mesh::frame::try_decode(&mut buf)?.is_none());
/// # Ok::<(), hitch_mesh::frame::Error>(())
/// ```
pub fn try_decode(buf: &mut BytesMut) -> Result<Option<Frame>, Error> {
    let Some(contents) = contents_range(buf)? else {
        return Ok(None);
    };
    if buf.len() < contents.end {
        // A peer in trouble may state any length: memory follows what has arrived.
        buf.reserve((contents.end - buf.len()).min(MAX_RESERVED_BYTES));
        return Ok(None);
    }
    buf.advance(contents.start);
    let contents = buf.split_to(contents.len()).freeze();
    match Frame::decode(contents) {
        Ok(frame) => Ok(Some(frame)),
        Err(source) => Err(Error::Contents { source }),
    }
}
