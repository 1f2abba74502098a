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

/// Two nodes that have joined, `a` with demand and `b` without.
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

    /// Offers calls to `a` until it sends a request to `b`, and returns that request.
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

/// Guards against a grantee that uses a grant before the grantor has reduced its own rate, and against a
/// duplicate message that has an effect.
#[test]
fn grant_applies_once_and_grantor_reduces_its_rate_first() {
    let mut pair = Pair::new();
    let request = pair.request();
    let reply = messages(pair.b.receive(pair.now, "a", request.clone()));
    let [a, b] = pair.rates();
    assert_eq!(a, 50.0, "the reply is in flight");
    assert!(b < 50.0);
    pair.deliver(reply.clone());
    let rates_after_grant = pair.rates();
    assert_eq!(rates_after_grant[0] + rates_after_grant[1], LIMIT);
    pair.deliver(reply);
    let second_reply = messages(pair.b.receive(pair.now, "a", request));
    pair.deliver(second_reply);
    assert_eq!(pair.rates(), rates_after_grant);
}

/// Guards against a grant that is used after its grantor has reclaimed it, because its delivery was slow.
#[test]
fn late_reply_grants_nothing() {
    let mut pair = Pair::new();
    let request = pair.request();
    let reply = messages(pair.b.receive(pair.now, "a", request));
    pair.now += Options::default().grant_lifetime;
    pair.deliver(reply);
    assert_eq!(pair.rates()[0], 50.0);
}

/// Guards against a grantor that reclaims its share while the grantee may still use it.
#[test]
fn grantor_reclaims_share_after_the_margin() {
    let mut pair = Pair::new();
    let request = pair.request();
    let reply = messages(pair.b.receive(pair.now, "a", request));
    pair.deliver(reply);
    let granted = pair.b.issued_rate(pair.now, pair.limit);
    pair.now += Options::default().grant_lifetime;
    assert_eq!(pair.rates(), [50.0, 50.0 - granted]);
    pair.now += Options::default().reclaim_margin;
    assert_eq!(pair.rates(), [50.0, 50.0]);
}

/// Guards against a paused node that uses its share after the others have reassigned it.
#[test]
fn paused_node_joins_again() {
    let mut pair = Pair::new();
    pair.now += Options::default().max_tick_gap + TICK;
    assert!(!pair.a.admit(pair.now, pair.limit));
    let [to_b, _] = pair.tick();
    assert_eq!(pair.rates(), [0.0, 0.0]);
    assert_eq!(to_b.len(), 1, "it requests an acknowledgement");
}
