//! Messages between nodes, and their encoded sizes.

use std::time::Duration;

use hitch_proto::peer;
use hitch_roster::Member;
use hitch_spread::Digest;
use hitch_spread::FetchResponse;
use hitch_spread::Record;
use hitch_spread::Spread;
use hitch_spread::TransferId;
use prost::Message as _;

/// Overhead of gRPC over HTTP/2 and TCP per message, in bytes.
const OVERHEAD: u64 = 150;
const SNAPSHOT_BYTES: u64 = 300_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Exchange,
    ExchangeReply,
    Notify,
    Fetch,
    FetchReply,
    Snapshot,
    Busy,
    Probe,
    ProbeReply,
    LogReply,
}

/// A message of any kind; fields that the kind does not use are empty.
pub struct Message {
    pub kind: Kind,
    pub sender: Option<Member>,
    pub members: Vec<Member>,
    pub roster: Option<Box<hitch_roster::Digest>>,
    pub details: Vec<hitch_roster::BucketDetail>,
    pub config: Option<Digest>,
    pub records: Vec<Record>,
    pub next_offset: u64,
    /// Index of the node that a probe is for.
    pub target: usize,
    /// When the request was sent, by the clock of the node that sent it.
    pub requested_at: Duration,
}

impl Message {
    pub fn new(kind: Kind) -> Message {
        Message {
            kind,
            sender: None,
            members: Vec::new(),
            roster: None,
            details: Vec::new(),
            config: None,
            records: Vec::new(),
            next_offset: 0,
            target: 0,
            requested_at: Duration::ZERO,
        }
    }
}

/// Returns the reply to a fetch, and the id of the transfer if the reply is a snapshot.
pub fn fetch_reply(
    spread: &mut Spread,
    now: Duration,
    next_offset: u64,
    max_bytes: usize,
) -> (Message, Option<TransferId>) {
    match spread.serve_fetch(now, next_offset, max_bytes) {
        FetchResponse::Busy => (Message::new(Kind::Busy), None),
        FetchResponse::Records(records) => {
            let mut message = Message::new(Kind::FetchReply);
            message.records = records;
            (message, None)
        }
        FetchResponse::Snapshot(transfer) => {
            let mut message = Message::new(Kind::Snapshot);
            message.next_offset = spread.next_offset();
            (message, Some(transfer))
        }
    }
}

fn member(member: &Member) -> peer::Member {
    let contact = &member.contact;
    peer::Member {
        instance: contact.instance.to_string(),
        incarnation: member.incarnation.0.to_vec(),
        sequence: member.sequence,
        state: member.state as i32 + 1,
        zone: contact.zone.to_string(),
        region: contact.region.to_string(),
        address: contact.address.to_string(),
        service: contact.service.to_string(),
        customer: contact.customer.to_string(),
        admin: contact.admin.to_string(),
    }
}

fn config(digest: &Digest) -> peer::ConfigDigest {
    let age = digest.confirmed_age;
    peer::ConfigDigest {
        next_offset: digest.next_offset,
        version: digest.version,
        state_hash: digest.state_hash,
        confirmed_age_ms: age.map(|age| age.as_millis() as u64),
    }
}

fn detail(detail: &hitch_roster::BucketDetail) -> peer::BucketDetail {
    peer::BucketDetail {
        bucket: detail.bucket as u32,
        member_hashes: detail.hashes.clone(),
    }
}

fn record(record: &Record) -> peer::Record {
    peer::Record {
        offset: record.offset,
        data: record.data.to_vec().into(),
    }
}

/// Returns the size of a message on the wire, in bytes.
///
/// Fields that several kinds of message have are encoded as those of one kind, as their tags take
/// one byte in each. A time stamp takes 14 bytes, the name of the sending instance 11.
pub fn encoded_len(message: &Message) -> u64 {
    let exchange = peer::ExchangeRequest {
        stamp: None,
        sender: message.sender.as_ref().map(member),
        config: message.config.as_ref().map(config),
        roster: message.roster.as_ref().map(|digest| peer::RosterDigest {
            bucket_hashes: digest.0.to_vec(),
            details: message.details.iter().map(detail).collect(),
        }),
        members: message.members.iter().map(member).collect(),
    };
    let fetched = peer::FetchReply {
        records: message.records.iter().map(record).collect(),
        ..Default::default()
    };
    let fields = match message.kind {
        Kind::Fetch => 11 + 8,
        Kind::Snapshot => SNAPSHOT_BYTES,
        // Includes the empty reply.
        Kind::Notify => 11 + 14 + OVERHEAD,
        // Includes the probe that the receiver sends to the target, and its reply.
        Kind::Probe => 22 + 2 * (14 + OVERHEAD),
        _ => 2,
    };
    let encoded = exchange.encoded_len() + fetched.encoded_len();
    encoded as u64 + fields + 14 + OVERHEAD
}
