//! The state machine of a node: its proofs, the era of the store, and the questions to peers.

use std::time::Duration;

use crate::ask::Ask;
use crate::ask::Asks;
use crate::ask::Peer;
use crate::bounds::Bounds;
use crate::era::Era;
use crate::era::EraChange;
use crate::proof::Proof;
use crate::proof::Proofs;
use crate::proof::Refusal;

/// Position in a topic of the store. It is valid only in the era that it is from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Offset of the next record.
    pub offset: u64,
    /// Era of the store.
    pub era: u64,
}

/// Answer of the store to a read of the configuration, whose records have been applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreAnswer {
    /// When the store was asked.
    pub asked: Duration,
    /// Where the read began, or `None` if it returned the newest records.
    pub from: Option<Position>,
    /// Where the next read continues, in the era of the answer.
    pub next: Position,
    /// Whether the topic had no further records.
    pub is_whole: bool,
    /// Whether the answer has no records.
    pub is_empty: bool,
}

/// Answer of a peer to a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerAnswer {
    /// Number of the question.
    pub number: u64,
    /// Version that the proof is about.
    pub version: u64,
    /// Era of the store that the proof is from.
    pub era: u64,
    /// Age of the proof when the peer answered.
    pub age: Duration,
}

/// What became of a peer's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerProof {
    /// The proof is newer than those known.
    Accepted,
    /// The proof is about a later version than the one in force here. It counts once that version is in force.
    Awaits {
        /// The later version.
        version: u64,
    },
    /// The answer has no newer proof, or belongs to no open question.
    Useless,
    /// The proof is from an earlier era of the store.
    OldEra,
}

/// What a node knows about how recent its configuration is.
#[derive(Debug, Clone, Default)]
pub struct Fresh {
    era: Era,
    proofs: Proofs,
    /// Youngest proof of a version that is not in force here yet.
    awaiting: Option<Proof>,
    asks: Asks,
}

impl Fresh {
    /// Creates the state of a node that has just started.
    ///
    /// ```
    /// assert_eq!(hitch_fresh::Fresh::new().era(), None);
    /// ```
    pub fn new() -> Fresh {
        Fresh::default()
    }

    /// Returns the newest era of the store that is known.
    ///
    /// ```
    /// let mut fresh = hitch_fresh::Fresh::new();
    /// fresh.observe_era(2);
    /// assert_eq!(fresh.era(), Some(2));
    /// ```
    pub fn era(&self) -> Option<u64> {
        self.era.known()
    }

    /// Records the era of an answer of the store. If it has risen, the proofs of the earlier era are dropped.
    ///
    /// ```
    /// use hitch_fresh::EraChange;
    /// let mut fresh = hitch_fresh::Fresh::new();
    /// assert_eq!(fresh.observe_era(1), EraChange::First);
    /// assert_eq!(fresh.observe_era(2), EraChange::Risen);
    /// assert_eq!(fresh.observe_era(1), EraChange::Old);
    /// ```
    pub fn observe_era(&mut self, era: u64) -> EraChange {
        let change = self.era.observe(era);
        if change == EraChange::Risen {
            self.proofs.clear();
            self.awaiting = None;
            self.asks.hurry();
        }
        change
    }

    /// Records an answer of the store, while `in_force` is the version in force after its records were applied. Returns
    /// what the answer says about the era, and where the next read begins: at the newest records if there is no position.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_fresh::{EraChange, Fresh, Position, StoreAnswer};
    /// let mut fresh = Fresh::new();
    /// let next = Position { offset: 9, era: 1 };
    /// let asked = Duration::from_secs(1);
    /// let newest = StoreAnswer { asked, from: None, next, is_whole: true, is_empty: false };
    /// assert_eq!(fresh.store_answered(newest, 7), (EraChange::First, Some(next)));
    /// // Records may be missing between offsets of different eras.
    /// let read = StoreAnswer { from: Some(next), next: Position { offset: 9, era: 2 }, ..newest };
    /// assert_eq!(fresh.store_answered(read, 7), (EraChange::Risen, None));
    /// assert!(fresh.age(asked).is_none());
    /// ```
    pub fn store_answered(
        &mut self,
        answer: StoreAnswer,
        in_force: u64,
    ) -> (EraChange, Option<Position>) {
        let era = answer.next.era;
        let change = self.observe_era(era);
        let is_continuous = answer.from.is_none_or(|from| from.era == era);
        if change == EraChange::Old || !is_continuous {
            return (change, None);
        }
        if answer.is_whole {
            self.prove(answer.asked, era, in_force);
        }
        // A read that returns no records before the end of the topic would never advance.
        let advances = answer.is_whole || !answer.is_empty;
        (change, advances.then_some(answer.next))
    }

    /// Records that the store, asked at `asked`, answered in `era` that its newest version is `version` or an earlier
    /// one, where `version` is in force here. Returns what the answer says about the era; an answer of an earlier era
    /// proves nothing.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut fresh = hitch_fresh::Fresh::new();
    /// fresh.prove(Duration::from_secs(1), 0, 7);
    /// assert_eq!(fresh.age(Duration::from_secs(3)), Some(Duration::from_secs(2)));
    /// ```
    pub fn prove(&mut self, asked: Duration, era: u64, version: u64) -> EraChange {
        let change = self.observe_era(era);
        let proof = Proof {
            version,
            at: asked,
            age: Duration::ZERO,
        };
        if change != EraChange::Old && self.proofs.add(proof) {
            self.asks.reset();
        }
        change
    }

    /// Records the answer of a peer that arrived at `now`, while `in_force` is the version in force here.
    ///
    /// The proof is as old as the peer stated plus the time since the question: its way can only make it older.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_fresh::{Bounds, Fresh, Peer, PeerAnswer, PeerProof};
    /// let bounds = Bounds::new(Duration::from_secs(5));
    /// let peer = Peer { address: "10.0.0.2:7600".into(), is_near: true, is_reader: true };
    /// let mut fresh = Fresh::new();
    /// let now = Duration::from_secs(10);
    /// let ask = fresh.ask(now, bounds, &[peer]).unwrap();
    /// let age = Duration::from_secs(1);
    /// let answer = PeerAnswer { number: ask.number, version: 3, era: 0, age };
    /// assert_eq!(fresh.answered(now, bounds, answer, 3), PeerProof::Accepted);
    /// assert_eq!(fresh.age(now), Some(age));
    /// ```
    pub fn answered(
        &mut self,
        now: Duration,
        bounds: Bounds,
        answer: PeerAnswer,
        in_force: u64,
    ) -> PeerProof {
        let Some(open) = self.asks.answered(answer.number) else {
            return PeerProof::Useless;
        };
        let proof = Proof {
            version: answer.version,
            at: open.at,
            age: answer.age,
        };
        let age = proof.age_at(now);
        if age >= bounds.max_age() {
            self.asks.failed(bounds);
            return PeerProof::Useless;
        }
        // The era of an answer without a valid proof is not taken over: it would only end this node's own proof.
        if self.observe_era(answer.era) == EraChange::Old {
            return PeerProof::OldEra;
        }
        let is_younger =
            |known: Option<Proof>| known.is_none_or(|known| !known.is_as_young_as(&proof));
        let is_newer = is_younger(self.proofs.youngest());
        if proof.version > in_force {
            if is_younger(self.awaiting) {
                self.awaiting = Some(proof);
            }
            return PeerProof::Awaits {
                version: proof.version,
            };
        }
        match is_newer {
            true => {
                let is_young = age < bounds.ask_age();
                self.asks.succeeded(bounds, open.address, is_young);
            }
            false => self.asks.failed(bounds),
        }
        match self.proofs.add(proof) {
            true => PeerProof::Accepted,
            false => PeerProof::Useless,
        }
    }

    /// Records that a version has come into force here: a proof that waited for it counts now.
    ///
    /// ```
    /// hitch_fresh::Fresh::new().set_in_force(3);
    /// ```
    pub fn set_in_force(&mut self, version: u64) {
        if let Some(proof) = self.awaiting.take_if(|proof| proof.version <= version)
            && self.proofs.add(proof)
        {
            self.asks.reset();
        }
    }

    /// Returns whether a request that was authorised by `version` may be served at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_fresh::{Bounds, Fresh, Refusal};
    /// let bounds = Bounds::new(Duration::from_secs(5));
    /// assert_eq!(Fresh::new().check(Duration::ZERO, bounds, 1), Err(Refusal::None));
    /// ```
    pub fn check(&self, now: Duration, bounds: Bounds, version: u64) -> Result<(), Refusal> {
        self.proofs.check(now, bounds, version)
    }

    /// Returns the age of the youngest proof.
    ///
    /// ```
    /// assert_eq!(hitch_fresh::Fresh::new().age(std::time::Duration::ZERO), None);
    /// ```
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let youngest = self.proofs.youngest();
        youngest.map(|proof| proof.age_at(now))
    }

    /// Returns whether a request that lacks a proof had better wait for the answer to the next question to a peer. A node
    /// that has just started, or was frozen, has asked none or only one in vain; one that has no source left has asked
    /// many before its proof expired.
    ///
    /// ```
    /// assert!(hitch_fresh::Fresh::new().expects_proof());
    /// ```
    pub fn expects_proof(&self) -> bool {
        self.asks.fruitless() <= 1
    }

    /// Returns the time after which a request that was refused for lack of a proof may succeed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_fresh::{Bounds, Fresh};
    /// let bounds = Bounds::new(Duration::from_secs(5));
    /// let retry_after = Fresh::new().retry_after(Duration::ZERO, bounds);
    /// assert_eq!(retry_after, Duration::from_millis(250));
    /// ```
    pub fn retry_after(&self, now: Duration, bounds: Bounds) -> Duration {
        let lacking = self.age(now).unwrap_or_default();
        bounds.retry_after(lacking.saturating_sub(bounds.max_age()))
    }

    /// Returns the youngest proof, to answer a peer's question, and the era that it is from.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut fresh = hitch_fresh::Fresh::new();
    /// fresh.prove(Duration::from_secs(1), 4, 7);
    /// let (proof, era) = fresh.proof().unwrap();
    /// assert_eq!((proof.version, era), (7, 4));
    /// ```
    pub fn proof(&self) -> Option<(Proof, u64)> {
        Some((self.proofs.youngest()?, self.era.known()?))
    }

    /// Returns the earliest time at which a peer is to be asked.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_fresh::{Bounds, Fresh};
    /// let bounds = Bounds::new(Duration::from_secs(5));
    /// let mut fresh = Fresh::new();
    /// assert_eq!(fresh.next_ask_at(bounds), Duration::ZERO);
    /// fresh.prove(Duration::from_secs(1), 0, 7);
    /// assert_eq!(fresh.next_ask_at(bounds), Duration::from_millis(2_550));
    /// ```
    pub fn next_ask_at(&self, bounds: Bounds) -> Duration {
        let youngest = self.proofs.youngest();
        let due = youngest.map_or(Duration::ZERO, |proof| {
            proof.at + bounds.ask_age().saturating_sub(proof.age) + self.asks.delay()
        });
        due.max(self.asks.next_at(bounds))
    }

    /// Chooses the peer to ask, or returns `None` if there is none. The caller asks when [`Fresh::next_ask_at`] has come.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_fresh::{Bounds, Fresh};
    /// let bounds = Bounds::new(Duration::from_secs(5));
    /// assert_eq!(Fresh::new().ask(Duration::ZERO, bounds, &[]), None);
    /// ```
    pub fn ask(&mut self, now: Duration, bounds: Bounds, peers: &[Peer]) -> Option<Ask> {
        self.asks.ask(now, bounds, peers)
    }
}
