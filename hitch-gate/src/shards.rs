//! Maps that are split into shards, each with its own lock, to reduce contention.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use xxhash_rust::xxh3::xxh3_64;

type Shard<T> = Mutex<BTreeMap<Box<str>, T>>;

/// A map from names to values, split by the hash of the name into shards with a lock each.
#[derive(Debug)]
pub struct Shards<T> {
    shards: Box<[Shard<T>]>,
}

impl<T> Shards<T> {
    /// Creates a map of `count` empty shards, at least one.
    ///
    /// ```
    /// let shards = hitch_gate::shards::Shards::<u32>::new(8);
    /// assert_eq!(*shards.lock("a").entry("a".into()).or_insert(1), 1);
    /// ```
    pub fn new(count: u32) -> Shards<T> {
        let shards = (0..count.max(1))
            .map(|_| Mutex::new(BTreeMap::new()))
            .collect();
        Shards { shards }
    }

    /// Locks the shard that holds the value of `name`, if there is one, and returns its map.
    ///
    /// ```
    /// let shards = hitch_gate::shards::Shards::<u32>::new(1);
    /// assert!(shards.lock("a").is_empty());
    /// ```
    pub fn lock(&self, name: &str) -> MutexGuard<'_, BTreeMap<Box<str>, T>> {
        let index = xxh3_64(name.as_bytes()) % self.shards.len() as u64;
        lock(&self.shards[index as usize])
    }

    /// Calls `f` with the map of each shard in turn, and locks one shard at a time.
    ///
    /// ```
    /// let shards = hitch_gate::shards::Shards::<u32>::new(4);
    /// shards.for_each(|shard| assert!(shard.is_empty()));
    /// ```
    pub fn for_each(&self, mut f: impl FnMut(&mut BTreeMap<Box<str>, T>)) {
        for shard in &self.shards {
            f(&mut lock(shard));
        }
    }
}

/// Locks a mutex and ignores poisoning, so that a panic in a thread that holds the lock does not stop the
/// other threads.
///
/// ```
/// let mutex = std::sync::Mutex::new(1);
/// assert_eq!(*hitch_gate::shards::lock(&mutex), 1);
/// ```
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
