//! Tests of header compression.

use super::Decoder;
use super::Encoder;
use super::MAX_INDEXED;
use crate::frame::Answer;
use crate::frame::Call;
use crate::frame::Header;
use crate::frame::Kind;

fn header(name: &str, value: &str) -> Header {
    Header {
        name: name.into(),
        value: value.into(),
        number: 0,
    }
}

fn call(unique: u32) -> Kind {
    Kind::Call(Call {
        host: "mesh.example".into(),
        caller: "registry".into(),
        service: "ledger".into(),
        headers: vec![
            header("accept", "*/*"),
            header("x-unique", &unique.to_string()),
            header("accept", "*/*"),
        ],
        ..Call::default()
    })
}

/// Guards against headers that are changed, reordered or lost by compression.
#[test]
fn decoding_restores_calls_and_answers() {
    let mut encoder = Encoder::default();
    let mut decoder = Decoder::default();
    for n in 0..1_000 {
        let answer = Kind::Answer(Answer {
            headers: vec![header("a", "b"), header("n", &(n % 300).to_string())],
            ..Answer::default()
        });
        for sent in [call(n), answer] {
            let mut encoded = sent.clone();
            encoder.encode(&mut encoded);
            assert!(decoder.decode(&mut encoded));
            assert_eq!(encoded, sent);
        }
    }
    assert!(encoder.indexed.len() <= MAX_INDEXED);
}

/// Guards against repeated headers that are always sent in full.
#[test]
fn third_call_sends_indices_of_repeated_headers() {
    let mut encoder = Encoder::default();
    for n in 0..2 {
        encoder.encode(&mut call(n));
    }
    let mut third = call(2);
    encoder.encode(&mut third);
    let Kind::Call(third) = third else {
        unreachable!()
    };
    let in_full = third.headers.iter().filter(|h| !h.name.is_empty());
    assert_eq!(in_full.count(), 1);
}

/// Guards against indices of a faulty peer that lie beyond the table or leave gaps in it.
#[test]
fn unknown_index_is_an_error() {
    for number in [1, 7, u32::MAX] {
        let mut kind = Kind::Answer(Answer {
            headers: vec![Header {
                number,
                ..Header::default()
            }],
            ..Answer::default()
        });
        assert!(!Decoder::default().decode(&mut kind));
    }
    let mut skipping = Kind::Answer(Answer {
        headers: vec![Header {
            number: 2,
            ..header("a", "b")
        }],
        ..Answer::default()
    });
    assert!(!Decoder::default().decode(&mut skipping));
}
