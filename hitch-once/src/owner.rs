//! The keys that one node incarnation has accepted, and their answers.

use std::collections::BTreeMap;

use crate::key::Key;
use crate::key::MAX_AGE_MS;
use crate::map::Lookup;
use crate::map::OwnershipMap;
use crate::record::Holder;
use crate::record::Release;

/// Bounds on the memory of a [`KeyTable`]. When one is exceeded, the keys with the oldest timestamps are
/// evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Options {
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Maximum size of all answers together, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            max_keys: 65_536,
            max_answer_bytes: 16 << 20,
        }
    }
}

/// What the node must do with a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision<A> {
    /// Run it, and report the outcome to the table.
    Run,
    /// Wait for the answer of the call with this key that is in flight.
    Join,
    /// Return this stored answer: the call with this key ran before.
    Answer(A),
    /// Refuse it for this reason.
    Refused(Refusal),
    /// Refuse it as an error of the caller: the key was used before for another body.
    KeyReused,
}

/// Why a call is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// This submission was not run and never will be.
    NotRun {
        /// Owner of the key, if this node knows it.
        owner: Option<Holder>,
    },
    /// The key may have run before, and will not run again.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum State<A> {
    Running,
    Answered { answer: A, bytes: usize },
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Entry<A> {
    body_hash: u64,
    state: State<A>,
}

/// The keys that one node incarnation has accepted, with their answers. The table starts empty and is
/// never passed on to another incarnation.
///
/// A key is first running, then answered or unknown. Only [`KeyTable::remove_unsent`] makes a key runnable
/// again; eviction raises the watermark, below which keys are refused. So a key whose call was sent to the
/// backend server never runs again on this node, and it runs on no other node because no other
/// incarnation owns it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyTable<A> {
    holder: Holder,
    options: Options,
    watermark_ms: u64,
    newest_key_ms: u64,
    released_from_ms: Option<u64>,
    answer_bytes: usize,
    entries: BTreeMap<Key, Entry<A>>,
}

impl<A: Clone> KeyTable<A> {
    /// Creates the empty table of the incarnation `holder`.
    ///
    /// ```
    /// use hitch_once::Holder;
    /// use hitch_once::Incarnation;
    /// use hitch_once::KeyTable;
    ///
    /// let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// assert!(KeyTable::<()>::new(holder, Default::default()).is_empty());
    /// ```
    pub fn new(holder: Holder, options: Options) -> KeyTable<A> {
        KeyTable {
            holder,
            options,
            watermark_ms: 0,
            newest_key_ms: 0,
            released_from_ms: None,
            answer_bytes: 0,
            entries: BTreeMap::new(),
        }
    }

    /// Decides what to do with a call, by its key and the hash of its body. Reads no clock.
    ///
    /// After [`Decision::Run`] exactly one of [`KeyTable::record_answer`], [`KeyTable::remove_unsent`] and
    /// [`KeyTable::mark_unknown`] must be called. A pause of any length before the call is
    /// sent to the backend server is safe.
    ///
    /// ```
    /// use hitch_once::Decision;
    /// use hitch_once::Holder;
    /// use hitch_once::Incarnation;
    /// use hitch_once::Key;
    /// use hitch_once::KeyTable;
    /// use hitch_once::OwnershipMap;
    /// use hitch_once::Refusal;
    ///
    /// let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// let mut table = KeyTable::<()>::new(holder, Default::default());
    /// let mut map = OwnershipMap::new(0);
    /// map.mark_caught_up();
    /// let decision = table.offer(&map, Key::generate(5, 0), 1);
    /// assert_eq!(decision, Decision::Refused(Refusal::NotRun { owner: None }));
    /// ```
    pub fn offer(&mut self, map: &OwnershipMap, key: Key, body_hash: u64) -> Decision<A> {
        if let Some(entry) = self.entries.get(&key) {
            return entry.decision(body_hash);
        }
        if let Some(refusal) = self.refusal(map, key) {
            return Decision::Refused(refusal);
        }
        self.newest_key_ms = self.newest_key_ms.max(key.time_ms());
        self.raise_watermark(self.newest_key_ms.saturating_sub(MAX_AGE_MS));
        let state = State::Running;
        self.entries.insert(key, Entry { body_hash, state });
        self.evict();
        Decision::Run
    }

    /// Stores the answer of a call that ran; `bytes` is its size in memory. Has no effect on a key that is
    /// not running.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let mut table = KeyTable::new(holder, Default::default());
    /// table.record_answer(Key::generate(5, 0), "paid", 4); // no effect: the key was never offered
    /// assert!(table.is_empty());
    /// ```
    pub fn record_answer(&mut self, key: Key, answer: A, bytes: usize) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if matches!(entry.state, State::Running) {
            entry.state = State::Answered { answer, bytes };
            self.answer_bytes += bytes;
            self.evict();
        }
    }

    /// Removes a running key whose call failed before its first byte was sent to the backend server, so
    /// that the call can be retried on this node.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let mut table = KeyTable::<()>::new(holder, Default::default());
    /// table.remove_unsent(Key::generate(5, 0));
    /// assert!(table.is_empty());
    /// ```
    pub fn remove_unsent(&mut self, key: Key) {
        let entry = self.entries.get(&key);
        if entry.is_some_and(|e| matches!(e.state, State::Running)) {
            self.entries.remove(&key);
        }
    }

    /// Marks a running key as unknown: its call was sent to the backend server, and no complete answer will
    /// be received.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let mut table = KeyTable::<()>::new(holder, Default::default());
    /// table.mark_unknown(Key::generate(5, 0)); // no effect: the key was never offered
    /// assert!(table.is_empty());
    /// ```
    pub fn mark_unknown(&mut self, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if matches!(entry.state, State::Running) {
            entry.state = State::Unknown;
        }
    }

    /// Permanently stops accepting keys that are newer than all accepted so far and have a timestamp of
    /// `now_ms` or later, and returns the release to append to the log. Further calls return the same
    /// release.
    ///
    /// It is safe if the append fails or its answer is lost: the keys are then refused as not-run until
    /// the interval ends.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let mut table = KeyTable::<()>::new(holder, Default::default());
    /// assert_eq!(table.release(100).from_ms, 100);
    /// assert_eq!(table.release(200).from_ms, 100);
    /// ```
    pub fn release(&mut self, now_ms: u64) -> Release {
        let from_ms = now_ms.max(self.newest_key_ms + 1);
        Release {
            from_ms: *self.released_from_ms.get_or_insert(from_ms),
            holder: self.holder.clone(),
        }
    }

    /// Returns the key time below which keys that are not in the table are refused as unknown, in
    /// milliseconds since the Unix epoch.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// assert_eq!(KeyTable::<()>::new(holder, Default::default()).watermark_ms(), 0);
    /// ```
    pub fn watermark_ms(&self) -> u64 {
        self.watermark_ms
    }

    /// Returns the number of keys in the table.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// assert_eq!(KeyTable::<()>::new(holder, Default::default()).len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no keys.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let holder = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// assert!(KeyTable::<()>::new(holder, Default::default()).is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn refusal(&self, map: &OwnershipMap, key: Key) -> Option<Refusal> {
        let not_run = |owner| Some(Refusal::NotRun { owner });
        match map.lookup(key.bucket(), key.time_ms()) {
            Lookup::NotCovered => return Some(Refusal::Unknown),
            Lookup::Unowned => return not_run(None),
            Lookup::Owned(owner) if owner.instance != self.holder.instance => {
                return not_run(Some(owner.clone()));
            }
            Lookup::Owned(owner) if owner.incarnation != self.holder.incarnation => {
                return Some(Refusal::Unknown);
            }
            Lookup::Owned(_) => {}
        }
        if self
            .released_from_ms
            .is_some_and(|from| key.time_ms() >= from)
        {
            return not_run(None);
        }
        if key.time_ms() < self.watermark_ms {
            return Some(Refusal::Unknown);
        }
        None
    }

    fn raise_watermark(&mut self, watermark_ms: u64) {
        self.watermark_ms = self.watermark_ms.max(watermark_ms);
        while let Some(oldest) = self.entries.first_entry() {
            if oldest.key().time_ms() >= self.watermark_ms {
                return;
            }
            self.answer_bytes -= oldest.remove().bytes();
        }
    }

    fn evict(&mut self) {
        while self.entries.len() > self.options.max_keys
            || self.answer_bytes > self.options.max_answer_bytes
        {
            let Some((oldest, _)) = self.entries.first_key_value() else {
                return;
            };
            self.raise_watermark(oldest.time_ms() + 1);
        }
    }
}

impl<A: Clone> Entry<A> {
    fn decision(&self, body_hash: u64) -> Decision<A> {
        if self.body_hash != body_hash {
            return Decision::KeyReused;
        }
        match &self.state {
            State::Running => Decision::Join,
            State::Answered { answer, .. } => Decision::Answer(answer.clone()),
            State::Unknown => Decision::Refused(Refusal::Unknown),
        }
    }

    fn bytes(&self) -> usize {
        match self.state {
            State::Answered { bytes, .. } => bytes,
            State::Running | State::Unknown => 0,
        }
    }
}
