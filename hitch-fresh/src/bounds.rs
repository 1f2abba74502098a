//! Times that follow from the bound within which a revocation takes effect.

use std::time::Duration;

/// Subtracted from the bound. It covers the time between the check and the sending of the request, clocks of different
/// rates, and the rounding of ages to milliseconds.
const MARGIN: Duration = Duration::from_millis(100);
/// Parts of the bound for which a read waits for a new record, and for which the reader pauses after an empty answer. Each
/// read costs a call to the store: five in the time of the bound. A read that waits all this time instead of half of it
/// would deliver older proofs for the same number of calls, since the age counts from the question; one that does not
/// wait at all would deliver new versions late.
const WAITS_PER_BOUND: u32 = 10;
/// Parts of the bound between two questions to peers: 250 ms for a bound of 5 s. From the age at which a node begins to
/// ask, this leaves eleven questions before the proof expires.
const ASKS_PER_BOUND: u32 = 20;
/// Shortest useful `Retry-After`, in parts of the bound: a node that has lost its proof asks a peer within this time.
const RETRIES_PER_BOUND: u32 = 20;
/// Longest `Retry-After`, in parts of the bound. A node whose store and peers return has a proof within a second.
const MAX_RETRY_PARTS: u32 = 3;

/// The bound within which a revocation takes effect, and the times that follow from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    revocation: Duration,
}

impl Bounds {
    /// Creates the times for a bound.
    ///
    /// ```
    /// use std::time::Duration;
    /// let bounds = hitch_fresh::Bounds::new(Duration::from_secs(5));
    /// assert_eq!(bounds.max_age(), Duration::from_millis(4_900));
    /// ```
    pub fn new(revocation: Duration) -> Bounds {
        Bounds { revocation }
    }

    /// Returns the age at which a proof expires.
    ///
    /// ```
    /// use std::time::Duration;
    /// assert!(hitch_fresh::Bounds::new(Duration::ZERO).max_age().is_zero());
    /// ```
    pub fn max_age(self) -> Duration {
        self.revocation.saturating_sub(MARGIN)
    }

    /// Returns the longest time for which a read of the store may wait for a new record.
    ///
    /// ```
    /// use std::time::Duration;
    /// let bounds = hitch_fresh::Bounds::new(Duration::from_secs(5));
    /// assert_eq!(bounds.poll_wait(), Duration::from_millis(500));
    /// ```
    pub fn poll_wait(self) -> Duration {
        self.revocation / WAITS_PER_BOUND
    }

    /// Returns the pause after a read that returned no records.
    ///
    /// ```
    /// use std::time::Duration;
    /// let bounds = hitch_fresh::Bounds::new(Duration::from_secs(5));
    /// assert_eq!(bounds.poll_pause(), Duration::from_millis(500));
    /// ```
    pub fn poll_pause(self) -> Duration {
        self.revocation / WAITS_PER_BOUND
    }

    /// Returns the age of the proof at which a node asks a peer for a newer one. By then, a reader of the store has
    /// replaced the proof that it passed on.
    ///
    /// ```
    /// use std::time::Duration;
    /// let bounds = hitch_fresh::Bounds::new(Duration::from_secs(5));
    /// assert_eq!(bounds.ask_age(), Duration::from_millis(1_550));
    /// ```
    pub fn ask_age(self) -> Duration {
        // A hundredth of the bound is for the answer of the store.
        self.poll_wait() * 2 + self.poll_pause() + self.revocation / 100
    }

    /// Returns the least time between two questions to peers.
    ///
    /// ```
    /// use std::time::Duration;
    /// let bounds = hitch_fresh::Bounds::new(Duration::from_secs(5));
    /// assert_eq!(bounds.ask_interval(), Duration::from_millis(250));
    /// ```
    pub fn ask_interval(self) -> Duration {
        self.revocation / ASKS_PER_BOUND
    }

    /// Returns the age of the proof from which a reader retries the store in shorter intervals, because neither the
    /// store nor a peer has supplied a newer proof for long.
    ///
    /// ```
    /// use std::time::Duration;
    /// let bounds = hitch_fresh::Bounds::new(Duration::from_secs(5));
    /// assert_eq!(bounds.urgent_age(), Duration::from_millis(2_500));
    /// ```
    pub fn urgent_age(self) -> Duration {
        self.revocation / 2
    }

    /// Returns how long after the wait of a read the store is asked once more, if it has not answered, and the time
    /// between further questions. Each costs a call to the store, but a proof that comes sooner after its return saves
    /// hundreds of requests.
    ///
    /// ```
    /// use std::time::Duration;
    /// let bounds = hitch_fresh::Bounds::new(Duration::from_secs(5));
    /// assert_eq!(bounds.repeat_interval(), Duration::from_millis(500));
    /// ```
    pub fn repeat_interval(self) -> Duration {
        self.poll_wait()
    }

    /// Returns the longest pause between attempts to read a store that refuses, once no peer has supplied a proof for
    /// [`Bounds::urgent_age`].
    ///
    /// ```
    /// use std::time::Duration;
    /// let bounds = hitch_fresh::Bounds::new(Duration::from_secs(5));
    /// assert_eq!(bounds.max_urgent_backoff(), Duration::from_millis(500));
    /// ```
    pub fn max_urgent_backoff(self) -> Duration {
        self.poll_wait()
    }

    /// Returns the time after which a request that was refused for lack of a proof may succeed, if the node has been
    /// without one for `lacking`: the longer it lasts, the later.
    ///
    /// ```
    /// use std::time::Duration;
    /// let bounds = hitch_fresh::Bounds::new(Duration::from_secs(5));
    /// assert_eq!(bounds.retry_after(Duration::ZERO), Duration::from_millis(250));
    /// assert!(bounds.retry_after(Duration::from_secs(9)) < Duration::from_secs(2));
    /// ```
    pub fn retry_after(self, lacking: Duration) -> Duration {
        let least = self.revocation / RETRIES_PER_BOUND;
        lacking.clamp(least, self.revocation / MAX_RETRY_PARTS)
    }
}
