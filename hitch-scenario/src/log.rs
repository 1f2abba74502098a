//! Simulated log service.

use std::time::Duration;

/// Stream of configuration changes.
pub const CONFIG: usize = 0;
/// Stream of snapshots.
pub const SNAPSHOTS: usize = 1;
/// Stream of ownership records.
pub const OWNERSHIP: usize = 2;

/// Latency of an answer, before [`Log::extra_latency`].
const LATENCY: Duration = Duration::from_millis(5);

/// A record in a stream.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Offset in its stream.
    pub offset: u64,
    /// The encoded record.
    pub data: Box<[u8]>,
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Appended {
    /// Appended at this offset.
    At(u64),
    /// Not appended.
    Refused,
    /// No answer; the record was appended or will be.
    NoAnswer,
}

/// Simulated log service.
#[derive(Debug, Default)]
pub struct Log {
    streams: [Vec<Entry>; 3],
    /// Lowest offset of the changes that is not trimmed.
    pub first_offset: u64,
    /// Whether the log is unavailable.
    pub down: bool,
    /// Latency added to each answer.
    pub extra_latency: Duration,
    /// Delay until the next append takes effect; that append is not answered.
    pub next_append_delay: Option<Duration>,
    /// Whether the answer to the next append is lost.
    pub lose_next_reply: bool,
    /// Appends that are still to take effect: time, stream, record.
    delayed_appends: Vec<(Duration, usize, Box<[u8]>)>,
}

impl Log {
    /// Appends a record to a stream.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_scenario::log::*;
    /// let mut log = Log::default();
    /// assert_eq!(log.append(Duration::ZERO, CONFIG, b"x"), Appended::At(0));
    /// log.down = true;
    /// assert_eq!(log.append(Duration::ZERO, CONFIG, b"x"), Appended::Refused);
    /// ```
    pub fn append(&mut self, now: Duration, stream: usize, data: &[u8]) -> Appended {
        if self.down {
            return Appended::Refused;
        }
        if let Some(delay) = self.next_append_delay.take() {
            self.delayed_appends
                .push((now + delay, stream, data.into()));
            return Appended::NoAnswer;
        }
        let offset = self.push_record(stream, data);
        if std::mem::take(&mut self.lose_next_reply) {
            return Appended::NoAnswer;
        }
        Appended::At(offset)
    }

    /// Applies the delayed appends that are due.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_scenario::log::*;
    /// let mut log = Log::default();
    /// log.next_append_delay = Some(Duration::from_secs(1));
    /// assert_eq!(log.append(Duration::ZERO, CONFIG, b"x"), Appended::NoAnswer);
    /// log.apply_delayed_appends(Duration::from_secs(1));
    /// assert_eq!(log.all_records(CONFIG).len(), 1);
    /// ```
    pub fn apply_delayed_appends(&mut self, now: Duration) {
        let mut i = 0;
        while i < self.delayed_appends.len() {
            if self.delayed_appends[i].0 > now {
                i += 1;
                continue;
            }
            let (_, stream, data) = self.delayed_appends.remove(i);
            self.push_record(stream, &data);
        }
    }

    /// Returns the latency of an answer, or none during an outage.
    ///
    /// ```
    /// assert!(hitch_scenario::log::Log::default().latency().is_some());
    /// ```
    pub fn latency(&self) -> Option<Duration> {
        (!self.down).then_some(LATENCY + self.extra_latency)
    }

    /// Returns all records ever appended. Checks use this: it includes trimmed records, which nodes cannot read.
    ///
    /// ```
    /// assert!(hitch_scenario::log::Log::default().all_records(0).is_empty());
    /// ```
    pub fn all_records(&self, stream: usize) -> &[Entry] {
        &self.streams[stream]
    }

    /// Returns the records from the offset `from` on, or the lowest retained offset as error if `from` was trimmed.
    ///
    /// ```
    /// # use hitch_scenario::log::*;
    /// let mut log = Log::default();
    /// log.first_offset = 3;
    /// assert_eq!(log.read(CONFIG, 2).unwrap_err(), 3);
    /// ```
    pub fn read(&self, stream: usize, from: u64) -> Result<&[Entry], u64> {
        if stream == CONFIG && from < self.first_offset {
            return Err(self.first_offset);
        }
        let records = &self.streams[stream];
        Ok(&records[(from as usize).min(records.len())..])
    }

    fn push_record(&mut self, stream: usize, data: &[u8]) -> u64 {
        let offset = self.streams[stream].len() as u64;
        self.streams[stream].push(Entry {
            offset,
            data: data.into(),
        });
        offset
    }
}
