//! Tests of the encoding of frames.

use assert_matches::assert_matches;
use bytes::BytesMut;
use hitch_mesh::frame;
use hitch_mesh::frame::Answer;
use hitch_mesh::frame::Call;
use hitch_mesh::frame::Kind;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Guards against decoding that depends on how the bytes were split into reads.
    #[test]
    fn frames_are_decoded_from_reads_of_any_size(
        bodies in proptest::collection::vec(any::<Vec<u8>>(), 1..5),
        read_bytes in 1usize..40,
    ) {
        let mut sent = BytesMut::new();
        let mut kinds = Vec::new();
        for (i, body) in bodies.into_iter().enumerate() {
            let kind = match i % 2 {
                0 => Kind::Call(Call { number: i as u64, body: body.into(), ..Call::default() }),
                _ => Kind::Answer(Answer { number: i as u64, body: body.into(), ..Answer::default() }),
            };
            frame::encode(kind.clone(), &mut sent);
            kinds.push(kind);
        }
        let mut read = Vec::new();
        let mut buf = BytesMut::new();
        for piece in sent.chunks(read_bytes) {
            buf.extend_from_slice(piece);
            while let Some(frame) = frame::try_decode(&mut buf).unwrap() {
                read.extend(frame.kind);
            }
        }
        prop_assert_eq!(read, kinds);
        prop_assert_eq!(buf.len(), 0);
    }

    /// Guards against bytes of a faulty peer that make the process panic or exhaust its memory.
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in any::<Vec<u8>>()) {
        let mut buf = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = frame::try_decode(&mut buf) {}
        assert!(buf.capacity() <= frame::MAX_FRAME_BYTES + 1024);
    }
}

/// Guards against an invalid length that makes the node wait for more bytes forever.
#[test]
fn length_over_the_limit_is_an_error() {
    let mut buf = BytesMut::from(&[0xff; 12][..]);
    assert_matches!(frame::try_decode(&mut buf), Err(frame::Error::Length));
    let mut buf = BytesMut::from(&[0xff, 0xff, 0xff, 0xff, 0x0f][..]);
    assert_matches!(frame::try_decode(&mut buf), Err(frame::Error::Length));
}
