//! Recognition of requests that crash backend servers.
//!
//! A crash puts every call that was running under suspicion, because nothing tells which one did it. One
//! crash refuses nothing. Calls under suspicion are then handed over one at a time at each node, beside
//! calls that are not, so a second crash concerns one suspect only: that one is refused from then on, and
//! a suspect that is answered is cleared.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

/// Number of backend servers that a request may crash before it is refused.
pub const MAX_CRASHES: usize = 2;

/// Settings of suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long a crash counts.
    pub time_to_live: Duration,
    /// Most pieces of evidence kept; the one that lapses first is dropped.
    pub max_evidence: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            time_to_live: Duration::from_secs(600),
            max_evidence: 4_096,
        }
    }
}

/// Recognises resends of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes what makes two requests the same.
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

/// The backend server that crashed: one run of the node beside it on one instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashedBackend {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Incarnation of the node.
    pub incarnation: [u8; 16],
}

/// One crash held against one request, as nodes exchange it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evidence {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Where the crash happened.
    pub backend: CrashedBackend,
    /// Whether the request was answered since, and so is innocent of this crash.
    pub cleared: bool,
    /// Time until the evidence lapses.
    pub ttl: Duration,
}

/// What to do with a call before it is handed to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Hand it over, and report its end.
    Run,
    /// Ask again after another suspect has ended.
    Wait,
    /// Refuse it as [`crate::NotRun::CrashSuspect`].
    Refuse,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Entry {
    lapses: Duration,
    cleared: bool,
}

/// The suspicion of one node, and the calls that its backend server runs.
///
/// Times are durations since the process started.
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
    /// Makes an empty record.
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

    /// Decides whether a call may be handed over now.
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
        if crashes > 0 && self.runs_a_suspect(now) {
            return Verdict::Wait;
        }
        *self.running.entry(fingerprint).or_default() += 1;
        Verdict::Run
    }

    /// Notes the end of a call that was handed over and did not crash its backend server.
    ///
    /// When it was answered, the request is cleared of all crashes known here; the evidence returned is
    /// to be spread.
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
        if let Some(calls) = self.running.get_mut(&fingerprint) {
            *calls -= 1;
            if *calls == 0 {
                self.running.remove(&fingerprint);
            }
        }
        let mut cleared = Vec::new();
        if !answered {
            return cleared;
        }
        for ((suspect, backend), entry) in &mut self.entries {
            if *suspect != fingerprint || entry.cleared || entry.lapses <= now {
                continue;
            }
            entry.cleared = true;
            cleared.push(entry.evidence(*suspect, backend, now));
        }
        cleared
    }

    /// Notes that the backend server beside this node crashed: every call that it ran is suspected and
    /// has ended. The evidence returned is to be spread.
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
        let mut found = Vec::new();
        for fingerprint in running.into_keys() {
            let evidence = Evidence {
                fingerprint,
                backend: backend.clone(),
                cleared: false,
                ttl: self.options.time_to_live,
            };
            if self.merge(&evidence, now) {
                found.push(evidence);
            }
        }
        found
    }

    /// Takes in evidence from a peer and returns whether it was news that is worth spreading.
    ///
    /// The order and number of exchanges make no difference: a crash counts once for each request and
    /// backend, cleared evidence stays cleared, and evidence lapses at the earliest time heard, even when a
    /// slower peer sends it again.
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
        self.forget(now);
        let ttl = evidence.ttl.min(self.options.time_to_live);
        let heard = Entry {
            lapses: now + ttl,
            cleared: evidence.cleared,
        };
        let key = (evidence.fingerprint, evidence.backend.clone());
        let Some(known) = self.entries.get_mut(&key) else {
            self.entries.insert(key, heard);
            self.drop_excess();
            return !ttl.is_zero();
        };
        let news = heard.cleared && !known.cleared && known.lapses > now;
        known.lapses = known.lapses.min(heard.lapses);
        known.cleared |= heard.cleared;
        news
    }

    /// Counts the backend servers that the request crashed, as far as is known here.
    ///
    /// ```
    /// # use hitch_retry::*;
    /// # let suspicion = Suspicion::new(Default::default());
    /// assert_eq!(suspicion.crashes(Fingerprint(1), std::time::Duration::ZERO), 0);
    /// ```
    pub fn crashes(&self, fingerprint: Fingerprint, now: Duration) -> usize {
        let first = CrashedBackend {
            instance: "".into(),
            incarnation: [0; 16],
        };
        let mut instances = BTreeSet::new();
        for ((suspect, backend), entry) in self.entries.range((fingerprint, first)..) {
            if *suspect != fingerprint {
                break;
            }
            if !entry.cleared && entry.lapses > now {
                instances.insert(&backend.instance);
            }
        }
        instances.len()
    }

    /// Iterates over the evidence that has not lapsed, for a peer that asks for all of it.
    ///
    /// ```
    /// # use hitch_retry::*;
    /// # let suspicion = Suspicion::new(Default::default());
    /// assert_eq!(suspicion.evidence(std::time::Duration::ZERO).count(), 0);
    /// ```
    pub fn evidence(&self, now: Duration) -> impl Iterator<Item = Evidence> {
        self.entries
            .iter()
            .filter(move |(_, entry)| entry.lapses > now)
            .map(move |((suspect, backend), entry)| entry.evidence(*suspect, backend, now))
    }

    fn runs_a_suspect(&self, now: Duration) -> bool {
        self.running.keys().any(|f| self.crashes(*f, now) > 0)
    }

    /// Drops entries one time to live after they lapsed, when no peer can still send them.
    fn forget(&mut self, now: Duration) {
        let kept = self.options.time_to_live;
        self.entries.retain(|_, entry| entry.lapses + kept > now);
    }

    fn drop_excess(&mut self) {
        while self.entries.len() > self.options.max_evidence {
            let first = self.entries.iter().min_by_key(|(_, entry)| entry.lapses);
            let Some((key, _)) = first else {
                return;
            };
            let key = key.clone();
            self.entries.remove(&key);
        }
    }
}

impl Entry {
    fn evidence(
        &self,
        fingerprint: Fingerprint,
        backend: &CrashedBackend,
        now: Duration,
    ) -> Evidence {
        Evidence {
            fingerprint,
            backend: backend.clone(),
            cleared: self.cleared,
            ttl: self.lapses.saturating_sub(now),
        }
    }
}
