//! The head of a call as the caller sends it.

use std::time::Duration;

use http::HeaderMap;
use http::request::Parts;
use snafu::Snafu;

use crate::header;

/// Largest head of a call, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest body of a call, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Greatest number of calls above a call.
pub const MAX_DEPTH: u32 = 18;
/// Longest customer, rank, call id or idempotency key, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The checked head of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Customer that the call is made for.
    pub customer: Box<str>,
    /// Rank of the call.
    pub rank: Box<str>,
    /// Time left for the call.
    pub remaining_time: Duration,
    /// Number of calls above this one.
    pub depth: u32,
    /// Retries that may still be spent, in thousandths of a call; absent at the first node.
    pub retry_budget: Option<u32>,
    /// Identity of the call, if the caller sent one.
    pub call_id: Option<Box<str>>,
    /// Idempotency key, if the caller sent one.
    pub idempotency_key: Option<Box<str>>,
    /// Length of the body that the caller announced, in bytes.
    pub content_length: Option<u64>,
}

/// A head that is refused. No part of the call was run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A required header is missing.
    #[snafu(display("header {name} is missing"))]
    Missing {
        /// Name of the header.
        name: &'static str,
    },
    /// A header has a value that is not allowed.
    #[snafu(display("header {name} has the value {value:?}, allowed is {allowed}"))]
    Invalid {
        /// Name of the header.
        name: &'static str,
        /// The value seen, shortened.
        value: Box<str>,
        /// What is allowed.
        allowed: &'static str,
    },
    /// A header that may be sent once was sent more often.
    #[snafu(display("header {name} was sent {count} times, allowed is once"))]
    Repeated {
        /// Name of the header.
        name: &'static str,
        /// How often it was sent.
        count: usize,
    },
    /// Both `content-length` and `transfer-encoding` frame the body.
    #[snafu(display(
        "content-length and transfer-encoding were both sent, allowed is one of them"
    ))]
    ConflictingFraming,
    /// The body is larger than allowed.
    #[snafu(display("the body has {bytes} bytes, allowed are {MAX_BODY_BYTES}"))]
    BodyTooLarge {
        /// Announced length in bytes.
        bytes: u64,
    },
    /// The call is nested too deeply.
    #[snafu(display("the call is {depth} deep, allowed are {MAX_DEPTH}"))]
    TooDeep {
        /// Number of calls above this one.
        depth: u32,
    },
}

impl Head {
    /// Reads and checks the head of a call.
    ///
    /// ```
    /// let req = http::Request::get("/").body(())?;
    /// let err = hitch_edge::caller::Head::from_parts(&req.into_parts().0).unwrap_err();
    /// assert_eq!(err.to_string(), "header x-hitch-customer is missing");
    /// # Ok::<(), http::Error>(())
    /// ```
    pub fn from_parts(parts: &Parts) -> Result<Head, Error> {
        let headers = &parts.headers;
        let content_length = framing(headers)?;
        let customer = required(headers, header::CUSTOMER)?;
        let rank = required(headers, header::RANK)?;
        let deadline_ms =
            number(headers, header::DEADLINE_MS, 1, 60_000)?.ok_or(Error::Missing {
                name: header::DEADLINE_MS,
            })?;
        let depth = number(headers, header::DEPTH, 0, u32::MAX)?.unwrap_or(0);
        if depth > MAX_DEPTH {
            return Err(Error::TooDeep { depth });
        }
        Ok(Head {
            customer,
            rank,
            remaining_time: Duration::from_millis(deadline_ms.into()),
            depth,
            retry_budget: number(headers, header::RETRY_BUDGET, 0, 1_000_000)?,
            call_id: text(headers, header::CALL_ID)?,
            idempotency_key: text(headers, header::IDEMPOTENCY_KEY)?,
            content_length,
        })
    }
}

fn framing(headers: &HeaderMap) -> Result<Option<u64>, Error> {
    let name = "content-length";
    let length = one(headers, name)?;
    if length.is_some() && headers.contains_key(http::header::TRANSFER_ENCODING) {
        return Err(Error::ConflictingFraming);
    }
    let Some(length) = length else {
        return Ok(None);
    };
    let allowed = "a length in bytes";
    let bytes: u64 = length.parse().map_err(|_| Error::Invalid {
        name,
        value: shorten(length),
        allowed,
    })?;
    if bytes > MAX_BODY_BYTES as u64 {
        return Err(Error::BodyTooLarge { bytes });
    }
    Ok(Some(bytes))
}

fn one<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Error> {
    let count = headers.get_all(name).iter().count();
    if count > 1 {
        return Err(Error::Repeated { name, count });
    }
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(Error::Invalid {
            name,
            value: shorten(&String::from_utf8_lossy(value.as_bytes())),
            allowed: "visible ASCII text",
        }),
    }
}

fn text(headers: &HeaderMap, name: &'static str) -> Result<Option<Box<str>>, Error> {
    let Some(value) = one(headers, name)? else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_NAME_BYTES {
        let allowed = "1 to 128 characters";
        return Err(Error::Invalid {
            name,
            value: shorten(value),
            allowed,
        });
    }
    Ok(Some(value.into()))
}

fn required(headers: &HeaderMap, name: &'static str) -> Result<Box<str>, Error> {
    text(headers, name)?.ok_or(Error::Missing { name })
}

fn number(
    headers: &HeaderMap,
    name: &'static str,
    min: u32,
    max: u32,
) -> Result<Option<u32>, Error> {
    let Some(value) = one(headers, name)? else {
        return Ok(None);
    };
    let number = value
        .parse::<u32>()
        .ok()
        .filter(|n| (min..=max).contains(n));
    let allowed = match name {
        header::DEADLINE_MS => "1 to 60000",
        header::RETRY_BUDGET => "0 to 1000000",
        _ => "a whole number",
    };
    number.map(Some).ok_or_else(|| Error::Invalid {
        name,
        value: shorten(value),
        allowed,
    })
}

fn shorten(value: &str) -> Box<str> {
    value.chars().take(64).collect::<String>().into()
}
