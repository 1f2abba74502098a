//! Reads frames with long bodies into memory that is charged to the account, or without their body if there is none.

use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use hitch_bound::Account;
use hitch_bound::memory;
use hitch_bound::memory::Charged;
use hitch_bound::memory::Purpose;
use prost::Message;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;

use crate::frame;
use crate::frame::Frame;
use crate::link::Received;

/// Length from which a frame is read into a buffer of its own, in bytes. Shorter frames are read in the buffer of the
/// connection.
const LONG_FRAME_BYTES: usize = 64 * 1024;
/// Bytes at the beginning of a frame within which the body of a call or an answer begins: the largest head of a request
/// and its routing. Without a body there, a frame for which there is no memory ends the connection.
const MAX_BEFORE_BODY_BYTES: usize = 256 * 1024;
/// Most bytes that are read at a time, in bytes, where they are discarded.
const DISCARD_BYTES: usize = 16 * 1024;

/// Reads the frame at the beginning of `buf` to its end if it is long. Returns `None` if it is not long, or not known yet.
pub(crate) async fn read(
    stream: &mut (impl AsyncRead + Unpin),
    buf: &mut BytesMut,
    account: &Account,
    now: Duration,
) -> Result<Option<Received>, Box<str>> {
    let contents = match frame::contents_range(buf).map_err(|err| err.to_string())? {
        Some(contents) if contents.len() >= LONG_FRAME_BYTES && buf.len() < contents.end => {
            contents
        }
        _ => return Ok(None),
    };
    buf.advance(contents.start);
    let length = contents.len();
    // An answer belongs to a request that has run, and may use the reserve.
    let purpose = match buf.first() {
        Some(&frame::CALL_KEY) => Purpose::of_request(length),
        _ => Purpose::Short,
    };
    let charge = account.try_charge(memory::cost(length), purpose, now);
    let Some(charge) = charge else {
        return read_without_body(stream, buf, length).await.map(Some);
    };
    let mut bytes = Vec::with_capacity(memory::capacity(length));
    bytes.extend_from_slice(buf);
    buf.clear();
    read_more(stream, &mut bytes, length).await?;
    let contents = Bytes::from_owner(Charged { bytes, charge });
    let frame = Frame::decode(contents).map_err(|err| format!("decode a frame: {err}"))?;
    Ok(Some(Received::Whole(frame)))
}

async fn read_without_body(
    stream: &mut (impl AsyncRead + Unpin),
    buf: &mut BytesMut,
    length: usize,
) -> Result<Received, Box<str>> {
    let mut before = Vec::new();
    before.extend_from_slice(buf);
    buf.clear();
    let body = loop {
        match frame::body_range(&before) {
            Some(body) if body.end <= length => break body,
            _ if before.len() >= MAX_BEFORE_BODY_BYTES.min(length) => {
                return Err("no memory is free for a frame".into());
            }
            _ => {}
        }
        let more = (before.len() + DISCARD_BYTES).min(length);
        read_more(stream, &mut before, more).await?;
    };
    // `buf` was shorter than the frame, so that everything in `before` belongs to it.
    let after_read = before.get(body.end..).unwrap_or_default().to_vec();
    let mut to_discard = body.end.saturating_sub(before.len());
    before.truncate(body.start);
    let mut discarded = Vec::new();
    while to_discard > 0 {
        discarded.clear();
        let more = to_discard.min(DISCARD_BYTES);
        read_more(stream, &mut discarded, more).await?;
        to_discard -= more;
    }
    let mut after = after_read;
    read_more(stream, &mut after, length - body.end).await?;
    let frame = frame::decode_without_body(&before, &after).map_err(|err| err.to_string())?;
    Ok(Received::WithoutBody(frame))
}

/// Reads until `bytes` has `length` bytes.
async fn read_more(
    stream: &mut (impl AsyncRead + Unpin),
    bytes: &mut Vec<u8>,
    length: usize,
) -> Result<(), Box<str>> {
    while bytes.len() < length {
        let left = (length - bytes.len()) as u64;
        match (&mut *stream).take(left).read_buf(bytes).await {
            Ok(0) => return Err("the connection ended within a frame".into()),
            Ok(_) => {}
            Err(err) => return Err(err.to_string().into()),
        }
    }
    Ok(())
}
