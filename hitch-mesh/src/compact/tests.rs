//! Tests of references to headers.

use super::MAX_NUMBERED;
use super::Receiver;
use super::Sender;
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

/// Guards against a header that reaches the other side changed, in another order or not at all.
#[test]
fn calls_and_answers_come_out_as_they_went_in() {
    let mut sender = Sender::default();
    let mut receiver = Receiver::default();
    for n in 0..1_000 {
        let answer = Kind::Answer(Answer {
            headers: vec![header("a", "b"), header("n", &(n % 300).to_string())],
            ..Answer::default()
        });
        for sent in [call(n), answer] {
            let mut packed = sent.clone();
            sender.pack(&mut packed);
            assert!(receiver.unpack(&mut packed));
            assert_eq!(packed, sent);
        }
    }
    assert!(sender.numbered.len() <= MAX_NUMBERED);
}

/// Guards against repeated headers that are sent in full for ever.
#[test]
fn third_call_refers_to_what_repeats() {
    let mut sender = Sender::default();
    for n in 0..2 {
        sender.pack(&mut call(n));
    }
    let mut third = call(2);
    sender.pack(&mut third);
    let Kind::Call(third) = third else {
        unreachable!()
    };
    let in_full = third.headers.iter().filter(|h| !h.name.is_empty());
    assert_eq!(in_full.count(), 1);
}

/// Guards against a stranger's numbers that reach past the table or fill it.
#[test]
fn unknown_number_is_an_error() {
    for number in [1, 7, u32::MAX] {
        let mut kind = Kind::Answer(Answer {
            headers: vec![Header {
                number,
                ..Header::default()
            }],
            ..Answer::default()
        });
        assert!(!Receiver::default().unpack(&mut kind));
    }
    let mut skipping = Kind::Answer(Answer {
        headers: vec![Header {
            number: 2,
            ..header("a", "b")
        }],
        ..Answer::default()
    });
    assert!(!Receiver::default().unpack(&mut skipping));
}
