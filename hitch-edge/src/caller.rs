//! Parsing and validation of the request head that a caller sends.

use std::time::Duration;

use http::HeaderMap;
use http::request::Parts;
use snafu::Snafu;

use crate::header;

/// Maximum size of a request head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Maximum depth of a call: its number of ancestor calls.
pub const MAX_DEPTH: u32 = 18;
/// Maximum length of a customer, rank, call id or idempotency key, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The validated head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Customer on whose behalf the call is made.
    pub customer: Box<str>,
    /// Rank (priority class) of the call.
    pub rank: Box<str>,
    /// Remaining time until the deadline of the call.
    pub remaining_time: Duration,
    /// Depth of the call: its number of ancestor calls.
    pub depth: u32,
    /// Remaining retry budget, in thousandths of a call; absent at the first node.
    pub retry_budget: Option<u32>,
    /// Identity of the call, if the caller sent one.
    pub call_id: Option<Box<str>>,
    /// Idempotency key, if the caller sent one.
    pub idempotency_key: Option<Box<str>>,
    /// Value of `content-length`, in bytes, if the caller sent one.
    pub content_length: Option<u64>,
}

/// Reason to refuse a request because of its head. The call was not run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A required header is missing.
    #[snafu(display("header {name} is missing"))]
    Missing {
        /// Name of the header.
        name: &'static str,
    },
    /// A header has an invalid value.
    #[snafu(display("header {name} has the value {value:?}, allowed is {allowed}"))]
    Invalid {
        /// Name of the header.
        name: &'static str,
        /// Value of the header, truncated to 64 characters.
        value: Box<str>,
        /// Description of the valid values.
        allowed: &'static str,
    },
    /// A header that must occur at most once occurs several times.
    #[snafu(display("header {name} was sent {count} times, allowed is once"))]
    Repeated {
        /// Name of the header.
        name: &'static str,
        /// Number of occurrences.
        count: usize,
    },
    /// Both `content-length` and `transfer-encoding` are present.
    #[snafu(display(
        "content-length and transfer-encoding were both sent, allowed is one of them"
    ))]
    ConflictingFraming,
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[snafu(display("the body has {bytes} bytes, allowed are {MAX_BODY_BYTES}"))]
    BodyTooLarge {
        /// Value of `content-length`, in bytes.
        bytes: u64,
    },
    /// The call is nested deeper than [`MAX_DEPTH`].
    #[snafu(display("the call is {depth} deep, allowed are {MAX_DEPTH}"))]
    TooDeep {
        /// Depth of the call.
        depth: u32,
    },
}

impl Head {
    /// Parses and validates the head of a request.
    ///
    /// Returns an [`Error`] if a required header is missing, a value is invalid or a limit is
    /// exceeded.
    ///
    /// ```
    /// let req = http::Request::get("/").body(())?;
    /// let err = hitch_edge::caller::Head::from_parts(&req.into_parts().0).unwrap_err();
    /// assert_eq!(err.to_string(), "header x-hitch-customer is missing");
    /// # Ok::<(), http::Error>(())
    /// ```
    pub fn from_parts(parts: &Parts) -> Result<Head, Error> {
        let headers = &parts.headers;
        let content_length = content_length(headers)?;
        let customer = required_name(headers, header::CUSTOMER)?;
        let rank = required_name(headers, header::RANK)?;
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
            call_id: optional_name(headers, header::CALL_ID)?,
            idempotency_key: optional_name(headers, header::IDEMPOTENCY_KEY)?,
            content_length,
        })
    }
}

/// Validates the framing headers and returns the content length.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, Error> {
    let name = "content-length";
    let length = single_value(headers, name)?;
    if length.is_some() && headers.contains_key(http::header::TRANSFER_ENCODING) {
        return Err(Error::ConflictingFraming);
    }
    let Some(length) = length else {
        return Ok(None);
    };
    let allowed = "a length in bytes";
    let bytes: u64 = length.parse().map_err(|_| Error::Invalid {
        name,
        value: truncate_for_error(length),
        allowed,
    })?;
    if bytes > MAX_BODY_BYTES as u64 {
        return Err(Error::BodyTooLarge { bytes });
    }
    Ok(Some(bytes))
}

/// Returns the value of a header that must occur at most once.
fn single_value<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Error> {
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
            value: truncate_for_error(&String::from_utf8_lossy(value.as_bytes())),
            allowed: "visible ASCII text",
        }),
    }
}

/// Returns a header value of 1 to [`MAX_NAME_BYTES`] bytes, or `None` if the header is absent.
fn optional_name(headers: &HeaderMap, name: &'static str) -> Result<Option<Box<str>>, Error> {
    let Some(value) = single_value(headers, name)? else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_NAME_BYTES {
        let allowed = "1 to 128 characters";
        return Err(Error::Invalid {
            name,
            value: truncate_for_error(value),
            allowed,
        });
    }
    Ok(Some(value.into()))
}

fn required_name(headers: &HeaderMap, name: &'static str) -> Result<Box<str>, Error> {
    optional_name(headers, name)?.ok_or(Error::Missing { name })
}

fn number(
    headers: &HeaderMap,
    name: &'static str,
    min: u32,
    max: u32,
) -> Result<Option<u32>, Error> {
    let Some(value) = single_value(headers, name)? else {
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
        value: truncate_for_error(value),
        allowed,
    })
}

fn truncate_for_error(value: &str) -> Box<str> {
    value.chars().take(64).collect::<String>().into()
}
