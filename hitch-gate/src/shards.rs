//! State in shards, each under its own lock.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use xxhash_rust::xxh3::xxh3_64;

type Shard<T> = Mutex<BTreeMap<Box<str>, T>>;

/// Values by name, spread over shards.
#[derive(Debug)]
pub struct Shards<T> {
    shards: Box<[Shard<T>]>,
}

impl<T> Shards<T> {
    /// Makes `count` empty shards, at least one.
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

    /// Locks the shard that holds `name`.
    ///
    /// ```
    /// let shards = hitch_gate::shards::Shards::<u32>::new(1);
    /// assert!(shards.lock("a").is_empty());
    /// ```
    pub fn lock(&self, name: &str) -> MutexGuard<'_, BTreeMap<Box<str>, T>> {
        let i = xxh3_64(name.as_bytes()) % self.shards.len() as u64;
        lock(&self.shards[i as usize])
    }

    /// Calls `f` for the contents of each shard, one after the other.
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

/// Locks a section. A thread that panicked while it held the lock does not stop the others.
///
/// ```
/// let section = std::sync::Mutex::new(1);
/// assert_eq!(*hitch_gate::shards::lock(&section), 1);
/// ```
pub fn lock<T>(section: &Mutex<T>) -> MutexGuard<'_, T> {
    section.lock().unwrap_or_else(PoisonError::into_inner)
}
