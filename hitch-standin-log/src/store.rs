//! Store of the log: streams of records, limits, injected faults and counters. It reads no clock;
//! callers pass the current time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::control::Control;
use crate::control::Faults;
use crate::settings::Settings;

/// Time over which the unused append rate accumulates for a burst.
const APPEND_BURST: Duration = Duration::from_secs(1);

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream, from 0.
    pub offset: u64,
    /// Wall-clock time of the append, in milliseconds since the Unix epoch (1970).
    pub time_ms: u64,
    /// Content of the record, unchanged.
    pub data: Bytes,
}

/// Counters of one stream, or their sum over all streams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamCounters {
    /// Records appended.
    pub appends: u64,
    /// Reads answered, with or without records.
    pub reads: u64,
    /// Total size of the records appended, in bytes.
    pub bytes_appended: u64,
    /// Total size of the records sent to readers, in bytes.
    pub bytes_read: u64,
    /// Records sent to readers.
    pub records_read: u64,
}

/// Events counted since the start, as `GET /counters` returns them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Sum over all streams.
    pub total: StreamCounters,
    /// Counters of each stream.
    pub streams: BTreeMap<Box<str>, StreamCounters>,
    /// Appends refused because of the rate limit.
    pub rate_limited: u64,
    /// Appends and reads refused because of an injected outage.
    pub outage_refusals: u64,
    /// Appends that took effect but were not answered, because of an injected fault.
    pub answers_lost: u64,
    /// Reads refused because the record at their offset had been removed.
    pub trimmed_reads: u64,
}

#[derive(Debug, Default)]
struct Stream {
    /// Lowest offset retained.
    first: u64,
    /// Total size of the records retained, in bytes.
    bytes: usize,
    records: VecDeque<Record>,
    counters: StreamCounters,
}

impl Stream {
    /// Returns the offset of the next record to be appended.
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn remove_first(&mut self) {
        let Some(record) = self.records.pop_front() else {
            return;
        };
        self.first += 1;
        self.bytes -= record.data.len();
    }
}

/// An append-only log with fault injection.
#[derive(Debug)]
pub struct Store {
    settings: Settings,
    faults: Faults,
    streams: BTreeMap<Box<str>, Stream>,
    /// Theoretical arrival time of the generic cell rate algorithm that limits appends: the time by
    /// which the appends accepted so far would have arrived at exactly the allowed rate.
    theoretical_arrival: Duration,
    rate_limited: u64,
    outage_refusals: u64,
    answers_lost: u64,
    trimmed_reads: u64,
}

/// Results of appends.
pub mod append {
    use snafu::Snafu;

    /// Result of an append that took effect.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub struct Outcome {
        /// Offset of the record.
        pub offset: u64,
        /// Whether the connection must be closed without an answer, as an injected fault demands.
        pub lose_answer: bool,
    }

    /// The append was refused and took no effect.
    #[derive(Debug, Clone, PartialEq, Eq, Snafu)]
    pub enum Error {
        /// The rate limit of appends is exceeded.
        #[snafu(display("the append rate is exceeded"))]
        RateLimited,
        /// An outage is injected.
        #[snafu(display("the log has an outage"))]
        Outage,
        /// The record exceeds the maximum size.
        #[snafu(display("the record has {bytes} bytes, allowed are {allowed}"))]
        TooLarge {
            /// Size of the record, in bytes.
            bytes: usize,
            /// Maximum size, in bytes.
            allowed: usize,
        },
        /// The name of the stream is empty or has other characters than `a-z`, `0-9`, `-`, `_` and
        /// `.`.
        #[snafu(display("{stream:?} is no name of a stream"))]
        InvalidStreamName {
            /// Name of the stream.
            stream: Box<str>,
        },
        /// The append would create a stream beyond the maximum number.
        #[snafu(display("there are {allowed} streams already"))]
        TooManyStreams {
            /// Maximum number of streams.
            allowed: usize,
        },
    }
}

/// Results of reads.
pub mod read {
    use snafu::Snafu;

    use super::Record;

    /// Result of a read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub struct Outcome {
        /// Lowest offset retained.
        pub first: u64,
        /// Offset from which the next read continues; the end of the stream if there are no
        /// records.
        pub next: u64,
        /// Records in the order of their offsets.
        pub records: Vec<Record>,
    }

    /// The read was refused.
    #[derive(Debug, Clone, PartialEq, Eq, Snafu)]
    pub enum Error {
        /// The record at the offset has been removed by retention or by a trim.
        #[snafu(display("trimmed, the first retained offset is {first}"))]
        Trimmed {
            /// Lowest offset retained.
            first: u64,
        },
        /// An outage is injected.
        #[snafu(display("the log has an outage"))]
        Outage,
    }
}

impl Store {
    /// Creates an empty store.
    ///
    /// ```
    /// use hitch_standin_log::{Settings, Store};
    ///
    /// let store = Store::new(Settings::default());
    /// assert_eq!(store.counters().total.appends, 0);
    /// ```
    pub fn new(settings: Settings) -> Store {
        let faults = Faults {
            appends_per_second: settings.appends_per_second,
            ..Faults::default()
        };
        Store {
            settings,
            faults,
            streams: BTreeMap::new(),
            theoretical_arrival: Duration::ZERO,
            rate_limited: 0,
            outage_refusals: 0,
            answers_lost: 0,
            trimmed_reads: 0,
        }
    }

    /// Returns the settings of the store.
    ///
    /// ```
    /// use hitch_standin_log::{Settings, Store};
    ///
    /// let store = Store::new(Settings::default());
    /// assert_eq!(store.settings().appends_per_second, 500);
    /// ```
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the injected faults.
    ///
    /// ```
    /// use hitch_standin_log::{Settings, Store};
    ///
    /// let store = Store::new(Settings::default());
    /// assert!(!store.faults().outage);
    /// ```
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Appends a record. `now` is the monotonic time since the start, `time_ms` the wall-clock time
    /// in milliseconds since the Unix epoch.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_standin_log::{Control, Settings, Store};
    ///
    /// let mut store = Store::new(Settings::default());
    /// store.control(&Control { lose_answers: Some(1), ..Control::default() });
    /// let appended = store.append(Duration::ZERO, 1, "config", b"data"[..].into()).unwrap();
    /// assert!(appended.lose_answer);
    /// ```
    pub fn append(
        &mut self,
        now: Duration,
        time_ms: u64,
        stream: &str,
        data: Bytes,
    ) -> Result<append::Outcome, append::Error> {
        self.check_append(stream, &data)?;
        if !self.reserve_append(now) {
            self.rate_limited += 1;
            return Err(append::Error::RateLimited);
        }
        let stream = self.streams.entry(stream.into()).or_default();
        let offset = stream.end();
        stream.bytes += data.len();
        stream.counters.appends += 1;
        stream.counters.bytes_appended += data.len() as u64;
        stream.records.push_back(Record {
            offset,
            time_ms,
            data,
        });
        enforce_retention(stream, &self.settings, time_ms);
        let lose_answer = self.faults.lose_answers > 0;
        if lose_answer {
            self.faults.lose_answers -= 1;
            self.answers_lost += 1;
        }
        Ok(append::Outcome {
            offset,
            lose_answer,
        })
    }

    /// Checks an append against the faults and limits other than the rate.
    fn check_append(&mut self, stream: &str, data: &Bytes) -> Result<(), append::Error> {
        if self.faults.outage {
            self.outage_refusals += 1;
            return Err(append::Error::Outage);
        }
        let allowed = self.settings.max_record_bytes;
        if data.len() > allowed {
            let bytes = data.len();
            return Err(append::Error::TooLarge { bytes, allowed });
        }
        if stream.is_empty() || !stream.bytes().all(is_stream_name_byte) {
            let stream = stream.into();
            return Err(append::Error::InvalidStreamName { stream });
        }
        let allowed = self.settings.max_streams;
        if self.streams.len() >= allowed && !self.streams.contains_key(stream) {
            return Err(append::Error::TooManyStreams { allowed });
        }
        Ok(())
    }

    /// Reserves an append under the rate limit; returns false if the limit is exceeded.
    fn reserve_append(&mut self, now: Duration) -> bool {
        if self.faults.appends_per_second == 0 {
            return false;
        }
        let interval = Duration::from_secs(1) / self.faults.appends_per_second;
        let arrival = self.theoretical_arrival.max(now) + interval;
        if arrival > now + APPEND_BURST {
            return false;
        }
        self.theoretical_arrival = arrival;
        true
    }

    /// Reads at most `max` records from offset `from` on; an unknown stream reads as empty. The
    /// read is not counted before [`Store::count_read`].
    ///
    /// ```
    /// use hitch_standin_log::{Settings, Store};
    ///
    /// let mut store = Store::new(Settings::default());
    /// assert_eq!(store.read("config", 0, 10).unwrap().next, 0);
    /// ```
    pub fn read(
        &mut self,
        stream: &str,
        from: u64,
        max: usize,
    ) -> Result<read::Outcome, read::Error> {
        if self.faults.outage {
            self.outage_refusals += 1;
            return Err(read::Error::Outage);
        }
        let Some(stream) = self.streams.get_mut(stream) else {
            return Ok(read::Outcome {
                first: 0,
                next: 0,
                records: Vec::new(),
            });
        };
        let first = stream.first;
        if from < first {
            self.trimmed_reads += 1;
            return Err(read::Error::Trimmed { first });
        }
        let skip = (from - first).min(stream.records.len() as u64) as usize;
        let mut records = Vec::new();
        let mut bytes = 0;
        for record in stream.records.iter().skip(skip).take(max) {
            bytes += record.data.len();
            if bytes > self.settings.max_answer_bytes && !records.is_empty() {
                break;
            }
            records.push(record.clone());
        }
        let next = records
            .last()
            .map_or(stream.end(), |record| record.offset + 1);
        Ok(read::Outcome {
            first,
            next,
            records,
        })
    }

    /// Counts a read whose outcome is sent to the reader.
    ///
    /// ```
    /// use std::time::Duration;
    /// use hitch_standin_log::{Settings, Store};
    ///
    /// let mut store = Store::new(Settings::default());
    /// store.append(Duration::ZERO, 1, "config", b"data"[..].into()).unwrap();
    /// let page = store.read("config", 0, 10).unwrap();
    /// store.count_read("config", &page);
    /// assert_eq!(store.counters().total.bytes_read, 4);
    /// ```
    pub fn count_read(&mut self, stream: &str, outcome: &read::Outcome) {
        let Some(stream) = self.streams.get_mut(stream) else {
            return;
        };
        stream.counters.reads += 1;
        for record in &outcome.records {
            stream.counters.records_read += 1;
            stream.counters.bytes_read += record.data.len() as u64;
        }
    }

    /// Applies an update of the injected faults, and trims a stream if the update says so.
    ///
    /// ```
    /// use hitch_standin_log::{Control, Settings, Store};
    ///
    /// let mut store = Store::new(Settings::default());
    /// store.control(&Control { outage: Some(true), ..Control::default() });
    /// assert!(store.read("config", 0, 10).is_err());
    /// ```
    pub fn control(&mut self, control: &Control) {
        let faults = &mut self.faults;
        faults.outage = control.outage.unwrap_or(faults.outage);
        faults.append_delay_ms = control.append_delay_ms.unwrap_or(faults.append_delay_ms);
        faults.read_delay_ms = control.read_delay_ms.unwrap_or(faults.read_delay_ms);
        faults.lose_answers = control.lose_answers.unwrap_or(faults.lose_answers);
        faults.appends_per_second = control
            .appends_per_second
            .unwrap_or(faults.appends_per_second);
        let (Some(before), Some(name)) = (control.trim_before, &control.stream) else {
            return;
        };
        let Some(stream) = self.streams.get_mut(name) else {
            return;
        };
        while stream.first < before && !stream.records.is_empty() {
            stream.remove_first();
        }
    }

    /// Returns the counters, including the sums over all streams.
    ///
    /// ```
    /// use hitch_standin_log::{Settings, Store};
    ///
    /// assert_eq!(Store::new(Settings::default()).counters().rate_limited, 0);
    /// ```
    pub fn counters(&self) -> Counters {
        let mut counters = Counters {
            rate_limited: self.rate_limited,
            outage_refusals: self.outage_refusals,
            answers_lost: self.answers_lost,
            trimmed_reads: self.trimmed_reads,
            ..Counters::default()
        };
        for (name, stream) in &self.streams {
            let total = &mut counters.total;
            total.appends += stream.counters.appends;
            total.reads += stream.counters.reads;
            total.bytes_appended += stream.counters.bytes_appended;
            total.bytes_read += stream.counters.bytes_read;
            total.records_read += stream.counters.records_read;
            counters
                .streams
                .insert(name.clone(), stream.counters.clone());
        }
        counters
    }
}

fn is_stream_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte)
}

/// Removes the oldest records that exceed the retention limits; `time_ms` is the wall-clock time.
fn enforce_retention(stream: &mut Stream, settings: &Settings, time_ms: u64) {
    while stream.records.len() > settings.retain_records || stream.bytes > settings.retain_bytes {
        stream.remove_first();
    }
    if settings.retain_ms == 0 {
        return;
    }
    let oldest_ms = time_ms.saturating_sub(settings.retain_ms);
    while stream
        .records
        .front()
        .is_some_and(|r| r.time_ms < oldest_ms)
    {
        stream.remove_first();
    }
}
