//! The keys and answers of one node incarnation.

use std::collections::BTreeMap;

use crate::key::Key;
use crate::key::MAX_AGE_MS;
use crate::map::Lookup;
use crate::map::OwnershipMap;
use crate::record::Holder;
use crate::record::Release;

/// Bounds on the memory of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Options {
    /// Most keys remembered.
    pub max_keys: usize,
    /// Most bytes of answers remembered.
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

/// What to do with a call that was offered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision<A> {
    /// Run it, and report what became of it.
    Run,
    /// Wait for the call with this key that is running.
    Join,
    /// Return this answer; the call ran before.
    Answer(A),
    /// Refuse it.
    Refused(Refusal),
    /// Refuse it as an error: the key came before with another body.
    KeyReused,
}

/// Why a call is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// This hand-over caused no run and never will.
    NotRun {
        /// Who owns the key, when this node knows.
        owner: Option<Holder>,
    },
    /// The key may have run, and will not run again.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum State<A> {
    Running,
    Ran { answer: A, bytes: usize },
    Lost,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Entry<A> {
    body_hash: u64,
    state: State<A>,
}

/// The table of one node incarnation; it starts empty and is never passed on to another one.
///
/// A key moves from running to an answer or to lost. Only [`KeyTable::remove_unsent`] takes a key out, so
/// a key that was handed to the backend server never runs again here, and it runs nowhere else because
/// nobody else owns it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyTable<A> {
    me: Holder,
    options: Options,
    floor_ms: u64,
    newest_ms: u64,
    released_ms: Option<u64>,
    answer_bytes: usize,
    entries: BTreeMap<Key, Entry<A>>,
}

impl<A: Clone> KeyTable<A> {
    /// Makes the empty table of the incarnation `me`.
    ///
    /// ```
    /// use hitch_once::Holder;
    /// use hitch_once::Incarnation;
    /// use hitch_once::KeyTable;
    ///
    /// let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// assert!(KeyTable::<()>::new(me, Default::default()).is_empty());
    /// ```
    pub fn new(me: Holder, options: Options) -> KeyTable<A> {
        KeyTable {
            me,
            options,
            floor_ms: 0,
            newest_ms: 0,
            released_ms: None,
            answer_bytes: 0,
            entries: BTreeMap::new(),
        }
    }

    /// Decides what to do with a call, by the key alone and without a clock.
    ///
    /// After [`Decision::Run`] exactly one of [`KeyTable::record_answer`], [`KeyTable::remove_unsent`] and
    /// [`KeyTable::mark_unknown`] follows. A pause of any length before the hand-over does no harm.
    ///
    /// ```
    /// use hitch_once::Holder;
    /// use hitch_once::Incarnation;
    /// use hitch_once::Key;
    /// use hitch_once::OwnershipMap;
    /// use hitch_once::Decision;
    /// use hitch_once::Refusal;
    /// use hitch_once::KeyTable;
    ///
    /// let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// let mut table = KeyTable::<()>::new(me, Default::default());
    /// let mut map = OwnershipMap::new(0);
    /// map.mark_caught_up();
    /// let offered = table.offer(&map, Key::generate(5, 0), 1);
    /// assert_eq!(offered, Decision::Refused(Refusal::NotRun { owner: None }));
    /// ```
    pub fn offer(&mut self, map: &OwnershipMap, key: Key, body_hash: u64) -> Decision<A> {
        if let Some(entry) = self.entries.get(&key) {
            return entry.offered(body_hash);
        }
        if let Some(refused) = self.fence(map, key) {
            return Decision::Refused(refused);
        }
        self.newest_ms = self.newest_ms.max(key.time_ms());
        self.raise_floor(self.newest_ms.saturating_sub(MAX_AGE_MS));
        let state = State::Running;
        self.entries.insert(key, Entry { body_hash, state });
        self.evict();
        Decision::Run
    }

    /// Stores the answer of a call that ran; `bytes` is its size in memory.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let mut table = KeyTable::new(me, Default::default());
    /// table.record_answer(Key::generate(5, 0), "paid", 4); // without effect: the key was never offered
    /// assert!(table.is_empty());
    /// ```
    pub fn record_answer(&mut self, key: Key, answer: A, bytes: usize) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if matches!(entry.state, State::Running) {
            entry.state = State::Ran { answer, bytes };
            self.answer_bytes += bytes;
            self.evict();
        }
    }

    /// Takes a key out that was refused before its first byte went to the backend server, so that the
    /// call may be tried again here.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let mut table = KeyTable::<()>::new(me, Default::default());
    /// table.remove_unsent(Key::generate(5, 0));
    /// assert!(table.is_empty());
    /// ```
    pub fn remove_unsent(&mut self, key: Key) {
        let entry = self.entries.get(&key);
        if entry.is_some_and(|e| matches!(e.state, State::Running)) {
            self.entries.remove(&key);
        }
    }

    /// Notes that a call was handed over and no complete answer will come; it stays unknown.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let mut table = KeyTable::<()>::new(me, Default::default());
    /// table.mark_unknown(Key::generate(5, 0)); // without effect: the key was never offered
    /// assert!(table.is_empty());
    /// ```
    pub fn mark_unknown(&mut self, key: Key) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if matches!(entry.state, State::Running) {
            entry.state = State::Lost;
        }
    }

    /// Stops running keys that are newer than all accepted so far and dated `now_ms` or later, for good,
    /// and returns the release to append to the log.
    ///
    /// Nothing is lost when the append fails or its answer does: the keys then stay refused as not-run
    /// until the interval ends.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// # let mut table = KeyTable::<()>::new(me, Default::default());
    /// assert_eq!(table.release(100).from_ms, 100);
    /// assert_eq!(table.release(200).from_ms, 100);
    /// ```
    pub fn release(&mut self, now_ms: u64) -> Release {
        let first_free = now_ms.max(self.newest_ms + 1);
        Release {
            from_ms: *self.released_ms.get_or_insert(first_free),
            holder: self.me.clone(),
        }
    }

    /// Returns the key time below which keys that aren't remembered are refused as unknown.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// assert_eq!(KeyTable::<()>::new(me, Default::default()).floor_ms(), 0);
    /// ```
    pub fn floor_ms(&self) -> u64 {
        self.floor_ms
    }

    /// Returns the number of keys remembered.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// assert_eq!(KeyTable::<()>::new(me, Default::default()).len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    ///
    /// ```
    /// # use hitch_once::*;
    /// # let me = Holder { instance: "a".into(), incarnation: Incarnation([1; 16]) };
    /// assert!(KeyTable::<()>::new(me, Default::default()).is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn fence(&self, map: &OwnershipMap, key: Key) -> Option<Refusal> {
        let not_run = |owner| Some(Refusal::NotRun { owner });
        match map.lookup(key.bucket(), key.time_ms()) {
            Lookup::NotCovered => return Some(Refusal::Unknown),
            Lookup::Nobody => return not_run(None),
            Lookup::Owned(owner) if owner.instance != self.me.instance => {
                return not_run(Some(owner.clone()));
            }
            Lookup::Owned(owner) if owner.incarnation != self.me.incarnation => {
                return Some(Refusal::Unknown);
            }
            Lookup::Owned(_) => {}
        }
        if self.released_ms.is_some_and(|from| key.time_ms() >= from) {
            return not_run(None);
        }
        if key.time_ms() < self.floor_ms {
            return Some(Refusal::Unknown);
        }
        None
    }

    fn raise_floor(&mut self, floor_ms: u64) {
        self.floor_ms = self.floor_ms.max(floor_ms);
        while let Some(oldest) = self.entries.first_entry() {
            if oldest.key().time_ms() >= self.floor_ms {
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
            self.raise_floor(oldest.time_ms() + 1);
        }
    }
}

impl<A: Clone> Entry<A> {
    fn offered(&self, body_hash: u64) -> Decision<A> {
        if self.body_hash != body_hash {
            return Decision::KeyReused;
        }
        match &self.state {
            State::Running => Decision::Join,
            State::Ran { answer, .. } => Decision::Answer(answer.clone()),
            State::Lost => Decision::Refused(Refusal::Unknown),
        }
    }

    fn bytes(&self) -> usize {
        match self.state {
            State::Ran { bytes, .. } => bytes,
            State::Running | State::Lost => 0,
        }
    }
}
