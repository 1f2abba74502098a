//! Proofs that a version was the newest one of the store.

use std::time::Duration;

use crate::bounds::Bounds;

/// Most proofs that are kept. Requests that were authorised by a replaced version end within seconds, in which few
/// versions are published.
const MAX_PROOFS: usize = 8;

/// States that `version` was the newest version in the store at some moment after the store was asked, which was `age`
/// before `at`. The store may have been asked before this process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// Version of the configuration.
    pub version: u64,
    /// A time since the start of this process.
    pub at: Duration,
    /// Age of the proof at that time.
    pub age: Duration,
}

impl Proof {
    /// Returns the age of the proof: the time since the store was asked.
    ///
    /// ```
    /// use std::time::Duration;
    /// let second = Duration::from_secs(1);
    /// let proof = hitch_fresh::Proof { version: 1, at: second, age: second * 2 };
    /// assert_eq!(proof.age_at(second * 4), second * 5);
    /// ```
    pub fn age_at(&self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.at)
    }

    /// Returns whether the store was asked for this proof no earlier than for the other one.
    pub(crate) fn is_as_young_as(&self, other: &Proof) -> bool {
        self.at + other.age >= other.at + self.age
    }
}

/// Why a request with an API key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// There is no proof since the start of the process or of the store's era.
    None,
    /// The proof is too old.
    Expired,
    /// The only proofs are of versions that are newer than the one by which the request was authorised.
    Superseded,
}

impl Refusal {
    /// Returns the reason as text for the caller and for metrics.
    ///
    /// ```
    /// assert_eq!(hitch_fresh::Refusal::Expired.reason(), "the configuration may be outdated");
    /// ```
    pub fn reason(self) -> &'static str {
        match self {
            Refusal::None => "no proof yet that the configuration is recent",
            Refusal::Expired => "the configuration may be outdated",
            Refusal::Superseded => "the configuration was replaced meanwhile",
        }
    }
}

/// The proofs of one era, none of which says less than another one: of two, the one of the later version is younger.
#[derive(Debug, Clone, Default)]
pub(crate) struct Proofs(Vec<Proof>);

impl Proofs {
    /// Adds a proof, and returns whether it says more than those known.
    pub(crate) fn add(&mut self, proof: Proof) -> bool {
        // A proof of an earlier version covers all requests that one of a later version covers.
        let covers =
            |one: &Proof, other: &Proof| one.version <= other.version && one.is_as_young_as(other);
        if self.0.iter().any(|known| covers(known, &proof)) {
            return false;
        }
        self.0.retain(|known| !covers(&proof, known));
        let at = self
            .0
            .partition_point(|known| known.version < proof.version);
        self.0.insert(at, proof);
        if self.0.len() > MAX_PROOFS {
            self.0.remove(0);
        }
        true
    }

    /// Returns the youngest proof.
    pub(crate) fn youngest(&self) -> Option<Proof> {
        self.0.last().copied()
    }

    /// Returns the youngest proof for requests that were authorised by `version`.
    fn youngest_for(&self, version: u64) -> Option<Proof> {
        let proofs = self.0.iter().rev();
        proofs.copied().find(|proof| proof.version <= version)
    }

    pub(crate) fn check(&self, now: Duration, bounds: Bounds, version: u64) -> Result<(), Refusal> {
        match self.youngest_for(version) {
            Some(proof) if proof.age_at(now) < bounds.max_age() => Ok(()),
            Some(proof) if self.youngest() != Some(proof) => Err(Refusal::Superseded),
            Some(_) => Err(Refusal::Expired),
            None if self.0.is_empty() => Err(Refusal::None),
            None => Err(Refusal::Superseded),
        }
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
