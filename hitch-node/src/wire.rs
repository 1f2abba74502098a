//! Conversion between the messages of the peer protocol and the types of the other `hitch` crates.

use hitch_admin::Recorder;
use hitch_event::Stamp;
use hitch_proto::peer;
use hitch_roster::BucketDetail;
use hitch_roster::Contact;
use hitch_roster::Digest;
use hitch_roster::Incarnation;
use hitch_roster::Member;
use hitch_roster::State;
use hitch_roster::digest::BUCKETS;

/// Returns the clock stamp for a message that is about to be sent.
///
/// ```
/// let log = slog::Logger::root(slog::Discard, slog::o!());
/// assert!(hitch_node::wire::stamp(&hitch_admin::Recorder::new("i-1", log, 8)).is_some());
/// ```
pub fn stamp(recorder: &Recorder) -> Option<peer::Stamp> {
    let stamp = recorder.stamp();
    Some(peer::Stamp {
        wall_ms: stamp.wall_ms,
        logical: stamp.logical,
    })
}

/// Advances the clock of the recorder to the stamp of a received message, if it has one.
///
/// ```
/// let log = slog::Logger::root(slog::Discard, slog::o!());
/// hitch_node::wire::observe(&hitch_admin::Recorder::new("i-1", log, 8), None);
/// ```
pub fn observe(recorder: &Recorder, stamp: Option<peer::Stamp>) {
    let Some(stamp) = stamp else { return };
    recorder.observe(Stamp {
        wall_ms: stamp.wall_ms,
        logical: stamp.logical,
    });
}

/// Converts a member to a protocol message.
///
/// ```
/// use hitch_roster::*;
///
/// let member = Member::starting(Incarnation([1; 16]), Contact::default());
/// let wire = hitch_node::wire::from_member(&member);
/// assert_eq!(hitch_node::wire::to_member(wire), Some(member));
/// ```
pub fn from_member(member: &Member) -> peer::Member {
    let state = match member.state {
        State::Starting => peer::MemberState::Starting,
        State::Ready => peer::MemberState::Ready,
        State::Draining => peer::MemberState::Draining,
        State::Suspect => peer::MemberState::Suspect,
        State::Gone => peer::MemberState::Gone,
    };
    let contact = &member.contact;
    peer::Member {
        instance: contact.instance.to_string(),
        incarnation: member.incarnation.0.to_vec(),
        sequence: member.sequence,
        state: state.into(),
        zone: contact.zone.to_string(),
        region: contact.region.to_string(),
        address: contact.address.to_string(),
        service: contact.service.to_string(),
        customer: contact.customer.to_string(),
        admin: contact.admin.to_string(),
    }
}

/// Converts a protocol message to a member, or returns `None` if it is not valid.
///
/// ```
/// assert_eq!(hitch_node::wire::to_member(Default::default()), None);
/// ```
pub fn to_member(wire: peer::Member) -> Option<Member> {
    let state = match wire.state() {
        peer::MemberState::Unspecified => return None,
        peer::MemberState::Starting => State::Starting,
        peer::MemberState::Ready => State::Ready,
        peer::MemberState::Draining => State::Draining,
        peer::MemberState::Suspect => State::Suspect,
        peer::MemberState::Gone => State::Gone,
    };
    let incarnation = Incarnation(wire.incarnation.as_slice().try_into().ok()?);
    let contact = Contact {
        instance: wire.instance.into(),
        region: wire.region.into(),
        zone: wire.zone.into(),
        address: wire.address.into(),
        admin: wire.admin.into(),
        service: wire.service.into(),
        customer: wire.customer.into(),
    };
    Some(Member {
        incarnation,
        sequence: wire.sequence,
        state,
        contact: contact.into(),
    })
}

/// Converts protocol messages to members, and skips those that are not valid.
///
/// ```
/// assert!(hitch_node::wire::to_members(Vec::new()).is_empty());
/// ```
pub fn to_members(wire: impl IntoIterator<Item = peer::Member>) -> Vec<Member> {
    wire.into_iter().filter_map(to_member).collect()
}

/// Converts a roster digest, with the details of some of its buckets, to a protocol message.
///
/// ```
/// let digest = hitch_roster::Digest([0; 64]);
/// assert_eq!(hitch_node::wire::from_digest(&digest, &[]).bucket_hashes.len(), 64);
/// ```
pub fn from_digest(digest: &Digest, details: &[BucketDetail]) -> peer::RosterDigest {
    let mut out = peer::RosterDigest {
        bucket_hashes: digest.0.to_vec(),
        ..Default::default()
    };
    for detail in details {
        out.details.push(peer::BucketDetail {
            bucket: detail.bucket as u32,
            member_hashes: detail.hashes.clone(),
        });
    }
    out
}

/// Converts a protocol message to a roster digest and its details, or returns `None` if it is not
/// valid.
///
/// ```
/// assert!(hitch_node::wire::to_digest(Default::default()).is_none());
/// ```
pub fn to_digest(wire: peer::RosterDigest) -> Option<(Digest, Vec<BucketDetail>)> {
    let hashes: [u64; BUCKETS] = wire.bucket_hashes.try_into().ok()?;
    let mut details = Vec::new();
    for detail in wire.details {
        let bucket = detail.bucket as usize;
        if bucket >= BUCKETS {
            return None;
        }
        details.push(BucketDetail {
            bucket,
            hashes: detail.member_hashes,
        });
    }
    Some((Digest(hashes), details))
}

/// Returns the name of a member state as shown to operators.
pub(crate) fn state_name(state: State) -> &'static str {
    match state {
        State::Starting => "starting",
        State::Ready => "ready",
        State::Draining => "draining",
        State::Suspect => "suspect",
        State::Gone => "gone",
    }
}
