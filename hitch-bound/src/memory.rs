//! The account of the memory that is held for others.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Length up to which a body is short and may use the reserve, in bytes.
pub const SHORT_BYTES: usize = 64 * 1024;
/// Capacity from which a buffer is allocated as a mapping of its own, in bytes.
const MAPPED_FROM_BYTES: usize = 1024 * 1024;
/// Least capacity of a buffer with a mapping of its own, in bytes. The GNU allocator never serves more than 32 MiB from
/// its heap, so the memory of such a buffer counts only as far as it is written, and is given back at once when it is
/// freed. Buffers from the heap stay with the process in part, which then exceeds its memory with an empty account.
const MAPPED_CAPACITY_BYTES: usize = 33 * 1024 * 1024;
/// Unit in which a mapping takes memory at most, in bytes: a huge page.
const MAPPED_UNIT_BYTES: usize = 2 * 1024 * 1024;
/// Cost of an allocation besides its bytes.
const ALLOCATION_BYTES: usize = 64;
/// Time for which the account counts as short of memory after it refused a charge.
const SHORTAGE: Duration = Duration::from_secs(1);

/// What a charge is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A short request, or the answer to a request that has run. It may use the whole account.
    Short,
    /// A request that is not short. It leaves the reserve to others.
    Long,
}

impl Purpose {
    /// Returns the purpose of a request body of a length.
    ///
    /// ```
    /// use hitch_bound::memory::Purpose;
    /// assert_eq!(Purpose::of_request(100), Purpose::Short);
    /// ```
    pub fn of_request(length: usize) -> Purpose {
        match length <= SHORT_BYTES {
            true => Purpose::Short,
            false => Purpose::Long,
        }
    }
}

/// The account of a process; clones share it.
#[derive(Debug, Clone)]
pub struct Account {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    total: u64,
    reserve: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    used: u64,
    last_refused: Option<Duration>,
}

/// Memory that is charged to an [`Account`] until this is dropped.
#[derive(Debug)]
pub struct Charge {
    shared: Arc<Shared>,
    bytes: u64,
}

impl Account {
    /// Creates an empty account of `total` bytes, of which `reserve` are for short requests.
    ///
    /// ```
    /// assert_eq!(hitch_bound::Account::new(100, 10).used(), 0);
    /// ```
    pub fn new(total: u64, reserve: u64) -> Account {
        Account {
            shared: Arc::new(Shared {
                total,
                reserve,
                state: Mutex::default(),
            }),
        }
    }

    /// Charges `bytes`, or returns `None` if there is no room for them. From then on the account is short of memory.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_bound::memory::Purpose;
    /// let account = hitch_bound::Account::new(100, 10);
    /// let _charge = account.try_charge(90, Purpose::Long, Duration::ZERO).unwrap();
    /// assert!(account.try_charge(1, Purpose::Long, Duration::ZERO).is_none());
    /// assert!(account.try_charge(10, Purpose::Short, Duration::ZERO).is_some());
    /// ```
    pub fn try_charge(&self, bytes: usize, purpose: Purpose, now: Duration) -> Option<Charge> {
        let mut charge = Charge {
            shared: self.shared.clone(),
            bytes: 0,
        };
        charge.try_grow_to(bytes, purpose, now).then_some(charge)
    }

    /// Returns the bytes that are charged.
    ///
    /// ```
    /// # let account = hitch_bound::Account::new(100, 10);
    /// assert_eq!(account.used(), 0);
    /// ```
    pub fn used(&self) -> u64 {
        self.shared.lock().used
    }

    /// Returns the bytes that can be charged in all.
    ///
    /// ```
    /// assert_eq!(hitch_bound::Account::new(100, 10).total(), 100);
    /// ```
    pub fn total(&self) -> u64 {
        self.shared.total
    }

    /// Returns whether a charge could ever be granted to a body that costs `bytes`.
    ///
    /// ```
    /// use hitch_bound::memory::Purpose;
    /// assert!(!hitch_bound::Account::new(100, 10).could_hold(95, Purpose::Long));
    /// ```
    pub fn could_hold(&self, bytes: usize, purpose: Purpose) -> bool {
        bytes as u64 <= self.shared.limit(purpose)
    }

    /// Returns whether the account has refused a charge a short time ago: clients that make no progress should then give
    /// back what they hold.
    ///
    /// ```
    /// assert!(!hitch_bound::Account::new(100, 10).is_short(std::time::Duration::ZERO));
    /// ```
    pub fn is_short(&self, now: Duration) -> bool {
        let last_refused = self.shared.lock().last_refused;
        last_refused.is_some_and(|at| now.saturating_sub(at) < SHORTAGE)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn limit(&self, purpose: Purpose) -> u64 {
        match purpose {
            Purpose::Short => self.total,
            Purpose::Long => self.total.saturating_sub(self.reserve),
        }
    }
}

impl Charge {
    /// Raises the charge to `bytes`, or returns false and leaves it as it is if there is no room. A smaller number changes
    /// nothing.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_bound::memory::Purpose;
    /// let account = hitch_bound::Account::new(100, 0);
    /// let mut charge = account.try_charge(10, Purpose::Long, Duration::ZERO).unwrap();
    /// assert!(charge.try_grow_to(100, Purpose::Long, Duration::ZERO));
    /// assert!(!charge.try_grow_to(101, Purpose::Long, Duration::ZERO));
    /// assert_eq!(account.used(), 100);
    /// ```
    pub fn try_grow_to(&mut self, bytes: usize, purpose: Purpose, now: Duration) -> bool {
        let more = (bytes as u64).saturating_sub(self.bytes);
        let mut state = self.shared.lock();
        if more > 0 && state.used.saturating_add(more) > self.shared.limit(purpose) {
            state.last_refused = Some(now);
            return false;
        }
        state.used += more;
        self.bytes += more;
        true
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shared.lock().used -= self.bytes;
    }
}

/// Bytes with the charge for their memory. Whatever shares the bytes keeps the charge.
#[derive(Debug)]
pub struct Charged<T> {
    /// The bytes.
    pub bytes: T,
    /// What they are charged with.
    pub charge: Charge,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Charged<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Returns the capacity with which a buffer for `length` bytes is to be allocated.
///
/// ```
/// assert_eq!(hitch_bound::memory::capacity(100), 100);
/// assert!(hitch_bound::memory::capacity(2 << 20) > 32 << 20);
/// ```
pub fn capacity(length: usize) -> usize {
    match length < MAPPED_FROM_BYTES {
        true => length,
        false => length.max(MAPPED_CAPACITY_BYTES),
    }
}

/// Returns the memory that a buffer of [`capacity`] takes when `length` bytes are written to it.
///
/// ```
/// assert_eq!(hitch_bound::memory::cost((2 << 20) + 1) >> 20, 4);
/// ```
pub fn cost(length: usize) -> usize {
    ALLOCATION_BYTES
        + match length < MAPPED_FROM_BYTES {
            true => length,
            false => length.next_multiple_of(MAPPED_UNIT_BYTES),
        }
}

/// Returns the length for which the buffer of a body of unknown length is allocated next, when it holds `length` bytes
/// and has to hold `needed`. Growing copies the bytes of a buffer below 1 MiB at most.
///
/// ```
/// assert_eq!(hitch_bound::memory::next_length(0, 10, 1 << 20), 4096);
/// assert_eq!(hitch_bound::memory::next_length(4096, 4097, 5000), 5000);
/// ```
pub fn next_length(length: usize, needed: usize, most: usize) -> usize {
    const LEAST: usize = 4 * 1024;
    let next = match length < MAPPED_FROM_BYTES {
        true => length.saturating_mul(2),
        // The buffer has a mapping of its own, which takes memory as it is written.
        false => length.saturating_add(MAPPED_UNIT_BYTES),
    };
    next.max(LEAST).max(needed).min(most).max(needed)
}
