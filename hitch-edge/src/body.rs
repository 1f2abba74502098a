//! Reading the body of an answer into memory that all calls to a backend server share.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hitch_bound::Account;
use hitch_bound::Charge;
use hitch_bound::memory;
use hitch_bound::memory::Charged;
use hitch_bound::memory::Purpose;
use hitch_gate::time::ProcessClock;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::metered::Allowance;

/// Chunks that a body may have whatever their size.
const FREE_CHUNKS: usize = 1024;
/// Mean size of the chunks beyond these, in bytes. Smaller ones without end would cost processor time for little data.
const MIN_MEAN_CHUNK_BYTES: usize = 256;

/// Most bytes that are received between two pieces of a body. The HTTP library reads up to 400 KiB for one.
const MAX_BYTES_WITHOUT_DATA: usize = 512 * 1024;

/// Longest wait of an answer for room in the account. Clients that do not read their answers give their memory back
/// within 750 ms of a shortage.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which an answer that waits for room tries again.
const ROOM_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The account to which bodies of answers are charged, and its clock.
#[derive(Debug, Clone)]
pub struct Memory {
    /// Account of the process.
    pub account: Account,
    /// Clock of the process.
    pub clock: ProcessClock,
}

/// Limits of the bodies that are being read at the same time.
#[derive(Debug)]
pub(crate) struct Buffers {
    memory: Option<Memory>,
    max_answer: usize,
    max_in_all: usize,
    used: AtomicUsize,
}

/// The part of the shared memory that one body uses; it is returned when the body was read or given up.
struct Share<'a> {
    buffers: &'a Buffers,
    bytes: usize,
}

impl Buffers {
    pub(crate) fn new(max_answer: usize, max_in_all: usize, memory: Option<Memory>) -> Buffers {
        Buffers {
            memory,
            max_answer,
            max_in_all,
            used: AtomicUsize::new(0),
        }
    }

    /// Reads a body to its end, or returns why it cannot be read. `allowance` is that of its connection: it limits the
    /// bytes that are received without data, such as a chunk size or trailers without end.
    pub(crate) async fn read(
        &self,
        body: Incoming,
        allowance: &Allowance,
    ) -> Result<Bytes, Box<str>> {
        match &self.memory {
            Some(memory) => self.read_charged(body, allowance, memory).await,
            None => self.read_uncharged(body, allowance).await,
        }
    }

    /// Reads a body into one buffer that is charged to the account until the last copy of the bytes is dropped.
    async fn read_charged(
        &self,
        mut body: Incoming,
        allowance: &Allowance,
        memory: &Memory,
    ) -> Result<Bytes, Box<str>> {
        let mut share = Share {
            buffers: self,
            bytes: 0,
        };
        let announced = body.size_hint().exact().unwrap_or(0);
        // A longer one ends with an error below.
        let announced = (announced as usize).min(self.max_answer);
        let mut charge = None;
        let mut buffer = Vec::new();
        let mut chunks = 0;
        let mut room = 0;
        loop {
            allowance.set(MAX_BYTES_WITHOUT_DATA);
            let Some(frame) = body.frame().await else {
                break;
            };
            let frame = frame.map_err(|err| Box::from(err.to_string()))?;
            // Trailers are not passed on.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            share.grow(data.len())?;
            chunks += 1;
            if chunks > FREE_CHUNKS + share.bytes / MIN_MEAN_CHUNK_BYTES {
                return Err(format!("{chunks} chunks for {} bytes", share.bytes).into());
            }
            if share.bytes > room {
                room = memory::next_length(room, share.bytes, self.max_answer);
                if announced >= share.bytes {
                    room = announced;
                }
                memory.grow(&mut charge, memory::cost(room)).await?;
                buffer.reserve_exact(memory::capacity(room) - buffer.len());
            }
            buffer.extend_from_slice(&data);
        }
        allowance.lift();
        Ok(match charge {
            None => Bytes::new(),
            Some(charge) => Bytes::from_owner(Charged {
                bytes: buffer,
                charge,
            }),
        })
    }

    async fn read_uncharged(
        &self,
        mut body: Incoming,
        allowance: &Allowance,
    ) -> Result<Bytes, Box<str>> {
        let mut share = Share {
            buffers: self,
            bytes: 0,
        };
        let mut chunks: Vec<Bytes> = Vec::new();
        loop {
            allowance.set(MAX_BYTES_WITHOUT_DATA);
            let Some(frame) = body.frame().await else {
                break;
            };
            let frame = frame.map_err(|err| Box::from(err.to_string()))?;
            // Trailers are not passed on.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            share.grow(data.len())?;
            if chunks.len() > FREE_CHUNKS + share.bytes / MIN_MEAN_CHUNK_BYTES {
                return Err(format!("{} chunks for {} bytes", chunks.len(), share.bytes).into());
            }
            chunks.push(data);
        }
        allowance.lift();
        Ok(join(chunks, share.bytes))
    }
}

impl Memory {
    /// Raises a charge, and waits a while for room.
    async fn grow(&self, charge: &mut Option<Charge>, bytes: usize) -> Result<(), Box<str>> {
        // The request has run, so that its answer may use the reserve.
        let purpose = Purpose::Short;
        let until = Instant::now() + ROOM_TIMEOUT;
        loop {
            let now = self.clock.now();
            let has_grown = match charge {
                Some(charge) => charge.try_grow_to(bytes, purpose, now),
                None => {
                    *charge = self.account.try_charge(bytes, purpose, now);
                    charge.is_some()
                }
            };
            if has_grown {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err("no memory is free for the body".into());
            }
            tokio::time::sleep(ROOM_RETRY_INTERVAL).await;
        }
    }
}

/// Joins the chunks of a body; most bodies are one chunk, which is not copied.
fn join(mut chunks: Vec<Bytes>, bytes: usize) -> Bytes {
    if chunks.len() == 1 {
        return chunks.swap_remove(0);
    }
    let mut whole = BytesMut::with_capacity(bytes);
    for chunk in chunks {
        whole.extend_from_slice(&chunk);
    }
    whole.freeze()
}

impl Share<'_> {
    fn grow(&mut self, bytes: usize) -> Result<(), Box<str>> {
        let buffers = self.buffers;
        self.bytes += bytes;
        let used = buffers.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if self.bytes > buffers.max_answer {
            return Err(format!("over {} bytes", buffers.max_answer).into());
        }
        if used > buffers.max_in_all {
            return Err(
                format!("over {} bytes in all bodies being read", buffers.max_in_all).into(),
            );
        }
        Ok(())
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.buffers.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
