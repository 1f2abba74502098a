//! Detection of requests that crash backend servers.
//!
//! When a backend server crashes, every request that it was running becomes a suspect, because the crash
//! does not show which of them caused it. A single crash leads to no refusal. From then on each node runs
//! its suspects one at a time, in parallel with requests that are not suspects, so that a second crash
//! adds to the evidence against one earlier suspect only. That request is refused from then on. A suspect
//! that is answered is cleared.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

/// Number of crashed backend servers from which a request is refused.
pub const MAX_CRASHES: usize = 2;

/// Settings of [`Suspicion`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Time after a crash until the evidence of it expires.
    pub evidence_ttl: Duration,
    /// Maximum number of pieces of evidence; beyond it, the one that expires first is evicted.
    pub max_evidence: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            evidence_ttl: Duration::from_secs(600),
            max_evidence: 4_096,
        }
    }
}

/// Hash that identifies a request and its resends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes the customer, method, path and body. Requests that agree in all four count as the same.
    ///
    /// ```
    /// use hitch_retry::Fingerprint;
    ///
    /// let one = Fingerprint::of("association", "POST", "/fees", b"7");
    /// assert_eq!(one, Fingerprint::of("association", "POST", "/fees", b"7"));
    /// assert_ne!(one, Fingerprint::of("association", "POST", "/fees7", b""));
    /// ```
    pub fn of(customer: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
        let mut hash = Xxh3::new();
        for part in [
            customer.as_bytes(),
            method.as_bytes(),
            path.as_bytes(),
            body,
        ] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Fingerprint(hash.digest())
    }
}

/// Identifies a crashed backend server by its instance and the incarnation of the node there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashedBackend {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Incarnation of the node.
    pub incarnation: [u8; 16],
}

/// Evidence that a request may have caused a crash, as nodes exchange it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evidence {
    /// The suspected request.
    pub fingerprint: Fingerprint,
    /// The backend server that crashed while it ran the request.
    pub backend: CrashedBackend,
    /// Whether the request was answered since, which clears it of this crash.
    pub cleared: bool,
    /// Time until the evidence expires.
    pub ttl: Duration,
}

/// What to do with a call that is about to be sent to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Run it, and report its end with [`Suspicion::end`] or [`Suspicion::crashed`].
    Run,
    /// Ask again later: another suspect is running.
    Wait,
    /// Refuse it with [`crate::NotRun::CrashSuspect`].
    Refuse,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Entry {
    expires_at: Duration,
    cleared: bool,
}

/// The crash evidence that one node knows, and the calls that its local backend server is running.
///
/// All times are durations since the process started.
///
/// ```
/// use std::time::Duration;
///
/// use hitch_retry::Fingerprint;
/// use hitch_retry::Suspicion;
/// use hitch_retry::suspicion::CrashedBackend;
/// use hitch_retry::suspicion::Verdict;
///
/// let now = Duration::ZERO;
/// let fingerprint = Fingerprint(1);
/// let mut suspicion = Suspicion::new(Default::default());
/// for instance in ["10.0.0.1", "10.0.0.2"] {
///     assert_eq!(suspicion.begin(fingerprint, now), Verdict::Run);
///     let backend = CrashedBackend { instance: instance.into(), incarnation: [1; 16] };
///     suspicion.crashed(&backend, now);
/// }
/// assert_eq!(suspicion.begin(fingerprint, now), Verdict::Refuse);
/// ```
#[derive(Debug, Clone)]
pub struct Suspicion {
    options: Options,
    entries: BTreeMap<(Fingerprint, CrashedBackend), Entry>,
    running: BTreeMap<Fingerprint, u32>,
}

impl Suspicion {
    /// Creates a record without evidence or running calls.
    ///
    /// ```
    /// # use hitch_retry::Suspicion;
    /// let suspicion = Suspicion::new(Default::default());
    /// assert_eq!(suspicion.evidence(std::time::Duration::ZERO).count(), 0);
    /// ```
    pub fn new(options: Options) -> Suspicion {
        Suspicion {
            options,
            entries: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Decides whether a call may run now. The call counts as running if the verdict is
    /// [`Verdict::Run`].
    ///
    /// ```
    /// # use hitch_retry::*;
    /// # use hitch_retry::suspicion::Verdict;
    /// let mut suspicion = Suspicion::new(Default::default());
    /// assert_eq!(suspicion.begin(Fingerprint(1), std::time::Duration::ZERO), Verdict::Run);
    /// ```
    pub fn begin(&mut self, fingerprint: Fingerprint, now: Duration) -> Verdict {
        let crashes = self.crashes(fingerprint, now);
        if crashes >= MAX_CRASHES {
            return Verdict::Refuse;
        }
        if crashes > 0 && self.is_running_suspect(now) {
            return Verdict::Wait;
        }
        *self.running.entry(fingerprint).or_default() += 1;
        Verdict::Run
    }

    /// Records the end of a call that ran and did not crash the backend server.
    ///
    /// If it was answered, the request is cleared of all crashes that this node knows. The caller has to
    /// send the returned evidence to the peers.
    ///
    /// ```
    /// # use hitch_retry::*;
    /// # let mut suspicion = Suspicion::new(Default::default());
    /// let now = std::time::Duration::ZERO;
    /// suspicion.begin(Fingerprint(1), now);
    /// assert!(suspicion.end(Fingerprint(1), true, now).is_empty());
    /// ```
    pub fn end(
        &mut self,
        fingerprint: Fingerprint,
        answered: bool,
        now: Duration,
    ) -> Vec<Evidence> {
        if let Some(call_count) = self.running.get_mut(&fingerprint) {
            *call_count -= 1;
            if *call_count == 0 {
                self.running.remove(&fingerprint);
            }
        }
        let mut cleared = Vec::new();
        if !answered {
            return cleared;
        }
        for ((suspect, backend), entry) in &mut self.entries {
            if *suspect != fingerprint || entry.cleared || entry.expires_at <= now {
                continue;
            }
            entry.cleared = true;
            cleared.push(entry.evidence_for(*suspect, backend, now));
        }
        cleared
    }

    /// Records that the local backend server crashed: every request that it was running becomes a suspect,
    /// and its calls have ended. The caller has to send the returned evidence to the peers.
    ///
    /// ```
    /// # use hitch_retry::*;
    /// # use hitch_retry::suspicion::CrashedBackend;
    /// # let mut suspicion = Suspicion::new(Default::default());
    /// let now = std::time::Duration::ZERO;
    /// suspicion.begin(Fingerprint(1), now);
    /// let backend = CrashedBackend { instance: "10.0.0.1".into(), incarnation: [1; 16] };
    /// assert_eq!(suspicion.crashed(&backend, now).len(), 1);
    /// ```
    pub fn crashed(&mut self, backend: &CrashedBackend, now: Duration) -> Vec<Evidence> {
        let running = std::mem::take(&mut self.running);
        let mut new_evidence = Vec::new();
        for fingerprint in running.into_keys() {
            let evidence = Evidence {
                fingerprint,
                backend: backend.clone(),
                cleared: false,
                ttl: self.options.evidence_ttl,
            };
            if self.merge(&evidence, now) {
                new_evidence.push(evidence);
            }
        }
        new_evidence
    }

    /// Merges evidence received from a peer, and returns whether it has to be sent on to other peers.
    ///
    /// The result does not depend on the order and number of exchanges: a crash counts once for each
    /// request and backend server, cleared evidence stays cleared, and evidence expires at the earliest
    /// time received, even if a slower peer sends it again.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_retry::*;
    /// # use hitch_retry::suspicion::Evidence;
    /// # use hitch_retry::suspicion::CrashedBackend;
    /// # let mut suspicion = Suspicion::new(Default::default());
    /// let evidence = Evidence {
    ///     fingerprint: Fingerprint(1),
    ///     backend: CrashedBackend { instance: "10.0.0.1".into(), incarnation: [1; 16] },
    ///     cleared: false,
    ///     ttl: Duration::from_secs(9),
    /// };
    /// assert!(suspicion.merge(&evidence, Duration::ZERO));
    /// assert!(!suspicion.merge(&evidence, Duration::ZERO));
    /// ```
    pub fn merge(&mut self, evidence: &Evidence, now: Duration) -> bool {
        self.remove_expired(now);
        let ttl = evidence.ttl.min(self.options.evidence_ttl);
        let received = Entry {
            expires_at: now + ttl,
            cleared: evidence.cleared,
        };
        let key = (evidence.fingerprint, evidence.backend.clone());
        let Some(known) = self.entries.get_mut(&key) else {
            self.entries.insert(key, received);
            self.evict_excess();
            return !ttl.is_zero();
        };
        let is_new = received.cleared && !known.cleared && known.expires_at > now;
        known.expires_at = known.expires_at.min(received.expires_at);
        known.cleared |= received.cleared;
        is_new
    }

    /// Counts the backend servers whose crash is held against the request, by the evidence that this node
    /// knows.
    ///
    /// ```
    /// # use hitch_retry::*;
    /// # let suspicion = Suspicion::new(Default::default());
    /// assert_eq!(suspicion.crashes(Fingerprint(1), std::time::Duration::ZERO), 0);
    /// ```
    pub fn crashes(&self, fingerprint: Fingerprint, now: Duration) -> usize {
        let lowest_key = CrashedBackend {
            instance: "".into(),
            incarnation: [0; 16],
        };
        let mut instances = BTreeSet::new();
        for ((suspect, backend), entry) in self.entries.range((fingerprint, lowest_key)..) {
            if *suspect != fingerprint {
                break;
            }
            if !entry.cleared && entry.expires_at > now {
                instances.insert(&backend.instance);
            }
        }
        instances.len()
    }

    /// Iterates over the evidence that has not expired, for a peer that requests all of it.
    ///
    /// ```
    /// # use hitch_retry::*;
    /// # let suspicion = Suspicion::new(Default::default());
    /// assert_eq!(suspicion.evidence(std::time::Duration::ZERO).count(), 0);
    /// ```
    pub fn evidence(&self, now: Duration) -> impl Iterator<Item = Evidence> {
        self.entries
            .iter()
            .filter(move |(_, entry)| entry.expires_at > now)
            .map(move |((suspect, backend), entry)| entry.evidence_for(*suspect, backend, now))
    }

    fn is_running_suspect(&self, now: Duration) -> bool {
        self.running.keys().any(|f| self.crashes(*f, now) > 0)
    }

    /// Removes entries once they have been expired for one [`Options::evidence_ttl`], after which no peer
    /// can still send them.
    fn remove_expired(&mut self, now: Duration) {
        let retention = self.options.evidence_ttl;
        self.entries
            .retain(|_, entry| entry.expires_at + retention > now);
    }

    fn evict_excess(&mut self) {
        while self.entries.len() > self.options.max_evidence {
            let next_to_expire = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| entry.expires_at);
            let Some((key, _)) = next_to_expire else {
                return;
            };
            let key = key.clone();
            self.entries.remove(&key);
        }
    }
}

impl Entry {
    fn evidence_for(
        &self,
        fingerprint: Fingerprint,
        backend: &CrashedBackend,
        now: Duration,
    ) -> Evidence {
        Evidence {
            fingerprint,
            backend: backend.clone(),
            cleared: self.cleared,
            ttl: self.expires_at.saturating_sub(now),
        }
    }
}
