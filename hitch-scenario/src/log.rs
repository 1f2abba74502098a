//! A fake of the log service.

use std::time::Duration;

/// Stream of change records.
pub const CONFIG: usize = 0;
/// Stream of snapshots.
pub const SNAPSHOTS: usize = 1;
/// Stream of ownership records.
pub const OWNERSHIP: usize = 2;

/// Time of an answer while the log is well.
const LATENCY: Duration = Duration::from_millis(5);

/// One kept record.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Offset in its stream.
    pub offset: u64,
    /// The record.
    pub data: Box<[u8]>,
}

/// What became of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Appended {
    /// It took effect at this offset, and the answer came.
    At(u64),
    /// It took no effect.
    Refused,
    /// No answer came; it took effect or will later.
    NoAnswer,
}

/// The log.
#[derive(Debug, Default)]
pub struct Log {
    streams: [Vec<Entry>; 3],
    /// Offset of the first change record that is kept.
    pub first: u64,
    /// Whether it answers nothing.
    pub down: bool,
    /// How much later it answers.
    pub slow: Duration,
    /// The next append takes effect this much later.
    pub late: Option<Duration>,
    /// The answer to the next append is lost.
    pub lose: bool,
    /// Appends that take effect later: when, to which stream, what.
    waiting: Vec<(Duration, usize, Box<[u8]>)>,
}

impl Log {
    /// Appends a record.
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
        if let Some(late) = self.late.take() {
            self.waiting.push((now + late, stream, data.into()));
            return Appended::NoAnswer;
        }
        let offset = self.put(stream, data);
        if std::mem::take(&mut self.lose) {
            return Appended::NoAnswer;
        }
        Appended::At(offset)
    }

    /// Lets appends take effect whose time has come.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use hitch_scenario::log::*;
    /// let mut log = Log::default();
    /// log.late = Some(Duration::from_secs(1));
    /// assert_eq!(log.append(Duration::ZERO, CONFIG, b"x"), Appended::NoAnswer);
    /// log.advance(Duration::from_secs(1));
    /// assert_eq!(log.all(CONFIG).len(), 1);
    /// ```
    pub fn advance(&mut self, now: Duration) {
        let mut at = 0;
        while at < self.waiting.len() {
            if self.waiting[at].0 > now {
                at += 1;
                continue;
            }
            let (_, stream, data) = self.waiting.remove(at);
            self.put(stream, &data);
        }
    }

    /// Returns how long an answer takes now, or none during an outage.
    ///
    /// ```
    /// assert!(hitch_scenario::log::Log::default().latency().is_some());
    /// ```
    pub fn latency(&self) -> Option<Duration> {
        (!self.down).then_some(LATENCY + self.slow)
    }

    /// Returns all records ever appended, also trimmed ones: for checks, which know more than a reader.
    ///
    /// ```
    /// assert!(hitch_scenario::log::Log::default().all(0).is_empty());
    /// ```
    pub fn all(&self, stream: usize) -> &[Entry] {
        &self.streams[stream]
    }

    /// Returns the records from `from` on, or the first offset kept when that one was trimmed.
    ///
    /// ```
    /// # use hitch_scenario::log::*;
    /// let mut log = Log::default();
    /// log.first = 3;
    /// assert_eq!(log.read(CONFIG, 2).unwrap_err(), 3);
    /// ```
    pub fn read(&self, stream: usize, from: u64) -> Result<&[Entry], u64> {
        if stream == CONFIG && from < self.first {
            return Err(self.first);
        }
        let all = &self.streams[stream];
        Ok(&all[(from as usize).min(all.len())..])
    }

    fn put(&mut self, stream: usize, data: &[u8]) -> u64 {
        let offset = self.streams[stream].len() as u64;
        self.streams[stream].push(Entry {
            offset,
            data: data.into(),
        });
        offset
    }
}
