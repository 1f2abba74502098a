//! Idempotency keys.

use std::fmt;

use snafu::Snafu;
use uuid::Builder;
use uuid::Uuid;
use uuid::Variant;
use xxhash_rust::xxh3::xxh3_64;

/// Number of hash buckets into which the keys of a service are divided.
pub const BUCKETS: u8 = 64;

/// How far the timestamp of a key may be ahead of the clock of the node that receives it from the
/// caller, in milliseconds.
pub const MAX_FUTURE_MS: u64 = 10_000;

/// How far the timestamp of a key may be behind the clock of the node that receives it from the caller,
/// in milliseconds.
pub const MAX_AGE_MS: u64 = 3_600_000;

const UUID_V7: usize = 7;

/// An idempotency key: a UUIDv7, ordered by its creation time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(Uuid);

/// Why a key is refused before its call is routed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The text is not a UUID.
    #[snafu(display("idempotency key {text:?} is not a UUID"))]
    Malformed {
        /// The text received.
        text: Box<str>,
    },
    /// The UUID carries no millisecond timestamp, by which ownership is decided.
    #[snafu(display("idempotency key {id} has UUID version {version}, expected 7"))]
    NoTimestamp {
        /// The UUID received.
        id: Uuid,
        /// Its version.
        version: usize,
    },
    /// The timestamp is more than [`MAX_FUTURE_MS`] in the future, more than clocks may differ.
    #[snafu(display(
        "idempotency key {key} has a timestamp {ahead_ms} ms in the future, allowed are {MAX_FUTURE_MS} ms"
    ))]
    TooNew {
        /// The key received.
        key: Key,
        /// How far the timestamp is ahead of the clock of this node, in milliseconds.
        ahead_ms: u64,
    },
    /// The key is older than [`MAX_AGE_MS`], after which owners no longer remember keys.
    #[snafu(display("idempotency key {key} is {age_ms} ms old, allowed are {MAX_AGE_MS} ms"))]
    TooOld {
        /// The key received.
        key: Key,
        /// How far the timestamp is behind the clock of this node, in milliseconds.
        age_ms: u64,
    },
}

impl Key {
    /// Parses the text of a key that a caller sent.
    ///
    /// ```
    /// use hitch_once::Key;
    ///
    /// let key = Key::parse("01890a5d-ac96-774b-bcce-b302099a8057")?;
    /// assert_eq!(key.time_ms(), 0x01890a5dac96);
    /// assert!(Key::parse("9f4a0c4e-5a0f-4f3c-8a58-0d4f6f0a1b2c").is_err());
    /// # Ok::<(), hitch_once::key::Error>(())
    /// ```
    pub fn parse(text: &str) -> Result<Key, Error> {
        let id = Uuid::try_parse(text).map_err(|_| Error::Malformed { text: text.into() })?;
        if id.get_version_num() != UUID_V7 || id.get_variant() != Variant::RFC4122 {
            let version = id.get_version_num();
            return Err(Error::NoTimestamp { id, version });
        }
        Ok(Key(id))
    }

    /// Generates a key with timestamp `time_ms` for a call that arrived without one.
    ///
    /// `random` must be drawn anew for each key.
    ///
    /// ```
    /// use hitch_once::Key;
    ///
    /// let key = Key::generate(1_800_000_000_000, 42);
    /// assert_eq!(key.time_ms(), 1_800_000_000_000);
    /// assert_eq!(Key::parse(&key.to_string())?, key);
    /// # Ok::<(), hitch_once::key::Error>(())
    /// ```
    pub fn generate(time_ms: u64, random: u128) -> Key {
        let mut bytes = [0; 10];
        bytes.copy_from_slice(&random.to_be_bytes()[6..]);
        Key(Builder::from_unix_timestamp_millis(time_ms, &bytes).into_uuid())
    }

    /// Returns the creation time, in milliseconds since the Unix epoch (RFC 9562, section 5.7).
    ///
    /// ```
    /// assert_eq!(hitch_once::Key::generate(5, 0).time_ms(), 5);
    /// ```
    pub fn time_ms(self) -> u64 {
        (self.0.as_u128() >> 80) as u64
    }

    /// Returns the hash bucket, below [`BUCKETS`].
    ///
    /// ```
    /// assert!(hitch_once::Key::generate(5, 0).bucket() < hitch_once::BUCKETS);
    /// ```
    pub fn bucket(self) -> u8 {
        (xxh3_64(self.0.as_bytes()) % u64::from(BUCKETS)) as u8
    }

    /// Checks that the timestamp of the key is within [`MAX_AGE_MS`] before and [`MAX_FUTURE_MS`] after
    /// `now_ms`. The node that receives the call from the caller does this.
    ///
    /// The check bounds the number of keys that owners remember. At-most-once execution depends neither
    /// on it nor on any clock.
    ///
    /// ```
    /// use hitch_once::Key;
    ///
    /// assert!(Key::generate(20_000, 0).check_timestamp(10_000).is_ok());
    /// assert!(Key::generate(20_001, 0).check_timestamp(10_000).is_err());
    /// ```
    pub fn check_timestamp(self, now_ms: u64) -> Result<(), Error> {
        let ahead_ms = self.time_ms().saturating_sub(now_ms);
        if ahead_ms > MAX_FUTURE_MS {
            return Err(Error::TooNew {
                key: self,
                ahead_ms,
            });
        }
        let age_ms = now_ms.saturating_sub(self.time_ms());
        if age_ms > MAX_AGE_MS {
            return Err(Error::TooOld { key: self, age_ms });
        }
        Ok(())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
