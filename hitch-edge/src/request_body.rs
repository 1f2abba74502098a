//! Reads the bodies of requests into memory that is charged to the account.

use std::time::Duration;

use bytes::Bytes;
use hitch_bound::memory;
use hitch_bound::memory::Charged;
use hitch_bound::memory::Purpose;
use hitch_bound::memory::SHORT_BYTES;
use hitch_bound::progress::PROGRESS_BYTES;
use hitch_bound::progress::STALL_CHECK_INTERVAL;
use hitch_bound::progress::STALL_IN_SHORTAGE;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::bounds;
use crate::bounds::Bounds;
use crate::bounds::Limit;

/// Chunks that a body may have whatever their size.
const FREE_CHUNKS: usize = 16 * 1024;
/// Mean size of the chunks beyond these, in bytes. Clients that send smaller ones cost a microsecond of processor time
/// for each byte.
const MIN_MEAN_CHUNK_BYTES: usize = 8;

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// It is longer than the configuration allows.
    TooLarge,
    /// The connection ended or the body is malformed.
    NotWhole,
    /// A limit of this node acted; the request may be sent again later.
    Limited(Limit),
}

/// Reads a body of at most `limit` bytes. The memory is given back when the last copy of the bytes is dropped.
///
/// A body whose length is announced is charged as a whole before its first byte is read, so that it can always be
/// completed; one without a length is charged as it grows.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let clock = hitch_gate::time::ProcessClock::start();
/// let bounds = hitch_edge::bounds::Bounds::new(clock, Some(160 << 20), None);
/// let body = http_body_util::Full::new(bytes::Bytes::from_static(b"hello"));
/// let deadline = std::time::Duration::from_secs(60);
/// let bytes = hitch_edge::request_body::read(&bounds, body, 100, deadline).await.unwrap();
/// assert_eq!(&*bytes, b"hello");
/// # });
/// ```
pub async fn read<B: Body<Data = Bytes> + Unpin>(
    bounds: &Bounds,
    mut body: B,
    limit: usize,
    deadline: Duration,
) -> Result<Bytes, Unread> {
    let announced = match body.size_hint().exact() {
        Some(0) => return Ok(Bytes::new()),
        Some(length) if length > limit as u64 => return Err(Unread::TooLarge),
        Some(length) => length as usize,
        None => 0,
    };
    let mut charge = None;
    let mut buffer = Vec::new();
    let mut room = 0;
    let mut chunks = 0;
    if announced > 0 {
        room = announced;
        let (cost, purpose) = (memory::cost(room), Purpose::of_request(room));
        if !bounds::charge(bounds, &mut charge, cost, purpose, deadline).await {
            return Err(Unread::Limited(Limit::BodyMemory));
        }
        buffer.reserve_exact(memory::capacity(room));
    }
    let (mut last_progress, mut length_then) = (bounds.clock.now(), 0);
    loop {
        let frame = match tokio::time::timeout(STALL_CHECK_INTERVAL, body.frame()).await {
            Ok(None) => break,
            Ok(Some(Ok(frame))) => Some(frame),
            Ok(Some(Err(_))) => return Err(Unread::NotWhole),
            Err(_) => None,
        };
        let now = bounds.clock.now();
        // Trailers are not passed on.
        if let Some(Ok(data)) = frame.map(|frame| frame.into_data()) {
            let length = buffer.len() + data.len();
            if length > limit {
                return Err(Unread::TooLarge);
            }
            chunks += 1;
            if chunks > FREE_CHUNKS + length / MIN_MEAN_CHUNK_BYTES {
                return Err(Unread::Limited(Limit::BodyChunks));
            }
            if length > room {
                room = memory::next_length(room, length, limit);
                let (cost, purpose) = (memory::cost(room), Purpose::of_request(room));
                if !bounds::charge(bounds, &mut charge, cost, purpose, deadline).await {
                    return Err(Unread::Limited(Limit::BodyMemory));
                }
                buffer.reserve_exact(memory::capacity(room) - buffer.len());
            }
            buffer.extend_from_slice(&data);
        }
        if buffer.len() - length_then >= PROGRESS_BYTES {
            (last_progress, length_then) = (now, buffer.len());
        }
        if now >= deadline {
            return Err(Unread::Limited(Limit::BodyTime));
        }
        // A short body holds little, and ends with its deadline.
        let is_stalled =
            room > SHORT_BYTES && now.saturating_sub(last_progress) >= STALL_IN_SHORTAGE;
        if is_stalled && bounds.account.is_short(now) {
            return Err(Unread::Limited(Limit::BodyStalled));
        }
    }
    Ok(match charge {
        None => Bytes::new(),
        Some(charge) => Bytes::from_owner(Charged {
            bytes: buffer,
            charge,
        }),
    })
}
