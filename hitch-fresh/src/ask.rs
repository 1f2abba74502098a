//! Which peer to ask for a proof, and when.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::bounds::Bounds;

/// Intervals between questions for which a peer that did not answer is passed over: 2 s for a bound of 5 s. Frozen and
/// cut-off peers keep their connections for seconds.
const SILENT_INTERVALS: u32 = 8;
/// Parts of the interval by which the first question for a newer proof is asked later, once a peer did not have one yet:
/// such a peer gets its proofs from another one.
const DELAY_STEPS: u32 = 10;
/// Parts of the interval by which the first question is asked earlier again, once a peer had a newer proof. About one in
/// six first questions is in vain then.
const ADVANCE_STEPS: u32 = 50;

/// A peer that can be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Address of the peer.
    pub address: Box<str>,
    /// Whether the peer is in the availability zone of this node.
    pub is_near: bool,
    /// Whether the peer is the one that reads the store for the zone of this node.
    pub is_reader: bool,
}

/// A question to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Address of the peer.
    pub address: Box<str>,
    /// Number of the question, which the answer repeats.
    pub number: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Asked {
    /// Number of the latest question to the peer.
    number: u64,
    /// The peer is passed over until then, because it did not answer.
    silent_until: Option<Duration>,
}

/// A question that is not answered yet.
#[derive(Debug, Clone)]
pub(crate) struct Open {
    pub(crate) address: Box<str>,
    pub(crate) at: Duration,
}

/// Questions to peers, the open ones and what is known of the peers from earlier ones.
#[derive(Debug, Clone, Default)]
pub(crate) struct Asks {
    last_number: u64,
    last_at: Option<Duration>,
    open: BTreeMap<u64, Open>,
    peers: BTreeMap<Box<str>, Asked>,
    /// Peer that gave the last newer proof.
    source: Option<Box<str>>,
    /// Questions since the last newer proof.
    fruitless: u32,
    /// Time by which the first question for a newer proof is delayed.
    delay: Duration,
}

impl Asks {
    /// Returns the earliest time for the next question.
    pub(crate) fn next_at(&self, bounds: Bounds) -> Duration {
        let last = self.last_at;
        last.map_or(Duration::ZERO, |last| last + bounds.ask_interval())
    }

    /// Chooses the peer to ask now, and opens the question.
    pub(crate) fn ask(&mut self, now: Duration, bounds: Bounds, peers: &[Peer]) -> Option<Ask> {
        self.expire(now, bounds, peers);
        let address = self.choose(now, peers).map(|peer| peer.address.clone());
        // Without peers, the attempt counts as one in vain.
        self.fruitless = self.fruitless.saturating_add(1);
        let address = address?;
        self.last_number += 1;
        self.last_at = Some(now);
        let number = self.last_number;
        self.peers.entry(address.clone()).or_default().number = number;
        self.open.insert(
            number,
            Open {
                address: address.clone(),
                at: now,
            },
        );
        Some(Ask { address, number })
    }

    /// Takes the open question with a number.
    pub(crate) fn answered(&mut self, number: u64) -> Option<Open> {
        let open = self.open.remove(&number)?;
        if let Some(asked) = self.peers.get_mut(&open.address) {
            asked.silent_until = None;
        }
        Some(open)
    }

    /// Returns the number of questions since the last newer proof.
    pub(crate) fn fruitless(&self) -> u32 {
        self.fruitless
    }

    /// Returns the time by which the first question for a newer proof is delayed.
    pub(crate) fn delay(&self) -> Duration {
        self.delay
    }

    /// Records that a peer has no newer proof.
    pub(crate) fn failed(&mut self, bounds: Bounds) {
        if self.fruitless == 1 {
            let interval = bounds.ask_interval();
            self.delay = interval.min(self.delay + interval / DELAY_STEPS);
        }
    }

    /// Records that a peer gave a newer proof. `is_young` is whether the peer is a good one to ask again.
    pub(crate) fn succeeded(&mut self, bounds: Bounds, address: Box<str>, is_young: bool) {
        if self.fruitless == 1 {
            let advance = bounds.ask_interval() / ADVANCE_STEPS;
            self.delay = self.delay.saturating_sub(advance);
        }
        self.fruitless = 0;
        self.source = is_young.then_some(address);
    }

    /// Records that the node has a newer proof from the store.
    pub(crate) fn reset(&mut self) {
        self.fruitless = 0;
    }

    /// Allows the next question at once, for example because the proofs were dropped.
    pub(crate) fn hurry(&mut self) {
        self.last_at = None;
        self.fruitless = 0;
    }

    /// Marks the peers that did not answer, and drops what is not needed any more.
    fn expire(&mut self, now: Duration, bounds: Bounds, peers: &[Peer]) {
        let interval = bounds.ask_interval();
        for (number, open) in &self.open {
            if let Some(asked) = self.peers.get_mut(&open.address)
                && asked.number == *number
                && now >= open.at + interval
            {
                asked.silent_until = Some(open.at + interval * SILENT_INTERVALS);
            }
        }
        // The proof in a later answer would have expired.
        self.open
            .retain(|_, open| now.saturating_sub(open.at) < bounds.max_age());
        self.peers
            .retain(|address, _| peers.iter().any(|peer| peer.address == *address));
    }

    /// Chooses the reader of the zone or the peer that gave the last proof, and after two questions in vain one of another
    /// zone, the reader again and one of the own zone in turn: if the zone's reader has no proof, most peers of the zone
    /// have none either, but it is the first to have one when the store returns.
    fn choose<'a>(&self, now: Duration, peers: &'a [Peer]) -> Option<&'a Peer> {
        let is_silent = |peer: &Peer| {
            let asked = self.peers.get(&peer.address);
            let until = asked.and_then(|asked| asked.silent_until);
            until.is_some_and(|until| now < until)
        };
        let answering: Vec<&Peer> = peers.iter().filter(|peer| !is_silent(peer)).collect();
        let all: Vec<&Peer> = peers.iter().collect();
        let candidates = match answering.is_empty() {
            true => all,
            false => answering,
        };
        let is_source = |peer: &&&Peer| self.source.as_ref() == Some(&peer.address);
        let reader = candidates.iter().find(|peer| peer.is_reader);
        let source = candidates.iter().find(is_source);
        let turn = self.fruitless % 3;
        let preferred = match (self.fruitless, turn) {
            (1, _) => source.filter(|source| !source.is_reader),
            (_, 0) => reader.or(source),
            _ => None,
        };
        if let Some(peer) = preferred {
            return Some(peer);
        }
        let wants_near = turn != 2;
        let number = |peer: &Peer| {
            self.peers
                .get(&peer.address)
                .map_or(0, |asked| asked.number)
        };
        // The one that was not asked for longest.
        let by_preference = |peer: &&&Peer| (peer.is_near != wants_near, number(peer));
        candidates.iter().min_by_key(by_preference).copied()
    }
}
