//! Tests of requests and grants.

use std::time::Duration;

use hitch_share::Command;
use hitch_share::LimitId;
use hitch_share::Message;
use hitch_share::Options;
use hitch_share::Share;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const LIMIT: f64 = 100.0;
const TICK: Duration = Duration::from_millis(200);

/// Two settled nodes, `a` with demand and `b` without.
struct Pair {
    a: Share,
    b: Share,
    limit: LimitId,
    now: Duration,
    rng: ChaCha8Rng,
}

impl Pair {
    fn new() -> Self {
        let start = Duration::ZERO;
        let [a, b] = ["a", "b"].map(|name| {
            let mut share = Share::new(start, name, 1, Options::default());
            share.set_limit(start, "association", "fee", LIMIT);
            share.set_members(start, ["a", "b"]);
            share
        });
        let limit = a.try_find("association", "fee").unwrap();
        let rng = ChaCha8Rng::seed_from_u64(1);
        let mut pair = Pair {
            a,
            b,
            limit,
            now: start,
            rng,
        };
        for _ in 0..20 {
            let [to_b, to_a] = pair.tick();
            for message in to_b {
                let answer = messages(pair.b.receive(pair.now, "a", message));
                pair.deliver(answer);
            }
            for message in to_a {
                let answer = messages(pair.a.receive(pair.now, "b", message));
                for message in answer {
                    pair.b.receive(pair.now, "a", message);
                }
            }
        }
        assert_eq!(pair.rates(), [LIMIT / 2.0, LIMIT / 2.0]);
        pair
    }

    fn tick(&mut self) -> [Vec<Message>; 2] {
        self.now += TICK;
        let to_b = messages(self.a.tick(self.now, &mut self.rng));
        let to_a = messages(self.b.tick(self.now, &mut self.rng));
        [to_b, to_a]
    }

    /// Offers calls to `a` until it asks `b`, and returns its request.
    fn request(&mut self) -> Message {
        for _ in 0..10 {
            for _ in 0..40 {
                self.a.admit(self.now, self.limit);
            }
            let [mut to_b, _] = self.tick();
            if let Some(request) = to_b.pop() {
                return request;
            }
        }
        panic!("no request")
    }

    fn deliver(&mut self, replies: Vec<Message>) {
        for reply in replies {
            self.a.receive(self.now, "b", reply);
        }
    }

    fn rates(&self) -> [f64; 2] {
        [&self.a, &self.b].map(|share| share.rate(self.now, self.limit))
    }
}

fn messages(commands: Vec<Command>) -> Vec<Message> {
    let messages = commands.into_iter();
    messages
        .map(|Command::Send { message, .. }| message)
        .collect()
}

/// Guards against a grant that is counted by the taker before the giver has reduced its own rate, and against
/// a repeat that is counted again.
#[test]
fn grant_moves_once_and_giver_reduces_first() {
    let mut pair = Pair::new();
    let request = pair.request();
    let reply = messages(pair.b.receive(pair.now, "a", request.clone()));
    let [a, b] = pair.rates();
    assert_eq!(a, 50.0, "the reply is under way");
    assert!(b < 50.0);
    pair.deliver(reply.clone());
    let moved = pair.rates();
    assert_eq!(moved[0] + moved[1], LIMIT);
    pair.deliver(reply);
    let again = messages(pair.b.receive(pair.now, "a", request));
    pair.deliver(again);
    assert_eq!(pair.rates(), moved);
}

/// Guards against a grant that is used after its giver has taken it back, because its delivery took long.
#[test]
fn late_reply_grants_nothing() {
    let mut pair = Pair::new();
    let request = pair.request();
    let reply = messages(pair.b.receive(pair.now, "a", request));
    pair.now += Options::default().grant;
    pair.deliver(reply);
    assert_eq!(pair.rates()[0], 50.0);
}

/// Guards against a giver that takes its share back while the taker may still use it.
#[test]
fn share_returns_after_the_margin() {
    let mut pair = Pair::new();
    let request = pair.request();
    let reply = messages(pair.b.receive(pair.now, "a", request));
    pair.deliver(reply);
    let granted = pair.b.given(pair.now, pair.limit);
    pair.now += Options::default().grant;
    assert_eq!(pair.rates(), [50.0, 50.0 - granted]);
    pair.now += Options::default().margin;
    assert_eq!(pair.rates(), [50.0, 50.0]);
}

/// Guards against a paused node that uses its share after the others have released it.
#[test]
fn paused_node_joins_anew() {
    let mut pair = Pair::new();
    pair.now += Options::default().pause + TICK;
    assert!(!pair.a.admit(pair.now, pair.limit));
    let [to_b, _] = pair.tick();
    assert_eq!(pair.rates(), [0.0, 0.0]);
    assert_eq!(to_b.len(), 1, "it asks to be acknowledged");
}
