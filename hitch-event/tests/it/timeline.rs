//! Tests of the merged event order.

use hitch_event::Clock;
use hitch_event::Event;
use hitch_event::Kind;
use hitch_event::Stamp;
use hitch_event::timeline::Options;
use hitch_event::timeline::merge;

fn event(instance: &str, stamp: Stamp, text: &str) -> Event {
    Event {
        stamp,
        instance: instance.into(),
        kind: Kind::HandedOver,
        version: 0,
        call_id: "".into(),
        text: text.into(),
    }
}

/// Guards against an effect that sorts before its cause because the clock of the receiver is
/// behind.
#[test]
fn cause_precedes_effect_despite_clock_skew() {
    let (mut sender_clock, mut receiver_clock) = (Clock::default(), Clock::default());
    let sent = sender_clock.tick(10_000);
    let received = receiver_clock.observe(sent, 2_000);
    let answered = receiver_clock.tick(2_001);
    let events = vec![
        event("b", answered, "answered"),
        event("b", received, "received"),
        event("a", sent, "sent"),
    ];
    let merged = merge(events, &Options::default());
    let texts: Vec<&str> = merged.iter().map(|e| &*e.text).collect();
    assert_eq!(texts, ["sent", "received", "answered"]);
}
